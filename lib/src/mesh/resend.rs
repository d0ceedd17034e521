//! A budget for resending requests to one pool.
//!
//! The platform limits how many times requests arrive beyond the first time, over all nodes. It
//! also counts the calls of a repeated run as repeats. Each node enforces the limit on the requests
//! that it forwards; first sends that belong to repeated runs consume the budget first.
//!
//! When the budget is short, urgent classes go first: the others use only what the recent needs of
//! more urgent ones leave. Within a class, requests with low hash fractions are resent as often as
//! needed and the others not at all, because a request with several calls succeeds only if all of
//! them do. See part 5 of docs/design/uneven-load.md.

use {
    super::scarcity::Class,
    crate::{
        retry::{self, Ratio},
        time::Instant,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The interval at which the fraction of eligible requests is adjusted and needs are counted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// The factor applied to the fraction after an interval in which the budget ran out.
const DECREASE_FACTOR: f64 = 0.8;
/// The increment of the fraction after an interval in which the budget sufficed.
const INCREASE_STEP: f64 = 0.05;
/// The lower limit of the fraction.
const MIN_ELIGIBLE_FRACTION: f64 = 0.04;
/// The weight of the last interval in the moving average of a class's need.
const NEED_WEIGHT: f64 = 0.25;
/// What is reserved for a class beside its mean need in one interval, in standard deviations of a
/// Poisson count of that mean. The needs of a node that forwards few requests vary much.
const RESERVED_DEVIATIONS: f64 = 3.0;
/// The largest number of classes that are told apart. Tables have a few ranks of accounts and routes.
const MAX_CLASSES: usize = 64;

/// The resends that the requests of one class need.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Requests with a hash fraction up to this value may be resent.
    eligible_fraction: f64,
    is_exhausted: bool,
    /// The resends asked for since the last adjustment.
    asked: u32,
    /// The moving average of the resends asked for in one interval.
    mean: f64,
}

impl Default for Need {
    fn default() -> Self {
        Self { eligible_fraction: 1.0, is_exhausted: false, asked: 0, mean: 0.0 }
    }
}

impl Need {
    fn adjust(&mut self, intervals: f64) {
        self.eligible_fraction = match std::mem::take(&mut self.is_exhausted) {
            true => (self.eligible_fraction * DECREASE_FACTOR).max(MIN_ELIGIBLE_FRACTION),
            false => (self.eligible_fraction + INCREASE_STEP).min(1.0),
        };
        let last = f64::from(std::mem::take(&mut self.asked)) / intervals;
        // The weight of the last value grows with the time that it covers.
        self.mean += (1.0 - (1.0 - NEED_WEIGHT).powf(intervals)) * (last - self.mean);
    }

    fn reserved(&self) -> u64 {
        (self.mean + RESERVED_DEVIATIONS * self.mean.sqrt()) as u64
    }

    /// Returns whether the need can be forgotten without an effect.
    fn is_idle(&self) -> bool {
        self.eligible_fraction >= 1.0 && self.reserved() == 0
    }
}

/// The budget of resends to one pool.
#[derive(Debug)]
pub struct ResendBudget {
    ratio: Ratio,
    needs: BTreeMap<Class, Need>,
    adjusted_at: Instant,
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
        Self { ratio: Ratio::new(now, &settings), needs: BTreeMap::new(), adjusted_at: now }
    }

    /// Counts a first send. One that belongs to a repeated run consumes the budget instead of
    /// adding to it.
    pub fn record_first_send(&mut self, now: Instant, is_repeat: bool) {
        match is_repeat {
            true => self.ratio.record_retry(now),
            false => self.ratio.record_first_send(now),
        }
    }

    /// Takes one resend from the budget for a request with the given class and hash fraction.
    /// `share` is the fraction of the budget that may be used. Returns whether the resend is
    /// allowed.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        class: Class,
        hash_fraction: f64,
        share: f64,
    ) -> bool {
        self.adjust(now);
        let reserved = self.needs.range(..class).map(|(_, need)| need.reserved()).sum();
        let need = self.need_of(class);
        need.asked += 1;
        if hash_fraction > need.eligible_fraction {
            return false;
        }
        let is_acquired = self.ratio.try_take_share(now, share, reserved);
        self.need_of(class).is_exhausted |= !is_acquired;
        is_acquired
    }

    fn need_of(&mut self, class: Class) -> &mut Need {
        if self.needs.len() >= MAX_CLASSES && !self.needs.contains_key(&class) {
            // The least urgent class loses nothing but its threshold.
            self.needs.pop_last();
        }
        self.needs.entry(class).or_default()
    }

    fn adjust(&mut self, now: Instant) {
        let elapsed = now - self.adjusted_at;
        if elapsed < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let intervals = elapsed.as_secs_f64() / ADJUST_INTERVAL.as_secs_f64();
        self.needs.retain(|_, need| {
            need.adjust(intervals);
            !need.is_idle()
        });
    }
}
