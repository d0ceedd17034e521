//! The data centres that the operator has evacuated.
//!
//! Targets of an evacuated data centre get no new requests from any node until the evacuation is
//! taken back. Requests that arrive in the data centre are served by targets elsewhere. See part 4 of
//! docs/design/uneven-load.md.

use {
    crate::id,
    std::{collections::BTreeSet, time::Duration},
};

/// The retry delay given to callers when no target could take the request.
pub const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The evacuated data centres.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    active: BTreeSet<id::DataCentre>,
}

impl Evacuations {
    /// Records that a data centre is evacuated. Returns whether it was not evacuated before.
    pub fn begin(&mut self, data_centre: &id::DataCentre) -> bool {
        self.active.insert(data_centre.clone())
    }

    /// Records that the evacuation of a data centre was taken back. Returns whether it was evacuated.
    pub fn end(&mut self, data_centre: &id::DataCentre) -> bool {
        self.active.remove(data_centre)
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &id::DataCentre) -> bool {
        self.active.contains(data_centre)
    }

    /// Returns the evacuated data centres in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &id::DataCentre> {
        self.active.iter()
    }
}
