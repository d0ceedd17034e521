//! The time that the target needs for a call of each class.

use {
    crate::{table::Class, time::Instant},
    std::time::Duration,
};

/// Fewer samples give no estimate.
const MIN_SAMPLES: u32 = 16;
/// The weight of one sample.
const WEIGHT: f64 = 0.05;
/// An estimate without a sample for this time is dropped. Otherwise a slow spell would make every
/// call look hopeless, and no call would show that it ended.
const MAX_AGE: Duration = Duration::from_secs(1);
/// The share of the mean that a call surely needs. Many calls take less than the mean.
const SURE_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    mean_s: f64,
    count: u32,
    last: Instant,
}

/// Mean service times by class.
#[derive(Clone, Debug, Default)]
pub struct Service {
    means: [Mean; Class::ALL.len()],
}

impl Service {
    /// Notes the latency of a call that the target answered.
    pub fn sample(&mut self, now: Instant, class: Class, latency: Duration) {
        let mean = &mut self.means[class.index()];
        if now - mean.last > MAX_AGE {
            *mean = Mean::default();
        }
        mean.count = mean.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(mean.count));
        mean.mean_s += weight * (latency.as_secs_f64() - mean.mean_s);
        mean.last = now;
    }

    /// Returns the time that a call of the class needs at the least, or zero while that is unknown.
    pub fn expected(&self, now: Instant, class: Class) -> Duration {
        let mean = &self.means[class.index()];
        let is_known = mean.count >= MIN_SAMPLES && now - mean.last <= MAX_AGE;
        if !is_known {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(mean.mean_s * SURE_SHARE)
    }
}
