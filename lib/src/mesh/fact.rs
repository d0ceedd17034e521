//! Versioned key-value facts published by the platform, and a node's store of the newest ones.
//!
//! Each fact carries the platform's revision, so that nodes that read the platform and nodes that
//! replicate from a peer agree on which of two facts is newer. A newer fact is never replaced by an
//! older one.

use {
    super::table::Document,
    crate::{id, time::Instant, unit::Revision},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long removals are kept as tombstones. A peer that was partitioned for longer reads the
/// complete listing of the platform before it asks for changes.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(120);

/// The entry of a target, as published by the target itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The name of this instance of the target. It usually changes when the target restarts.
    pub name: id::Vm,
    /// The pool that the target belongs to.
    pub pool: id::Pool,
    /// The address that the target listens on. Its node runs on the same VM.
    pub address: SocketAddr,
    /// The data centre of its VM.
    pub data_centre: id::DataCentre,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether the target is shutting down; it gets no new requests.
    pub is_leaving: bool,
    /// The start time in milliseconds of the wall clock, as far as the target publishes it.
    pub started_at_ms: u64,
}

/// The key of a fact.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The operator's configuration document.
    Document,
    /// The entry of the target with this name.
    Target(id::Vm),
}

/// The value of a fact.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Value {
    /// The operator's configuration document.
    Document(Arc<Document>),
    /// The entry of a target.
    Target(Target),
    /// The entry was removed, or its value is no longer usable.
    Removed,
}

/// The value of one key at one revision of the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fact {
    /// The key that the fact is about.
    pub key: Key,
    /// The platform's revision at which the value was written.
    pub revision: Revision,
    /// The value at this revision.
    pub value: Value,
}

#[derive(Clone, Debug)]
struct Entry {
    fact: Fact,
    received_at: Instant,
}

/// The newest fact of each key, and the revision up to which the store is complete.
#[derive(Debug, Default)]
pub struct FactStore {
    entries: BTreeMap<Key, Entry>,
    position: Revision,
}

impl FactStore {
    /// Returns the platform's revision up to which the store is complete.
    pub fn position(&self) -> Revision {
        self.position
    }

    /// Records that all facts up to a revision are in the store. The position never goes back.
    pub fn advance_position(&mut self, to: Revision) {
        self.position = self.position.max(to);
    }

    /// Inserts a fact unless the store has one of the same or a later revision. Returns whether
    /// the value of the key changed.
    pub fn insert(&mut self, now: Instant, fact: &Fact) -> bool {
        let is_outdated =
            self.entries.get(&fact.key).is_some_and(|entry| entry.fact.revision >= fact.revision);
        if is_outdated {
            return false;
        }
        let is_unchanged =
            self.entries.get(&fact.key).is_some_and(|entry| entry.fact.value == fact.value);
        self.entries.insert(fact.key.clone(), Entry { fact: fact.clone(), received_at: now });
        !is_unchanged
    }

    /// Returns removals of the stored targets that a complete listing does not contain.
    ///
    /// `listed` are the keys of the listing and `revision` is the revision that it was made at.
    /// Targets with a later revision are kept.
    pub fn missing_from(&self, listed: &[Key], revision: Revision) -> Vec<Fact> {
        let is_missing = |entry: &&Entry| {
            let is_present = entry.fact.value != Value::Removed;
            is_present && entry.fact.revision <= revision && !listed.contains(&entry.fact.key)
        };
        let targets = self.entries.values().filter(|entry| entry.fact.key != Key::Document);
        let removal =
            |entry: &Entry| Fact { key: entry.fact.key.clone(), revision, value: Value::Removed };
        targets.filter(is_missing).map(removal).collect()
    }

    /// Returns the facts with a later revision, including removals.
    pub fn newer_than(&self, revision: Revision) -> Vec<Fact> {
        let newer = self.entries.values().filter(|entry| entry.fact.revision > revision);
        newer.map(|entry| entry.fact.clone()).collect()
    }

    /// Drops tombstones that are older than their retention period.
    pub fn tick(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            entry.fact.value != Value::Removed || now - entry.received_at < TOMBSTONE_RETENTION
        });
    }
}
