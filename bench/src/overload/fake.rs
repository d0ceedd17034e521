//! A fake target with slots, random service times and its own queue.

use {
    super::case::Pool,
    monsoon_lib::time::Instant,
    rand::{Rng, RngExt},
    std::{collections::VecDeque, time::Duration},
};

/// The time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1);
/// The factor on the service times of a cold target.
const COLD_FACTOR: f64 = 3.0;
/// The exponent with which service times grow in the ratio of busy slots to the knee.
const CONTENTION_EXPONENT: f64 = 1.5;
/// The number of calls after which a restarted target is warm.
const WARM_CALLS: u32 = 300;

/// How a target handles a new call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// The call runs for the given time.
    Working(Duration),
    /// The call waits in the target's own queue.
    Waiting,
    /// The call is shed without running.
    Shed,
}

/// A fake target.
#[derive(Debug)]
pub struct Target {
    slots: usize,
    knee: usize,
    service: Duration,
    is_shedding: bool,
    busy: usize,
    waiting: VecDeque<u64>,
    connections: usize,
    cold_calls: u32,
}

impl Target {
    /// Creates a warm target without open connections.
    pub fn new(pool: &Pool) -> Self {
        Self {
            slots: pool.slots as usize,
            knee: pool.knee as usize,
            service: pool.service,
            is_shedding: pool.is_shedding,
            busy: 0,
            waiting: VecDeque::new(),
            connections: 0,
            cold_calls: 0,
        }
    }

    /// Makes the target cold and closes its idle connections, as a restart does.
    pub fn restart(&mut self) {
        self.connections = self.busy;
        self.cold_calls = WARM_CALLS;
    }

    /// Receives a call and starts, queues or sheds it.
    pub fn receive(&mut self, call: u64, slowdown: f64, rng: &mut impl Rng) -> Disposition {
        let needs_connection = self.busy + self.waiting.len() >= self.connections;
        let connect_time = if needs_connection { CONNECT_TIME } else { Duration::ZERO };
        self.connections += usize::from(needs_connection);
        if self.busy < self.slots {
            return Disposition::Working(connect_time + self.begin(slowdown, rng));
        }
        if self.is_shedding {
            return Disposition::Shed;
        }
        self.waiting.push_back(call);
        Disposition::Waiting
    }

    /// Frees the slot of a call that has run.
    pub fn release(&mut self) {
        self.busy -= 1;
    }

    /// Removes the next call from the target's own queue, if a slot is free.
    pub fn next(&mut self) -> Option<u64> {
        if self.busy < self.slots { self.waiting.pop_front() } else { None }
    }

    /// Removes a call from the target's own queue.
    pub fn remove_queued(&mut self, call: u64) {
        self.waiting.retain(|other| *other != call);
    }

    /// Starts a call in a free slot and returns its service time.
    pub fn begin(&mut self, slowdown: f64, rng: &mut impl Rng) -> Duration {
        self.busy += 1;
        let is_cold = self.cold_calls > 0;
        self.cold_calls = self.cold_calls.saturating_sub(1);
        let cold_factor = if is_cold { COLD_FACTOR } else { 1.0 };
        let contention = (self.busy as f64 / self.knee as f64).max(1.0).powf(CONTENTION_EXPONENT);
        self.service.mul_f64(slowdown * cold_factor * contention * exponential(rng))
    }

    /// Returns the fraction of the slots that are busy.
    pub fn load(&self) -> f64 {
        self.busy as f64 / self.slots as f64
    }
}

/// Returns a sample of the exponential distribution with mean 1.
pub fn exponential(rng: &mut impl Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}

/// Returns the time of the next arrival of a Poisson process with the given rate.
pub fn next_arrival(now: Instant, per_s: f64, rng: &mut impl Rng) -> Instant {
    now + Duration::from_secs_f64(exponential(rng) / per_s)
}
