//! Handles messages from peers.

use {
    super::{
        Reason, View,
        fact::{Fact, Health, Rumour},
        wire::{Body, MAX_FACTS, MAX_SUSPECTED_DATA_CENTRES, Message},
    },
    crate::{id, time::Instant},
};

impl View {
    /// Handles a message from a peer that the connection has authenticated as `from`. Send the
    /// answers without delay.
    ///
    /// A message from an unknown VM, from an earlier incarnation or with an implausible incarnation
    /// changes nothing.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &id::Vm,
        message: Message,
    ) -> Vec<(id::Vm, Message)> {
        self.started.get_or_insert(now);
        if self.accept(now, from, &message) {
            self.handle(now, from, message);
        }
        std::mem::take(&mut self.out)
    }

    fn accept(&mut self, now: Instant, from: &id::Vm, message: &Message) -> bool {
        let fact = &message.origin.fact;
        if !self.admits(from) || !self.is_plausible(now, fact) {
            self.strangers += 1;
            return false;
        }
        if self.members.is_empty() {
            self.sync.join(now);
        }
        let Some(member) =
            self.get_or_insert_member(now, from, &message.origin.data_centre, Reason::Introduced)
        else {
            return false;
        };
        if fact.incarnation < member.fact.incarnation {
            // A process of an earlier incarnation that resumes after a pause must learn that it was
            // replaced.
            let later = self.rumour(from);
            self.send(from, Body::Gossip);
            if let (Some((_, update)), Some(later)) = (self.out.last_mut(), later) {
                update.rumours.push(later);
            }
            return false;
        }
        true
    }

    fn handle(&mut self, now: Instant, from: &id::Vm, message: Message) {
        self.record_sender(now, from, &message);
        for rumour in message.rumours.iter().take(MAX_FACTS) {
            let reason = if rumour.vm == *from { Reason::Heard } else { Reason::Rumour };
            self.apply(now, rumour, reason, true);
        }
        for data_centre in message.suspected_data_centres.iter().take(MAX_SUSPECTED_DATA_CENTRES) {
            let is_known = self.members.values().any(|m| m.data_centre == *data_centre);
            if is_known && *data_centre != self.origin.data_centre {
                self.check_data_centre(now, data_centre);
            }
        }
        match message.body {
            Body::Ping { probe } => self.send(from, Body::Ack { probe }),
            Body::Ack { probe } => self.handle_ack(probe),
            Body::PingRequest { probe, target } => {
                self.handle_ping_request(now, from, probe, &target);
            }
            Body::Gossip => {}
            Body::Pull { after } => self.handle_pull(from, after.as_ref()),
            Body::Push { facts, next } => self.handle_push(now, &facts, next),
        }
    }

    /// Records that the sender is alive, and informs it of a suspicion against it so that it can
    /// refute.
    fn record_sender(&mut self, now: Instant, from: &id::Vm, message: &Message) {
        self.heard_at = Some(now);
        let origin = &message.origin;
        let Some(member) = self.members.get_mut(from) else { return };
        member.heard_at = Some(now);
        member.misses = 0;
        let data_centre = member.data_centre.clone();
        self.cuts.clear(&data_centre);
        let rumour = Rumour {
            vm: from.clone(),
            data_centre: origin.data_centre.clone(),
            address: Some(origin.address),
            fact: Fact { health: Health::Alive, ..origin.fact },
        };
        self.apply(now, &rumour, Reason::Heard, true);
        let is_doubted = self.members.get(from).is_some_and(|m| m.fact.health != Health::Alive);
        if is_doubted && !matches!(message.body, Body::Ping { .. }) {
            self.send(from, Body::Gossip);
        }
    }
}
