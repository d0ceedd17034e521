//! The requests with an idempotency key that ran at the local target.

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
    fingerprint: u64,
    ticket: Option<Ticket>,
    attempt: u8,
    has_run: bool,
    expires_at: Instant,
}

impl Run {
    // A later ticket or attempt invalidates all earlier ones for the same key.
    fn supersedes(&self, claim: &Claim) -> bool {
        let Some(last) = &self.ticket else { return self.has_run };
        let is_same_epoch = claim.ticket.owner == last.owner && claim.ticket.epoch == last.epoch;
        let is_stale = match claim.ticket.sequence.cmp(&last.sequence) {
            Ordering::Less => true,
            Ordering::Equal => claim.attempt <= self.attempt,
            Ordering::Greater => false,
        };
        self.has_run || is_same_epoch && is_stale
    }
}

/// The reason why a claim is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rejection {
    /// The key has run here, or the same or a later attempt was received before.
    AlreadySeen,
    /// The limit of recorded runs is reached.
    AtCapacity,
}

/// The runs within the window. Entries are never evicted before they expire.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: HashMap<Id, Run>,
    expirations: BTreeSet<(Instant, Id)>,
}

impl Runs {
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether the key ran here within the window.
    pub fn has_run(&self, id: &Id) -> bool {
        self.runs.get(id).is_some_and(|run| run.has_run)
    }

    /// Records that the claim's request is about to be sent to the target.
    pub fn start(
        &mut self,
        now: Instant,
        claim: &Claim,
        settings: &Settings,
    ) -> Result<(), Rejection> {
        if let Some(run) = self.runs.get(&claim.id) {
            if run.supersedes(claim) {
                return Err(Rejection::AlreadySeen);
            }
        } else if self.runs.len() >= settings.entries_max {
            return Err(Rejection::AtCapacity);
        }
        let run = Run {
            fingerprint: claim.fingerprint,
            ticket: Some(claim.ticket.clone()),
            attempt: claim.attempt,
            has_run: true,
            expires_at: now + settings.retention(),
        };
        self.insert(claim.id, run);
        Ok(())
    }

    /// Records a refused attempt, so that a delayed duplicate of it is refused as well.
    pub fn record_refusal(&mut self, now: Instant, claim: &Claim, settings: &Settings) {
        let last = self.runs.get(&claim.id);
        let is_full = last.is_none() && self.runs.len() >= settings.entries_max;
        if is_full || last.is_some_and(|run| run.supersedes(claim)) {
            return;
        }
        let run = Run {
            fingerprint: claim.fingerprint,
            ticket: Some(claim.ticket.clone()),
            attempt: claim.attempt,
            has_run: false,
            expires_at: now + settings.ticket_lifetime() + settings.freshness() * 2,
        };
        self.insert(claim.id, run);
    }

    /// Records that the request did not run after all.
    pub fn mark_not_run(&mut self, claim: &Claim) {
        if let Some(run) = self.runs.get_mut(&claim.id)
            && run.ticket.as_ref() == Some(&claim.ticket)
            && run.attempt == claim.attempt
        {
            run.has_run = false;
        }
    }

    /// Restores a run of an earlier incarnation from an owner's record.
    pub fn restore(&mut self, now: Instant, record: &KeyRecord, settings: &Settings) {
        if self.runs.contains_key(&record.id) {
            return;
        }
        let expires_at = now + settings.retention();
        let run = Run {
            fingerprint: record.fingerprint,
            ticket: None,
            attempt: 0,
            has_run: true,
            expires_at,
        };
        self.insert(record.id, run);
    }

    /// Removes expired entries.
    pub fn tick(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.expirations.first().copied() {
            if expires_at > now {
                return;
            }
            self.expirations.remove(&(expires_at, id));
            self.runs.remove(&id);
        }
    }

    /// Returns the records that a restarted owner needs for recovery.
    pub fn records<'a>(&'a self, vm: &'a Vm) -> impl Iterator<Item = KeyRecord> + 'a {
        let ran = self.runs.iter().filter(|(_, run)| run.has_run);
        ran.map(|(id, run)| KeyRecord {
            id: *id,
            fingerprint: run.fingerprint,
            ran: Some(vm.clone()),
        })
    }

    fn insert(&mut self, id: Id, run: Run) {
        if let Some(last) = self.runs.get(&id) {
            self.expirations.remove(&(last.expires_at, id));
        }
        self.expirations.insert((run.expires_at, id));
        self.runs.insert(id, run);
    }
}
