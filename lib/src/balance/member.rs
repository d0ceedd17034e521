//! State of one target of a pool as seen by one node.

use {
    super::{Settings, TargetInfo},
    crate::{admission::CallResult, id, pressure, time::Instant},
    serde::Serialize,
    std::time::Duration,
};

/// The weight of a latency sample above the mean. It is high so that slowness is detected quickly.
const RISE_WEIGHT: f64 = 0.3;
/// The weight of a latency sample below the mean.
const FALL_WEIGHT: f64 = 0.1;
/// The weight of one call in the moving average of the failure rate.
const FAILED_WEIGHT: f64 = 0.1;
/// Minimum number of calls for a significant failure rate.
const MIN_CALLS: u32 = 10;
/// The fraction of its full share of calls at which a new target starts.
const MIN_RAMP: f64 = 0.1;
/// The time for which a target counts as full after it refused a call.
const FULL_PERIOD: Duration = Duration::from_millis(50);
/// The load at which the cost of a target would become infinite. It is above 1 so that the cost of
/// a full target stays finite.
const COST_POLE: f64 = 1.1;
/// The number of calls that a half-open target must answer to be restored.
const RESTORE_CALLS: u32 = 3;

/// The ejection state of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The target gets calls.
    Open,
    /// The target gets one call at a time, which probes whether it has recovered.
    HalfOpen,
    /// The target gets no calls while another target is available.
    Ejected,
}

/// A target's state, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The ejection state.
    pub state: State,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// The number of calls in flight from this node.
    pub in_flight: u32,
    /// The mean latency measured by this node.
    pub latency: Option<Duration>,
    /// The fraction of its recent calls that failed.
    pub failed_share: f64,
    /// The load according to its last report, unless the report is too old.
    pub load: Option<f64>,
    /// The expected cost that picks compare.
    pub cost: f64,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    duration: Duration,
    answered: u32,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    received: Instant,
    limit: u32,
    busy: u32,
    queue_delay: Duration,
    latency: Duration,
    in_flight_at_report: u32,
}

/// The mean load of the targets of a pool that reported theirs lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLoad {
    share: f64,
    queue_delay_s: f64,
}

impl MeanLoad {
    /// Returns the mean over the members with fresh reports, or no load if there are none.
    pub fn of(now: Instant, members: &[Member], settings: &Settings) -> Self {
        let mut sum = Self::default();
        let mut count = 0.0;
        for member in members {
            if let Some(load) = member.fresh_load(now, settings) {
                sum.share += member.load_share(now, Self::default(), settings);
                sum.queue_delay_s += load.queue_delay.as_secs_f64();
                count += 1.0;
            }
        }
        match count > 0.0 {
            true => Self { share: sum.share / count, queue_delay_s: sum.queue_delay_s / count },
            false => Self::default(),
        }
    }
}

/// One target of the pool.
#[derive(Clone, Debug)]
pub struct Member {
    pub vm: id::Vm,
    pub data_centre: id::DataCentre,
    pub is_leaving: bool,
    pub in_flight: u32,
    slots: u32,
    ramp_start: Option<Instant>,
    latency_s: Option<f64>,
    failed: f64,
    calls: u32,
    consecutive_broken: u32,
    load: Option<LoadReport>,
    full_until: Instant,
    /// When a call was last sent to find out the load of the target.
    probed_at: Option<Instant>,
    ejection: Option<Ejection>,
    last_duration: Duration,
}

impl Member {
    /// Creates a target that ramps up from `ramp_start`, or one without a ramp.
    pub fn new(target: &TargetInfo, ramp_start: Option<Instant>) -> Self {
        Self {
            vm: target.vm.clone(),
            data_centre: target.data_centre.clone(),
            is_leaving: target.is_leaving,
            in_flight: 0,
            slots: target.slots.max(1),
            ramp_start,
            latency_s: None,
            failed: 0.0,
            calls: 0,
            consecutive_broken: 0,
            load: None,
            full_until: Instant::ZERO,
            probed_at: None,
            ejection: None,
            last_duration: Duration::ZERO,
        }
    }

    /// Applies the current tables and membership.
    pub fn update(&mut self, target: &TargetInfo) {
        self.slots = target.slots.max(1);
        self.data_centre = target.data_centre.clone();
        self.is_leaving = target.is_leaving;
    }

    /// Returns the ejection state.
    pub fn state(&self, now: Instant) -> State {
        match &self.ejection {
            None => State::Open,
            Some(ejection) if now < ejection.until => State::Ejected,
            Some(_) => State::HalfOpen,
        }
    }

    /// Records the end of a call. Without a latency the mean stays as it is.
    pub fn call_finished(&mut self, now: Instant, kind: CallResult, latency: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match kind {
            CallResult::Ok => self.record_call(false, latency),
            CallResult::Failed => self.record_call(true, None),
            CallResult::Broken => {
                self.consecutive_broken += 1;
                self.record_call(true, None);
            }
            CallResult::Shed => self.full_until = now + FULL_PERIOD,
            CallResult::Cancelled => latency.into_iter().for_each(|one| self.record_censored(one)),
        }
        if kind != CallResult::Broken {
            self.consecutive_broken = 0;
        }
    }

    /// Records a load report of the target's node.
    pub fn record_report(&mut self, now: Instant, report: &pressure::Report) {
        self.load = Some(LoadReport {
            received: now,
            limit: report.limit.max(1),
            busy: report.in_flight,
            queue_delay: report.queue_delay,
            latency: report.latency,
            in_flight_at_report: self.in_flight,
        });
    }

    /// Returns whether the target should be ejected: because of consecutive broken calls, or
    /// because its failure rate reaches the configured threshold and is at least twice that of the
    /// others. A failure that all targets share ejects none.
    pub fn should_eject(&self, settings: &Settings, others_failed: f64) -> bool {
        if self.consecutive_broken >= settings.eject_broken {
            return true;
        }
        let is_failing = self.calls >= MIN_CALLS && self.failed >= settings.eject_failed_share;
        is_failing && others_failed <= self.failed / 2.0
    }

    /// Ejects the target for a duration that doubles with each ejection.
    pub fn eject(&mut self, now: Instant, settings: &Settings) {
        let first = Duration::from_millis(settings.eject_ms);
        let longest = Duration::from_millis(settings.max_eject_ms);
        let duration = (self.last_duration * 2).clamp(first, longest);
        self.last_duration = duration;
        self.ejection = Some(Ejection { until: now + duration, duration, answered: 0 });
    }

    /// Decides after a call to a half-open target whether to restore it or eject it again.
    pub fn finish_probe(&mut self, now: Instant, kind: CallResult, settings: &Settings) {
        let Some(ejection) = &mut self.ejection else { return };
        match kind {
            CallResult::Ok | CallResult::Shed => ejection.answered += 1,
            CallResult::Cancelled => {}
            CallResult::Failed | CallResult::Broken => {
                self.eject(now, settings);
                return;
            }
        }
        if ejection.answered >= RESTORE_CALLS {
            self.last_duration = ejection.duration;
            self.restore(now);
        }
    }

    /// Records that the target was selected for a call, which tells its load if that is unknown.
    pub fn record_pick(&mut self, now: Instant, settings: &Settings) {
        if self.fresh_load(now, settings).is_none() && !self.is_probed(now, settings) {
            self.probed_at = Some(now);
        }
    }

    /// Returns the time of a call including the wait in the queue according to a fresh report, in
    /// seconds, if the settings say to use it.
    pub fn reported_s(&self, now: Instant, settings: &Settings) -> Option<f64> {
        let load = self.fresh_load(now, settings).filter(|_| settings.reported_latency)?;
        let latency = (!load.latency.is_zero()).then_some(load.latency)?;
        Some((latency + load.queue_delay).as_secs_f64())
    }

    /// Returns the expected cost: the time of a call, weighted by the load of the target and the
    /// calls in flight from this node. `default_latency_s` is used until a latency has been
    /// measured, and `mean_load` while a call finds out the load of a target without a report.
    /// `path_s` is the time that a reported latency lacks.
    pub fn cost(
        &self,
        now: Instant,
        default_latency_s: f64,
        mean_load: MeanLoad,
        path_s: f64,
        settings: &Settings,
    ) -> f64 {
        let load = self.fresh_load(now, settings);
        let measured_s = || {
            let delay_s = match load {
                Some(load) => load.queue_delay.as_secs_f64(),
                None if self.is_probed(now, settings) => mean_load.queue_delay_s,
                None => 0.0,
            };
            self.latency_s.unwrap_or(default_latency_s).max(1e-6) + delay_s
        };
        let time_s = self.reported_s(now, settings).map_or_else(measured_s, |time| time + path_s);
        let calls = load.map_or(self.slots, |load| load.limit);
        let ramped_limit = f64::from(calls) * self.ramp(now, settings);
        let own_share = f64::from(self.in_flight + 1) / ramped_limit;
        let spare = (COST_POLE - self.load_share(now, mean_load, settings)).max(COST_POLE - 1.0);
        time_s * (1.0 + own_share) / spare / self.ramp(now, settings)
    }

    /// Returns the mean latency in seconds, if one has been measured.
    pub fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Returns the fraction of recent calls that failed.
    pub fn failed_share(&self) -> f64 {
        self.failed
    }

    /// Returns the state for operators.
    pub fn status(
        &self,
        now: Instant,
        cost: f64,
        mean_load: MeanLoad,
        settings: &Settings,
    ) -> Status {
        let load = self.fresh_load(now, settings);
        Status {
            state: self.state(now),
            is_leaving: self.is_leaving,
            in_flight: self.in_flight,
            latency: self.latency_s.map(Duration::from_secs_f64),
            failed_share: self.failed,
            load: load.map(|_| self.load_share(now, mean_load, settings)),
            cost,
        }
    }

    fn fresh_load(&self, now: Instant, settings: &Settings) -> Option<LoadReport> {
        let max_age = Duration::from_millis(settings.report_age_ms);
        self.load.filter(|load| now - load.received <= max_age)
    }

    fn is_probed(&self, now: Instant, settings: &Settings) -> bool {
        let period = Duration::from_millis(settings.report_age_ms);
        settings.assumes_mean_load && self.probed_at.is_some_and(|at| now - at <= period)
    }

    /// Returns the load between 0 and 1: as reported, plus the calls sent by this node since then.
    /// A target without a fresh report counts as idle until a call is sent to find out its load, and
    /// as loaded as the others from then on.
    pub fn load_share(&self, now: Instant, mean_load: MeanLoad, settings: &Settings) -> f64 {
        if now < self.full_until {
            return 1.0;
        }
        let own_share = f64::from(self.in_flight) / f64::from(self.slots);
        let Some(load) = self.fresh_load(now, settings) else {
            let assumed = if self.is_probed(now, settings) { mean_load.share } else { 0.0 };
            return own_share.max(assumed).min(1.0);
        };
        let sent = f64::from(self.in_flight) - f64::from(load.in_flight_at_report);
        let busy = f64::from(load.busy) + sent;
        (busy / f64::from(load.limit)).clamp(0.0, 1.0)
    }

    /// Returns the fraction of its full share of calls that the target gets. A new target ramps up
    /// until its own node reports its limit.
    fn ramp(&self, now: Instant, settings: &Settings) -> f64 {
        if self.fresh_load(now, settings).is_some() {
            return 1.0;
        }
        let Some(ramp_start) = self.ramp_start else { return 1.0 };
        let ramp_s = Duration::from_millis(settings.ramp_ms.max(1)).as_secs_f64();
        ((now - ramp_start).as_secs_f64() / ramp_s).clamp(MIN_RAMP, 1.0)
    }

    fn record_call(&mut self, has_failed: bool, latency: Option<Duration>) {
        self.calls = self.calls.saturating_add(1);
        let failed = f64::from(u8::from(has_failed));
        self.failed += FAILED_WEIGHT * (failed - self.failed);
        if let Some(latency) = latency {
            self.record_latency(latency.as_secs_f64());
        }
    }

    fn record_latency(&mut self, latency_s: f64) {
        let mean_s = self.latency_s.unwrap_or(latency_s);
        let weight = if latency_s > mean_s { RISE_WEIGHT } else { FALL_WEIGHT };
        self.latency_s = Some(mean_s + weight * (latency_s - mean_s));
    }

    /// Records the latency of a cancelled call. It is only a lower bound, so it counts only if it
    /// exceeds the mean.
    fn record_censored(&mut self, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        if self.latency_s.is_some_and(|mean_s| latency_s > mean_s) {
            self.record_latency(latency_s);
        }
    }

    fn restore(&mut self, now: Instant) {
        self.ejection = None;
        self.failed = 0.0;
        self.calls = 0;
        self.ramp_start = Some(now);
    }
}
