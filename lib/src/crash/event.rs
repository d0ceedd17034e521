//! One crash of a target, and what nodes tell each other about it.

use {
    crate::{
        id::{Incarnation, Vm},
        time::Instant,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Identifies a crash, so that a copy of a message does not count twice.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The VM of the target.
    pub vm: Vm,
    /// The life of the node that saw the crash.
    pub incarnation: Incarnation,
    /// The place among all crashes that this life saw.
    pub sequence: u64,
}

/// A crash as one node tells it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Which crash.
    pub id: CrashId,
    /// How long ago it was when the message was made.
    pub age_ms: u64,
    /// The requests that were in flight.
    pub suspects: Vec<u64>,
    /// Those of them that are cleared.
    pub cleared: Vec<u64>,
}

/// Tells that requests have no part in a crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearing {
    /// The crash.
    pub crash: CrashId,
    /// The requests.
    pub fingerprints: Vec<u64>,
}

/// What one node passes on to another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Clearings of requests that were suspects of crashes passed on before.
    pub clearings: Vec<Clearing>,
}

/// A crash as a node remembers it.
#[derive(Debug)]
pub(super) struct Event {
    pub at: Instant,
    pub suspects: BTreeSet<u64>,
    pub cleared: BTreeSet<u64>,
    /// How often the crash was passed on.
    pub rounds: u32,
    clearings: BTreeMap<u64, u32>,
}

impl Event {
    pub fn new(now: Instant, at: Instant, suspects: BTreeSet<u64>) -> Self {
        let at = at.min(now);
        Self { at, suspects, cleared: BTreeSet::new(), rounds: 0, clearings: BTreeMap::new() }
    }

    /// Returns the suspects that are not cleared.
    pub fn blamed(&self) -> impl Iterator<Item = u64> {
        self.suspects.difference(&self.cleared).copied()
    }

    /// Clears suspects.
    pub fn clear(&mut self, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            if self.suspects.contains(fingerprint) && self.cleared.insert(*fingerprint) {
                self.clearings.insert(*fingerprint, 0);
            }
        }
    }

    /// Returns at most `max` clearings that are to be passed on once more.
    pub fn news(&mut self, rounds: u32, max: usize) -> Vec<u64> {
        self.clearings.retain(|_, passed| *passed < rounds);
        let news = self.clearings.iter_mut().take(max);
        let pass = |(fingerprint, passed): (&u64, &mut u32)| {
            *passed += 1;
            *fingerprint
        };
        news.map(pass).collect()
    }

    pub fn to_crash(&self, now: Instant, id: CrashId) -> Crash {
        let age_ms = u64::try_from((now - self.at).as_millis()).unwrap_or(u64::MAX);
        let suspects = self.suspects.iter().copied().collect();
        Crash { id, age_ms, suspects, cleared: self.cleared.iter().copied().collect() }
    }
}
