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

/// The longest time for which the exchange of a cancelled run goes on. Half a second after a caller
/// has left, the platform allows only few of its runs to be in progress; the rest of that time is for
/// the links between the nodes of a chain.
const MAX_LINGER: Duration = Duration::from_millis(150);
/// The largest request body of a run that goes on, in bytes. Its memory is no longer counted.
const MAX_BODY_BYTES: usize = 64 << 10;

/// A cancelled run whose exchange with the target is in progress.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// When it was sent to the target.
    pub started: Instant,
    /// When its caller left.
    pub cancelled: Instant,
    /// Whether it may safely run more than once.
    pub is_idempotent: bool,
    /// The size of the request's body.
    pub body_bytes: usize,
    /// Whether runs of its route make calls. These have been ended, so the run ends soon.
    pub makes_calls: bool,
    /// The mean time of calls on the target.
    pub mean_time: Duration,
    /// The number of calls that wait at the gate of the target.
    pub waiting: usize,
    /// Whether the target or its node is leaving, or its data centre is evacuated.
    pub is_leaving: bool,
}

/// Returns how much longer the exchange may go on so that the connection can be kept, or `None` if
/// the connection is to be closed now.
pub fn decide(now: Instant, run: &Run) -> Option<Duration> {
    let left = MAX_LINGER.saturating_sub(now - run.cancelled);
    let expected = run.mean_time.saturating_sub(now - run.started);
    let is_too_long = !run.makes_calls && expected > left;
    let is_useless = run.waiting > 0 || run.is_leaving || is_too_long || left.is_zero();
    let is_kept = run.is_idempotent && run.body_bytes <= MAX_BODY_BYTES && !is_useless;
    is_kept.then_some(left)
}

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
