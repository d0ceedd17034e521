//! Versioned key-value facts published by the platform, and a node's store of the newest ones.
//!
//! Each fact carries its position in the history of the platform's store, so that nodes that read
//! the platform and nodes that replicate from a peer agree on which of two facts is newer. A newer
//! fact is never replaced by an older one. After the store was restored from a copy, facts of the
//! new era may be older than those of the era before; see [`FactStore::insert`].

use {
    super::{position::Position, table::Document},
    crate::{id, time::Instant, unit::Revision},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// How long removals are kept as tombstones. A peer that was partitioned for longer reads the
/// complete listing of the platform before it asks for changes.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(120);

/// The largest number of evacuations that are kept, including those that were taken back. A
/// deployment has up to 7 data centres.
const MAX_EVACUATIONS: usize = 64;

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
    /// How much longer the target is cold, counted from when the entry was written. Nodes exchange it
    /// beside the entry, because earlier versions do not know it.
    #[serde(skip)]
    pub cold_remaining: Duration,
}

/// The key of a fact.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The operator's configuration document.
    Document,
    /// The entry of the target with this name.
    Target(id::Vm),
    /// The evacuation of a data centre. Earlier versions do not know it, so between nodes it
    /// travels outside of the list of facts.
    Evacuation(id::DataCentre),
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
    /// The data centre is evacuated.
    Evacuated,
}

impl Value {
    /// Returns whether the value differs in more than the remaining cold time, which changes with
    /// each entry of a cold target and concerns only the node beside it.
    fn differs_from(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Target(new), Self::Target(old)) => {
                let old = Target { cold_remaining: new.cold_remaining, ..old.clone() };
                *new != old
            }
            _ => self != other,
        }
    }
}

/// How far a target has come in its life, as it publishes about itself. Later entries of the same
/// name compare greater, also across eras of the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Heartbeat {
    /// The start time in milliseconds of the wall clock, as far as the target publishes it.
    pub started_at_ms: u64,
    /// The number of heartbeats since the start.
    pub sequence: u64,
}

/// The value of one key at one position in the history of the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fact {
    /// The key that the fact is about.
    pub key: Key,
    /// Where in the store's history the value was written.
    pub position: Position,
    /// The last known heartbeat of the target. Zero for other keys.
    pub heartbeat: Heartbeat,
    /// The value at this position.
    pub value: Value,
}

impl Fact {
    /// Returns whether a target may get requests according to this fact.
    fn is_in_use(&self) -> bool {
        matches!(&self.value, Value::Target(target) if !target.is_leaving)
    }

    /// Returns whether this fact replaces another one of the same key.
    fn supersedes(&self, other: &Self) -> bool {
        match (&self.value, &other.value) {
            // Configuration never goes back, whatever the store holds after a restore.
            (Value::Document(new), Value::Document(old)) if new.revision != old.revision => {
                new.revision > old.revision
            }
            (Value::Removed, Value::Document(_)) => false,
            // A node of an earlier version passed the document on without its bounds.
            (Value::Document(new), Value::Document(old)) if old.completes(new) => false,
            (Value::Document(new), Value::Document(old)) if self.position == other.position => {
                new.completes(old)
            }
            // Two nodes may have read the same entry, and one of them knows that the target left.
            _ if self.position == other.position => other.is_in_use() && !self.is_in_use(),
            _ => self.position > other.position,
        }
    }

    /// Returns whether this fact was read from a copy that was made before the target of the other
    /// fact left. A target that is alive writes its entry again, with a later heartbeat.
    fn is_resurrection_of(&self, other: &Self) -> bool {
        self.position.era > other.position.era
            && self.is_in_use()
            && matches!(other.key, Key::Target(_))
            && !other.is_in_use()
            && self.heartbeat <= other.heartbeat
    }
}

/// The facts that a peer lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// The facts in any order.
    pub facts: Vec<Fact>,
    /// The position up to which the facts are complete.
    pub position: Position,
    /// Whether these are all facts, so that targets without a fact are gone.
    pub is_complete: bool,
    /// Whether the facts contain all evacuations that are in force at the position, so that others
    /// were taken back. A node that follows one of an earlier version does not know them.
    pub has_evacuations: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    fact: Fact,
    received_at: Instant,
}

/// The newest fact of each key, and the position up to which the store is complete.
#[derive(Debug, Default)]
pub struct FactStore {
    entries: BTreeMap<Key, Entry>,
    position: Position,
    /// The position since which all removals are known.
    history_start: Position,
    /// Whether all evacuations that are in force at `position` are known.
    has_evacuations: bool,
    /// Whether the log tells that evacuations are ignored.
    has_ignored_evacuations: bool,
}

impl FactStore {
    /// Returns the position up to which the store is complete.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the targets that have an entry.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().filter_map(|entry| match &entry.fact.value {
            Value::Target(target) => Some(target),
            _ => None,
        })
    }

    /// Records that all facts up to a position are in the store. The position never goes back.
    pub fn advance_position(&mut self, to: Position) {
        self.position = self.position.max(to);
    }

    /// Returns whether all evacuations that are in force are known. If not, changes after the position
    /// don't complete them, and a listing is needed.
    pub fn has_evacuations(&self) -> bool {
        self.has_evacuations
    }

    /// Records that all facts up to a position were received, with or without the evacuations.
    pub fn record_evacuations(&mut self, position: Position, has_evacuations: bool) {
        if position > self.position || (has_evacuations && position == self.position) {
            self.has_evacuations = has_evacuations;
        }
    }

    /// Returns whether an update of a peer up to `position` shows the evacuation as it was before it
    /// was taken back. Its tombstone may have been dropped since.
    pub fn is_outdated_evacuation(&self, fact: &Fact, position: Position) -> bool {
        is_evacuation(fact)
            && self.has_evacuations
            && position < self.position
            && fact.position <= self.position
    }

    /// Inserts a fact unless the store has a newer one. Returns whether the value of the key
    /// changed.
    ///
    /// A target that has left does not come back through an entry of a later era that is not newer
    /// than what was known of it: the store was restored from a copy made before it left.
    pub fn insert(&mut self, now: Instant, fact: &Fact) -> bool {
        if is_evacuation(fact) && !self.has_room_for(fact) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&fact.key) else {
            self.entries.insert(fact.key.clone(), Entry { fact: fact.clone(), received_at: now });
            return true;
        };
        if !fact.supersedes(&entry.fact) {
            return false;
        }
        if fact.is_resurrection_of(&entry.fact) {
            *entry = Entry {
                fact: Fact { position: fact.position, ..entry.fact.clone() },
                received_at: now,
            };
            return false;
        }
        let is_changed = fact.value.differs_from(&entry.fact.value);
        let heartbeat = fact.heartbeat.max(entry.fact.heartbeat);
        *entry = Entry { fact: Fact { heartbeat, ..fact.clone() }, received_at: now };
        is_changed
    }

    /// Returns whether there is room for an evacuation. Drops the tombstone of the one that was taken
    /// back first if there is none otherwise; every update has all evacuations in force, so a
    /// tombstone is not needed to learn of changes.
    fn has_room_for(&mut self, evacuation: &Fact) -> bool {
        let kept =
            || self.entries.values().map(|entry| &entry.fact).filter(|fact| is_evacuation(fact));
        if self.entries.contains_key(&evacuation.key) || kept().count() < MAX_EVACUATIONS {
            return true;
        }
        if evacuation.value == Value::Removed {
            return false;
        }
        let tombstones = kept().filter(|fact| fact.value == Value::Removed);
        let oldest = tombstones.min_by_key(|fact| fact.position).map(|fact| fact.key.clone());
        if let Some(key) = &oldest {
            self.entries.remove(key);
            self.has_ignored_evacuations = false;
        } else if !std::mem::replace(&mut self.has_ignored_evacuations, true) {
            let Key::Evacuation(data_centre) = &evacuation.key else { return false };
            log::warn!(
                data_centre = data_centre.as_str(), limit = MAX_EVACUATIONS;
                "ignored evacuations of data centres, there are too many"
            );
        }
        oldest.is_some()
    }

    /// Returns removals of the stored targets and evacuations that a complete listing does not
    /// contain.
    ///
    /// `listed` are the keys of the listing and `position` is where it was made. Those with a
    /// later position are kept.
    pub fn missing_from(&self, listed: &BTreeSet<&Key>, position: Position) -> Vec<Fact> {
        let is_missing = |entry: &&Entry| {
            let is_present = entry.fact.value != Value::Removed;
            is_present && entry.fact.position <= position && !listed.contains(&entry.fact.key)
        };
        let others = self.entries.values().filter(|entry| entry.fact.key != Key::Document);
        let removal =
            |entry: &Entry| Fact { position, value: Value::Removed, ..entry.fact.clone() };
        others.filter(is_missing).map(removal).collect()
    }

    /// Records that the store has just become complete without knowledge of earlier removals.
    pub fn start_history(&mut self, at: Position) {
        self.history_start = self.history_start.max(at);
    }

    /// Returns the facts that a peer lacks which is complete up to `after` and has the operator's
    /// document of the given revision. Evacuations in force are part of each update, because
    /// the peer may be complete by the facts of an earlier version, which has none.
    pub fn update_after(&self, after: Position, document: Revision) -> Update {
        let is_complete = after < self.history_start || after.era < self.position.era;
        let is_missing = |fact: &Fact| match &fact.value {
            // After a restore the newer document may have the older position.
            Value::Document(stored) => stored.revision > document || fact.position > after,
            Value::Evacuated => true,
            Value::Removed if is_evacuation(fact) => false,
            _ => is_complete || fact.position > after,
        };
        let facts = self.entries.values().map(|entry| &entry.fact);
        Update {
            facts: facts.filter(|fact| is_missing(fact)).cloned().collect(),
            position: self.position,
            is_complete,
            has_evacuations: self.has_evacuations,
        }
    }

    /// Drops tombstones that are older than their retention period.
    pub fn tick(&mut self, now: Instant) {
        let mut history_start = self.history_start;
        self.entries.retain(|_, entry| {
            let is_kept =
                entry.fact.value != Value::Removed || now - entry.received_at < TOMBSTONE_RETENTION;
            if !is_kept {
                history_start = history_start.max(entry.fact.position);
            }
            is_kept
        });
        self.history_start = history_start;
    }
}

fn is_evacuation(fact: &Fact) -> bool {
    matches!(fact.key, Key::Evacuation(_))
}
