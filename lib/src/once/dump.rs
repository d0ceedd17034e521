//! Diagnostic dump of a node's deduplication state.

use {
    super::Deduplicator,
    crate::{
        id::{Pool, Vm},
        time::Instant,
        unit::{Bytes, Revision},
    },
    serde::Serialize,
};

/// A diagnostic snapshot of the deduplication state of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// The pool of the node's target.
    pub pool: Option<Pool>,
    /// The revision of the pool's table entry that the node applies.
    pub epoch: Revision,
    /// Whether a majority of the pool recently confirmed the epoch. If not, no request with a key
    /// runs here.
    pub is_ready: bool,
    /// Whether no request can have run under an earlier epoch within the window.
    pub is_settled: bool,
    /// Whether the node knows all tickets that it granted within the window. If not, new keys are
    /// refused.
    pub knows_grants: bool,
    /// Whether the node knows all requests that ran at its target within the window.
    pub knows_runs: bool,
    /// VMs that have not yet answered whether this VM had an earlier incarnation.
    pub unasked: Vec<Vm>,
    /// Number of used keys that this node owns.
    pub keys: usize,
    /// Number of outstanding tickets.
    pub running: usize,
    /// Number of recorded runs at the local target.
    pub runs: usize,
    /// Number of calls that wait for a decision.
    pub waiting: usize,
    /// Number of calls that hold a ticket.
    pub granted: usize,
    /// Number of reports that the owners have not acknowledged.
    pub reports_due: usize,
    /// Number of stored answers.
    pub answers: usize,
    /// Total size of the stored answers.
    pub answer_bytes: Bytes,
}

impl Deduplicator {
    /// Returns a diagnostic snapshot. It contains no keys or digests.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            pool: self.agreement.pool().cloned(),
            epoch: self.agreement.epoch(),
            is_ready: self.agreement.is_ready(now, &self.settings),
            is_settled: self.agreement.is_settled(),
            knows_grants: self.recovery.knows_grants(now, &self.settings),
            knows_runs: self.recovery.knows_runs(now, &self.settings),
            unasked: self.recovery.unasked().cloned().collect(),
            keys: self.owned_keys.len(),
            running: self.owned_keys.running(),
            runs: self.runs.len(),
            waiting: self.keyed_calls.waiting(),
            granted: self.keyed_calls.granted(),
            reports_due: self.keyed_calls.reports_due(),
            answers: self.answers.len(),
            answer_bytes: self.answers.total(),
        }
    }
}
