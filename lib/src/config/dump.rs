//! What the configuration shows to operators. No digest of a key is in it.

use {
    super::{
        Store,
        key::KeyState,
        valid::{Fault, Validator},
        value::ReadError,
    },
    crate::{id, time::Instant, unit::Revision},
    serde::Serialize,
};

/// The state of the configuration at one node.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The revision up to which all values are known.
    pub known: Revision,
    /// The revision in force, or 0 for none.
    pub in_force: Revision,
    /// The highest revision that a peer claims to know.
    pub claimed: Revision,
    /// Why the known revision is not in force.
    pub faults: Vec<Fault>,
    /// The number of values that are known.
    pub values: usize,
    /// How far the start has come.
    pub start: &'static str,
    /// Whether keys are admitted, and if not, why.
    pub keys: Result<(), KeyState>,
    /// The time since the platform confirmed that there was nothing newer, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// The number of keys that are withdrawn ahead of the tables.
    pub withdrawn: usize,
    /// Whether this node watches the platform.
    pub watcher: bool,
    /// The reads of the platform in this life.
    pub reads: u64,
    /// How many of them returned less than was known.
    pub stale_reads: u64,
    /// Why the last read failed, if it did.
    pub read_error: Option<ReadError>,
    /// Pages from peers that no correct peer sends.
    pub page_errors: u64,
    /// What was wrong with the last of them.
    pub page_error: Option<String>,
    /// Peers that are not heard for a while, because they did not give what they claimed to have.
    pub muted: Vec<id::Vm>,
}

impl<V: Validator> Store<V> {
    /// Returns the whole state with reasons.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            known: self.latest.revision(),
            in_force: self.accepted_revision(),
            claimed: self.claims.highest(),
            faults: self.faults.clone(),
            values: self.latest.len(),
            start: self.start.as_str(),
            keys: self.keys_usable(now),
            confirmed_age_ms: self.confirmation.map(|confirmation| confirmation.age_ms(now)),
            withdrawn: self.overlay.len(),
            watcher: self.watch.is_watcher,
            reads: self.watch.reads,
            stale_reads: self.watch.stale_reads,
            read_error: self.watch.last_error,
            page_errors: self.page_errors,
            page_error: self.last_page_error.map(|error| error.to_string()),
            muted: self.claims.muted(now),
        }
    }
}
