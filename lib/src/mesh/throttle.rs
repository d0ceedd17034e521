//! A bound on the calls per second that start on a target, by the limit that it names.

use {
    crate::{time::Instant, unit::RequestRate},
    std::time::Duration,
};

/// How much of the limit may accumulate while calls are fewer.
const BURST: Duration = Duration::from_millis(250);
/// The lowest rate at which calls start, per second. A target says in its responses that its limit
/// has changed, so it has to get some calls.
const MIN_RATE: f64 = 0.5;

/// A token bucket that is filled at the rate that a target named.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    limit: RequestRate,
    tokens: f64,
    refilled_at: Instant,
}

impl Throttle {
    /// Creates a throttle that allows one call at once.
    pub fn new(now: Instant, limit: RequestRate) -> Self {
        Self { limit, tokens: 1.0, refilled_at: now }
    }

    /// Returns the limit as the target named it.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Sets the limit from now on.
    pub fn set_limit(&mut self, now: Instant, limit: RequestRate) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        self.limit = limit;
    }

    /// Returns whether a call may start now, and counts it if so.
    pub fn try_start(&mut self, now: Instant) -> bool {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        let may_start = self.tokens >= 1.0;
        if may_start {
            self.tokens -= 1.0;
        }
        may_start
    }

    /// Returns the time until a call may start before which `ahead` others start.
    pub fn wait(&self, now: Instant, ahead: usize) -> Duration {
        let missing = (ahead + 1) as f64 - self.tokens_at(now);
        Duration::from_secs_f64(missing.max(0.0) / self.rate())
    }

    fn rate(&self) -> f64 {
        self.limit.per_second().max(MIN_RATE)
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let capacity = (self.rate() * BURST.as_secs_f64()).max(1.0);
        let filled = self.tokens + self.rate() * (now - self.refilled_at).as_secs_f64();
        filled.min(capacity)
    }
}
