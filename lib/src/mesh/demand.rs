//! The demand for the local target, including requests that entry nodes refuse because of it.
//!
//! The node beside the target meters all calls that reach its gate. Each counts with the inverse of
//! the share at which its client's request was admitted, so that the demand is known while entry
//! nodes refuse most of it. See docs/design/uneven-load.md.
//!
//! Declined calls hold no slot, so they are no reason to refuse requests at the entry. Neither are the
//! resends that they need: the resend budget follows the first sends, and fewer requests would leave
//! fewer resends for each.
//!
//! A target may get several thousand calls per second. Counters are kept by class in steps of
//! [`STEP`], and loads are computed from complete steps only, once for each step.

mod calibration;
mod window;

use {
    super::scarcity::{self, Class, ClassDemand, Load, MAX_CLASSES},
    crate::{pressure::Share, time::Instant, unit::RequestRate},
    calibration::{Calibration, EntryState},
    std::{sync::Arc, time::Duration},
    window::{Ring, Totals},
};

/// The resolution of the window.
pub const STEP: Duration = Duration::from_millis(100);
/// The number of steps of the window, which covers about a second.
const STEPS: usize = 10;
/// The number of steps that show a sudden change. The mean over the whole window would follow it
/// only after a second.
const RECENT_STEPS: usize = 3;
/// The number of standard deviations by which the demand in the recent steps has to differ from the
/// mean to count as a change. The averages over targets and reports remove the rest of the noise.
const SIGNIFICANT_DEVIATIONS: f64 = 1.0;
/// The factor applied with each step to the sums from which mean holding times are derived. It
/// gives a time constant of about a second.
const HOLD_DECAY: f64 = 0.9;
/// The weight below which the sums do not decay further. They keep the last known mean.
const MIN_HOLD_WEIGHT: f64 = 1e-3;
/// The holding time assumed before the first call has ended.
const INITIAL_HOLD_S: f64 = 0.05;
/// The fraction of calls that are refused or declined from which on a target is contended. With eight
/// calls a request, 0.02 lets 15 % of the requests fail.
const LOST_FRACTION: f64 = 0.02;
/// The fraction of calls that have to wait from which on a target is contended. With fewer, most
/// waiting calls are served within their objective, which is no reason to refuse others.
const WAITING_FRACTION: f64 = 0.5;
/// The smallest number of such calls in the window. Fewer are noise.
const MIN_CONTENDED_CALLS: u32 = 5;
/// The fraction of the slots that waiting calls exceed in a backlog.
const BACKLOG_FRACTION: f64 = 0.05;
/// The time in which waiting calls are to be worked off. Runs whose calls wait make their next calls
/// late, so that the demand seems to be little more than the capacity for as long as there is a
/// queue. In less time than the delay of late reports, entries would refuse for a queue that is gone.
const BACKLOG_TIME: Duration = Duration::from_millis(700);
/// The fraction of the capacity that is given out however many calls wait.
const MIN_FREE_FRACTION: f64 = 0.4;
/// The admitted demand, as a fraction of what the own shares give, from which on this target is
/// taken to be the one that limits the requests. With 0.85, the capacity rose while entries still
/// followed a change, and then too many requests were admitted.
const LIMITING_FRACTION: f64 = 0.92;

/// The smallest number of finished calls from which the fraction that is declined is derived.
const MIN_DECLINE_SAMPLES: u32 = 20;

/// The properties of a call that the meter needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The class of the client's request.
    pub class: Class,
    /// The share at which the client's request was admitted.
    pub admitted: Share,
    /// Whether the call was sent before to a target of the pool and was refused or declined there,
    /// so that its demand has been counted.
    pub is_resend: bool,
}

/// What the gate decided on a call that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The call runs at once.
    Started,
    /// The call waits for a slot.
    Queued,
    /// The call was refused.
    Refused,
}

/// The state of the gate that the load depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The number of concurrent calls.
    pub concurrency: usize,
    /// The calls per second, if they are limited.
    pub rate: Option<RequestRate>,
    /// The number of calls that wait.
    pub waiting: usize,
}

#[derive(Clone, Debug)]
struct ClassMeter {
    class: Class,
    /// The sum of weights of the calls that arrived.
    weights: Ring<f64>,
    /// The sum of the squares of these weights, which gives the noise of their sum.
    squares: Ring<f64>,
    /// The number of calls that arrived, without weights.
    arrivals: Ring<u32>,
    hold_s: f64,
    hold_weight: f64,
}

/// Measures demand, capacity and contention of the local target.
#[derive(Debug)]
pub struct Meter {
    classes: Vec<ClassMeter>,
    totals: Ring<Totals>,
    /// The number of the current step since the origin of the clock, once there was a call.
    step: Option<u64>,
    /// The number of complete steps, up to [`STEPS`].
    complete_steps: usize,
    calibration: Calibration,
    load: Load,
    /// The step for which `load` was computed.
    load_step: Option<u64>,
    /// The last step in which many calls waited.
    backlog_step: Option<u64>,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            classes: Vec::with_capacity(MAX_CLASSES),
            totals: Ring::default(),
            step: None,
            complete_steps: 0,
            calibration: Calibration::default(),
            load: Load::default(),
            load_step: None,
            backlog_step: None,
        }
    }
}

impl Meter {
    /// Records the arrival of a call at the gate.
    pub fn record_arrival(&mut self, now: Instant, origin: &Origin, arrival: Arrival) {
        self.advance(now);
        let totals = self.totals.current_mut();
        totals.arrivals += 1;
        totals.waits += u32::from(arrival != Arrival::Started);
        totals.refused += u32::from(arrival == Arrival::Refused);
        if origin.is_resend {
            return;
        }
        let weight = scarcity::weight(origin.admitted);
        let meter = self.class_mut(origin.class);
        *meter.weights.current_mut() += weight;
        *meter.squares.current_mut() += weight * weight;
        *meter.arrivals.current_mut() += 1;
    }

    /// Records that a call released its slot after the given time.
    pub fn record_end(&mut self, now: Instant, origin: &Origin, hold: Duration) {
        self.advance(now);
        let hold_s = hold.as_secs_f64();
        let totals = self.totals.current_mut();
        totals.finished += 1;
        totals.hold_s += hold_s;
        let weight = scarcity::weight(origin.admitted);
        let meter = self.class_mut(origin.class);
        meter.hold_s += weight * hold_s;
        meter.hold_weight += weight;
    }

    /// Records that the target declined a call as not run.
    pub fn record_decline(&mut self, now: Instant) {
        self.advance(now);
        let totals = self.totals.current_mut();
        totals.finished += 1;
        totals.declined += 1;
    }

    /// Returns the load of the target. It is computed at most once for each step.
    pub fn load(&mut self, now: Instant, limits: Limits) -> &Load {
        self.advance(now);
        if self.load_step != self.step {
            self.load_step = self.step;
            self.compute_load(limits);
        }
        &self.load
    }

    /// Returns the load that was computed last, if that was within the window.
    pub fn latest_load(&self, now: Instant) -> Option<&Load> {
        let current = now.as_nanos() / STEP.as_nanos() as u64;
        self.load_step.filter(|step| current.saturating_sub(*step) <= STEPS as u64)?;
        Some(&self.load)
    }

    fn compute_load(&mut self, limits: Limits) {
        if limits.concurrency == 0 {
            // The target's entry is not known yet, so neither is its capacity.
            self.load = Load::default();
            return;
        }
        let totals = self.totals.sum(self.complete_steps);
        let window_s = self.complete_steps as f64 * STEP.as_secs_f64();
        let mut shared = std::mem::take(&mut self.load.demands);
        let demands = Arc::make_mut(&mut shared);
        demands.clear();
        let fallback_s = self.mean_hold_s();
        // A pool may begin to decline most of its calls from one moment to the next.
        let recent = self.totals.sum(self.complete_steps.min(RECENT_STEPS));
        let sample = if recent.finished < MIN_DECLINE_SAMPLES { totals } else { recent };
        let accepted = sample.accepted_fraction();
        for meter in &self.classes {
            let hold_s = meter.mean_hold_s().unwrap_or(fallback_s) * accepted;
            let demand = self.arrival_rate(meter) * hold_s;
            if demand > 0.0 {
                demands.push(ClassDemand { class: meter.class, demand: demand as f32 });
            }
        }
        let slots = limits.concurrency as f64;
        let uncorrected =
            limits.rate.map_or(slots, |rate| slots.min(rate.per_second() * fallback_s));
        let corrected = uncorrected * self.calibration.factor();
        // What waiting calls will use is not given out again.
        let backlog = limits.waiting as f64 * fallback_s / BACKLOG_TIME.as_secs_f64();
        let corrected = (corrected - backlog).max(corrected * MIN_FREE_FRACTION);
        let lost = totals.refused + totals.declined;
        let exceeds = |calls: u32, fraction: f64| {
            calls >= MIN_CONTENDED_CALLS
                && f64::from(calls) >= fraction * f64::from(totals.arrivals)
        };
        let is_contended = exceeds(lost, LOST_FRACTION) || exceeds(totals.waits, WAITING_FRACTION);
        self.load = Load { capacity: corrected as f32, demands: shared, is_contended };
        if window_s == 0.0 {
            return;
        }
        let used = totals.hold_s / window_s / uncorrected;
        let waits = f64::from(totals.waits) / f64::from(totals.arrivals.max(1));
        if limits.waiting as f64 > BACKLOG_FRACTION * slots {
            self.backlog_step = self.step;
        }
        // The waits of a backlog stay in the window after it is gone.
        let since_backlog = self.step.zip(self.backlog_step).map(|(step, last)| step - last);
        let is_backlogged = since_backlog.is_some_and(|steps| steps <= STEPS as u64);
        let entries = self.entry_state(window_s, is_backlogged);
        self.calibration.adjust(used, waits, entries);
    }

    /// Returns how the calls that arrive compare to the shares of the load.
    fn entry_state(&self, window_s: f64, is_backlogged: bool) -> EntryState {
        let (mut admitted, mut given) = (0.0, 0.0);
        let mut has_weights = false;
        for meter in &self.classes {
            let arrivals = f64::from(meter.arrivals.sum(self.complete_steps));
            let weights = meter.weights.sum(self.complete_steps);
            has_weights |= weights > arrivals;
            let hold_s = meter.mean_hold_s().unwrap_or(0.0);
            admitted += arrivals / window_s * hold_s;
            given += weights / window_s * hold_s * self.load.share_of(meter.class);
        }
        if is_backlogged || admitted > f64::from(self.load.capacity) {
            EntryState::Exceeding
        } else if !has_weights {
            EntryState::Open
        } else if self.load.is_over_capacity() && admitted >= LIMITING_FRACTION * given {
            EntryState::Limited
        } else {
            EntryState::LimitedElsewhere
        }
    }

    /// Returns the arrivals of a class per second, including those that entry nodes refused: the mean
    /// over the window, corrected where the recent steps differ from it by more than noise.
    fn arrival_rate(&self, meter: &ClassMeter) -> f64 {
        let per_second = |sum: f64, steps: usize| match steps {
            0 => 0.0,
            _ => sum / (steps as f64 * STEP.as_secs_f64()),
        };
        let mean = per_second(meter.weights.sum(self.complete_steps), self.complete_steps);
        let steps = self.complete_steps.min(RECENT_STEPS);
        let recent = per_second(meter.weights.sum(steps), steps);
        // Without a recent call, the noise is that of the mean.
        let noise = meter.squares.sum(self.complete_steps) * steps as f64
            / self.complete_steps.max(1) as f64;
        let noise = noise.max(meter.squares.sum(steps)).sqrt();
        let margin = SIGNIFICANT_DEVIATIONS * per_second(noise, steps);
        mean.max(recent - margin).min(recent + margin)
    }

    fn mean_hold_s(&self) -> f64 {
        let (hold_s, weight) = self.classes.iter().fold((0.0, 0.0), |(hold_s, weight), meter| {
            (hold_s + meter.hold_s, weight + meter.hold_weight)
        });
        if weight > 0.0 { hold_s / weight } else { INITIAL_HOLD_S }
    }

    fn class_mut(&mut self, class: Class) -> &mut ClassMeter {
        let index = match self.classes.binary_search_by_key(&class, |meter| meter.class) {
            Ok(index) => index,
            // A class that finds no room counts as the last known one.
            Err(index) if self.classes.len() >= MAX_CLASSES => index.min(MAX_CLASSES - 1),
            Err(index) => {
                self.classes.insert(index, ClassMeter::new(class));
                index
            }
        };
        &mut self.classes[index]
    }

    /// Completes the steps that have passed.
    fn advance(&mut self, now: Instant) {
        let step = now.as_nanos() / STEP.as_nanos() as u64;
        let Some(last) = self.step.replace(step) else { return };
        let passed = step.saturating_sub(last);
        if passed == 0 {
            // A reading that is older than the last one belongs to the current step.
            self.step = Some(last);
            return;
        }
        // Older steps than the ring holds are all empty.
        for _ in 0..passed.min(STEPS as u64 + 1) {
            self.totals.advance();
            self.classes.iter_mut().for_each(ClassMeter::advance);
        }
        self.complete_steps = (self.complete_steps + passed as usize).min(STEPS);
        if passed > STEPS as u64 {
            // Classes without calls for long may not come again, and their number is limited.
            self.classes.clear();
        }
    }
}

impl ClassMeter {
    fn new(class: Class) -> Self {
        Self {
            class,
            weights: Ring::default(),
            squares: Ring::default(),
            arrivals: Ring::default(),
            hold_s: 0.0,
            hold_weight: 0.0,
        }
    }

    fn mean_hold_s(&self) -> Option<f64> {
        (self.hold_weight > 0.0).then(|| self.hold_s / self.hold_weight)
    }

    fn advance(&mut self) {
        self.weights.advance();
        self.squares.advance();
        self.arrivals.advance();
        if self.hold_weight > MIN_HOLD_WEIGHT {
            self.hold_s *= HOLD_DECAY;
            self.hold_weight *= HOLD_DECAY;
        }
    }
}
