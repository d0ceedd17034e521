//! Crash records and the messages about them between nodes.

use {
    crate::{
        id::{Incarnation, Vm},
        time::Instant,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{Hash as _, Hasher as _},
    },
};

/// Identifies a crash, so that a duplicated message does not count twice.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The VM of the target.
    pub vm: Vm,
    /// The incarnation of the node that detected the crash.
    pub incarnation: Incarnation,
    /// The sequence number of the crash within this incarnation.
    pub sequence: u64,
}

/// A crash as sent between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The identity of the crash.
    pub id: CrashId,
    /// The age of the crash when the message was created, in milliseconds.
    pub age_ms: u64,
    /// The fingerprints of the requests that were in flight.
    pub suspects: Vec<u64>,
    /// The fingerprints of the suspects that have been cleared.
    pub cleared: Vec<u64>,
}

/// States that requests did not cause a crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearing {
    /// The crash.
    pub crash: CrashId,
    /// The fingerprints of the requests.
    pub fingerprints: Vec<u64>,
}

/// A gossip message about crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Crashes to spread.
    pub crashes: Vec<Crash>,
    /// Clearings of suspects of crashes that have been sent before.
    pub clearings: Vec<Clearing>,
}

/// A crash as stored by a node.
#[derive(Debug)]
pub(super) struct Event {
    pub at: Instant,
    pub suspects: BTreeSet<u64>,
    pub cleared: BTreeSet<u64>,
    /// The number of gossip rounds in which the crash was sent.
    pub rounds: u32,
    clearings: BTreeMap<u64, u32>,
}

impl Event {
    pub fn new(now: Instant, at: Instant, suspects: BTreeSet<u64>) -> Self {
        let at = at.min(now);
        Self { at, suspects, cleared: BTreeSet::new(), rounds: 0, clearings: BTreeMap::new() }
    }

    /// Stops the gossip about this crash. A node that learned of it from the knowledge of a peer is
    /// not among those that have to spread it.
    pub fn settle(&mut self) {
        self.rounds = u32::MAX;
        self.clearings.clear();
    }

    /// Returns a digest of the crash and of its suspects that have been cleared.
    pub fn digest(&self, id: &CrashId) -> u64 {
        let mut hash = siphasher::sip::SipHasher13::new();
        (id.vm.as_str(), id.incarnation.0, id.sequence, &self.cleared).hash(&mut hash);
        hash.finish()
    }

    /// Returns the suspects that have not been cleared.
    pub fn blamed(&self) -> impl Iterator<Item = u64> {
        self.suspects.difference(&self.cleared).copied()
    }

    /// Clears the given requests if they are suspects of this crash.
    pub fn clear(&mut self, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            if self.suspects.contains(fingerprint) && self.cleared.insert(*fingerprint) {
                self.clearings.insert(*fingerprint, 0);
            }
        }
    }

    /// Returns at most `max` clearings to send in this gossip round. Each is sent in at most
    /// `rounds` rounds.
    pub fn take_clearings(&mut self, rounds: u32, max: usize) -> Vec<u64> {
        self.clearings.retain(|_, times_sent| *times_sent < rounds);
        let pending = self.clearings.iter_mut().take(max);
        let take = |(fingerprint, times_sent): (&u64, &mut u32)| {
            *times_sent += 1;
            *fingerprint
        };
        pending.map(take).collect()
    }

    pub fn to_crash(&self, now: Instant, id: CrashId) -> Crash {
        let age_ms = u64::try_from((now - self.at).as_millis()).unwrap_or(u64::MAX);
        let suspects = self.suspects.iter().copied().collect();
        Crash { id, age_ms, suspects, cleared: self.cleared.iter().copied().collect() }
    }
}
