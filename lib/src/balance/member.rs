//! What one node knows of one target of a pool.

use {
    super::{Settings, TargetInfo},
    crate::{admission::CallResult, id, pressure, time::Instant},
    serde::Serialize,
    std::time::Duration,
};

/// The weight of a new latency that is above the mean. Slowness is noticed at once.
const RISE_WEIGHT: f64 = 0.3;
/// The weight of a new latency that is below the mean.
const FALL_WEIGHT: f64 = 0.1;
/// The weight of one call in the failed part.
const FAILED_WEIGHT: f64 = 0.1;
/// Fewer calls say too little about the failed part.
const MIN_CALLS: u32 = 10;
/// The smallest part of its calls that a new target gets.
const MIN_RAMP: f64 = 0.1;
/// The time for which a target that refused a call counts as full.
const FULL: Duration = Duration::from_millis(50);
/// The load at which the cost of a target would be infinite.
const COST_POLE: f64 = 1.1;
/// Calls that a half-open target has to answer before it returns.
const RETURN_CALLS: u32 = 3;

/// Whether a target gets calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    Open,
    /// It gets one call at a time, to see whether it has recovered.
    HalfOpen,
    /// It gets none while another target can be had.
    Ejected,
}

/// A target's state, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Whether it gets calls.
    pub state: State,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Calls in flight from this node.
    pub in_flight: u32,
    /// Mean latency as seen from this node.
    pub latency: Option<Duration>,
    /// The part of its last calls that failed.
    pub failed_share: f64,
    /// The load in its last report, unless that is too old.
    pub load: Option<f64>,
    /// What a pick compares.
    pub cost: f64,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    term: Duration,
    answered: u32,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    at: Instant,
    limit: u32,
    busy: u32,
    queue_delay: Duration,
    started_since: u32,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Member {
    pub vm: id::Vm,
    pub data_centre: id::DataCentre,
    pub is_leaving: bool,
    pub in_flight: u32,
    slots: u32,
    since: Option<Instant>,
    latency_s: Option<f64>,
    failed: f64,
    calls: u32,
    broken_in_row: u32,
    load: Option<Load>,
    full_until: Instant,
    ejection: Option<Ejection>,
    last_term: Duration,
}

impl Member {
    /// Makes a target that is new since `since`, or one that was there before this node.
    pub fn new(listed: &TargetInfo, since: Option<Instant>) -> Self {
        Self {
            vm: listed.vm.clone(),
            data_centre: listed.data_centre.clone(),
            is_leaving: listed.is_leaving,
            in_flight: 0,
            slots: listed.slots.max(1),
            since,
            latency_s: None,
            failed: 0.0,
            calls: 0,
            broken_in_row: 0,
            load: None,
            full_until: Instant::ZERO,
            ejection: None,
            last_term: Duration::ZERO,
        }
    }

    /// Takes in what the tables and the membership say.
    pub fn update(&mut self, listed: &TargetInfo) {
        self.slots = listed.slots.max(1);
        self.data_centre = listed.data_centre.clone();
        self.is_leaving = listed.is_leaving;
    }

    /// Returns whether the target gets calls.
    pub fn state(&self, now: Instant) -> State {
        match &self.ejection {
            None => State::Open,
            Some(ejection) if now < ejection.until => State::Ejected,
            Some(_) => State::HalfOpen,
        }
    }

    /// Notes the end of a call.
    pub fn finish(&mut self, now: Instant, kind: CallResult, latency: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match kind {
            CallResult::Ok => self.note_call(false, Some(latency)),
            CallResult::Failed => self.note_call(true, None),
            CallResult::Broken => {
                self.broken_in_row += 1;
                self.note_call(true, None);
            }
            CallResult::Shed => self.full_until = now + FULL,
            CallResult::Cancelled => self.note_censored(latency),
        }
        if kind != CallResult::Broken {
            self.broken_in_row = 0;
        }
    }

    /// Notes the target's own report.
    pub fn note_report(&mut self, now: Instant, report: &pressure::Report) {
        self.load = Some(Load {
            at: now,
            limit: report.limit.max(1),
            busy: report.in_flight,
            queue_delay: report.queue_delay,
            started_since: self.in_flight,
        });
    }

    /// Tells whether the target fails so much more than the others that it should get no calls.
    pub fn is_sick(&self, settings: &Settings, rest_failed: f64) -> bool {
        if self.broken_in_row >= settings.eject_broken {
            return true;
        }
        let is_failing = self.calls >= MIN_CALLS && self.failed >= settings.eject_failed_share;
        is_failing && rest_failed <= self.failed / 2.0
    }

    /// Stops calls for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Instant, settings: &Settings) {
        let first = Duration::from_millis(settings.eject_ms);
        let longest = Duration::from_millis(settings.max_eject_ms);
        let term = (self.last_term * 2).clamp(first, longest);
        self.last_term = term;
        self.ejection = Some(Ejection { until: now + term, term, answered: 0 });
    }

    /// Decides after a call to a half-open target whether it returns.
    pub fn settle_probe(&mut self, now: Instant, kind: CallResult, settings: &Settings) {
        let Some(ejection) = &mut self.ejection else { return };
        match kind {
            CallResult::Ok | CallResult::Shed => ejection.answered += 1,
            CallResult::Cancelled => {}
            CallResult::Failed | CallResult::Broken => {
                self.eject(now, settings);
                return;
            }
        }
        if ejection.answered >= RETURN_CALLS {
            self.last_term = ejection.term;
            self.restore(now);
        }
    }

    /// Returns what a pick compares: the expected time of a call, by the calls that wait for it.
    /// A latency that is not known yet counts as `usual_s`.
    pub fn cost(&self, now: Instant, usual_s: f64, settings: &Settings) -> f64 {
        let load = self.fresh_load(now, settings);
        let latency_s = self.latency_s.unwrap_or(usual_s).max(1e-6);
        let delay_s = load.map_or(0.0, |load| load.queue_delay.as_secs_f64());
        let calls = load.map_or(self.slots, |load| load.limit);
        let room = f64::from(calls) * self.ramp(now, settings);
        let own = f64::from(self.in_flight + 1) / room;
        let spare = (COST_POLE - self.load_share(now, settings)).max(COST_POLE - 1.0);
        (latency_s + delay_s) * (1.0 + own) / spare / self.ramp(now, settings)
    }

    /// Returns the mean latency in seconds, once there is one.
    pub fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Returns the part of the last calls that failed.
    pub fn failed_share(&self) -> f64 {
        self.failed
    }

    /// Returns the state for operators.
    pub fn status(&self, now: Instant, usual_s: f64, settings: &Settings) -> Status {
        Status {
            state: self.state(now),
            is_leaving: self.is_leaving,
            in_flight: self.in_flight,
            latency: self.latency_s.map(Duration::from_secs_f64),
            failed_share: self.failed,
            load: self.fresh_load(now, settings).map(|_| self.load_share(now, settings)),
            cost: self.cost(now, usual_s, settings),
        }
    }

    fn fresh_load(&self, now: Instant, settings: &Settings) -> Option<Load> {
        let max_age = Duration::from_millis(settings.report_age_ms);
        self.load.filter(|load| now - load.at <= max_age)
    }

    /// The busy part of the target: as reported, with the calls sent from here since then.
    pub fn load_share(&self, now: Instant, settings: &Settings) -> f64 {
        if now < self.full_until {
            return 1.0;
        }
        let own = f64::from(self.in_flight) / f64::from(self.slots);
        let Some(load) = self.fresh_load(now, settings) else { return own.min(1.0) };
        let sent = f64::from(self.in_flight) - f64::from(load.started_since);
        let busy = f64::from(load.busy) + sent;
        (busy / f64::from(load.limit)).clamp(0.0, 1.0)
    }

    /// The part of its calls that a new target gets until its own node reports its limit.
    fn ramp(&self, now: Instant, settings: &Settings) -> f64 {
        if self.fresh_load(now, settings).is_some() {
            return 1.0;
        }
        let Some(since) = self.since else { return 1.0 };
        let whole_s = Duration::from_millis(settings.ramp_ms.max(1)).as_secs_f64();
        ((now - since).as_secs_f64() / whole_s).clamp(MIN_RAMP, 1.0)
    }

    fn note_call(&mut self, has_failed: bool, latency: Option<Duration>) {
        self.calls = self.calls.saturating_add(1);
        let failed = f64::from(u8::from(has_failed));
        self.failed += FAILED_WEIGHT * (failed - self.failed);
        if let Some(latency) = latency {
            self.note_latency(latency.as_secs_f64());
        }
    }

    fn note_latency(&mut self, latency_s: f64) {
        let mean_s = self.latency_s.unwrap_or(latency_s);
        let weight = if latency_s > mean_s { RISE_WEIGHT } else { FALL_WEIGHT };
        self.latency_s = Some(mean_s + weight * (latency_s - mean_s));
    }

    /// A call that was given up shows only that its latency would have been longer.
    fn note_censored(&mut self, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        if self.latency_s.is_some_and(|mean_s| latency_s > mean_s) {
            self.note_latency(latency_s);
        }
    }

    fn restore(&mut self, now: Instant) {
        self.ejection = None;
        self.failed = 0.0;
        self.calls = 0;
        self.since = Some(now);
    }
}
