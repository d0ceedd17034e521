//! The data centres that the operator has evacuated.
//!
//! Targets of an evacuated data centre get no new requests from any node until the evacuation is
//! taken back. Requests that arrive in the data centre are served by targets elsewhere. See part 4 of
//! docs/design/uneven-load.md.

use {
    super::position::Position,
    crate::id,
    std::{collections::BTreeMap, time::Duration},
};

/// The retry delay given to callers whose request no target can take. It is shorter than the time
/// that most callers wait for an answer, so that they can come back once.
pub const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The evacuated data centres, each with the position at which its evacuation was written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    active: BTreeMap<id::DataCentre, Position>,
}

impl Evacuations {
    /// Records that the evacuation of a data centre was written at this position. Returns whether
    /// the data centre was not evacuated before.
    pub fn begin(&mut self, data_centre: &id::DataCentre, at: Position) -> bool {
        self.active.insert(data_centre.clone(), at).is_none()
    }

    /// Records that the evacuation of a data centre was taken back. Returns whether it was evacuated.
    pub fn end(&mut self, data_centre: &id::DataCentre) -> bool {
        self.active.remove(data_centre).is_some()
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &id::DataCentre) -> bool {
        self.active.contains_key(data_centre)
    }

    /// Returns the evacuated data centres in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &id::DataCentre> {
        self.active.keys()
    }
}
