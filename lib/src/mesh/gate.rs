//! Admission control for a target with a published number of slots and no other source of load.
//!
//! The number of calls in flight never exceeds the slots, because an overfull target may never
//! answer. Further calls wait in a short queue ordered by rank, and are refused at once if the
//! expected wait would use up their latency objective. A slow target raises the mean latency, and with
//! it the expected wait. The limit is lower than the slots only while calls wait and a trial has
//! shown that the target finishes more calls that way ([`Knee`]).
//!
//! A target may name a limit on its requests per second. All its requests pass this gate, so the
//! limit is kept here, whichever nodes the requests come from. The same holds for the bound on a cold
//! target. The smallest of slots, limit and bound applies.

use {
    super::{
        announcement::{Limit, Pace},
        cold,
        evacuation::NO_TARGET_RETRY_AFTER,
        knee::{self, Knee},
        pace,
        throttle::Throttle,
    },
    crate::{id, pressure, time::Instant, unit::RequestRate},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

/// The largest expected wait at arrival, as a fraction of the latency objective.
const MAX_EXPECTED_WAIT_FRACTION: f64 = 0.5;
/// The longest actual wait before a queued call is refused, as a fraction of the latency objective.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// The largest queue length per slot of the target.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// The number of concurrent calls until the target has responded for the first time. It may have
/// named a low limit to an earlier process of this node.
const MAX_CALLS_BEFORE_RESPONSE: usize = 8;
/// The shortest retry delay given to a refused caller.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The longest retry delay given to a refused caller.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// The queueing order of calls, lowest first: by rank of the account, rank of the route, earlier
/// refusals of the caller, and a hash of the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Rank {
    /// The rank of the account, or 0 if there is none.
    pub account: u32,
    /// The rank of the route.
    pub route: u32,
    /// Whether this is the first attempt of the caller, or one that is queued like it because the
    /// caller did not wait or is late. Callers that returned as they were told go first, because a
    /// second refusal is worse than a first one.
    pub is_first_attempt: bool,
    /// Breaks ties. All calls that follow from one request have the same bucket, so that under
    /// overload some requests succeed completely instead of all of them partially.
    pub hash_bucket: u8,
}

/// The properties of a call that decide on its admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The queueing order of the call.
    pub rank: Rank,
    /// The latency objective, from now.
    pub objective: Duration,
    /// The time after which the caller does not wait for an answer any more.
    pub deadline: Instant,
}

/// The decision on a new call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call runs now.
    Run,
    /// The call is queued. A [`Release`] ends the wait, or the driver cancels the call at this
    /// time.
    Queued(Instant),
    /// The call is refused; the caller may retry after this delay.
    Refused(Duration),
}

/// The outcome for a queued call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Release {
    /// The call runs now.
    Run(id::Call),
    /// The call is refused; the caller may retry after this delay.
    Refuse(id::Call, Duration),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    rank: Rank,
    due_at: Instant,
    call: id::Call,
}

/// Admission control for one target.
#[derive(Debug)]
pub struct Gate {
    slots: usize,
    running: HashSet<id::Call>,
    /// The queued calls in order, with the time at which each is refused.
    queue: BTreeMap<QueueKey, Instant>,
    queue_keys: HashMap<id::Call, QueueKey>,
    pace: pace::Tracker,
    knee: Knee,
    throttle: Option<Throttle>,
    cold: cold::Guard,
    has_response: bool,
    is_evacuated: bool,
}

impl Gate {
    /// Creates the gate of a target with the given number of slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: HashSet::new(),
            queue: BTreeMap::new(),
            queue_keys: HashMap::new(),
            pace: pace::Tracker::default(),
            knee: Knee::default(),
            throttle: None,
            cold: cold::Guard::default(),
            has_response: false,
            is_evacuated: false,
        }
    }

    /// Returns the bound on the target while it is cold.
    pub fn cold(&self) -> &cold::Guard {
        &self.cold
    }

    /// Returns the bound on the target while it is cold, for modification.
    pub fn cold_mut(&mut self) -> &mut cold::Guard {
        &mut self.cold
    }

    /// Sets the published number of slots. Calls in flight are not affected.
    pub fn resize(&mut self, slots: u32) {
        if self.slots != slots as usize {
            self.knee.reset();
        }
        self.slots = slots as usize;
    }

    /// Sets whether the data centre of the target is evacuated. New calls are refused then, and the
    /// next [`Gate::tick`] refuses the queued ones. Calls in flight are not affected.
    pub fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    /// Returns whether calls are refused because the data centre of the target is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Forgets what the target said, since another instance has taken its place.
    pub fn forget_target(&mut self) {
        self.throttle = None;
        self.has_response = false;
        self.pace.forget_target();
        self.knee.reset();
        self.cold.forget_excess();
    }

    /// Records the limit that the target named in a response. Returns whether it began or ceased to
    /// name one.
    pub fn record_limit(&mut self, now: Instant, limit: Limit) -> bool {
        self.has_response = true;
        let was_limited = self.throttle.is_some();
        match (limit, &mut self.throttle) {
            (Limit::None, _) => self.throttle = None,
            (Limit::Rate(rate), Some(throttle)) => throttle.set_limit(now, rate),
            (Limit::Rate(rate), None) => self.throttle = Some(Throttle::new(now, rate)),
            (Limit::Malformed, _) => {}
        }
        self.throttle.is_some() != was_limited
    }

    /// Records the pace that the target named in a response.
    pub fn record_pace(&mut self, now: Instant, pace: Pace) {
        self.pace.record_pace(now, pace);
    }

    /// Returns the pace that the target named last, unless it is too old.
    pub fn pace(&self, now: Instant) -> Option<Pace> {
        self.pace.pace(now)
    }

    /// Returns the number of calls that may run at the same time.
    pub fn concurrency_limit(&self) -> usize {
        self.knee.limit().of(self.slots)
    }

    /// Returns the limit on requests per second that the target names.
    pub fn limit(&self) -> Option<RequestRate> {
        self.throttle.map(|throttle| throttle.limit())
    }

    /// Returns the rate at which calls may start now: the limit that the target names or the bound on
    /// a cold target, whichever is less.
    pub fn rate_limit(&self, now: Instant) -> Option<RequestRate> {
        let rates = self.limit().into_iter().chain(self.cold.rate(now));
        rates.min_by(|a, b| a.per_second().total_cmp(&b.per_second()))
    }

    /// Admits, queues or refuses a new call.
    pub fn offer(&mut self, now: Instant, call: id::Call, request: &AdmissionRequest) -> Decision {
        if self.is_evacuated {
            return Decision::Refused(NO_TARGET_RETRY_AFTER);
        }
        if self.queue.is_empty() && self.try_start(now) {
            self.running.insert(call);
            return Decision::Run;
        }
        if self.has_free_slot() && !self.cold.wait(now, 0).is_zero() {
            self.cold.record_held_back();
        }
        let due_at = now + request.objective;
        let key = QueueKey { rank: request.rank, due_at, call };
        let wait = self.expected_wait(now, self.queue.range(..key).count());
        let max_wait =
            request.objective.mul_f64(MAX_EXPECTED_WAIT_FRACTION).min(request.deadline - now);
        if wait > max_wait || self.queue.len() >= self.slots * MAX_QUEUED_PER_SLOT {
            return Decision::Refused(self.retry_after(now));
        }
        let refuse_at = (now + request.objective.mul_f64(MAX_WAIT_FRACTION)).min(request.deadline);
        self.queue.insert(key, refuse_at);
        self.queue_keys.insert(call, key);
        Decision::Queued(refuse_at)
    }

    /// Records the end of a running call and returns the queued calls that are released by it.
    /// `latency` is the time that the target took, if it answered.
    pub fn finish(
        &mut self,
        now: Instant,
        call: id::Call,
        latency: Option<Duration>,
    ) -> Vec<Release> {
        if self.running.remove(&call)
            && let Some(latency) = latency
        {
            let pace = self.pace.record_call(now, latency);
            pace.into_iter().for_each(|pace| self.knee.record_call(now, latency, pace));
        }
        self.tick(now)
    }

    /// Removes a queued call whose caller has gone away. Returns whether it was queued.
    pub fn cancel(&mut self, call: id::Call) -> bool {
        let key = self.queue_keys.remove(&call);
        key.is_some_and(|key| self.queue.remove(&key).is_some())
    }

    /// Returns when the limit that the target named and the bound on a cold target let the next
    /// queued call start. `None` if no call waits for that; the end of a running call may still start
    /// one.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let is_bound = self.rate_limit(now).is_some();
        let is_waiting = is_bound && !self.queue.is_empty() && self.has_free_slot();
        is_waiting.then(|| now + self.rate_wait(now, 0))
    }

    /// Refuses calls that waited too long, or all if the data centre is evacuated, and starts queued
    /// calls while there are free slots.
    pub fn tick(&mut self, now: Instant) -> Vec<Release> {
        let mut releases = Vec::new();
        let expired: Vec<QueueKey> = self
            .queue
            .iter()
            .filter(|(_, refuse_at)| self.is_evacuated || **refuse_at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.dequeue(&key);
            releases.push(Release::Refuse(key.call, self.retry_after(now)));
        }
        while let Some((key, _)) = self.queue.first_key_value() {
            let key = *key;
            if !self.try_start(now) {
                break;
            }
            self.dequeue(&key);
            self.running.insert(key.call);
            releases.push(Release::Run(key.call));
        }
        self.update_knee(now);
        releases
    }

    /// Returns the number of running calls.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the mean time of calls at the present pace of the target.
    pub fn mean_time(&self, now: Instant) -> Duration {
        Duration::from_secs_f64(self.pace.latency_s(now))
    }

    /// Returns the load report for other nodes. A limit or bound on requests per second is reported as
    /// the number of concurrent calls that it amounts to.
    pub fn report(&self, now: Instant) -> pressure::Report {
        let by_rate = self.rate_limit(now).map_or(usize::MAX, |rate| {
            (rate.per_second() * self.pace.latency_s(now)).ceil() as usize
        });
        let queue_delay = self.expected_wait(now, self.queue.len());
        pressure::Report {
            in_flight: (self.running.len() + self.queue.len()) as u32,
            limit: self.concurrency_limit().min(by_rate).max(1) as u32,
            queue_delay,
            latency: self.mean_time(now),
            retry_after: self.retry_after(now),
            slices: Vec::new(),
        }
    }

    fn dequeue(&mut self, key: &QueueKey) {
        self.queue.remove(key);
        self.queue_keys.remove(&key.call);
    }

    fn has_free_slot(&self) -> bool {
        let slots = match self.has_response {
            true => self.concurrency_limit(),
            false => self.concurrency_limit().min(MAX_CALLS_BEFORE_RESPONSE),
        };
        self.running.len() < slots
    }

    /// Tries and selects concurrency limits while calls wait for a slot.
    fn update_knee(&mut self, now: Instant) {
        let is_contended = !self.queue.is_empty() && self.running.len() >= self.concurrency_limit();
        let latency_s = self.pace.latency_s(now);
        let change = self.knee.tick(now, self.slots, is_contended, latency_s);
        if let Some(knee::Change { limit, gain }) = change {
            let (limit, slots) = (limit.of(self.slots), self.slots);
            log::info!(limit, slots, gain; "concurrency limit changed");
        }
    }

    /// Returns whether a call may start now, and counts it against the target's limit and the bound on
    /// a cold target if so.
    fn try_start(&mut self, now: Instant) -> bool {
        if !self.has_free_slot() || !self.cold.may_start(now) {
            return false;
        }
        let is_started = self.throttle.as_mut().is_none_or(|throttle| throttle.try_start(now));
        if is_started {
            self.cold.record_start(now);
        }
        is_started
    }

    /// Returns the time for which a call behind `ahead` queued calls waits for the target's limit and
    /// for the bound on a cold target.
    fn rate_wait(&self, now: Instant, ahead: usize) -> Duration {
        let for_limit = self.throttle.map(|throttle| throttle.wait(now, ahead));
        for_limit.unwrap_or_default().max(self.cold.wait(now, ahead))
    }

    /// Returns the expected wait of a call behind `ahead` queued calls.
    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let for_slot = match self.has_free_slot() {
            true => Duration::ZERO,
            false => {
                let slots = self.concurrency_limit().max(1) as f64;
                Duration::from_secs_f64((ahead + 1) as f64 * self.pace.latency_s(now) / slots)
            }
        };
        for_slot.max(self.rate_wait(now, ahead))
    }

    /// Returns the retry delay for refused callers: twice the expected time to drain the queue.
    /// By then there is room again, unless new calls have arrived.
    pub fn retry_after(&self, now: Instant) -> Duration {
        if self.is_evacuated {
            return NO_TARGET_RETRY_AFTER;
        }
        (self.expected_wait(now, self.queue.len()) * 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
