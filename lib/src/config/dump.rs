//! The configuration state shown to operators. It contains no key digests.

use {
    super::{
        Store,
        key::KeyState,
        validator::{Fault, Validator},
        value::ReadError,
    },
    crate::{id, time::Instant, unit::Revision},
    serde::Serialize,
};

/// The state of the configuration on one node.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The revision up to which all values are known.
    pub known: Revision,
    /// The revision in force, or 0 for none.
    pub in_force: Revision,
    /// The highest revision that a peer claims to know.
    pub claimed: Revision,
    /// The validation errors that keep the known revision out of force.
    pub faults: Vec<Fault>,
    /// The number of known values.
    pub values: usize,
    /// The phase of the start-up protocol.
    pub start: &'static str,
    /// Whether keys are admitted, or the reason why not.
    pub keys: Result<(), KeyState>,
    /// The time since the platform last confirmed that the values are current, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// The number of keys that are withdrawn although the set in force still grants them.
    pub withdrawn: usize,
    /// Whether this node watches the platform.
    pub watcher: bool,
    /// The number of platform reads since the process started.
    pub reads: u64,
    /// How many of these reads returned an older revision than the known one.
    pub stale_reads: u64,
    /// The error of the last read, if it failed.
    pub read_error: Option<ReadError>,
    /// The number of invalid pages from peers.
    pub page_errors: u64,
    /// The error of the last invalid page.
    pub page_error: Option<String>,
    /// Peers whose claims are ignored for a time because they did not deliver the revisions they
    /// claimed.
    pub muted: Vec<id::Vm>,
}

impl<V: Validator> Store<V> {
    /// Returns the full state of the store for operators.
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
