//! The state of one node's part, for operators.

use {
    super::Deduplicator,
    crate::{
        id::{Pool, Vm},
        time::Instant,
        unit::{Bytes, Revision},
    },
    serde::Serialize,
};

/// One node's part as operators see it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// The pool of the node's target.
    pub pool: Option<Pool>,
    /// The revision of the pool's line that is in force here.
    pub epoch: Revision,
    /// Whether a majority of the pool lately vouched for the epoch. Without it no key runs here.
    pub is_ready: bool,
    /// Whether no request can have run under an earlier epoch in the window.
    pub is_settled: bool,
    /// Whether the node knows all that it granted in the window. Without it new keys are refused.
    pub knows_grants: bool,
    /// Whether the node knows all that ran at its target in the window.
    pub knows_runs: bool,
    /// VMs that have not yet said whether this VM had an earlier life.
    pub unasked: Vec<Vm>,
    /// Used keys that this node owns.
    pub keys: usize,
    /// Tickets that are out.
    pub running: usize,
    /// Runs at the node's own target.
    pub runs: usize,
    /// Calls that wait for a verdict.
    pub waiting: usize,
    /// Calls that have a ticket.
    pub granted: usize,
    /// Reports that an owner has not confirmed.
    pub reports_due: usize,
    /// Kept answers.
    pub answers: usize,
    /// The size of the kept answers.
    pub answer_bytes: Bytes,
}

impl Deduplicator {
    /// Returns the state for operators, without keys and digests.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            pool: self.guard.pool().cloned(),
            epoch: self.guard.epoch(),
            is_ready: self.guard.is_ready(now, &self.settings),
            is_settled: self.guard.is_settled(),
            knows_grants: self.memory.knows_grants(now, &self.settings),
            knows_runs: self.memory.knows_runs(now, &self.settings),
            unasked: self.memory.unasked().cloned().collect(),
            keys: self.ledger.len(),
            running: self.ledger.running(),
            runs: self.runner.len(),
            waiting: self.asks.waiting(),
            granted: self.asks.granted(),
            reports_due: self.asks.due(),
            answers: self.answers.len(),
            answer_bytes: self.answers.total(),
        }
    }
}
