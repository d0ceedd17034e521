//! Which run of the own target a call belongs to.
//!
//! A target that makes calls while it runs a request derives their ids from the request's: a call's id
//! is the id of the run, a dot and more. The platform does not promise this, so a call whose id fits
//! no run is treated like a caller's request.

use {
    super::gate::Rank,
    crate::time::Instant,
    std::{
        collections::HashMap,
        hash::{Hash as _, Hasher as _},
        time::Duration,
    },
};

/// What stands between the id of a run and the rest of a call's id.
const SEPARATOR: char = '.';
/// How long calls count as traced after the last one that was.
const TRACED_KEPT: Duration = Duration::from_secs(10);

/// Returns a number between 0 and 1 that is drawn from the id of a caller's request and is the same
/// for all calls that follow from it, so that nodes prefer the same requests when not all fit.
pub fn hash_fraction(request: &str) -> f64 {
    let root = request.split(SEPARATOR).next().unwrap_or(request);
    let mut hasher = siphasher::sip::SipHasher13::new();
    root.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// What a call takes over from the run that makes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lineage {
    /// The rank of the run.
    pub rank: Rank,
    /// Whether the run repeats an earlier one, or is a call of one that does.
    pub is_repeat: bool,
}

/// The runs of the own target by the ids of their requests.
#[derive(Debug, Default)]
pub struct ActiveRuns {
    runs: HashMap<String, Lineage>,
    traced: Option<Instant>,
    traced_elsewhere: Option<Instant>,
}

impl ActiveRuns {
    /// Notes that a run begins.
    pub fn start(&mut self, request: &str, lineage: Lineage) {
        self.runs.insert(request.to_owned(), lineage);
    }

    /// Notes that a run is over.
    pub fn end(&mut self, request: &str) {
        self.runs.remove(request);
    }

    /// Returns the run that makes a call.
    pub fn parent_run(&mut self, now: Instant, call: &str) -> Option<Lineage> {
        let (run, _) = call.rsplit_once(SEPARATOR)?;
        let lineage = self.runs.get(run).copied();
        if lineage.is_some() {
            self.traced = Some(now);
        }
        lineage
    }

    /// Notes that another node traced calls to their runs.
    pub fn record_remote_trace(&mut self, now: Instant) {
        self.traced_elsewhere = Some(now);
    }

    /// Tells whether this node traced calls to runs of the own target lately.
    pub fn has_traced_locally(&self, now: Instant) -> bool {
        self.traced.is_some_and(|at| now - at < TRACED_KEPT)
    }

    /// Tells whether calls can be traced to their runs.
    pub fn is_traceable(&self, now: Instant) -> bool {
        let elsewhere = self.traced_elsewhere.is_some_and(|at| now - at < TRACED_KEPT);
        elsewhere || self.has_traced_locally(now)
    }
}
