//! Attribution of a target's outgoing calls to the runs that make them.
//!
//! A target that makes calls while it runs a request derives the call ids from the id of the
//! request: run id, dot, suffix. The platform does not guarantee this, so a call whose id matches
//! no active run is treated like a request from a client.

use {
    super::gate::Rank,
    crate::{id, pressure::Share, time::Instant},
    std::{
        collections::HashMap,
        hash::{Hash as _, Hasher as _},
        time::Duration,
    },
};

/// Separates the id of the run from the suffix in the id of a call.
const SEPARATOR: char = '.';
/// How long calls are considered traceable after the last one that was traced.
const TRACE_TTL: Duration = Duration::from_secs(10);

/// Maps the id of a client's request to a number between 0 and 1 by a hash.
///
/// All calls that follow from the request map to the same number, so that under overload all nodes
/// prefer the same requests.
pub fn hash_fraction(request: &str) -> f64 {
    let root = request.split(SEPARATOR).next().unwrap_or(request);
    let mut hasher = siphasher::sip::SipHasher13::new();
    root.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// The properties that a call inherits from the run that makes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lineage {
    /// The admission rank of the run.
    pub rank: Rank,
    /// Whether the run repeats an earlier one, directly or through a repeated parent.
    pub is_repeat: bool,
    /// The share at which the client's request was admitted.
    pub admitted: Share,
    /// The route of the run, if this node knows it.
    pub route: Option<id::Route>,
}

/// The active runs of the local target, by request id.
#[derive(Debug, Default)]
pub struct ActiveRuns {
    runs: HashMap<String, Lineage>,
    last_local_trace: Option<Instant>,
    last_remote_trace: Option<Instant>,
}

impl ActiveRuns {
    /// Records that a run starts.
    pub fn start(&mut self, request: &str, lineage: Lineage) {
        self.runs.insert(request.to_owned(), lineage);
    }

    /// Records that a run has ended.
    pub fn end(&mut self, request: &str) {
        self.runs.remove(request);
    }

    /// Returns the lineage of the run that makes the call with this id, if it is active.
    pub fn parent_run(&mut self, now: Instant, call: &str) -> Option<Lineage> {
        let (run, _) = call.rsplit_once(SEPARATOR)?;
        let lineage = self.runs.get(run).cloned();
        if lineage.is_some() {
            self.last_local_trace = Some(now);
        }
        lineage
    }

    /// Records that another node traced calls to their runs.
    pub fn record_remote_trace(&mut self, now: Instant) {
        self.last_remote_trace = Some(now);
    }

    /// Returns whether this node recently traced a call to a run of the local target.
    pub fn has_traced_locally(&self, now: Instant) -> bool {
        self.last_local_trace.is_some_and(|at| now - at < TRACE_TTL)
    }

    /// Returns whether this or another node recently traced a call to its run.
    pub fn is_traceable(&self, now: Instant) -> bool {
        let has_traced_remotely = self.last_remote_trace.is_some_and(|at| now - at < TRACE_TTL);
        has_traced_remotely || self.has_traced_locally(now)
    }
}
