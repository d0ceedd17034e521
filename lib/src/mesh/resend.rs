//! A budget for resending requests to one pool.
//!
//! The platform limits how many times requests arrive beyond the first time, over all nodes. It
//! also counts the calls of a repeated run as repeats. Each node enforces the limit on the requests
//! that it forwards; first sends that belong to repeated runs consume the budget first.
//!
//! When the budget is short, requests with low hash fractions are resent as often as needed and the
//! others not at all, because a request with several calls succeeds only if all of them do.

use {
    crate::{
        retry::{self, Ratio},
        time::Instant,
    },
    std::time::Duration,
};

/// The interval at which the fraction of eligible requests is adjusted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// The factor applied to the fraction after an interval in which the budget ran out.
const DECREASE_FACTOR: f64 = 0.8;
/// The increment of the fraction after an interval in which the budget sufficed.
const INCREASE_STEP: f64 = 0.05;
/// The lower limit of the fraction.
const MIN_ELIGIBLE_FRACTION: f64 = 0.04;

/// The budget of resends to one pool.
#[derive(Debug)]
pub struct ResendBudget {
    ratio: Ratio,
    /// Requests with a hash fraction up to this value may be resent.
    eligible_fraction: f64,
    adjusted_at: Instant,
    is_exhausted: bool,
}

impl ResendBudget {
    /// Creates a budget of `permille` resends per thousand first sends in a sliding window.
    pub fn new(now: Instant, permille: u32, window: Duration) -> Self {
        let settings = retry::Settings {
            ratio_permille: permille,
            window_ms: window.as_millis() as u64,
            floor_per_second: 0,
            ..retry::Settings::default()
        };
        Self {
            ratio: Ratio::new(now, &settings),
            eligible_fraction: 1.0,
            adjusted_at: now,
            is_exhausted: false,
        }
    }

    /// Counts a first send. One that belongs to a repeated run consumes the budget instead of
    /// adding to it.
    pub fn record_first_send(&mut self, now: Instant, is_repeat: bool) {
        match is_repeat {
            true => self.ratio.record_retry(now),
            false => self.ratio.record_first_send(now),
        }
    }

    /// Takes one resend from the budget for a request with the given hash fraction. `share` is the
    /// fraction of the budget that may be used. Returns whether the resend is allowed.
    pub fn try_acquire(&mut self, now: Instant, hash_fraction: f64, share: f64) -> bool {
        self.adjust(now);
        if hash_fraction > self.eligible_fraction {
            return false;
        }
        let is_acquired = self.ratio.try_take_share(now, share);
        self.is_exhausted |= !is_acquired;
        is_acquired
    }

    fn adjust(&mut self, now: Instant) {
        if now - self.adjusted_at < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        self.eligible_fraction = match std::mem::take(&mut self.is_exhausted) {
            true => (self.eligible_fraction * DECREASE_FACTOR).max(MIN_ELIGIBLE_FRACTION),
            false => (self.eligible_fraction + INCREASE_STEP).min(1.0),
        };
    }
}
