//! What the platform publishes, one fact a key, and the newest of each as a node knows it.
//!
//! Facts carry the platform's revision, so nodes that read the platform and nodes that hear from
//! peers agree on which of two facts is newer. A fact never goes back to an older one.

use {
    super::table::Document,
    crate::{id, time::Instant, unit::Revision},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long a removal is remembered. A peer that was cut off for longer than this takes the whole
/// listing of the platform before it asks for changes.
const REMOVAL_KEPT: Duration = Duration::from_secs(120);

/// What a target says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The name of this life of the target. A target that starts again mostly has another.
    pub name: id::Vm,
    /// Its pool.
    pub pool: id::Pool,
    /// Where it listens. Its node runs on the same VM.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving, and so gets no new requests.
    pub is_leaving: bool,
    /// When it started, in milliseconds of the wall clock, where it says so.
    pub started_at_ms: u64,
}

/// The key that a fact stands under.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The operator's document.
    Document,
    /// The entry of a target.
    Target(id::Vm),
}

/// The value of a fact.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Value {
    /// The operator's document.
    Document(Arc<Document>),
    /// The entry of a target.
    Target(Target),
    /// The key has no usable value any more.
    Removed,
}

/// One fact.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fact {
    /// The key.
    pub key: Key,
    /// The platform's revision of the value.
    pub revision: Revision,
    /// The value.
    pub value: Value,
}

#[derive(Clone, Debug)]
struct Known {
    fact: Fact,
    at: Instant,
}

/// The newest facts, and the platform's revision up to which none is missing.
#[derive(Debug, Default)]
pub struct FactStore {
    known: BTreeMap<Key, Known>,
    position: Revision,
}

impl FactStore {
    /// Returns the revision up to which no fact is missing.
    pub fn position(&self) -> Revision {
        self.position
    }

    /// Notes that all facts up to a revision were taken.
    pub fn advance_position(&mut self, to: Revision) {
        self.position = self.position.max(to);
    }

    /// Takes a fact. Returns whether it is news.
    pub fn insert(&mut self, now: Instant, fact: &Fact) -> bool {
        let is_old =
            self.known.get(&fact.key).is_some_and(|known| known.fact.revision >= fact.revision);
        if is_old {
            return false;
        }
        let is_same = self.known.get(&fact.key).is_some_and(|known| known.fact.value == fact.value);
        self.known.insert(fact.key.clone(), Known { fact: fact.clone(), at: now });
        !is_same
    }

    /// Returns the targets that are known and not in a whole listing, as removals.
    ///
    /// `listed` are the keys of the listing and `at` is the revision that it was made at.
    pub fn missing_from(&self, listed: &[Key], at: Revision) -> Vec<Fact> {
        let is_missing = |known: &&Known| {
            let is_present = known.fact.value != Value::Removed;
            is_present && known.fact.revision <= at && !listed.contains(&known.fact.key)
        };
        let targets = self.known.values().filter(|known| known.fact.key != Key::Document);
        let gone = |known: &Known| Fact {
            key: known.fact.key.clone(),
            revision: at,
            value: Value::Removed,
        };
        targets.filter(is_missing).map(gone).collect()
    }

    /// Returns the facts that are newer than a revision.
    pub fn newer_than(&self, revision: Revision) -> Vec<Fact> {
        let newer = self.known.values().filter(|known| known.fact.revision > revision);
        newer.map(|known| known.fact.clone()).collect()
    }

    /// Forgets removals that all peers have heard of.
    pub fn tick(&mut self, now: Instant) {
        self.known
            .retain(|_, known| known.fact.value != Value::Removed || now - known.at < REMOVAL_KEPT);
    }
}
