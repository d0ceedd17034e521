//! What becomes of a run whose caller has left. See part C of docs/design/declining-pools.md.

use {
    crate::time::Instant,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// How long a cancelled run is remembered. A target that has noticed the end of its calls makes no
/// further ones by then.
const CANCELLED_TTL: Duration = Duration::from_secs(5);
/// The largest number of cancelled runs that are remembered. The oldest is forgotten first.
const MAX_CANCELLED: usize = 4_096;

/// The runs of the local target that were cancelled lately, by request id.
#[derive(Debug, Default)]
pub struct CancelledRuns {
    cancelled_at: HashMap<String, Instant>,
    /// The same runs in the order of time. Runs that were forgotten may still be listed.
    order: VecDeque<(Instant, String)>,
}

impl CancelledRuns {
    /// Records that a run was cancelled.
    pub fn insert(&mut self, now: Instant, run: &str) {
        let is_outdated = |at: Instant| now - at >= CANCELLED_TTL;
        while self.order.len() >= MAX_CANCELLED
            || self.order.front().is_some_and(|(at, _)| is_outdated(*at))
        {
            let Some((at, run)) = self.order.pop_front() else { break };
            if self.cancelled_at.get(&run) == Some(&at) {
                self.cancelled_at.remove(&run);
            }
        }
        self.cancelled_at.insert(run.to_owned(), now);
        self.order.push_back((now, run.to_owned()));
    }

    /// Forgets a run, since another one with the same id starts.
    pub fn remove(&mut self, run: &str) {
        self.cancelled_at.remove(run);
    }

    /// Returns whether the run was cancelled lately.
    pub fn contains(&self, now: Instant, run: &str) -> bool {
        self.cancelled_at.get(run).is_some_and(|at| now - *at < CANCELLED_TTL)
    }

    /// Returns the number of runs that are remembered.
    pub fn len(&self) -> usize {
        self.cancelled_at.len()
    }

    /// Returns whether no run is remembered.
    pub fn is_empty(&self) -> bool {
        self.cancelled_at.is_empty()
    }
}
