//! The requests with a key that ran at the node's own target.

use {
    super::{
        Id, Settings,
        message::{Claim, KeyRecord, Ticket},
    },
    crate::{id::Vm, time::Instant},
    std::{
        cmp::Ordering,
        collections::{BTreeSet, HashMap},
    },
};

#[derive(Debug)]
struct Run {
    body: u64,
    ticket: Option<Ticket>,
    attempt: u8,
    has_run: bool,
    until: Instant,
}

impl Run {
    // A later ticket or a later attempt makes all earlier ones for the key void.
    fn is_closed_to(&self, claim: &Claim) -> bool {
        let Some(last) = &self.ticket else { return self.has_run };
        let is_same_life = claim.ticket.owner == last.owner && claim.ticket.epoch == last.epoch;
        let is_late = match claim.ticket.sequence.cmp(&last.sequence) {
            Ordering::Less => true,
            Ordering::Equal => claim.attempt <= self.attempt,
            Ordering::Greater => false,
        };
        self.has_run || is_same_life && is_late
    }
}

/// Why a claim is turned away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Denial {
    /// The key, or this very attempt, was here before.
    Seen,
    /// There is no room to remember another run.
    AtCapacity,
}

/// The runs in the window. None is given up before its time.
#[derive(Debug, Default)]
pub(super) struct Runner {
    runs: HashMap<Id, Run>,
    ends: BTreeSet<(Instant, Id)>,
}

impl Runner {
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Tells whether the key ran here in the window.
    pub fn has_run(&self, id: &Id) -> bool {
        self.runs.get(id).is_some_and(|run| run.has_run)
    }

    /// Notes that the claim's request is about to be sent to the target.
    pub fn start(
        &mut self,
        now: Instant,
        claim: &Claim,
        settings: &Settings,
    ) -> Result<(), Denial> {
        if let Some(run) = self.runs.get(&claim.id) {
            if run.is_closed_to(claim) {
                return Err(Denial::Seen);
            }
        } else if self.runs.len() >= settings.entries_max {
            return Err(Denial::AtCapacity);
        }
        let run = Run {
            body: claim.body,
            ticket: Some(claim.ticket.clone()),
            attempt: claim.attempt,
            has_run: true,
            until: now + settings.retention(),
        };
        self.insert(claim.id, run);
        Ok(())
    }

    /// Notes an attempt that was turned away, so that a late copy of it is too.
    pub fn refuse(&mut self, now: Instant, claim: &Claim, settings: &Settings) {
        let last = self.runs.get(&claim.id);
        let is_full = last.is_none() && self.runs.len() >= settings.entries_max;
        if is_full || last.is_some_and(|run| run.is_closed_to(claim)) {
            return;
        }
        let run = Run {
            body: claim.body,
            ticket: Some(claim.ticket.clone()),
            attempt: claim.attempt,
            has_run: false,
            until: now + settings.ticket() + settings.fresh() * 2,
        };
        self.insert(claim.id, run);
    }

    /// Notes that the target declared that it did not run the request.
    pub fn undo(&mut self, claim: &Claim) {
        if let Some(run) = self.runs.get_mut(&claim.id)
            && run.ticket.as_ref() == Some(&claim.ticket)
            && run.attempt == claim.attempt
        {
            run.has_run = false;
        }
    }

    /// Enters a run of an earlier life that an owner remembers.
    pub fn remember(&mut self, now: Instant, record: &KeyRecord, settings: &Settings) {
        if self.runs.contains_key(&record.id) {
            return;
        }
        let until = now + settings.retention();
        let run = Run { body: record.body, ticket: None, attempt: 0, has_run: true, until };
        self.insert(record.id, run);
    }

    /// Forgets what is past the window.
    pub fn tick(&mut self, now: Instant) {
        while let Some((until, id)) = self.ends.first().copied() {
            if until > now {
                return;
            }
            self.ends.remove(&(until, id));
            self.runs.remove(&id);
        }
    }

    /// Returns what a restarted owner has to know.
    pub fn records<'a>(&'a self, vm: &'a Vm) -> impl Iterator<Item = KeyRecord> + 'a {
        let ran = self.runs.iter().filter(|(_, run)| run.has_run);
        ran.map(|(id, run)| KeyRecord { id: *id, body: run.body, ran: Some(vm.clone()) })
    }

    fn insert(&mut self, id: Id, run: Run) {
        if let Some(last) = self.runs.get(&id) {
            self.ends.remove(&(last.until, id));
        }
        self.ends.insert((run.until, id));
        self.runs.insert(id, run);
    }
}
