//! Recently completed requests, which are assumed not to crash their target.

use {
    crate::time::Instant,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

#[derive(Debug)]
pub(super) struct CompletedRequests {
    max: usize,
    completed: HashMap<u64, Instant>,
    order: VecDeque<(Instant, u64)>,
}

impl CompletedRequests {
    pub fn new(max: usize) -> Self {
        Self { max, completed: HashMap::new(), order: VecDeque::new() }
    }

    pub fn add(&mut self, now: Instant, fingerprint: u64) {
        self.completed.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while self.order.len() > self.max {
            self.remove_oldest();
        }
    }

    pub fn contains(&self, now: Instant, fingerprint: u64, lifetime: Duration) -> bool {
        self.completed.get(&fingerprint).is_some_and(|at| now - *at < lifetime)
    }

    pub fn tick(&mut self, now: Instant, lifetime: Duration) {
        while self.order.front().is_some_and(|(at, _)| now - *at >= lifetime) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else { return };
        if self.completed.get(&fingerprint) == Some(&at) {
            self.completed.remove(&fingerprint);
        }
    }
}
