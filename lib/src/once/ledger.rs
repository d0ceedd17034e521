//! The keys that one node owns: who runs them, and where their answers are.

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
    /// A ticket is out.
    Running { sequence: u64 },
    /// The request ran, and its answer is at the place that asked.
    Answered,
    /// The request may have run, and no answer is kept.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    body: u64,
    asker: Option<CallRef>,
    state: State,
    ran: Option<Vm>,
    until: Instant,
}

/// The used keys in the window. No entry is given up before its time.
#[derive(Debug)]
pub(super) struct Ledger {
    entries: HashMap<Id, Entry>,
    ends: BTreeSet<(Instant, Id)>,
    out: BTreeMap<u64, Instant>,
    next: u64,
}

/// What the ledger says to a request for a ticket.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Entered {
    /// The key is new. The number is the ticket's.
    New(u64),
    /// The key is in the ledger.
    Old(Decision),
    /// The asker has this ticket already.
    Same(u64),
}

impl Ledger {
    pub fn new() -> Self {
        let (entries, ends) = (HashMap::new(), BTreeSet::new());
        Self { entries, ends, out: BTreeMap::new(), next: 1 }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn running(&self) -> usize {
        self.out.len()
    }

    /// Returns the first ticket that is still valid. The ones before it are void.
    pub fn min_sequence(&self, now: Instant, settings: &Settings) -> u64 {
        let is_valid = |granted: &Instant| now - *granted < settings.ticket();
        let first = self.out.iter().find(|(_, granted)| is_valid(granted));
        first.map_or(self.next, |(sequence, _)| *sequence)
    }

    /// Looks a key up.
    pub fn find(&self, id: &Id, body: u64, asker: &CallRef) -> Option<Entered> {
        let entry = self.entries.get(id)?;
        if entry.body != body {
            return Some(Entered::Old(Decision::Mismatch));
        }
        let found = match (&entry.state, &entry.asker) {
            (State::Running { sequence }, Some(first)) if first == asker => {
                Entered::Same(*sequence)
            }
            (State::Answered, Some(place)) => Entered::Old(Decision::Replay(place.clone())),
            _ => Entered::Old(Decision::InUse),
        };
        Some(found)
    }

    /// Enters a key that [`Ledger::find`] did not find, if there is room.
    pub fn enter(
        &mut self,
        now: Instant,
        id: Id,
        body: u64,
        asker: CallRef,
        settings: &Settings,
    ) -> Entered {
        if self.entries.len() >= settings.entries_max {
            return Entered::Old(Decision::AtCapacity);
        }
        let sequence = self.next;
        self.next += 1;
        self.out.insert(sequence, now);
        let state = State::Running { sequence };
        let until = now + settings.retention();
        self.insert(id, Entry { body, asker: Some(asker), state, ran: None, until });
        Entered::New(sequence)
    }

    /// Enters a key that another node remembers.
    pub fn remember(&mut self, now: Instant, record: &KeyRecord, settings: &Settings) {
        if self.entries.contains_key(&record.id) {
            return;
        }
        let until = now + settings.retention();
        let (body, ran) = (record.body, record.ran.clone());
        self.insert(record.id, Entry { body, asker: None, state: State::Unknown, ran, until });
    }

    /// Notes what became of a ticket. Only its asker can tell.
    pub fn finish(&mut self, from: &Peer, call: Call, id: &Id, report: &Report) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let State::Running { sequence } = entry.state else { return };
        let is_asker = |place: &CallRef| place.node == *from && place.call == call;
        if !entry.asker.as_ref().is_some_and(is_asker) {
            return;
        }
        self.out.remove(&sequence);
        match report {
            Report::NotRun => self.remove(id),
            Report::Unknown => entry.state = State::Unknown,
            Report::Answered { ran, .. } => {
                entry.state = State::Answered;
                entry.ran = Some(ran.clone());
            }
        }
    }

    /// Forgets what is past the window, and gives up on tickets that are void.
    pub fn tick(&mut self, now: Instant, settings: &Settings) {
        while let Some((until, id)) = self.ends.first().copied() {
            if until > now {
                break;
            }
            self.remove(&id);
        }
        // A void ticket is kept out of the floor until no runner can have an older pulse.
        let kept = settings.ticket() + settings.fresh();
        self.out.retain(|_, granted| now - *granted < kept);
    }

    /// Returns what a restarted node has to know.
    pub fn records(&self) -> impl Iterator<Item = KeyRecord> {
        self.entries.iter().map(|(id, entry)| KeyRecord {
            id: *id,
            body: entry.body,
            ran: entry.ran.clone(),
        })
    }

    fn insert(&mut self, id: Id, entry: Entry) {
        self.ends.insert((entry.until, id));
        self.entries.insert(id, entry);
    }

    fn remove(&mut self, id: &Id) {
        if let Some(entry) = self.entries.remove(id) {
            self.ends.remove(&(entry.until, *id));
            if let State::Running { sequence } = entry.state {
                self.out.remove(&sequence);
            }
        }
    }
}
