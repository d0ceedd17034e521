//! Measures the demand for one account's tokens at one node.

use crate::{time::Instant, unit::Tokens};

/// A moving average of requests per second, which follows high rates quickly and low rates slowly.
#[derive(Clone, Debug)]
pub struct Meter {
    count: u64,
    per_second: f64,
    ticked_at: Instant,
    last_request_at: Instant,
    min_weight: f64,
}

/// Approximate number of requests to average over, within the limits of the weights below.
const WINDOW_REQUESTS: f64 = 32.0;
/// Minimum weight of the latest 100 ms at low request rates, for slow and fast decay.
const SLOW_WEIGHT: f64 = 0.04;
const FAST_WEIGHT: f64 = 0.15;
const MAX_WEIGHT: f64 = 0.5;
/// The demand is considered to have ended once this many requests were expected and none arrived.
const ENDED_REQUESTS: f64 = 8.0;
/// A demand below one request in this many seconds counts as zero.
const IDLE_SECONDS: f64 = 20.0;

impl Meter {
    /// Starts with no demand. Low rates decay slowly.
    pub fn slow_decay(now: Instant) -> Self {
        Self {
            count: 0,
            per_second: 0.0,
            ticked_at: now,
            last_request_at: now,
            min_weight: SLOW_WEIGHT,
        }
    }

    /// Starts with no demand. Low rates decay within a second.
    pub fn fast_decay(now: Instant) -> Self {
        Self { min_weight: FAST_WEIGHT, ..Self::slow_decay(now) }
    }

    /// Counts one request.
    pub fn count(&mut self, now: Instant) {
        self.count += 1;
        self.last_request_at = now;
    }

    /// Updates the average with the interval since the last call.
    pub fn tick(&mut self, now: Instant) {
        const MAX_SECONDS: f64 = 1.0;
        let seconds = now.since(self.ticked_at).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let count = self.count as f64;
        let seen = count + self.per_second * seconds;
        // A pause of the process says nothing about the demand before it, so it gets limited
        // weight.
        let scale = seconds.min(MAX_SECONDS) / 0.1;
        let weight = (seen / WINDOW_REQUESTS).max(self.min_weight * scale).clamp(0.0, MAX_WEIGHT);
        self.per_second += (count / seconds - self.per_second) * weight;
        let has_ended = self.expected_since_last(now) >= ENDED_REQUESTS;
        if has_ended || self.per_second * IDLE_SECONDS < 1.0 {
            self.per_second = 0.0;
        }
        self.count = 0;
        self.ticked_at = now;
    }

    /// Returns whether at least three requests were expected since the last one.
    pub fn is_silent(&self, now: Instant) -> bool {
        const SILENT_REQUESTS: f64 = 3.0;
        self.expected_since_last(now) >= SILENT_REQUESTS
    }

    /// Returns how many requests were expected since the last one.
    fn expected_since_last(&self, now: Instant) -> f64 {
        self.per_second * now.since(self.last_request_at).as_secs_f64()
    }

    /// Resets the demand to zero.
    pub fn reset(&mut self, now: Instant) {
        self.per_second = 0.0;
        self.ticked_at = now;
    }

    /// Returns the demand in tokens per second.
    pub fn demand(&self) -> Tokens {
        Tokens((self.per_second * Tokens::ONE.0 as f64) as u64)
    }
}
