//! The demand for one account's tokens at one node.

use crate::{time::Instant, unit::Tokens};

/// An average of requests a second, which follows large numbers quickly and small ones slowly.
#[derive(Clone, Debug)]
pub struct Meter {
    count: u64,
    per_second: f64,
    read_at: Instant,
}

/// About as many requests are averaged over, unless the time limits say otherwise.
const WINDOW_REQUESTS: f64 = 32.0;
const LEAST_WEIGHT: f64 = 0.04;
const MOST_WEIGHT: f64 = 0.5;
/// A demand below one request in this many seconds counts as none.
const IDLE_SECONDS: f64 = 20.0;

impl Meter {
    /// Starts with no demand.
    pub fn new(now: Instant) -> Self {
        Self { count: 0, per_second: 0.0, read_at: now }
    }

    /// Counts one request.
    pub fn count(&mut self) {
        self.count += 1;
    }

    /// Closes the interval since the last call.
    pub fn tick(&mut self, now: Instant) {
        const LONGEST_SECONDS: f64 = 1.0;
        let seconds = now.since(self.read_at).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let count = self.count as f64;
        let seen = count + self.per_second * seconds;
        // A pause of the process says nothing about the demand before it.
        let scale = seconds.min(LONGEST_SECONDS) / 0.1;
        let weight = (seen / WINDOW_REQUESTS).max(LEAST_WEIGHT * scale).clamp(0.0, MOST_WEIGHT);
        self.per_second += (count / seconds - self.per_second) * weight;
        if self.per_second * IDLE_SECONDS < 1.0 {
            self.per_second = 0.0;
        }
        self.count = 0;
        self.read_at = now;
    }

    /// Returns the demand as tokens a second.
    pub fn demand(&self) -> Tokens {
        Tokens((self.per_second * Tokens::ONE.0 as f64) as u64)
    }
}
