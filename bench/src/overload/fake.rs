//! A fake target: slots, random service times, a queue of its own.

use {
    super::case::Pool,
    monsoon_lib::time::Instant,
    rand::{Rng, RngExt},
    std::{collections::VecDeque, time::Duration},
};

/// The time to open one connection.
const CONNECT: Duration = Duration::from_millis(1);
/// The factor on the service times of a target that was just started.
const COLD_FACTOR: f64 = 3.0;
/// The power of the busy slots over the knee with which all work becomes slower.
const CROWD_POWER: f64 = 1.5;
/// The calls after which a target is warm.
const WARM_CALLS: u32 = 300;

/// What a target does with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reception {
    /// It works on it for the given time.
    Working(Duration),
    /// It waits in the target's own queue.
    Waiting,
    /// It is shed and did not run.
    Shed,
}

/// One target.
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
    /// Makes a warm target without connections.
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

    /// Makes the next calls slow and closes all connections, as a restart does.
    pub fn restart(&mut self) {
        self.connections = self.busy;
        self.cold_calls = WARM_CALLS;
    }

    /// Takes a call.
    pub fn receive(&mut self, call: u64, slowness: f64, rng: &mut impl Rng) -> Reception {
        let is_new = self.busy + self.waiting.len() >= self.connections;
        let set_up = if is_new { CONNECT } else { Duration::ZERO };
        self.connections += usize::from(is_new);
        if self.busy < self.slots {
            return Reception::Working(set_up + self.begin(slowness, rng));
        }
        if self.is_shedding {
            return Reception::Shed;
        }
        self.waiting.push_back(call);
        Reception::Waiting
    }

    /// Frees the slot of a call that was worked on.
    pub fn release(&mut self) {
        self.busy -= 1;
    }

    /// Takes the next call from the target's own queue, if a slot is free.
    pub fn next(&mut self) -> Option<u64> {
        if self.busy < self.slots { self.waiting.pop_front() } else { None }
    }

    /// Forgets a call that waits in the target's own queue.
    pub fn forget(&mut self, call: u64) {
        self.waiting.retain(|other| *other != call);
    }

    /// Starts work on a call in a free slot, and returns how long it takes.
    pub fn begin(&mut self, slowness: f64, rng: &mut impl Rng) -> Duration {
        self.busy += 1;
        let is_cold = self.cold_calls > 0;
        self.cold_calls = self.cold_calls.saturating_sub(1);
        let cold = if is_cold { COLD_FACTOR } else { 1.0 };
        let crowd = (self.busy as f64 / self.knee as f64).max(1.0).powf(CROWD_POWER);
        self.service.mul_f64(slowness * cold * crowd * exponential(rng))
    }

    /// Returns the part of the slots that is busy.
    pub fn load(&self) -> f64 {
        self.busy as f64 / self.slots as f64
    }
}

/// Draws from the exponential distribution with mean 1.
pub fn exponential(rng: &mut impl Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}

/// Returns the time of the next arrival of a Poisson process.
pub fn next_arrival(now: Instant, per_s: f64, rng: &mut impl Rng) -> Instant {
    now + Duration::from_secs_f64(exponential(rng) / per_s)
}
