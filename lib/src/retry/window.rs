//! An exact sliding window that limits resends by first sends.
//!
//! The platform checks windows that begin at any time, and compares the resends of a window with
//! the first sends of that window, of the one before, or of the one half a window earlier, whichever
//! has the most. [`Window::left`] keeps to this for each window that contains the current time.

use {crate::time::Instant, std::collections::VecDeque, std::time::Duration};

/// The shortest step in which sends are counted.
const MIN_STEP: Duration = Duration::from_millis(250);
/// The largest number of steps in a window. Longer windows have longer steps.
const MAX_STEPS: u32 = 40;
const PERMILLE: f64 = 1_000.0;

/// The sends since the window was created.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    first_sends: u64,
    resends: u64,
}

/// The sends to one pool, counted in steps.
///
/// Only running totals are kept, one for the start of each step, so that the sends of any period
/// are the difference of two totals.
#[derive(Debug)]
pub struct Window {
    permille: u32,
    step: Duration,
    /// The number of steps in a window.
    steps: usize,
    step_start: Instant,
    totals: Totals,
    /// The totals at the starts of the current step and of those before, newest first. They cover
    /// two windows, since first sends of the window before one that has just ended count for it.
    starts: VecDeque<Totals>,
}

impl Window {
    /// Creates a window without sends, in which `permille` resends are allowed per thousand first
    /// sends.
    pub fn new(now: Instant, permille: u32, length: Duration) -> Self {
        let steps = (length.as_nanos() / MIN_STEP.as_nanos()).clamp(1, MAX_STEPS.into());
        let step = (length / steps as u32).max(Duration::from_nanos(1));
        let steps = steps as usize;
        let starts = VecDeque::from(vec![Totals::default(); 2 * steps]);
        Self { permille, step, steps, step_start: now, totals: Totals::default(), starts }
    }

    /// Records a first send.
    pub fn record_first_send(&mut self, now: Instant) {
        self.advance(now);
        self.totals.first_sends += 1;
    }

    /// Records a resend.
    pub fn record_resend(&mut self, now: Instant) {
        self.advance(now);
        self.totals.resends += 1;
    }

    /// Returns the resends that the first sends of the window allow.
    pub fn limit(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.allowed(self.first_sends(self.steps - 1, None))
    }

    /// Returns how many resends are left, which is negative after first sends of repeated runs.
    ///
    /// The current step is partly over, so first sends are counted without the step at the other
    /// end, and resends with it. The windows that begin in each of these steps are examined only if
    /// the whole window allows a resend, so the cost does not grow with the denied resends.
    pub fn left(&mut self, now: Instant) -> f64 {
        let left = self.limit(now) - self.resends(self.steps) as f64;
        match left < 1.0 {
            true => left,
            false => (0..=self.steps).fold(left, |left, age| left.min(self.left_from(age))),
        }
    }

    /// Returns how many resends the first sends of the last `period` allow beyond the resends of the
    /// same period and a margin. At least one is allowed, since a node may send few requests.
    pub fn left_of_last(&mut self, now: Instant, period: Duration, margin: f64) -> f64 {
        self.advance(now);
        let steps = (period.as_nanos() / self.step.as_nanos()).max(1) as usize;
        let age = steps.min(self.steps) - 1;
        let allowed = self.allowed(self.first_sends(age, None)) - margin;
        allowed.max(1.0) - self.resends(age) as f64
    }

    /// Returns how many resends are left in a window that begins in the step `age` steps ago. First
    /// sends of steps that may be partly outside of a window are not counted for it.
    fn left_from(&self, age: usize) -> f64 {
        let half = self.steps / 2;
        let own = age.checked_sub(1).map_or(0, |oldest| self.first_sends(oldest, None));
        let before = self.first_sends(age + self.steps - 1, Some(age));
        let middle = match half.checked_sub(1) {
            Some(steps) => self.first_sends(age + steps, age.checked_sub(half)),
            None => 0,
        };
        self.allowed(own.max(before).max(middle)) - self.resends(age) as f64
    }

    fn allowed(&self, first_sends: u64) -> f64 {
        (first_sends * u64::from(self.permille)) as f64 / PERMILLE
    }

    /// Returns the first sends from the start of the step `oldest` steps ago until the start of the
    /// step `end` steps ago, or until now.
    fn first_sends(&self, oldest: usize, end: Option<usize>) -> u64 {
        let end = end.map_or(self.totals, |end| self.starts[end]);
        end.first_sends - self.starts[oldest].first_sends
    }

    /// Returns the resends since the start of the step `oldest` steps ago.
    fn resends(&self, oldest: usize) -> u64 {
        self.totals.resends - self.starts[oldest].resends
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now - self.step_start;
        if elapsed < self.step {
            return;
        }
        let steps = elapsed.as_nanos() / self.step.as_nanos();
        self.step_start += self.step.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX));
        for _ in 0..steps.min(self.starts.len() as u128) {
            self.starts.pop_back();
            self.starts.push_front(self.totals);
        }
    }
}
