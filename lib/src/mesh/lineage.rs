//! Attribution of a target's outgoing calls to the runs that make them.
//!
//! A target that makes calls while it runs a request derives the call ids from the id of the
//! request: run id, dot, suffix. The platform does not guarantee this, so a call whose id matches
//! no active run is treated like a request from a client.

use {
    super::{gate::Rank, linger::CancelledRuns},
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

/// Returns the id of the run that makes the call with this id, if the id of the call derives from one.
pub fn run_of(call: &str) -> Option<&str> {
    call.rsplit_once(SEPARATOR).map(|(run, _)| run)
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

#[derive(Debug)]
struct Run {
    lineage: Lineage,
    /// The number of active runs with this id. It is above 1 if a caller uses an id again.
    count: usize,
}

/// The active runs of the local target, by request id, and those that were cancelled lately.
#[derive(Debug, Default)]
pub struct ActiveRuns {
    runs: HashMap<String, Run>,
    cancelled: CancelledRuns,
    last_local_trace: Option<Instant>,
    last_remote_trace: Option<Instant>,
}

impl ActiveRuns {
    /// Records that a run starts.
    pub fn start(&mut self, request: &str, lineage: Lineage) {
        self.cancelled.remove(request);
        match self.runs.get_mut(request) {
            Some(run) => *run = Run { lineage, count: run.count + 1 },
            None => _ = self.runs.insert(request.to_owned(), Run { lineage, count: 1 }),
        }
    }

    /// Records that a run has ended.
    pub fn end(&mut self, request: &str) {
        let Some(run) = self.runs.get_mut(request) else { return };
        run.count -= 1;
        if run.count == 0 {
            self.runs.remove(request);
        }
    }

    /// Records that the caller of a run has left. Returns false, and does nothing, if the run is not
    /// active or another one with the same id is, since calls can't be told apart then.
    pub fn cancel(&mut self, now: Instant, request: &str) -> bool {
        let is_single = self.runs.get(request).is_some_and(|run| run.count == 1);
        if is_single {
            self.cancelled.insert(now, request);
        }
        is_single
    }

    /// Returns whether a run with this id is active.
    pub fn is_active(&self, request: &str) -> bool {
        self.runs.contains_key(request)
    }

    /// Returns whether the run was cancelled lately.
    pub fn is_cancelled(&self, now: Instant, request: &str) -> bool {
        self.cancelled.contains(now, request)
    }

    /// Returns the lineage of the run that makes the call with this id, if it is active.
    pub fn parent_run(&mut self, now: Instant, call: &str) -> Option<Lineage> {
        let lineage = self.runs.get(run_of(call)?).map(|run| run.lineage.clone());
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
