//! The part towards the other nodes of the pool: probes, and what each one remembers of the others.

use {
    super::{
        Action, Deduplicator,
        memory::Part,
        message::{KeyRecord, Message, Peer, ProbeReply},
        send,
    },
    crate::{time::Instant, unit::Revision},
    rand::Rng as _,
};

/// Records in one message. More are sent in parts.
const RECORDS_PER_PART: usize = 2_000;

/// What other nodes have to learn of this one as soon as it changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Standing {
    is_first: bool,
    is_voter: bool,
    is_ready: bool,
}

impl Deduplicator {
    // After a change the next probes follow each other quickly, so that all nodes learn of it.
    pub(super) fn hurry(&mut self, now: Instant) {
        self.next_probe = now;
        self.probe_wait = self.settings.resend();
    }

    pub(super) fn probe(&mut self, now: Instant) -> Vec<Action> {
        self.next_probe = now + self.probe_wait;
        self.probe_wait = (self.probe_wait * 2).min(self.settings.probe());
        let fresh = self.settings.fresh();
        self.probes.retain(|_, (_, sent)| now - *sent < fresh);
        let tables = &self.tables;
        self.memory.retain(now, &self.settings, |vm| tables.target(vm).is_some());
        let mut vms = self.guard.peers();
        vms.extend(self.memory.unasked().cloned());
        let mut actions = Vec::new();
        for vm in vms {
            let nonce = self.random.next_u64();
            self.probes.insert(nonce, (vm.clone(), now));
            actions.push(send(&vm, Message::Probe { nonce }));
        }
        actions.extend(self.ask_back(now));
        actions
    }

    fn ask_back(&mut self, now: Instant) -> Vec<Action> {
        if !self.guard.is_ready(now, &self.settings) {
            return Vec::new();
        }
        let nonce = self.random.next_u64();
        let epoch = self.guard.epoch();
        let vms = self.memory.ask(now, &self.guard, nonce, &self.settings);
        vms.iter().map(|vm| send(vm, Message::FetchRecords { nonce, epoch })).collect()
    }

    pub(super) fn hear(&mut self, now: Instant, from: &Peer, pulse: &ProbeReply) -> Vec<Action> {
        let Some((vm, sent)) = self.probes.remove(&pulse.nonce) else { return Vec::new() };
        if vm != from.vm || now - sent >= self.settings.fresh() {
            return Vec::new();
        }
        self.memory.testify(&vm, pulse.has_earlier_incarnation);
        self.guard.hear(sent, from, pulse);
        self.guard.tick(now, self.own(now), &self.settings);
        let standing = self.standing(now);
        if standing == self.standing {
            return Vec::new();
        }
        self.standing = standing;
        self.hurry(now);
        self.ask_back(now)
    }

    pub(super) fn standing(&self, now: Instant) -> Standing {
        Standing {
            is_first: self.memory.is_first(),
            is_voter: self.guard.is_voter(),
            is_ready: self.guard.is_ready(now, &self.settings),
        }
    }

    pub(super) fn recall(
        &mut self,
        now: Instant,
        from: &Peer,
        nonce: u64,
        epoch: Revision,
    ) -> Vec<Action> {
        if epoch != self.guard.epoch() || self.guard.pool().is_none() {
            return Vec::new();
        }
        let is_owned = |record: &KeyRecord| record.id.owner(self.guard.vms()) == Some(&from.vm);
        let may_have_run = |record: &KeyRecord| record.ran.as_ref().is_none_or(|vm| *vm == from.vm);
        let mut owned: Vec<KeyRecord> = self.runner.records(&self.me.vm).filter(is_owned).collect();
        owned.extend(self.ledger.records().filter(is_owned));
        let mut ran: Vec<KeyRecord> = self.ledger.records().filter(may_have_run).collect();
        let knows_runs = self.memory.knows_runs(now, &self.settings);
        let knows_grants = self.memory.knows_grants(now, &self.settings);
        let parts = owned.len().max(ran.len()).div_ceil(RECORDS_PER_PART).max(1);
        let parts = u16::try_from(parts).unwrap_or(u16::MAX);
        let mut actions = Vec::new();
        for part in 0..parts {
            let owned = owned.drain(..owned.len().min(RECORDS_PER_PART)).collect();
            let ran = ran.drain(..ran.len().min(RECORDS_PER_PART)).collect();
            let message =
                Message::Records { nonce, part, parts, owned, ran, knows_runs, knows_grants };
            actions.push(send(&from.vm, message));
        }
        actions
    }

    pub(super) fn recalled(
        &mut self,
        now: Instant,
        from: &Peer,
        part: Part,
        owned: &[KeyRecord],
        ran: &[KeyRecord],
    ) {
        if !self.memory.is_asked(&from.vm, part.nonce) {
            return;
        }
        for record in owned {
            self.ledger.remember(now, record, &self.settings);
        }
        for record in ran {
            self.runner.remember(now, record, &self.settings);
        }
        let was_alone = self.guard.was_alone();
        self.memory.answered(&from.vm, part, was_alone);
    }
}
