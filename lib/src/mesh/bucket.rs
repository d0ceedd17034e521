//! A token bucket for the starts of calls, whose rate may change.

use {
    crate::{time::Instant, unit::RequestRate},
    std::time::Duration,
};

/// How much of the rate may accumulate while calls are fewer.
pub const BURST: Duration = Duration::from_millis(250);
/// The lowest rate at which calls start, per second. It keeps waiting times within range, and a
/// target that names a limit gets some calls, in whose responses it says that the limit has changed.
/// The slack of the bound on cold targets covers it.
pub const MIN_RATE: f64 = 0.5;

/// Returns the rate per second at which calls start under a limit.
pub fn rate_under(limit: RequestRate) -> f64 {
    limit.per_second().max(MIN_RATE)
}

/// A bucket with one token for each call that may start.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    /// The rate since `refilled_at`. Where it rises meanwhile, the bucket fills too slowly rather
    /// than too fast.
    rate: f64,
    capacity: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a bucket that allows one call at once. The previous process of a node may have used
    /// what else there was.
    pub fn new(now: Instant, rate: f64, capacity: f64) -> Self {
        Self { tokens: 1.0, rate, capacity, refilled_at: now }
    }

    /// Returns the rate per second at which the bucket is filled.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the tokens at a time.
    pub fn tokens_at(&self, now: Instant) -> f64 {
        let filled = self.tokens + self.rate * (now - self.refilled_at).as_secs_f64();
        filled.min(self.capacity)
    }

    /// Fills the bucket up to now, and sets rate and capacity from now on.
    pub fn advance(&mut self, now: Instant, rate: f64, capacity: f64) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
        (self.rate, self.capacity) = (rate, capacity);
    }

    /// Takes a token, as far as the debt does not exceed `max_debt` tokens.
    pub fn take(&mut self, max_debt: f64) {
        self.tokens = (self.tokens - 1.0).max(-max_debt);
    }

    /// Returns the number of tokens that a call lacks before which `ahead` others start.
    pub fn missing(&self, now: Instant, ahead: usize) -> f64 {
        (ahead + 1) as f64 - self.tokens_at(now)
    }
}
