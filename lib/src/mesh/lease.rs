//! A lease that limits how long a node accepts API keys without confirmation.
//!
//! A withdrawn key must stop working within a fixed time, also on partitioned nodes. A node
//! therefore accepts keys only while it knows that its document was the newest one a short time
//! ago.

use {crate::time::Instant, std::time::Duration};

/// Subtracted from the lease to allow for clock drift and for requests in transit between the key
/// check and the target.
const SAFETY_MARGIN: Duration = Duration::from_millis(400);

/// A lease on the accepted keys, renewed by each confirmation that the document is current.
#[derive(Debug)]
pub struct Lease {
    duration: Duration,
    confirmed: Option<Instant>,
}

impl Lease {
    /// Creates a lease that is not confirmed yet. `duration` is the longest allowed time from the
    /// withdrawal of a key to its effect.
    pub fn new(duration: Duration) -> Self {
        Self { duration, confirmed: None }
    }

    /// Records that the document was the newest one at this time.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns the last time at which the document was known to be the newest one.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Returns whether the lease is in force, so that keys may be accepted.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|at| now - at + SAFETY_MARGIN < self.duration)
    }

    /// Returns the time since the last confirmation, if there was one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now - at)
    }
}
