//! Admission in front of a target whose slots are published and whose whole load passes here.
//!
//! In flight is never more than the slots, because a full target may never answer. What does not
//! fit waits in a short queue, ordered by rank, and is refused at once where the wait would use up
//! its latency objective. The limit does not adapt: a slow target shows in the latency, and with it
//! in the expected wait.

use {
    crate::{id, pressure, time::Instant},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

/// The weight of one latency in the mean.
const LATENCY_WEIGHT: f64 = 0.05;
/// The mean latency before any call ended.
const FIRST_LATENCY_S: f64 = 0.05;
/// The part of its objective that a call may wait, by the estimate at its arrival.
const WAIT_SHARE: f64 = 0.5;
/// The part of its objective after which a call that still waits is refused.
const HOLD_SHARE: f64 = 0.6;
/// The most calls that wait, in slots of the target.
const QUEUE_PER_SLOT: usize = 4;
/// The shortest time after which a refused caller may come again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The longest time after which a refused caller may come again.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// The order of calls: the account's rank, the route's rank, whether the caller was refused before,
/// and a lot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Rank {
    /// The account's rank, 0 where there is no account.
    pub account: u32,
    /// The route's rank.
    pub route: u32,
    /// Whether this is the first try of the caller. A second refusal is worse than a first one.
    pub is_first_attempt: bool,
    /// What decides among equals. It is the same for all calls that follow from one request, so that
    /// under overload some requests succeed whole instead of all in part.
    pub hash_bucket: u8,
}

/// What the gate has to know of a call.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Its rank.
    pub rank: Rank,
    /// The latency objective, from now.
    pub objective: Duration,
    /// When an answer is of no more use.
    pub deadline: Instant,
}

/// What the gate does with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It runs now.
    Run,
    /// It waits and comes back in a [`Release`], or the driver cancels it at this time.
    Queued(Instant),
    /// It is refused and may come back after this time.
    Refused(Duration),
}

/// The end of a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Release {
    /// The call runs now.
    Run(id::Call),
    /// The call is refused and may come back after this time.
    Refuse(id::Call, Duration),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    rank: Rank,
    due: Instant,
    call: id::Call,
}

/// Admission in front of one target.
#[derive(Debug)]
pub struct Gate {
    slots: usize,
    running: HashSet<id::Call>,
    /// When each call that waits is given up.
    queue: BTreeMap<Place, Instant>,
    places: HashMap<id::Call, Place>,
    mean_s: f64,
}

impl Gate {
    /// Makes the gate of a target with the given slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: HashSet::new(),
            queue: BTreeMap::new(),
            places: HashMap::new(),
            mean_s: FIRST_LATENCY_S,
        }
    }

    /// Takes in the published number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots as usize;
    }

    /// Decides on a call.
    pub fn offer(&mut self, now: Instant, call: id::Call, ask: &AdmissionRequest) -> Decision {
        if self.queue.is_empty() && self.running.len() < self.slots {
            self.running.insert(call);
            return Decision::Run;
        }
        let due = now + ask.objective;
        let place = Place { rank: ask.rank, due, call };
        let wait = self.wait_at(self.queue.range(..place).count());
        let bound = ask.objective.mul_f64(WAIT_SHARE).min(ask.deadline - now);
        if wait > bound || self.queue.len() >= self.slots * QUEUE_PER_SLOT {
            return Decision::Refused(self.retry_after());
        }
        let give_up = (now + ask.objective.mul_f64(HOLD_SHARE)).min(ask.deadline);
        self.queue.insert(place, give_up);
        self.places.insert(call, place);
        Decision::Queued(give_up)
    }

    /// Notes the end of a call that ran. `latency` is the time that the target took, where it gave
    /// an answer.
    pub fn finish(
        &mut self,
        now: Instant,
        call: id::Call,
        latency: Option<Duration>,
    ) -> Vec<Release> {
        if self.running.remove(&call)
            && let Some(latency) = latency
        {
            self.mean_s += LATENCY_WEIGHT * (latency.as_secs_f64() - self.mean_s);
        }
        self.tick(now)
    }

    /// Forgets a call that waits and is no longer wanted. Returns whether it was waiting.
    pub fn cancel(&mut self, call: id::Call) -> bool {
        let place = self.places.remove(&call);
        place.is_some_and(|place| self.queue.remove(&place).is_some())
    }

    /// Ends waits whose time has come.
    pub fn tick(&mut self, now: Instant) -> Vec<Release> {
        let mut releases = Vec::new();
        let late: Vec<Place> = self
            .queue
            .iter()
            .filter(|(_, give_up)| **give_up <= now)
            .map(|(place, _)| *place)
            .collect();
        for place in late {
            self.take(&place);
            releases.push(Release::Refuse(place.call, self.retry_after()));
        }
        while self.running.len() < self.slots {
            let Some((place, _)) = self.queue.first_key_value() else { break };
            let place = *place;
            self.take(&place);
            self.running.insert(place.call);
            releases.push(Release::Run(place.call));
        }
        releases
    }

    /// Returns the number of calls that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns what other nodes should know.
    pub fn report(&self) -> pressure::Report {
        let wait = match self.running.len() < self.slots {
            true => Duration::ZERO,
            false => self.wait_at(self.queue.len()),
        };
        pressure::Report {
            in_flight: (self.running.len() + self.queue.len()) as u32,
            limit: self.slots as u32,
            queue_delay: wait,
            latency: Duration::from_secs_f64(self.mean_s),
            retry_after: self.retry_after(),
            slices: Vec::new(),
        }
    }

    fn take(&mut self, place: &Place) {
        self.queue.remove(place);
        self.places.remove(&place.call);
    }

    /// The expected wait of a call with so many others before it.
    fn wait_at(&self, ahead: usize) -> Duration {
        let slots = self.slots.max(1) as f64;
        Duration::from_secs_f64((ahead + 1) as f64 * self.mean_s / slots)
    }

    /// A caller that comes back when the queue of now is gone finds room, unless others came.
    pub fn retry_after(&self) -> Duration {
        (self.wait_at(self.queue.len()) * 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
