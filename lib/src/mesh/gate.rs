//! Admission control for a target with a published number of slots and no other source of load.
//!
//! The number of calls in flight never exceeds the slots, because an overfull target may never
//! answer. Further calls wait in a short queue ordered by rank, and are refused at once if the
//! expected wait would use up their latency objective. The limit is not adaptive: a slow target
//! raises the mean latency, and with it the expected wait.

use {
    crate::{id, pressure, time::Instant},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

/// The weight of a new sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.05;
/// The mean latency assumed before the first sample.
const INITIAL_MEAN_LATENCY_S: f64 = 0.05;
/// The largest expected wait at arrival, as a fraction of the latency objective.
const MAX_EXPECTED_WAIT_FRACTION: f64 = 0.5;
/// The longest actual wait before a queued call is refused, as a fraction of the latency objective.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// The largest queue length per slot of the target.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// The shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// The queueing order of calls, lowest first: by rank of the account, rank of the route, earlier
/// refusals of the caller, and a hash of the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Rank {
    /// The rank of the account, or 0 if there is none.
    pub account: u32,
    /// The rank of the route.
    pub route: u32,
    /// Whether this is the first attempt of the caller. Repeated attempts go first, because a
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
    mean_latency_s: f64,
}

impl Gate {
    /// Creates the gate of a target with the given number of slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: HashSet::new(),
            queue: BTreeMap::new(),
            queue_keys: HashMap::new(),
            mean_latency_s: INITIAL_MEAN_LATENCY_S,
        }
    }

    /// Sets the published number of slots. Calls in flight are not affected.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots as usize;
    }

    /// Admits, queues or refuses a new call.
    pub fn offer(&mut self, now: Instant, call: id::Call, request: &AdmissionRequest) -> Decision {
        if self.queue.is_empty() && self.running.len() < self.slots {
            self.running.insert(call);
            return Decision::Run;
        }
        let due_at = now + request.objective;
        let key = QueueKey { rank: request.rank, due_at, call };
        let wait = self.expected_wait(self.queue.range(..key).count());
        let max_wait =
            request.objective.mul_f64(MAX_EXPECTED_WAIT_FRACTION).min(request.deadline - now);
        if wait > max_wait || self.queue.len() >= self.slots * MAX_QUEUED_PER_SLOT {
            return Decision::Refused(self.retry_after());
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
            self.mean_latency_s +=
                LATENCY_SAMPLE_WEIGHT * (latency.as_secs_f64() - self.mean_latency_s);
        }
        self.tick(now)
    }

    /// Removes a queued call whose caller has gone away. Returns whether it was queued.
    pub fn cancel(&mut self, call: id::Call) -> bool {
        let key = self.queue_keys.remove(&call);
        key.is_some_and(|key| self.queue.remove(&key).is_some())
    }

    /// Refuses calls that waited too long, and starts queued calls while there are free slots.
    pub fn tick(&mut self, now: Instant) -> Vec<Release> {
        let mut releases = Vec::new();
        let expired: Vec<QueueKey> = self
            .queue
            .iter()
            .filter(|(_, refuse_at)| **refuse_at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.dequeue(&key);
            releases.push(Release::Refuse(key.call, self.retry_after()));
        }
        while self.running.len() < self.slots {
            let Some((key, _)) = self.queue.first_key_value() else { break };
            let key = *key;
            self.dequeue(&key);
            self.running.insert(key.call);
            releases.push(Release::Run(key.call));
        }
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

    /// Returns the load report for other nodes.
    pub fn report(&self) -> pressure::Report {
        let queue_delay = match self.running.len() < self.slots {
            true => Duration::ZERO,
            false => self.expected_wait(self.queue.len()),
        };
        pressure::Report {
            in_flight: (self.running.len() + self.queue.len()) as u32,
            limit: self.slots as u32,
            queue_delay,
            latency: Duration::from_secs_f64(self.mean_latency_s),
            retry_after: self.retry_after(),
            slices: Vec::new(),
        }
    }

    fn dequeue(&mut self, key: &QueueKey) {
        self.queue.remove(key);
        self.queue_keys.remove(&key.call);
    }

    /// Returns the expected wait of a call behind `ahead` queued calls.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let slots = self.slots.max(1) as f64;
        Duration::from_secs_f64((ahead + 1) as f64 * self.mean_latency_s / slots)
    }

    /// Returns the retry delay for refused callers: twice the expected time to drain the queue.
    /// By then there is room again, unless new calls have arrived.
    pub fn retry_after(&self) -> Duration {
        (self.expected_wait(self.queue.len()) * 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
