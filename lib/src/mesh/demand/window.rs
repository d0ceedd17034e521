//! Counters over a sliding window of steps.

use {super::STEPS, std::ops::Add};

/// The counts of one step, over all classes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    /// Calls that arrived.
    pub(super) arrivals: u32,
    /// Calls that had to wait or were refused.
    pub(super) waits: u32,
    /// Calls that were refused.
    pub(super) refused: u32,
    /// Calls that ended, including declined ones.
    pub(super) finished: u32,
    /// Calls that the target declined.
    pub(super) declined: u32,
    /// The time for which the finished calls held their slots, in seconds.
    pub(super) hold_s: f64,
}

impl Totals {
    /// Returns the fraction of the ended calls that the target did not decline.
    pub(super) fn accepted_fraction(&self) -> f64 {
        1.0 - f64::from(self.declined) / f64::from(self.finished.max(1))
    }
}

impl Add for Totals {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            arrivals: self.arrivals + other.arrivals,
            waits: self.waits + other.waits,
            refused: self.refused + other.refused,
            finished: self.finished + other.finished,
            declined: self.declined + other.declined,
            hold_s: self.hold_s + other.hold_s,
        }
    }
}

/// The current step and the complete ones before it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ring<T> {
    steps: [T; STEPS + 1],
    current: usize,
}

impl<T: Add<Output = T> + Copy + Default> Ring<T> {
    pub(super) fn current_mut(&mut self) -> &mut T {
        &mut self.steps[self.current]
    }

    /// Begins the next step.
    pub(super) fn advance(&mut self) {
        self.current = (self.current + 1) % self.steps.len();
        *self.current_mut() = T::default();
    }

    /// Returns the sum over the last `count` complete steps.
    pub(super) fn sum(&self, count: usize) -> T {
        let length = self.steps.len();
        let indices = (1..=count).map(|back| (self.current + length - back) % length);
        indices.fold(T::default(), |sum, index| sum + self.steps[index])
    }
}
