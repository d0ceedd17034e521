//! Decides which calls run on the node's own target, which wait and which are refused.
//!
//! The gate trusts only what it sees itself: the latencies and outcomes of the calls that it let
//! through. A call that cannot be served in time is refused when that is known, never held until its
//! deadline. See docs/design/admission.md for the options and docs/operate/overload.md for operators.

mod event;
mod level;
mod limit;
mod queue;
mod run;
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
    level::Levels,
    limit::Limit,
    queue::{ByClass, Entry, Queue},
    run::Run,
    serde::Serialize,
    service::Service,
    std::{collections::HashMap, time::Duration},
};

/// The shortest queue, in calls, however slow the target is.
const MIN_QUEUE: usize = 8;
/// The wait that a standing queue may have, in mean times between two completions.
const STANDING_GAPS: f64 = 8.0;
/// Refusals further apart than this belong to two overloads.
const CALM: Duration = Duration::from_millis(500);

/// The state of a gate, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// What the limit is doing.
    pub phase: Phase,
    /// The calls that may run at once.
    pub limit: u32,
    /// The calls that run.
    pub in_flight: usize,
    /// The calls that wait, by class.
    pub waiting: [usize; Class::ALL.len()],
    /// Whether calls of a class stand, so that waits are short and the newest ones go first.
    pub is_standing: [bool; Class::ALL.len()],
    /// The mean latency of the last window.
    pub latency: Option<Duration>,
    /// The latency that is expected where the target does not queue.
    pub expected_latency: Option<Duration>,
    /// The load that the target last reported. It takes no part in decisions.
    pub reported: Option<ReportedLoad>,
    /// What the nodes upstream are told.
    pub pressure: pressure::Report,
}

/// Admission in front of one target.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    limit: Limit,
    queue: Queue,
    running: HashMap<id::Call, Run>,
    service: Service,
    levels: Levels,
    reported: Option<ReportedLoad>,
    above_since: ByClass<Option<Instant>>,
    refused_since: Option<Instant>,
    last_refused: Instant,
}

impl Controller {
    /// Makes the gate of a target with the published number of slots. A target that was started
    /// just now is cold and gets its full share of calls step by step.
    pub fn new(settings: Settings, slots: u32, is_cold: bool, now: Instant) -> Self {
        let credit = Duration::from_millis(settings.credit_ms);
        let floor = Duration::from_millis(settings.floor_ms);
        Self {
            limit: Limit::new(settings.limit.clone(), slots, is_cold, now),
            queue: Queue::new(credit, floor),
            running: HashMap::new(),
            service: Service::default(),
            levels: Levels::new(now),
            reported: None,
            above_since: Default::default(),
            refused_since: None,
            last_refused: now,
            settings,
        }
    }

    /// Takes in a new published number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.limit.resize(slots);
    }

    /// Decides on a call. A queued call ends its wait in a [`Release`] of a later method.
    pub fn offer(&mut self, now: Instant, call: id::Call, ask: &Request) -> OfferResult {
        let mut releases = self.tick(now);
        let decision = self.decide(now, call, ask, &mut releases);
        if matches!(decision, Decision::Refused(refusal) if refusal.reason == Reason::Overload) {
            self.levels.refused(ask.class, &ask.account);
        }
        self.observe(now);
        OfferResult { decision, releases }
    }

    /// Notes the end of a call that ran, and releases calls that waited for its place.
    pub fn complete(&mut self, now: Instant, call: id::Call, ended: Completion) -> Vec<Release> {
        let Some(run) = self.running.remove(&call) else { return Vec::new() };
        let nested = run.nested(now).min(ended.latency);
        match ended.kind {
            CallResult::Ok => {
                self.limit.sample(ended.latency, nested);
                self.service.sample(now, run.class, ended.latency);
            }
            CallResult::Shed => self.limit.shed(),
            CallResult::Cancelled | CallResult::Broken => {
                self.sample_censored(ended.latency, nested)
            }
            CallResult::Failed => {}
        }
        self.tick(now)
    }

    /// Notes that the target opened a nested call while it ran `call`. The time until
    /// [`Controller::nested_call_ended`] is not the target's own.
    pub fn nested_call_started(&mut self, now: Instant, call: id::Call) {
        if let Some(run) = self.running.get_mut(&call) {
            run.nest(now);
        }
    }

    /// Notes that a nested call of `call` ended.
    pub fn nested_call_ended(&mut self, now: Instant, call: id::Call) {
        if let Some(run) = self.running.get_mut(&call) {
            run.unnest(now);
        }
    }

    /// Forgets a call that waits and is no longer wanted. Returns whether it was waiting, and so
    /// did not run. A call that runs is ended by [`Controller::complete`].
    pub fn cancel(&mut self, now: Instant, call: id::Call) -> bool {
        let was_waiting = self.queue.remove(call).is_some();
        self.observe(now);
        was_waiting
    }

    /// Ends waits whose time has come. The driver calls it at least every 10 ms while calls wait.
    pub fn tick(&mut self, now: Instant) -> Vec<Release> {
        self.limit.tick(now, self.running.len());
        let mut releases = Vec::new();
        self.expire(now, &mut releases);
        self.pump(now, &mut releases);
        self.observe(now);
        releases
    }

    /// Notes the load that the target reports. It is shown to operators and decides nothing.
    pub fn report_load(&mut self, hint: ReportedLoad) {
        self.reported = Some(hint);
    }

    /// Returns the number of calls that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns what the nodes upstream should know.
    pub fn pressure(&self, now: Instant) -> pressure::Report {
        let oldest = Class::ALL.into_iter().filter_map(|class| self.queue.oldest(class)).min();
        pressure::Report {
            in_flight: self.running.len() as u32,
            limit: self.limit.calls(),
            queue_delay: oldest.map_or(Duration::ZERO, |arrived| now - arrived),
            latency: self.limit.mean().unwrap_or_default(),
            retry_after: self.retry_after(now),
            slices: self.levels.slices(),
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            phase: self.limit.phase(),
            limit: self.limit.calls(),
            in_flight: self.running.len(),
            waiting: Class::ALL.map(|class| self.queue.len_of(class)),
            is_standing: Class::ALL.map(|class| self.is_standing(now, class)),
            latency: self.limit.mean(),
            expected_latency: self.limit.expected(),
            reported: self.reported,
            pressure: self.pressure(now),
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        call: id::Call,
        ask: &Request,
        releases: &mut Vec<Release>,
    ) -> Decision {
        let class = self.class(ask);
        self.levels.offered(ask.class, &ask.account);
        self.queue.want(class, now);
        let remaining = ask.deadline - now;
        let service = self.service.expected(now, ask.class);
        if remaining.is_zero() || remaining < service {
            return Decision::Refused(Refusal::not_run(Reason::Deadline));
        }
        if self.queue.is_empty() && self.running.len() < self.limit.calls() as usize {
            let account = self.account(ask);
            self.queue.pass(&account, ask.weight, class);
            self.running.insert(call, Run::new(ask.class));
            return Decision::Run;
        }
        let entry = self.entry(now, call, ask, ask.deadline - service);
        if self.wait_of(now, &entry) + service > remaining {
            return Decision::Refused(self.refusal(now));
        }
        self.enqueue(now, entry, releases)
    }

    fn enqueue(&mut self, now: Instant, entry: Entry, releases: &mut Vec<Release>) -> Decision {
        let is_due = self.queue.is_starved(entry.class, now);
        if self.queue.len() >= self.max_queue() && !is_due {
            let is_newest_first = self.newest_first(now);
            let Some(victim) = self.queue.evict(now, &entry, &is_newest_first) else {
                return Decision::Refused(self.refusal(now));
            };
            self.give_up(now, &victim, releases);
        }
        self.queue.push(entry);
        Decision::Queued
    }

    fn class(&self, ask: &Request) -> Class {
        if self.settings.is_fair { ask.class } else { Class::Browse }
    }

    fn account(&self, ask: &Request) -> Option<id::Account> {
        if self.settings.is_fair { ask.account.clone() } else { None }
    }

    fn entry(&self, now: Instant, call: id::Call, ask: &Request, give_up: Instant) -> Entry {
        Entry {
            call,
            account: self.account(ask),
            weight: ask.weight,
            class: self.class(ask),
            depth: ask.depth,
            arrived: now,
            give_up,
            origin: (ask.class, ask.account.clone()),
        }
    }

    fn expire(&mut self, now: Instant, releases: &mut Vec<Release>) {
        let max_wait = Class::ALL.map(|class| self.max_wait(now, class));
        while let Some(entry) = self.queue.expire(now, &max_wait) {
            self.give_up(now, &entry, releases);
        }
    }

    fn pump(&mut self, now: Instant, releases: &mut Vec<Release>) {
        let is_newest_first = self.newest_first(now);
        while self.running.len() < self.limit.calls() as usize {
            let Some(entry) = self.queue.pop(now, &is_newest_first) else { break };
            self.running.insert(entry.call, Run::new(entry.origin.0));
            releases.push(Release::Run(entry.call));
        }
    }

    fn give_up(&mut self, now: Instant, entry: &Entry, releases: &mut Vec<Release>) {
        let (class, account) = &entry.origin;
        self.levels.refused(*class, account);
        let refusal = self.refusal(now);
        releases.push(Release::Refuse(entry.call, refusal));
    }

    fn refusal(&mut self, now: Instant) -> Refusal {
        let is_new = now - self.last_refused > CALM;
        self.last_refused = now;
        if is_new || self.refused_since.is_none() {
            self.refused_since = Some(now);
        }
        Refusal::not_run(Reason::Overload).after(self.retry_after(now))
    }

    /// An overload that has lasted for a time is expected to last as long again, and half of that
    /// brings callers back soon after its end.
    fn retry_after(&self, now: Instant) -> Duration {
        let age = match self.refused_since {
            Some(since) if now - self.last_refused <= CALM => now - since,
            _ => Duration::ZERO,
        };
        let min = Duration::from_millis(self.settings.min_retry_after_ms);
        let max = Duration::from_millis(self.settings.max_retry_after_ms);
        (age / 2).clamp(min, max)
    }

    /// Updates what depends on the state after an event.
    fn observe(&mut self, now: Instant) {
        let in_flight = self.running.len();
        self.limit.used(in_flight + self.queue.len());
        let has_room = self.queue.is_empty() && in_flight < self.limit.calls() as usize;
        let is_standing = Class::ALL.map(|class| self.is_standing(now, class));
        self.levels.tick(now, has_room, is_standing);
        let target = self.standing_wait() / 2;
        for class in Class::ALL {
            let oldest = self.queue.oldest(class);
            let is_above = oldest.is_some_and(|arrived| now - arrived > target);
            let since = &mut self.above_since[class.index()];
            *since = is_above.then(|| since.unwrap_or(now));
        }
    }

    fn is_standing(&self, now: Instant, class: Class) -> bool {
        let after = Duration::from_millis(self.settings.standing_after_ms);
        self.above_since[class.index()].is_some_and(|since| now - since >= after)
    }

    fn newest_first(&self, now: Instant) -> ByClass<bool> {
        Class::ALL.map(|class| self.settings.is_newest_first && self.is_standing(now, class))
    }

    /// The mean time between two completions while the limit is used up.
    fn gap(&self) -> Duration {
        let per_s = self.limit.capacity_per_s();
        per_s.map_or(Duration::ZERO, |per_s| Duration::from_secs_f64(1.0 / per_s))
    }

    fn standing_wait(&self) -> Duration {
        let floor = Duration::from_millis(self.settings.standing_wait_ms);
        floor.max(self.gap().mul_f64(STANDING_GAPS))
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
        let gap = self.gap();
        if gap.is_zero() {
            return self.settings.max_queue;
        }
        let calls = wait.as_secs_f64() / gap.as_secs_f64();
        (calls as usize).max(MIN_QUEUE).min(self.settings.max_queue)
    }

    fn wait_of(&self, now: Instant, entry: &Entry) -> Duration {
        if self.newest_first(now)[entry.class.index()] {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(&entry.account, entry.weight, entry.class);
        self.gap().mul_f64(ahead as f64)
    }

    /// A call that was given up counts only where it shows that latency is above the mean.
    fn sample_censored(&mut self, latency: Duration, nested: Duration) {
        if self.limit.mean().is_some_and(|mean| latency > mean) {
            self.limit.sample(latency, nested);
        }
    }
}
