//! Adaptive concurrency limit of the target, learned from its latencies and results.
//!
//! A rise in latency alone does not show that the target queues calls: a service further down the
//! chain may have become slow, and a lower limit would then only lose throughput. Therefore only
//! the own time of the target counts, which excludes waiting for nested calls. A rise in own time
//! starts a probe, which lowers the limit for a few service times. If own time falls with the
//! limit, the target was queueing, and the limit is set to throughput times latency without the
//! queue (Little's law). Otherwise the new own time becomes the baseline and the limit stays. See
//! docs/design/admission.md.

use {
    crate::time::Instant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Minimum number of samples in a window for a significant mean latency.
const WINDOW_SAMPLES: u32 = 50;
/// A window or probe without enough samples ends after this many nominal window lengths.
const MAX_WINDOWS: u32 = 10;
/// The weight of one window in the moving average of the baseline own time.
const BASELINE_WEIGHT: f64 = 0.1;
/// The limit during a probe, as a fraction of the mean concurrency before it.
const PROBE_SHARE: f64 = 0.6;
/// If own time falls to this fraction or less during a probe, the target was queueing.
const QUEUEING_RATIO: f64 = 0.8;
/// The number of samples that a probe collects.
const PROBE_SAMPLES: u32 = 40;
/// The pause after a probe, as a multiple of its duration. It bounds the throughput lost to probes.
const PROBE_SPACING: u32 = 20;
/// The fraction of the limit that must be in use for a rise in own time to start a probe.
const BUSY_SHARE: f64 = 0.5;
/// The factor applied to the limit after a window in which the target shed calls.
const SHED_FACTOR: f64 = 0.9;
/// The increase of a cold target's limit with each completed call.
const RAMP_STEP: f64 = 0.25;
/// The factor by which the limit grows in one window outside a ramp, by at least one call.
const GROW_FACTOR: f64 = 1.02;
/// The number of windows without growth after a window in which the target shed calls.
const HOLD_WINDOWS: u32 = 10;

/// The settings of the adaptive limit.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether the limit adapts. Otherwise it stays at the published slots.
    pub is_adaptive: bool,
    /// The lower bound of the limit, in calls.
    pub min_calls: u32,
    /// The upper bound of the limit, as a fraction of the published slots.
    pub max_share: f64,
    /// The initial limit of a cold target, as a fraction of the published slots.
    pub cold_share: f64,
    /// The time after which a target is no longer cold, in milliseconds.
    pub ramp_ms: u64,
    /// The minimum length of a measurement window, in milliseconds.
    pub window_ms: u64,
    /// The limit may grow while own time is at most this multiple of the baseline.
    pub grow_ratio: f64,
    /// Own time above this multiple of the baseline starts a probe.
    pub probe_ratio: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_adaptive: true,
            min_calls: 2,
            max_share: 1.0,
            cold_share: 0.1,
            ramp_ms: 2000,
            window_ms: 100,
            grow_ratio: 1.2,
            probe_ratio: 2.0,
        }
    }
}

/// The phase of the limit, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The limit of a cold target is ramping up.
    Ramp,
    /// The limit follows the measured own time.
    Steady,
    /// A probe waits until the calls in flight fall to the lowered limit.
    Drain,
    /// A probe waits until calls admitted under the previous limit have mostly ended.
    Settle,
    /// A probe collects latency samples.
    Probe,
}

/// Sums over one measurement window.
#[derive(Clone, Debug)]
struct Window {
    start: Instant,
    latency_s: f64,
    own_s: f64,
    count: u32,
    peak_in_flight: usize,
    has_shed: bool,
}

impl Window {
    fn new(start: Instant) -> Self {
        Self { start, latency_s: 0.0, own_s: 0.0, count: 0, peak_in_flight: 0, has_shed: false }
    }

    fn mean(&self) -> Option<Mean> {
        let mean_s = |sum_s: f64| sum_s / f64::from(self.count);
        let mean = Mean { latency_s: mean_s(self.latency_s), own_s: mean_s(self.own_s) };
        (self.count > 0).then_some(mean)
    }
}

/// Mean latency of one window, in total and without waiting for nested calls.
#[derive(Clone, Copy, Debug)]
struct Mean {
    latency_s: f64,
    own_s: f64,
}

/// The measurement that started a probe.
#[derive(Clone, Copy, Debug)]
struct ProbeTrigger {
    mean: Mean,
    throughput_per_s: f64,
}

impl ProbeTrigger {
    /// Returns the mean number of calls in flight, by Little's law.
    fn mean_in_flight(&self) -> f64 {
        self.throughput_per_s * self.mean.latency_s
    }
}

/// The adaptive concurrency limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    slots: f64,
    calls: f64,
    baseline_s: Option<f64>,
    mean: Option<Mean>,
    phase: Phase,
    phase_start: Instant,
    probe_start: Instant,
    next_probe: Instant,
    trigger: ProbeTrigger,
    window: Window,
    hold_windows: u32,
}

impl Limit {
    /// Creates a limit at the published slots, or at a fraction of them for a cold target.
    pub fn new(settings: Settings, slots: u32, is_cold: bool, now: Instant) -> Self {
        let slots = f64::from(slots.max(1));
        let is_cold = is_cold && settings.is_adaptive;
        let calls = if is_cold { slots * settings.cold_share } else { slots };
        let calls = calls.max(f64::from(settings.min_calls));
        Self {
            settings,
            slots,
            calls,
            baseline_s: None,
            mean: None,
            phase: if is_cold { Phase::Ramp } else { Phase::Steady },
            phase_start: now,
            probe_start: now,
            next_probe: now,
            trigger: ProbeTrigger {
                mean: Mean { latency_s: 0.0, own_s: 0.0 },
                throughput_per_s: 0.0,
            },
            window: Window::new(now),
            hold_windows: 0,
        }
    }

    /// Returns the current limit in calls.
    pub fn max_in_flight(&self) -> u32 {
        let calls = match self.phase {
            Phase::Drain | Phase::Settle | Phase::Probe => {
                self.trigger.mean_in_flight() * PROBE_SHARE
            }
            Phase::Ramp | Phase::Steady => self.calls,
        };
        (calls.min(self.calls).round() as u32).max(self.settings.min_calls)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the mean latency of the last complete window.
    pub fn mean_latency(&self) -> Option<Duration> {
        self.mean.map(|mean| Duration::from_secs_f64(mean.latency_s))
    }

    /// Returns the baseline: the expected own time if the target does not queue.
    pub fn expected_own_time(&self) -> Option<Duration> {
        self.baseline_s.map(Duration::from_secs_f64)
    }

    /// Returns the estimated throughput in calls per second at full concurrency.
    pub fn capacity_per_s(&self) -> Option<f64> {
        let mean = self.mean.or(self.window.mean())?;
        Some(f64::from(self.max_in_flight()) / mean.latency_s.max(1e-6))
    }

    /// Applies a new number of published slots and scales the limit with it.
    pub fn resize(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.calls = (self.calls * slots / self.slots).max(f64::from(self.settings.min_calls));
        self.slots = slots;
    }

    /// Records the number of calls in flight, including queued ones.
    pub fn record_in_flight(&mut self, in_flight: usize) {
        self.window.peak_in_flight = self.window.peak_in_flight.max(in_flight);
    }

    /// Records the latency of a call that the target worked on, and the part of it spent waiting
    /// for nested calls.
    pub fn record_latency(&mut self, latency: Duration, nested: Duration) {
        if self.phase == Phase::Ramp && self.has_reached(1.0) {
            self.set_limit(self.calls + RAMP_STEP);
        }
        self.window.latency_s += latency.as_secs_f64();
        self.window.own_s += latency.saturating_sub(nested).as_secs_f64();
        self.window.count += 1;
    }

    /// Records a call that the target shed.
    pub fn record_shed(&mut self) {
        self.window.has_shed = true;
    }

    /// Ends the current window or phase if it is over. Cheap enough to be called on every event.
    pub fn tick(&mut self, now: Instant, in_flight: usize) {
        if !self.settings.is_adaptive {
            self.measure_only(now);
            return;
        }
        if self.phase == Phase::Ramp {
            self.tick_ramp(now);
        }
        match self.phase {
            Phase::Drain => self.tick_drain(now, in_flight),
            Phase::Settle => self.tick_settle(now),
            Phase::Probe => self.tick_probe(now),
            Phase::Ramp | Phase::Steady => self.tick_window(now),
        }
    }

    /// Returns whether the calls in flight reached the given fraction of the limit in this window.
    fn has_reached(&self, share: f64) -> bool {
        self.window.peak_in_flight as f64 >= f64::from(self.max_in_flight()) * share
    }

    fn is_window_over(&self, now: Instant) -> bool {
        let age = now - self.window.start;
        let nominal = Duration::from_millis(self.settings.window_ms);
        age >= nominal && (self.window.count >= WINDOW_SAMPLES || age >= nominal * MAX_WINDOWS)
    }

    fn take_window(&mut self, now: Instant) -> Window {
        std::mem::replace(&mut self.window, Window::new(now))
    }

    fn measure_only(&mut self, now: Instant) {
        if self.is_window_over(now) {
            let window = self.take_window(now);
            self.mean = window.mean().or(self.mean);
        }
    }

    fn tick_ramp(&mut self, now: Instant) {
        let is_over = now - self.phase_start >= Duration::from_millis(self.settings.ramp_ms);
        if is_over {
            self.set_limit(self.slots);
        }
        if is_over || self.calls >= self.slots {
            self.enter_phase(now, Phase::Steady);
        }
    }

    fn tick_window(&mut self, now: Instant) {
        if !self.is_window_over(now) {
            return;
        }
        let is_busy = self.has_reached(BUSY_SHARE);
        let is_saturated = self.has_reached(1.0);
        let window = self.take_window(now);
        self.hold_windows = self.hold_windows.saturating_sub(1);
        if window.has_shed {
            self.phase = Phase::Steady;
            self.hold_windows = HOLD_WINDOWS;
            self.set_limit(self.calls * SHED_FACTOR);
        }
        let Some(mean) = window.mean() else { return };
        self.mean = Some(mean);
        let baseline_s = self.update_baseline(mean.own_s, is_busy);
        if !is_busy || window.has_shed {
            return;
        }
        if mean.own_s > baseline_s * self.settings.probe_ratio {
            if now < self.next_probe {
                return;
            }
            self.probe_start = now;
            let age_s = (now - window.start).as_secs_f64();
            self.trigger = ProbeTrigger { mean, throughput_per_s: f64::from(window.count) / age_s };
            self.enter_phase(now, Phase::Drain);
        } else if is_saturated
            && mean.own_s <= baseline_s * self.settings.grow_ratio
            && self.hold_windows == 0
        {
            self.set_limit((self.calls * GROW_FACTOR).max(self.calls + 1.0));
        }
    }

    fn update_baseline(&mut self, own_s: f64, is_busy: bool) -> f64 {
        let baseline_s = self.baseline_s.unwrap_or(own_s);
        let is_representative = !is_busy || own_s < baseline_s;
        let baseline_s = if is_representative {
            baseline_s + BASELINE_WEIGHT * (own_s - baseline_s)
        } else {
            baseline_s
        };
        self.baseline_s = Some(baseline_s);
        baseline_s
    }

    fn set_limit(&mut self, calls: f64) {
        let max_calls = (self.slots * self.settings.max_share).max(1.0);
        let min_calls = f64::from(self.settings.min_calls).min(max_calls);
        self.calls = calls.clamp(min_calls, max_calls);
    }

    fn enter_phase(&mut self, now: Instant, phase: Phase) {
        self.phase = phase;
        self.phase_start = now;
        self.window = Window::new(now);
    }

    /// Returns the time after which the calls running now have mostly ended.
    fn turnover(&self) -> Duration {
        Duration::from_secs_f64(self.trigger.mean.latency_s)
    }

    fn end_probe(&mut self, now: Instant) {
        self.next_probe = now + (now - self.probe_start) * PROBE_SPACING;
        self.enter_phase(now, Phase::Steady);
    }

    fn tick_drain(&mut self, now: Instant, in_flight: usize) {
        if in_flight <= self.max_in_flight() as usize {
            self.enter_phase(now, Phase::Settle);
        } else if now - self.phase_start > self.turnover() * 4 {
            self.accept_as_baseline(now);
        }
    }

    fn tick_settle(&mut self, now: Instant) {
        if now - self.phase_start >= self.turnover() {
            self.enter_phase(now, Phase::Probe);
        }
    }

    fn tick_probe(&mut self, now: Instant) {
        let nominal = Duration::from_millis(self.settings.window_ms);
        let is_overdue = now - self.phase_start > nominal.max(self.turnover()) * MAX_WINDOWS;
        if self.window.count < PROBE_SAMPLES && !is_overdue {
            return;
        }
        let before = self.trigger.mean;
        match self.window.mean() {
            Some(mean) if mean.own_s <= before.own_s * QUEUEING_RATIO => {
                let latency_s = before.latency_s - before.own_s + mean.own_s;
                self.set_limit(self.trigger.throughput_per_s * latency_s);
                self.mean = Some(Mean { latency_s, own_s: mean.own_s });
                self.end_probe(now);
            }
            _ => self.accept_as_baseline(now),
        }
    }

    fn accept_as_baseline(&mut self, now: Instant) {
        self.baseline_s = Some(self.trigger.mean.own_s);
        self.end_probe(now);
    }
}
