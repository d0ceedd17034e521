//! The used keys that one node owns, with their tickets, runs and stored answers.

use {
    super::{
        Id, Settings,
        message::{CallRef, Decision, KeyRecord, Peer, Report},
    },
    crate::{
        id::{Call, Vm},
        time::Instant,
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// A ticket is outstanding.
    Running { sequence: u64 },
    /// The request ran, and the node that requested the ticket stores its answer.
    Answered,
    /// The request may have run, and no answer is stored.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    requester: Option<CallRef>,
    state: State,
    ran: Option<Vm>,
    expires_at: Instant,
}

/// The keys used within the window. Entries are never evicted before they expire.
#[derive(Debug)]
pub(super) struct OwnedKeys {
    entries: HashMap<Id, Entry>,
    expirations: BTreeSet<(Instant, Id)>,
    outstanding: BTreeMap<u64, Instant>,
    next_sequence: u64,
}

/// The result of looking up or reserving a key.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Reservation {
    /// The key is new. The value is the sequence number of its ticket.
    New(u64),
    /// No new ticket is granted, for this reason.
    Existing(Decision),
    /// The requester already holds the ticket with this sequence number.
    Repeated(u64),
}

impl OwnedKeys {
    pub fn new() -> Self {
        let (entries, expirations) = (HashMap::new(), BTreeSet::new());
        Self { entries, expirations, outstanding: BTreeMap::new(), next_sequence: 1 }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn running(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns the lowest sequence number that can still be valid. Tickets with a lower one are
    /// not.
    pub fn min_sequence(&self, now: Instant, settings: &Settings) -> u64 {
        let is_valid = |granted: &Instant| now - *granted < settings.ticket_lifetime();
        let first = self.outstanding.iter().find(|(_, granted)| is_valid(granted));
        first.map_or(self.next_sequence, |(sequence, _)| *sequence)
    }

    /// Looks up a key. Returns `None` if it is unused.
    pub fn find(&self, id: &Id, fingerprint: u64, requester: &CallRef) -> Option<Reservation> {
        let entry = self.entries.get(id)?;
        if entry.fingerprint != fingerprint {
            return Some(Reservation::Existing(Decision::Mismatch));
        }
        let found = match (&entry.state, &entry.requester) {
            (State::Running { sequence }, Some(first)) if first == requester => {
                Reservation::Repeated(*sequence)
            }
            (State::Answered, Some(call_ref)) => {
                Reservation::Existing(Decision::Replay(call_ref.clone()))
            }
            _ => Reservation::Existing(Decision::InUse),
        };
        Some(found)
    }

    /// Reserves a key that [`OwnedKeys::find`] did not find, unless the table is full.
    pub fn reserve(
        &mut self,
        now: Instant,
        id: Id,
        fingerprint: u64,
        requester: CallRef,
        settings: &Settings,
    ) -> Reservation {
        if self.entries.len() >= settings.entries_max {
            return Reservation::Existing(Decision::AtCapacity);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.outstanding.insert(sequence, now);
        let state = State::Running { sequence };
        let expires_at = now + settings.retention();
        self.insert(
            id,
            Entry { fingerprint, requester: Some(requester), state, ran: None, expires_at },
        );
        Reservation::New(sequence)
    }

    /// Restores a used key from the record of another node.
    pub fn restore(&mut self, now: Instant, record: &KeyRecord, settings: &Settings) {
        if self.entries.contains_key(&record.id) {
            return;
        }
        let expires_at = now + settings.retention();
        let (fingerprint, ran) = (record.fingerprint, record.ran.clone());
        self.insert(
            record.id,
            Entry { fingerprint, requester: None, state: State::Unknown, ran, expires_at },
        );
    }

    /// Applies a report on a ticket. Reports from any call but the requesting one are ignored.
    pub fn finish(&mut self, from: &Peer, call: Call, id: &Id, report: &Report) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let State::Running { sequence } = entry.state else { return };
        let is_requester = |call_ref: &CallRef| call_ref.node == *from && call_ref.call == call;
        if !entry.requester.as_ref().is_some_and(is_requester) {
            return;
        }
        self.outstanding.remove(&sequence);
        match report {
            Report::NotRun => self.remove(id),
            Report::Unknown => entry.state = State::Unknown,
            Report::Answered { ran, .. } => {
                entry.state = State::Answered;
                entry.ran = Some(ran.clone());
            }
        }
    }

    /// Removes expired entries and expired tickets.
    pub fn tick(&mut self, now: Instant, settings: &Settings) {
        while let Some((expires_at, id)) = self.expirations.first().copied() {
            if expires_at > now {
                break;
            }
            self.remove(&id);
        }
        // An expired ticket is kept until no runner can still rely on a probe reply from before its
        // expiry.
        let kept_for = settings.ticket_lifetime() + settings.freshness();
        self.outstanding.retain(|_, granted| now - *granted < kept_for);
    }

    /// Returns the records that a restarted node needs for recovery.
    pub fn records(&self) -> impl Iterator<Item = KeyRecord> {
        self.entries.iter().map(|(id, entry)| KeyRecord {
            id: *id,
            fingerprint: entry.fingerprint,
            ran: entry.ran.clone(),
        })
    }

    fn insert(&mut self, id: Id, entry: Entry) {
        self.expirations.insert((entry.expires_at, id));
        self.entries.insert(id, entry);
    }

    fn remove(&mut self, id: &Id) {
        if let Some(entry) = self.entries.remove(id) {
            self.expirations.remove(&(entry.expires_at, *id));
            if let State::Running { sequence } = entry.state {
                self.outstanding.remove(&sequence);
            }
        }
    }
}
