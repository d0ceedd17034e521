//! Admission control for the node's own target: runs, queues or refuses each call.
//!
//! Decisions use only local measurements: the latencies and results of the admitted calls. A call
//! that cannot be served in time is refused as soon as that is known instead of being held until
//! its deadline. See docs/design/admission.md for the design alternatives and
//! docs/operate/overload.md for operators.

mod admit_shares;
mod event;
mod limit;
mod queue;
mod running_call;
mod service;
mod settings;

pub use {
    event::{CallResult, Completion, Decision, OfferResult, Release, ReportedLoad, Request},
    limit::{Phase, Settings as LimitSettings},
    settings::Settings,
};

use {
    crate::{
        call::{Reason, Refusal},
        id, pressure,
        table::Class,
        time::Instant,
    },
    admit_shares::AdmitShares,
    limit::Limit,
    queue::{ByClass, Entry, Queue},
    running_call::RunningCall,
    serde::Serialize,
    service::ServiceTimes,
    std::{collections::HashMap, time::Duration},
};

/// Lower bound on the queue capacity in calls, even if the target is slow.
const MIN_QUEUE: usize = 8;
/// Maximum wait in a standing queue, as a multiple of the mean interval between completions.
const STANDING_WAIT_INTERVALS: f64 = 8.0;
/// Refusals further apart than this count as separate overload episodes.
const OVERLOAD_RESET: Duration = Duration::from_millis(500);

/// The state of an admission controller, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The phase of the concurrency limit.
    pub phase: Phase,
    /// The concurrency limit, in calls.
    pub limit: u32,
    /// The number of running calls.
    pub in_flight: usize,
    /// The number of queued calls by class.
    pub waiting: [usize; Class::ALL.len()],
    /// Whether each class has a standing queue. Its maximum wait is then shorter and, if enabled in
    /// the settings, its newest calls are served first.
    pub is_standing: [bool; Class::ALL.len()],
    /// The mean latency of the last measurement window.
    pub latency: Option<Duration>,
    /// The expected own time of a call if the target does not queue: latency without nested calls.
    pub expected_latency: Option<Duration>,
    /// The load that the target last reported. Not used for decisions.
    pub reported: Option<ReportedLoad>,
    /// The pressure report sent to the nodes upstream.
    pub pressure: pressure::Report,
}

/// The admission controller of one target.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    limit: Limit,
    queue: Queue,
    running: HashMap<id::Call, RunningCall>,
    service_times: ServiceTimes,
    admit_shares: AdmitShares,
    reported: Option<ReportedLoad>,
    above_threshold_since: ByClass<Option<Instant>>,
    overload_since: Option<Instant>,
    last_refused: Instant,
}

impl Controller {
    /// Creates the controller of a target with the published number of slots. The limit of a cold
    /// target, one that has just been started, ramps up to the published slots.
    pub fn new(settings: Settings, slots: u32, is_cold: bool, now: Instant) -> Self {
        let credit = Duration::from_millis(settings.credit_ms);
        let max_class_gap = Duration::from_millis(settings.floor_ms);
        Self {
            limit: Limit::new(settings.limit.clone(), slots, is_cold, now),
            queue: Queue::new(credit, max_class_gap),
            running: HashMap::new(),
            service_times: ServiceTimes::default(),
            admit_shares: AdmitShares::new(now),
            reported: None,
            above_threshold_since: Default::default(),
            overload_since: None,
            last_refused: now,
            settings,
        }
    }

    /// Applies a new published number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.limit.resize(slots);
    }

    /// Decides on a call. A later method returns a [`Release`] for each queued call, except for
    /// those that are cancelled.
    pub fn offer(&mut self, now: Instant, call: id::Call, request: &Request) -> OfferResult {
        let mut releases = self.tick(now);
        let decision = self.decide(now, call, request, &mut releases);
        if matches!(decision, Decision::Refused(refusal) if refusal.reason == Reason::Overload) {
            self.admit_shares.record_refused(request.class, &request.account);
        }
        self.update_derived_state(now);
        OfferResult { decision, releases }
    }

    /// Records the end of a running call and releases queued calls that can run in its place.
    pub fn complete(&mut self, now: Instant, call: id::Call, ended: Completion) -> Vec<Release> {
        let Some(running_call) = self.running.remove(&call) else { return Vec::new() };
        let nested = running_call.nested_time(now).min(ended.latency);
        match ended.kind {
            CallResult::Ok => {
                self.limit.record_latency(ended.latency, nested);
                self.service_times.record(now, running_call.class, ended.latency);
            }
            CallResult::Shed => self.limit.record_shed(),
            CallResult::Cancelled | CallResult::Broken => self.add_censored(ended.latency, nested),
            CallResult::Failed => {}
        }
        self.tick(now)
    }

    /// Records that the target made a nested call while running `call`. The time until
    /// [`Controller::nested_call_ended`] is not counted as the target's own time.
    pub fn nested_call_started(&mut self, now: Instant, call: id::Call) {
        if let Some(running_call) = self.running.get_mut(&call) {
            running_call.nested_call_started(now);
        }
    }

    /// Records that a nested call of `call` ended.
    pub fn nested_call_ended(&mut self, now: Instant, call: id::Call) {
        if let Some(running_call) = self.running.get_mut(&call) {
            running_call.nested_call_ended(now);
        }
    }

    /// Removes a cancelled call from the queue. Returns whether it was queued, which means that it
    /// did not run. A running call is ended by [`Controller::complete`].
    pub fn cancel(&mut self, now: Instant, call: id::Call) -> bool {
        let was_waiting = self.queue.remove(call).is_some();
        self.update_derived_state(now);
        was_waiting
    }

    /// Releases queued calls that can run or have expired. The driver calls this at least every
    /// 10 ms while calls are queued.
    pub fn tick(&mut self, now: Instant) -> Vec<Release> {
        self.limit.tick(now, self.running.len());
        let mut releases = Vec::new();
        self.expire_queued(now, &mut releases);
        self.start_queued(now, &mut releases);
        self.update_derived_state(now);
        releases
    }

    /// Records the load that the target reports. It is only shown to operators.
    pub fn report_load(&mut self, load: ReportedLoad) {
        self.reported = Some(load);
    }

    /// Returns the number of running calls.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the pressure report for the nodes upstream.
    pub fn pressure(&self, now: Instant) -> pressure::Report {
        let oldest = Class::ALL.into_iter().filter_map(|class| self.queue.oldest(class)).min();
        pressure::Report {
            in_flight: self.running.len() as u32,
            limit: self.limit.max_in_flight(),
            queue_delay: oldest.map_or(Duration::ZERO, |arrived| now - arrived),
            latency: self.limit.mean_latency().unwrap_or_default(),
            retry_after: self.retry_after(now),
            slices: self.admit_shares.slices(),
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            phase: self.limit.phase(),
            limit: self.limit.max_in_flight(),
            in_flight: self.running.len(),
            waiting: Class::ALL.map(|class| self.queue.class_len(class)),
            is_standing: Class::ALL.map(|class| self.is_standing(now, class)),
            latency: self.limit.mean_latency(),
            expected_latency: self.limit.expected_own_time(),
            reported: self.reported,
            pressure: self.pressure(now),
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        call: id::Call,
        request: &Request,
        releases: &mut Vec<Release>,
    ) -> Decision {
        let class = self.class(request);
        self.admit_shares.record_offered(request.class, &request.account);
        self.queue.record_demand(class, now);
        let remaining = request.deadline - now;
        let service_time = self.service_times.min_expected(now, request.class);
        if remaining.is_zero() || remaining < service_time {
            return Decision::Refused(Refusal::not_run(Reason::Deadline));
        }
        if self.queue.is_empty() && self.running.len() < self.limit.max_in_flight() as usize {
            let account = self.account(request);
            self.queue.charge_unqueued(&account, request.weight, class);
            self.running.insert(call, RunningCall::new(request.class));
            return Decision::Run;
        }
        let entry = self.entry(now, call, request, request.deadline - service_time);
        if self.expected_wait(now, &entry) + service_time > remaining {
            return Decision::Refused(self.refusal(now));
        }
        self.enqueue(now, entry, releases)
    }

    fn enqueue(&mut self, now: Instant, entry: Entry, releases: &mut Vec<Release>) -> Decision {
        let is_overdue = self.queue.is_starved(entry.class, now);
        if self.queue.len() >= self.max_queue() && !is_overdue {
            let is_newest_first = self.newest_first(now);
            let Some(victim) = self.queue.evict(now, &entry, &is_newest_first) else {
                return Decision::Refused(self.refusal(now));
            };
            self.refuse_queued(now, &victim, releases);
        }
        self.queue.push(entry);
        Decision::Queued
    }

    fn class(&self, request: &Request) -> Class {
        if self.settings.is_fair { request.class } else { Class::Browse }
    }

    fn account(&self, request: &Request) -> Option<id::Account> {
        if self.settings.is_fair { request.account.clone() } else { None }
    }

    fn entry(
        &self,
        now: Instant,
        call: id::Call,
        request: &Request,
        latest_start: Instant,
    ) -> Entry {
        Entry {
            call,
            account: self.account(request),
            weight: request.weight,
            class: self.class(request),
            depth: request.depth,
            arrived: now,
            latest_start,
            origin: (request.class, request.account.clone()),
        }
    }

    fn expire_queued(&mut self, now: Instant, releases: &mut Vec<Release>) {
        let max_wait = Class::ALL.map(|class| self.max_wait(now, class));
        while let Some(entry) = self.queue.expire(now, &max_wait) {
            self.refuse_queued(now, &entry, releases);
        }
    }

    fn start_queued(&mut self, now: Instant, releases: &mut Vec<Release>) {
        let is_newest_first = self.newest_first(now);
        while self.running.len() < self.limit.max_in_flight() as usize {
            let Some(entry) = self.queue.pop(now, &is_newest_first) else { break };
            self.running.insert(entry.call, RunningCall::new(entry.origin.0));
            releases.push(Release::Run(entry.call));
        }
    }

    fn refuse_queued(&mut self, now: Instant, entry: &Entry, releases: &mut Vec<Release>) {
        let (class, account) = &entry.origin;
        self.admit_shares.record_refused(*class, account);
        let refusal = self.refusal(now);
        releases.push(Release::Refuse(entry.call, refusal));
    }

    fn refusal(&mut self, now: Instant) -> Refusal {
        let is_new = now - self.last_refused > OVERLOAD_RESET;
        self.last_refused = now;
        if is_new || self.overload_since.is_none() {
            self.overload_since = Some(now);
        }
        Refusal::not_run(Reason::Overload).after(self.retry_after(now))
    }

    /// Returns half of the current overload's age, within the configured bounds. The overload is
    /// expected to last as long again as it already has; waiting half of that brings callers back
    /// soon after its end.
    fn retry_after(&self, now: Instant) -> Duration {
        let overload_age = match self.overload_since {
            Some(since) if now - self.last_refused <= OVERLOAD_RESET => now - since,
            _ => Duration::ZERO,
        };
        let min = Duration::from_millis(self.settings.min_retry_after_ms);
        let max = Duration::from_millis(self.settings.max_retry_after_ms);
        (overload_age / 2).clamp(min, max)
    }

    /// Updates the state derived from the queue and the running calls after an event.
    fn update_derived_state(&mut self, now: Instant) {
        let in_flight = self.running.len();
        self.limit.record_in_flight(in_flight + self.queue.len());
        let has_spare_capacity =
            self.queue.is_empty() && in_flight < self.limit.max_in_flight() as usize;
        let is_standing = Class::ALL.map(|class| self.is_standing(now, class));
        self.admit_shares.tick(now, has_spare_capacity, is_standing);
        let threshold = self.standing_wait() / 2;
        for class in Class::ALL {
            let oldest = self.queue.oldest(class);
            let is_above_threshold = oldest.is_some_and(|arrived| now - arrived > threshold);
            let since = &mut self.above_threshold_since[class.index()];
            *since = is_above_threshold.then(|| since.unwrap_or(now));
        }
    }

    fn is_standing(&self, now: Instant, class: Class) -> bool {
        let after = Duration::from_millis(self.settings.standing_after_ms);
        self.above_threshold_since[class.index()].is_some_and(|since| now - since >= after)
    }

    fn newest_first(&self, now: Instant) -> ByClass<bool> {
        Class::ALL.map(|class| self.settings.is_newest_first && self.is_standing(now, class))
    }

    /// Returns the mean interval between completions at full concurrency, or zero while unknown.
    fn completion_interval(&self) -> Duration {
        let per_s = self.limit.capacity_per_s();
        per_s.map_or(Duration::ZERO, |per_s| Duration::from_secs_f64(1.0 / per_s))
    }

    fn standing_wait(&self) -> Duration {
        let min_wait = Duration::from_millis(self.settings.standing_wait_ms);
        min_wait.max(self.completion_interval().mul_f64(STANDING_WAIT_INTERVALS))
    }

    fn max_wait(&self, now: Instant, class: Class) -> Duration {
        let standing = self.standing_wait();
        if self.is_standing(now, class) {
            return standing;
        }
        standing.max(Duration::from_millis(self.settings.wait_ms))
    }

    fn max_queue(&self) -> usize {
        let wait = Duration::from_millis(self.settings.wait_ms);
        let interval = self.completion_interval();
        if interval.is_zero() {
            return self.settings.max_queue;
        }
        let calls = wait.as_secs_f64() / interval.as_secs_f64();
        (calls as usize).max(MIN_QUEUE).min(self.settings.max_queue)
    }

    fn expected_wait(&self, now: Instant, entry: &Entry) -> Duration {
        if self.newest_first(now)[entry.class.index()] {
            return Duration::ZERO;
        }
        let calls_ahead = self.queue.calls_ahead(&entry.account, entry.weight, entry.class);
        self.completion_interval().mul_f64(calls_ahead as f64)
    }

    /// Records the latency of a call that ended without an answer. It is a lower bound, so it
    /// counts only if it exceeds the mean.
    fn add_censored(&mut self, latency: Duration, nested: Duration) {
        if self.limit.mean_latency().is_some_and(|mean| latency > mean) {
            self.limit.record_latency(latency, nested);
        }
    }
}
