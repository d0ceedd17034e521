//! How many calls the target may run at once, learned from its own latencies and outcomes.
//!
//! A rise of latency alone does not say that the target queues: a deeper service may have become
//! slow, and fewer calls at once would then only lose throughput. So only the time that the target
//! did not spend waiting for nested calls counts, and a rise of it starts a probe: the limit is
//! halved for a few service times. Where the time falls with it, the target was queueing and the
//! limit becomes throughput times latency without the queue (Little's law). Where it does not, the
//! new time becomes the expected one and the limit stays. See docs/design/admission.md.

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
const PROBE_SHARE: f64 = 0.6;
/// Own time that falls to this share or less during a probe shows a queue in the target.
const QUEUE_RATIO: f64 = 0.8;
/// The samples of a probe.
const PROBE_SAMPLES: u32 = 40;
/// The time between two probes, in times that a probe took. It bounds what probes cost.
const PROBE_SPACING: u32 = 20;
/// The share of the limit that must be used for a rise of own time to start a probe.
const BUSY_SHARE: f64 = 0.5;
/// The limit after one window with calls shed by the target.
const SHED_FACTOR: f64 = 0.9;
/// The growth of a cold target's limit with each completed call.
const RAMP_STEP: f64 = 0.25;
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
    /// The time after which a target is no longer cold, in milliseconds.
    pub ramp_ms: u64,
    /// The shortest time over which latencies are averaged, in milliseconds.
    pub window_ms: u64,
    /// Own time up to this multiple of the expected one lets the limit grow.
    pub grow_ratio: f64,
    /// Own time over this multiple of the expected one starts a probe.
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
    /// A probe waits until latencies show the lower limit.
    Settle,
    /// A probe collects latencies.
    Probe,
}

/// The latencies of one window.
#[derive(Clone, Debug)]
struct Window {
    start: Instant,
    latency_s: f64,
    own_s: f64,
    count: u32,
    most: usize,
    has_shed: bool,
}

impl Window {
    fn new(start: Instant) -> Self {
        Self { start, latency_s: 0.0, own_s: 0.0, count: 0, most: 0, has_shed: false }
    }

    fn mean(&self) -> Option<Mean> {
        let mean_s = |sum_s: f64| sum_s / f64::from(self.count);
        let mean = Mean { latency_s: mean_s(self.latency_s), own_s: mean_s(self.own_s) };
        (self.count > 0).then_some(mean)
    }
}

/// Mean times of one window, whole and without the wait for nested calls.
#[derive(Clone, Copy, Debug)]
struct Mean {
    latency_s: f64,
    own_s: f64,
}

/// What raised the suspicion that the target queues.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    mean: Mean,
    per_s: f64,
}

impl Suspicion {
    /// Returns the mean number of calls in flight, by Little's law.
    fn calls(&self) -> f64 {
        self.per_s * self.mean.latency_s
    }
}

/// The adaptive limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    slots: f64,
    calls: f64,
    base_s: Option<f64>,
    mean: Option<Mean>,
    phase: Phase,
    phase_since: Instant,
    probe_since: Instant,
    next_probe: Instant,
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
            mean: None,
            phase: if is_cold { Phase::Ramp } else { Phase::Steady },
            phase_since: now,
            probe_since: now,
            next_probe: now,
            suspicion: Suspicion { mean: Mean { latency_s: 0.0, own_s: 0.0 }, per_s: 0.0 },
            window: Window::new(now),
            hold: 0,
        }
    }

    /// Returns how many calls may run now.
    pub fn calls(&self) -> u32 {
        let calls = match self.phase {
            Phase::Drain | Phase::Settle | Phase::Probe => self.suspicion.calls() * PROBE_SHARE,
            Phase::Ramp | Phase::Steady => self.calls,
        };
        (calls.min(self.calls).round() as u32).max(self.settings.min_calls)
    }

    /// Returns what the limit is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the mean latency of the last whole window.
    pub fn mean(&self) -> Option<Duration> {
        self.mean.map(|mean| Duration::from_secs_f64(mean.latency_s))
    }

    /// Returns the own time that is expected where the target does not queue.
    pub fn expected(&self) -> Option<Duration> {
        self.base_s.map(Duration::from_secs_f64)
    }

    /// Returns the calls a second that the target completes when the limit is used up.
    pub fn capacity_per_s(&self) -> Option<f64> {
        let mean = self.mean.or(self.window.mean())?;
        Some(f64::from(self.calls()) / mean.latency_s.max(1e-6))
    }

    /// Takes in new published slots.
    pub fn resize(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.calls = (self.calls * slots / self.slots).max(f64::from(self.settings.min_calls));
        self.slots = slots;
    }

    /// Notes the calls in flight after one was started or had to wait.
    pub fn used(&mut self, in_flight: usize) {
        self.window.most = self.window.most.max(in_flight);
    }

    /// Notes the latency of a call that the target worked on, and the part of it for which the
    /// target waited for nested calls.
    pub fn sample(&mut self, latency: Duration, nested: Duration) {
        if self.phase == Phase::Ramp && self.is_used(1.0) {
            self.set(self.calls + RAMP_STEP);
        }
        self.window.latency_s += latency.as_secs_f64();
        self.window.own_s += latency.saturating_sub(nested).as_secs_f64();
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

    /// Tells whether in this window the calls in flight reached a share of the limit.
    fn is_used(&self, share: f64) -> bool {
        self.window.most as f64 >= f64::from(self.calls()) * share
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
        let is_over = now - self.phase_since >= Duration::from_millis(self.settings.ramp_ms);
        if is_over {
            self.set(self.slots);
        }
        if is_over || self.calls >= self.slots {
            self.enter(now, Phase::Steady);
        }
    }

    fn tick_window(&mut self, now: Instant) {
        if !self.is_window_over(now) {
            return;
        }
        let is_busy = self.is_used(BUSY_SHARE);
        let is_saturated = self.is_used(1.0);
        let window = self.take_window(now);
        self.hold = self.hold.saturating_sub(1);
        if window.has_shed {
            self.phase = Phase::Steady;
            self.hold = HOLD_WINDOWS;
            self.set(self.calls * SHED_FACTOR);
        }
        let Some(mean) = window.mean() else { return };
        self.mean = Some(mean);
        let base_s = self.follow(mean.own_s, is_busy);
        if !is_busy || window.has_shed {
            return;
        }
        if mean.own_s > base_s * self.settings.probe_ratio {
            if now < self.next_probe {
                return;
            }
            self.probe_since = now;
            let age_s = (now - window.start).as_secs_f64();
            self.suspicion = Suspicion { mean, per_s: f64::from(window.count) / age_s };
            self.enter(now, Phase::Drain);
        } else if is_saturated && mean.own_s <= base_s * self.settings.grow_ratio && self.hold == 0
        {
            self.set((self.calls * GROW_FACTOR).max(self.calls + 1.0));
        }
    }

    fn follow(&mut self, own_s: f64, is_busy: bool) -> f64 {
        let base_s = self.base_s.unwrap_or(own_s);
        let follows = !is_busy || own_s < base_s;
        let base_s = if follows { base_s + BASE_WEIGHT * (own_s - base_s) } else { base_s };
        self.base_s = Some(base_s);
        base_s
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

    /// The time in which calls that run have mostly ended.
    fn turnover(&self) -> Duration {
        Duration::from_secs_f64(self.suspicion.mean.latency_s)
    }

    fn end_probe(&mut self, now: Instant) {
        self.next_probe = now + (now - self.probe_since) * PROBE_SPACING;
        self.enter(now, Phase::Steady);
    }

    fn tick_drain(&mut self, now: Instant, in_flight: usize) {
        if in_flight <= self.calls() as usize {
            self.enter(now, Phase::Settle);
        } else if now - self.phase_since > self.turnover() * 4 {
            self.accept_latency(now);
        }
    }

    fn tick_settle(&mut self, now: Instant) {
        if now - self.phase_since >= self.turnover() {
            self.enter(now, Phase::Probe);
        }
    }

    fn tick_probe(&mut self, now: Instant) {
        let nominal = Duration::from_millis(self.settings.window_ms);
        let is_late = now - self.phase_since > nominal.max(self.turnover()) * MAX_WINDOWS;
        if self.window.count < PROBE_SAMPLES && !is_late {
            return;
        }
        let before = self.suspicion.mean;
        match self.window.mean() {
            Some(mean) if mean.own_s <= before.own_s * QUEUE_RATIO => {
                let latency_s = before.latency_s - before.own_s + mean.own_s;
                self.set(self.suspicion.per_s * latency_s);
                self.mean = Some(Mean { latency_s, own_s: mean.own_s });
                self.end_probe(now);
            }
            _ => self.accept_latency(now),
        }
    }

    fn accept_latency(&mut self, now: Instant) {
        self.base_s = Some(self.suspicion.mean.own_s);
        self.end_probe(now);
    }
}
