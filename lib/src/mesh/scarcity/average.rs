//! The moving average of the reported loads of one pool, and whether the pool is scarce.

use {
    super::{Class, ClassDemand, Load, MAX_CLASSES},
    crate::time::Instant,
    std::{sync::Arc, time::Duration},
};

/// The time constant of the average. It covers the reports of several targets of the pool.
const TIME_CONSTANT: Duration = Duration::from_millis(250);
/// How long a report of contention allows scarcity to begin.
const CONTENTION_TTL: Duration = Duration::from_secs(3);
/// How long a report of contention is passed on. It covers the time between two runs that call the
/// pool.
const CONTENTION_PASSED_ON_FOR: Duration = Duration::from_millis(500);
/// The age from which on the shares rise.
pub(super) const STALE_AFTER: Duration = Duration::from_secs(1);
/// The time in which the distance of a stale share to 1 halves.
const STALE_HALF_LIFE: Duration = Duration::from_secs(1);
/// The demand that a response without a report stands for, as a fraction of the capacity. The pool
/// is below [`super::MIN_PRESSURE`] then, or the sender does not know its load yet.
const UNREPORTED_PRESSURE: f64 = 0.5;

/// The average load of a pool over the reports of its targets.
#[derive(Debug)]
pub(super) struct Average {
    load: Load,
    reported_at: Instant,
    contended_at: Option<Instant>,
    scarce_since: Option<Instant>,
}

impl Average {
    pub(super) fn new(now: Instant, report: &Load) -> Self {
        let load = Load { capacity: report.capacity, ..Load::default() };
        let mut average = Self { load, reported_at: now, contended_at: None, scarce_since: None };
        average.blend(report, 1.0);
        average.update_state(now, report.is_contended);
        average
    }

    /// Records a report.
    pub(super) fn record(&mut self, now: Instant, report: &Load) {
        let weight = self.sample_weight(now);
        self.blend(report, weight);
        self.update_state(now, report.is_contended);
    }

    /// Records a response that does not mention the pool.
    pub(super) fn record_missing(&mut self, now: Instant) {
        let weight = self.sample_weight(now);
        let pressure = self.load.pressure();
        let factor = match pressure > UNREPORTED_PRESSURE {
            true => 1.0 - weight + weight * UNREPORTED_PRESSURE / pressure,
            false => 1.0,
        };
        for of_class in Arc::make_mut(&mut self.load.demands) {
            of_class.demand *= factor as f32;
        }
        self.update_state(now, false);
    }

    pub(super) fn load(&self) -> &Load {
        &self.load
    }

    /// Returns the load for the nodes above. They remember contention themselves, so that only a
    /// recent report of it is passed on.
    pub(super) fn load_to_pass_on(&self, now: Instant) -> Load {
        let is_contended = self.contended_at.is_some_and(|at| now - at < CONTENTION_PASSED_ON_FOR);
        Load { is_contended, ..self.load.clone() }
    }

    pub(super) fn age(&self, now: Instant) -> Duration {
        now - self.reported_at
    }

    pub(super) fn reported_at(&self) -> Instant {
        self.reported_at
    }

    /// Returns when the pool became scarce, if it is.
    pub(super) fn scarce_since(&self) -> Option<Instant> {
        self.scarce_since
    }

    /// Returns the fraction of the requests of a class that may start.
    pub(super) fn share_of(&self, now: Instant, class: Class) -> f64 {
        if self.scarce_since.is_none() {
            return 1.0;
        }
        let stale_for = self.age(now).saturating_sub(STALE_AFTER);
        let half_lives = stale_for.as_secs_f64() / STALE_HALF_LIFE.as_secs_f64();
        1.0 - (1.0 - self.load.share_of(class)) * (-half_lives).exp2()
    }

    fn sample_weight(&mut self, now: Instant) -> f64 {
        let elapsed = now - std::mem::replace(&mut self.reported_at, now);
        1.0 - (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn blend(&mut self, report: &Load, weight: f64) {
        let weight = weight as f32;
        self.load.capacity += weight * (report.capacity - self.load.capacity);
        let demands = Arc::make_mut(&mut self.load.demands);
        for of_class in &mut *demands {
            of_class.demand *= 1.0 - weight;
        }
        for of_class in report.demands.iter() {
            let demand = weight * of_class.demand;
            // A class that finds no room is not told apart from the last one.
            let is_full = demands.len() >= MAX_CLASSES;
            match demands.binary_search_by_key(&of_class.class, |known| known.class) {
                Ok(index) => demands[index].demand += demand,
                Err(index) if is_full => demands[index.min(MAX_CLASSES - 1)].demand += demand,
                Err(index) => {
                    demands.insert(index, ClassDemand { class: of_class.class, demand });
                }
            }
        }
        // Classes that are not reported any more fade out.
        demands.retain(|of_class| of_class.demand > f32::EPSILON);
    }

    fn update_state(&mut self, now: Instant, is_contended: bool) {
        if is_contended {
            self.contended_at = Some(now);
        }
        let is_contended = self.contended_at.is_some_and(|at| now - at < CONTENTION_TTL);
        self.load.is_contended = is_contended;
        self.scarce_since = match self.load.is_over_capacity() {
            true => self.scarce_since.or(is_contended.then_some(now)),
            false => None,
        };
    }
}
