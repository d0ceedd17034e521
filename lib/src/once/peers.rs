//! Communication with the other nodes of the pool: probes and the exchange of key records.

use {
    super::{
        Action, Deduplicator,
        message::{KeyRecord, Message, Peer, ProbeReply},
        recovery::PartHeader,
        send,
    },
    crate::{time::Instant, unit::Revision},
    rand::Rng as _,
};

/// Limit of the records in one message. Larger sets are sent in several parts.
const RECORDS_PER_PART: usize = 2_000;

/// State of this node that must be announced to other nodes as soon as it changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct AdvertisedState {
    is_first: bool,
    is_voter: bool,
    is_ready: bool,
}

impl Deduplicator {
    // Probes immediately and resets the interval to its minimum, so that all nodes learn of a
    // change quickly.
    pub(super) fn probe_soon(&mut self, now: Instant) {
        self.next_probe = now;
        self.probe_delay = self.settings.resend_interval();
    }

    pub(super) fn probe(&mut self, now: Instant) -> Vec<Action> {
        self.next_probe = now + self.probe_delay;
        self.probe_delay = (self.probe_delay * 2).min(self.settings.probe_interval());
        let freshness = self.settings.freshness();
        self.probes.retain(|_, (_, sent_at)| now - *sent_at < freshness);
        let tables = &self.tables;
        self.recovery.retain(now, &self.settings, |vm| tables.target(vm).is_some());
        let mut vms = self.agreement.peers();
        vms.extend(self.recovery.unasked().cloned());
        let mut actions = Vec::new();
        for vm in vms {
            let nonce = self.rng.next_u64();
            self.probes.insert(nonce, (vm.clone(), now));
            actions.push(send(&vm, Message::Probe { nonce }));
        }
        actions.extend(self.request_records(now));
        actions
    }

    fn request_records(&mut self, now: Instant) -> Vec<Action> {
        if !self.agreement.is_ready(now, &self.settings) {
            return Vec::new();
        }
        let nonce = self.rng.next_u64();
        let epoch = self.agreement.epoch();
        let vms = self.recovery.peers_to_query(now, &self.agreement, nonce, &self.settings);
        vms.iter().map(|vm| send(vm, Message::FetchRecords { nonce, epoch })).collect()
    }

    pub(super) fn handle_probe_reply(
        &mut self,
        now: Instant,
        from: &Peer,
        reply: &ProbeReply,
    ) -> Vec<Action> {
        let Some((vm, sent_at)) = self.probes.remove(&reply.nonce) else { return Vec::new() };
        if vm != from.vm || now - sent_at >= self.settings.freshness() {
            return Vec::new();
        }
        self.recovery.handle_history_reply(&vm, reply.has_earlier_incarnation);
        self.agreement.handle_probe_reply(sent_at, from, reply);
        self.agreement.tick(now, self.local_state(now), &self.settings);
        let advertised_state = self.advertised_state(now);
        if advertised_state == self.advertised_state {
            return Vec::new();
        }
        self.advertised_state = advertised_state;
        self.probe_soon(now);
        self.request_records(now)
    }

    pub(super) fn advertised_state(&self, now: Instant) -> AdvertisedState {
        AdvertisedState {
            is_first: self.recovery.is_first(),
            is_voter: self.agreement.is_voter(),
            is_ready: self.agreement.is_ready(now, &self.settings),
        }
    }

    pub(super) fn send_records(
        &mut self,
        now: Instant,
        from: &Peer,
        nonce: u64,
        epoch: Revision,
    ) -> Vec<Action> {
        if epoch != self.agreement.epoch() || self.agreement.pool().is_none() {
            return Vec::new();
        }
        let is_owned = |record: &KeyRecord| record.id.owner(self.agreement.vms()) == Some(&from.vm);
        let may_have_run = |record: &KeyRecord| record.ran.as_ref().is_none_or(|vm| *vm == from.vm);
        let mut owned: Vec<KeyRecord> =
            self.runs.records(&self.local.vm).filter(is_owned).collect();
        owned.extend(self.owned_keys.records().filter(is_owned));
        let mut ran: Vec<KeyRecord> = self.owned_keys.records().filter(may_have_run).collect();
        let knows_runs = self.recovery.knows_runs(now, &self.settings);
        let knows_grants = self.recovery.knows_grants(now, &self.settings);
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

    pub(super) fn restore_records(
        &mut self,
        now: Instant,
        from: &Peer,
        part: PartHeader,
        owned: &[KeyRecord],
        ran: &[KeyRecord],
    ) {
        if !self.recovery.is_expected(&from.vm, part.nonce) {
            return;
        }
        for record in owned {
            self.owned_keys.restore(now, record, &self.settings);
        }
        for record in ran {
            self.runs.restore(now, record, &self.settings);
        }
        let was_sole_member = self.agreement.was_sole_member();
        self.recovery.record_part(&from.vm, part, was_sole_member);
    }
}
