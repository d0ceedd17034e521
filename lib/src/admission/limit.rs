//! How many calls the target may run at once, learned from its own latencies and outcomes.
//!
//! A rise of latency alone does not say that the target queues: a deeper service may have become
//! slow, and fewer calls at once would then only lose throughput. So a rise starts a probe: the
//! limit is halved for a few service times. Where latency falls with it, the target was queueing and
//! the limit becomes throughput times the latency of the probe (Little's law). Where it does not,
//! the new latency becomes the expected one and the limit stays. See docs/design/admission.md.

use {
    crate::time::Instant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Fewer samples say too little about a mean latency.
const WINDOW_SAMPLES: u32 = 50;
/// A window without enough samples ends after this many nominal windows.
const MAX_WINDOWS: u32 = 10;
/// The weight of one window in the expected latency.
const BASE_WEIGHT: f64 = 0.1;
/// The share of the limit that is left during a probe.
const PROBE_SHARE: f64 = 0.5;
/// Latency that falls to this share or less during a probe shows a queue in the target.
const QUEUE_RATIO: f64 = 0.75;
/// The limit after one window with calls shed by the target.
const SHED_FACTOR: f64 = 0.9;
/// The growth of the limit in one window of a cold target's ramp.
const RAMP_FACTOR: f64 = 1.5;
/// The growth of the limit in one window outside a ramp.
const GROW_FACTOR: f64 = 1.02;
/// Windows without growth after a window with calls shed by the target.
const HOLD_WINDOWS: u32 = 10;

/// How the limit adapts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether the limit adapts at all. Otherwise it stays at the published slots.
    pub is_adaptive: bool,
    /// The lowest limit, in calls.
    pub min_calls: u32,
    /// The highest limit as a share of the published slots.
    pub max_share: f64,
    /// The share of the published slots at which a cold target starts.
    pub cold_share: f64,
    /// The shortest time over which latencies are averaged, in milliseconds.
    pub window_ms: u64,
    /// Latency up to this multiple of the expected one lets the limit grow.
    pub grow_ratio: f64,
    /// Latency over this multiple of the expected one starts a probe.
    pub probe_ratio: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_adaptive: true,
            min_calls: 2,
            max_share: 1.0,
            cold_share: 0.1,
            window_ms: 100,
            grow_ratio: 1.2,
            probe_ratio: 1.5,
        }
    }
}

/// What the limit is doing, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A cold target gets more calls step by step.
    Ramp,
    /// The limit follows latency.
    Steady,
    /// A probe waits until few enough calls are running.
    Drain,
    /// A probe collects latencies.
    Probe,
}

/// The latencies of one window.
#[derive(Clone, Debug)]
struct Window {
    start: Instant,
    sum_s: f64,
    count: u32,
    is_saturated: bool,
    has_shed: bool,
}

impl Window {
    fn new(start: Instant) -> Self {
        Self { start, sum_s: 0.0, count: 0, is_saturated: false, has_shed: false }
    }

    fn mean_s(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum_s / f64::from(self.count))
    }
}

/// What raised the suspicion that the target queues.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    mean_s: f64,
    per_s: f64,
}

/// The adaptive limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    slots: f64,
    calls: f64,
    base_s: Option<f64>,
    mean_s: Option<f64>,
    phase: Phase,
    phase_since: Instant,
    suspicion: Suspicion,
    window: Window,
    hold: u32,
}

impl Limit {
    /// Starts at the published slots, or at a share of them for a target that starts cold.
    pub fn new(settings: Settings, slots: u32, is_cold: bool, now: Instant) -> Self {
        let slots = f64::from(slots.max(1));
        let is_cold = is_cold && settings.is_adaptive;
        let calls = if is_cold { slots * settings.cold_share } else { slots };
        let calls = calls.max(f64::from(settings.min_calls));
        Self {
            settings,
            slots,
            calls,
            base_s: None,
            mean_s: None,
            phase: if is_cold { Phase::Ramp } else { Phase::Steady },
            phase_since: now,
            suspicion: Suspicion { mean_s: 0.0, per_s: 0.0 },
            window: Window::new(now),
            hold: 0,
        }
    }

    /// Returns how many calls may run now.
    pub fn calls(&self) -> u32 {
        let share = match self.phase {
            Phase::Drain | Phase::Probe => PROBE_SHARE,
            Phase::Ramp | Phase::Steady => 1.0,
        };
        let calls = (self.calls * share).round() as u32;
        calls.max(self.settings.min_calls)
    }

    /// Returns what the limit is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the mean latency of the last whole window.
    pub fn mean(&self) -> Option<Duration> {
        self.mean_s.map(Duration::from_secs_f64)
    }

    /// Returns the latency that is expected where the target does not queue.
    pub fn expected(&self) -> Option<Duration> {
        self.base_s.map(Duration::from_secs_f64)
    }

    /// Returns the calls a second that the target completes when the limit is used up.
    pub fn capacity_per_s(&self) -> Option<f64> {
        let mean_s = self.mean_s.or(self.window.mean_s())?;
        Some(f64::from(self.calls()) / mean_s.max(1e-6))
    }

    /// Takes in new published slots.
    pub fn resize(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.calls = (self.calls * slots / self.slots).max(f64::from(self.settings.min_calls));
        self.slots = slots;
    }

    /// Notes the calls in flight after one was started or had to wait.
    pub fn used(&mut self, in_flight: usize) {
        self.window.is_saturated |= in_flight >= self.calls() as usize;
    }

    /// Notes the latency of a call that the target worked on.
    pub fn sample(&mut self, now: Instant, latency: Duration) {
        if self.phase == Phase::Probe && now - latency < self.phase_since {
            return;
        }
        self.window.sum_s += latency.as_secs_f64();
        self.window.count += 1;
    }

    /// Notes a call that the target shed.
    pub fn shed(&mut self) {
        self.window.has_shed = true;
    }

    /// Ends a window or a phase whose time has come. Cheap enough for every event.
    pub fn tick(&mut self, now: Instant, in_flight: usize) {
        if !self.settings.is_adaptive {
            self.measure_only(now);
            return;
        }
        match self.phase {
            Phase::Drain => self.tick_drain(now, in_flight),
            Phase::Probe => self.tick_probe(now),
            Phase::Ramp | Phase::Steady => self.tick_window(now),
        }
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
            self.mean_s = window.mean_s().or(self.mean_s);
        }
    }

    fn tick_window(&mut self, now: Instant) {
        if !self.is_window_over(now) {
            return;
        }
        let window = self.take_window(now);
        self.hold = self.hold.saturating_sub(1);
        if window.has_shed {
            self.phase = Phase::Steady;
            self.hold = HOLD_WINDOWS;
            self.set(self.calls * SHED_FACTOR);
        }
        let Some(mean_s) = window.mean_s() else { return };
        self.mean_s = Some(mean_s);
        let base_s = self.follow(mean_s, window.is_saturated);
        if !window.is_saturated || window.has_shed {
            return;
        }
        if mean_s > base_s * self.settings.probe_ratio {
            let age_s = (now - window.start).as_secs_f64();
            let per_s = f64::from(window.count) / age_s;
            self.suspicion = Suspicion { mean_s, per_s };
            self.enter(now, Phase::Drain);
        } else if mean_s <= base_s * self.settings.grow_ratio && self.hold == 0 {
            self.grow();
        }
    }

    fn follow(&mut self, mean_s: f64, is_saturated: bool) -> f64 {
        let base_s = self.base_s.unwrap_or(mean_s);
        let follows = !is_saturated || mean_s < base_s;
        let base_s = if follows { base_s + BASE_WEIGHT * (mean_s - base_s) } else { base_s };
        self.base_s = Some(base_s);
        base_s
    }

    fn grow(&mut self) {
        let factor = if self.phase == Phase::Ramp { RAMP_FACTOR } else { GROW_FACTOR };
        self.set((self.calls * factor).max(self.calls + 1.0));
        if self.calls >= self.slots {
            self.phase = Phase::Steady;
        }
    }

    fn set(&mut self, calls: f64) {
        let max = (self.slots * self.settings.max_share).max(1.0);
        let min = f64::from(self.settings.min_calls).min(max);
        self.calls = calls.clamp(min, max);
    }

    fn enter(&mut self, now: Instant, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
        self.window = Window::new(now);
    }

    /// The longest time that one phase of a probe may take.
    fn patience(&self) -> Duration {
        let nominal = Duration::from_millis(self.settings.window_ms);
        nominal.max(Duration::from_secs_f64(2.0 * self.suspicion.mean_s))
    }

    fn tick_drain(&mut self, now: Instant, in_flight: usize) {
        if in_flight <= self.calls() as usize {
            self.enter(now, Phase::Probe);
        } else if now - self.phase_since > self.patience() {
            self.accept_latency(now);
        }
    }

    fn tick_probe(&mut self, now: Instant) {
        let wanted = WINDOW_SAMPLES.min(4 * self.calls());
        let is_late = now - self.phase_since > self.patience();
        if self.window.count < wanted && !is_late {
            return;
        }
        match self.window.mean_s() {
            Some(mean_s) if mean_s <= self.suspicion.mean_s * QUEUE_RATIO => {
                self.set(self.suspicion.per_s * mean_s);
                self.mean_s = Some(mean_s);
                self.enter(now, Phase::Steady);
            }
            _ => self.accept_latency(now),
        }
    }

    fn accept_latency(&mut self, now: Instant) {
        self.base_s = Some(self.suspicion.mean_s);
        self.enter(now, Phase::Steady);
    }
}
