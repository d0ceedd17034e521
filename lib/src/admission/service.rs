//! Estimates of the target's service time by class.

use {
    crate::{table::Class, time::Instant},
    std::time::Duration,
};

/// Minimum number of samples for an estimate.
const MIN_SAMPLES: u32 = 16;
/// The weight of one sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// An estimate expires if it gets no sample for this time. Otherwise, after a slow period, every
/// call would be refused for its deadline and no sample could show that the target has recovered.
const MAX_AGE: Duration = Duration::from_secs(1);
/// The fraction of the mean taken as the minimum service time, since many calls take less than the
/// mean.
const MIN_SHARE_OF_MEAN: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    mean_s: f64,
    count: u32,
    last_sample: Instant,
}

/// Moving averages of the service times by class.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    means: [Mean; Class::ALL.len()],
}

impl ServiceTimes {
    /// Records the latency of a call that the target answered.
    pub fn record(&mut self, now: Instant, class: Class, latency: Duration) {
        let mean = &mut self.means[class.index()];
        if now - mean.last_sample > MAX_AGE {
            *mean = Mean::default();
        }
        mean.count = mean.count.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(mean.count));
        mean.mean_s += weight * (latency.as_secs_f64() - mean.mean_s);
        mean.last_sample = now;
    }

    /// Returns the minimum time that a call of the class is expected to take, or zero if unknown.
    pub fn min_expected(&self, now: Instant, class: Class) -> Duration {
        let mean = &self.means[class.index()];
        let is_known = mean.count >= MIN_SAMPLES && now - mean.last_sample <= MAX_AGE;
        if !is_known {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(mean.mean_s * MIN_SHARE_OF_MEAN)
    }
}
