//! A bound on the calls per second that start on a target, by the limit that it names.

use {
    super::bucket::{BURST, Bucket, rate_under},
    crate::{time::Instant, unit::RequestRate},
    std::time::Duration,
};

/// The bound by the limit that a target named.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    limit: RequestRate,
    bucket: Bucket,
}

impl Throttle {
    /// Creates a throttle that allows one call at once.
    pub fn new(now: Instant, limit: RequestRate) -> Self {
        let rate = rate_under(limit);
        Self { limit, bucket: Bucket::new(now, rate, capacity(rate)) }
    }

    /// Returns the limit as the target named it.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Sets the limit from now on.
    pub fn set_limit(&mut self, now: Instant, limit: RequestRate) {
        let rate = rate_under(limit);
        self.bucket.advance(now, rate, capacity(rate));
        self.limit = limit;
    }

    /// Returns whether a call may start now, and counts it if so.
    pub fn try_start(&mut self, now: Instant) -> bool {
        self.set_limit(now, self.limit);
        let may_start = self.bucket.tokens_at(now) >= 1.0;
        if may_start {
            self.bucket.take(0.0);
        }
        may_start
    }

    /// Returns the time until a call may start before which `ahead` others start.
    pub fn wait(&self, now: Instant, ahead: usize) -> Duration {
        let missing = self.bucket.missing(now, ahead);
        Duration::from_secs_f64(missing.max(0.0) / self.bucket.rate())
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}
