//! Failure detection: each period probes one peer directly, then indirectly through others. Only a
//! repeated failure raises a suspicion.

use {
    super::{Body, Reason, View, cut::MIN_FAILED_VMS, fact::Health},
    crate::{id, time::Instant},
    rand::seq::{IteratorRandom, SliceRandom},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The most indirect pings that a node relays for others at the same time.
const MAX_RELAYS: usize = 64;
/// The highest distrust of a node in its own timeouts, which are multiplied by this number plus
/// one.
const MAX_DISTRUST: u32 = 4;
/// How many consecutive probes a VM must miss to become a suspect.
const MISSES_TO_SUSPECT: u8 = 2;

#[derive(Debug)]
struct Probe {
    vm: id::Vm,
    started: Instant,
    is_indirect: bool,
}

#[derive(Debug)]
struct Relay {
    requester: id::Vm,
    probe: u32,
    started: Instant,
}

/// The probes in progress.
#[derive(Debug, Default)]
pub(super) struct Prober {
    next_at: Instant,
    order: VecDeque<id::Vm>,
    number: u32,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    distrust: u32,
}

impl Prober {
    /// Lengthens the timeouts, because the fault may lie with this node rather than with its peers.
    pub fn increase_distrust(&mut self) {
        self.distrust = (self.distrust + 1).min(MAX_DISTRUST);
    }

    pub const fn distrust(&self) -> u32 {
        self.distrust
    }

    fn decrease_distrust(&mut self) {
        self.distrust = self.distrust.saturating_sub(1);
    }

    fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    fn is_probing(&self, vm: &id::Vm) -> bool {
        self.probes.values().any(|probe| probe.vm == *vm)
    }
}

impl View {
    /// Restarts all timeouts when a tick comes late: answers that arrived during the pause have not
    /// been read yet, so no awaited answer counts as missing.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let limit = Duration::from_millis(self.settings.pause_ms);
        let is_late = self.last_tick.is_some_and(|at| now.since(at) > limit);
        self.last_tick = Some(now);
        if !is_late {
            return;
        }
        self.pauses += 1;
        self.prober.increase_distrust();
        self.prober.probes.clear();
        self.prober.relays.clear();
        self.prober.next_at = now + self.settings.period();
        self.cuts.clear_evidence();
        for member in self.members.values_mut() {
            member.misses = 0;
            if member.fact.health == Health::Suspect {
                member.health_since = now;
            }
        }
    }

    pub(super) fn start_probe(&mut self, now: Instant) {
        if now < self.prober.next_at {
            return;
        }
        self.prober.next_at = now + self.settings.period();
        self.eager_budget = self.settings.eager_messages;
        if let Some(vm) = self.next_vm() {
            self.ping(now, &vm);
        }
    }

    /// Cycles through all known VMs in random order, so that each is probed within a bounded time.
    /// Dead and cut-off VMs are included, since they may have recovered.
    fn next_vm(&mut self) -> Option<id::Vm> {
        if let Some(vm) = self.vm_to_retry() {
            return Some(vm);
        }
        loop {
            if self.prober.order.is_empty() {
                let mut order: Vec<_> = self.members.keys().cloned().collect();
                order.shuffle(&mut self.rng);
                self.prober.order = order.into();
            }
            let vm = self.prober.order.pop_front()?;
            if self.members.contains_key(&vm) && !self.prober.is_probing(&vm) {
                return Some(vm);
            }
            if self.prober.order.is_empty() {
                return None;
            }
        }
    }

    /// Returns a VM that missed a probe, so that it is probed again before it becomes a suspect.
    fn vm_to_retry(&self) -> Option<id::Vm> {
        let needs_retry = |(vm, member): &(&id::Vm, &super::Member)| {
            (1..MISSES_TO_SUSPECT).contains(&member.misses)
                && self.cuts.is_reachable(&member.data_centre, member.fact.health)
                && !self.prober.is_probing(vm)
        };
        self.members.iter().find(needs_retry).map(|(vm, _)| vm.clone())
    }

    fn ping(&mut self, now: Instant, vm: &id::Vm) {
        let number = self.prober.next_number();
        let probe = Probe { vm: vm.clone(), started: now, is_indirect: false };
        self.prober.probes.insert(number, probe);
        self.send(vm, Body::Ping { probe: number });
    }

    pub(super) fn expire_probes(&mut self, now: Instant) {
        let timeout_factor = 1 + self.prober.distrust;
        let direct_timeout = self.settings.probe_timeout() * timeout_factor;
        let full_timeout = self.settings.period() * timeout_factor;
        self.prober.relays.retain(|_, relay| now.since(relay.started) < full_timeout);
        let unanswered: Vec<u32> = self
            .prober
            .probes
            .iter()
            .filter(|(_, probe)| !probe.is_indirect && now.since(probe.started) >= direct_timeout)
            .map(|(number, _)| *number)
            .collect();
        for number in unanswered {
            self.request_indirect_pings(number);
        }
        let failed: Vec<u32> = self
            .prober
            .probes
            .iter()
            .filter(|(_, probe)| now.since(probe.started) >= full_timeout)
            .map(|(number, _)| *number)
            .collect();
        for number in failed {
            if let Some(probe) = self.prober.probes.remove(&number) {
                self.record_failure(now, &probe.vm);
            }
        }
    }

    fn request_indirect_pings(&mut self, number: u32) {
        let Some(probe) = self.prober.probes.get_mut(&number) else { return };
        probe.is_indirect = true;
        let vm = probe.vm.clone();
        let is_reachable = self
            .members
            .get(&vm)
            .is_some_and(|m| self.cuts.is_reachable(&m.data_centre, m.fact.health));
        if !is_reachable {
            return;
        }
        for peer in self.random_peers(self.settings.indirect_peers, &vm) {
            self.send(&peer, Body::PingRequest { probe: number, target: vm.clone() });
        }
    }

    fn record_failure(&mut self, now: Instant, vm: &id::Vm) {
        let Some(member) = self.members.get_mut(vm) else { return };
        member.misses = member.misses.saturating_add(1);
        let (misses, health) = (member.misses, member.fact.health);
        let data_centre = member.data_centre.clone();
        if health == Health::Dead {
            return;
        }
        let size = self.size_of(&data_centre);
        self.cuts.record_failure(&data_centre, vm, size, now);
        self.check_data_centre(now, &data_centre);
        if misses < MISSES_TO_SUSPECT || health != Health::Alive || self.cuts.is_cut(&data_centre) {
            return;
        }
        let Some(member) = self.members.get_mut(vm) else { return };
        member.fact.health = Health::Suspect;
        member.health_since = now;
        member.reason = Reason::NoAnswer;
        self.spread(vm, false);
        self.record_state(vm);
        // Notify the suspect without delay, so that it can refute.
        self.send(vm, Body::Gossip);
    }

    fn size_of(&self, data_centre: &id::DataCentre) -> usize {
        let is_counted = |member: &&super::Member| {
            member.data_centre == *data_centre && member.fact.health != Health::Dead
        };
        self.members.values().filter(is_counted).count()
    }

    /// Probes some VMs of a data centre to find out whether it is cut off as a whole.
    pub(super) fn check_data_centre(&mut self, now: Instant, data_centre: &id::DataCentre) {
        if !self.cuts.start_check(data_centre, now) {
            return;
        }
        let candidates = self.members.iter().filter(|(vm, member)| {
            member.data_centre == *data_centre
                && member.fact.health != Health::Dead
                && !self.prober.is_probing(vm)
        });
        let sample: Vec<id::Vm> =
            candidates.map(|(vm, _)| vm.clone()).sample(&mut self.rng, MIN_FAILED_VMS);
        for vm in sample {
            self.ping(now, &vm);
        }
    }

    pub(super) fn expire_suspicions(&mut self, now: Instant) {
        let suspicion = self.settings.suspicion() * (1 + self.prober.distrust);
        let heard_at = self.heard_at;
        let cuts = &self.cuts;
        let mut dead = Vec::new();
        for (vm, member) in &mut self.members {
            if member.fact.health != Health::Suspect {
                continue;
            }
            // A node that has received no message since, or that sees the data centre cut off,
            // can't tell a dead VM from a network fault.
            let has_received = heard_at.is_some_and(|at| at > member.health_since);
            if !has_received || cuts.is_cut(&member.data_centre) {
                continue;
            }
            if now.since(member.health_since) >= suspicion {
                member.fact.health = Health::Dead;
                member.health_since = now;
                member.reason = Reason::NoRefutation;
                dead.push(vm.clone());
            }
        }
        for vm in dead {
            self.spread(&vm, false);
            self.record_state(&vm);
        }
    }

    pub(super) fn handle_ping_request(
        &mut self,
        now: Instant,
        from: &id::Vm,
        probe: u32,
        target: &id::Vm,
    ) {
        let is_known = self.members.contains_key(target) && target != from;
        if !is_known || self.prober.relays.len() >= MAX_RELAYS {
            return;
        }
        let number = self.prober.next_number();
        let relay = Relay { requester: from.clone(), probe, started: now };
        self.prober.relays.insert(number, relay);
        self.send(target, Body::Ping { probe: number });
    }

    pub(super) fn handle_ack(&mut self, number: u32) {
        if let Some(relay) = self.prober.relays.remove(&number) {
            self.send(&relay.requester, Body::Ack { probe: relay.probe });
        }
        let Some(probe) = self.prober.probes.remove(&number) else { return };
        self.prober.decrease_distrust();
        let Some(member) = self.members.get_mut(&probe.vm) else { return };
        member.misses = 0;
        let data_centre = member.data_centre.clone();
        self.cuts.clear(&data_centre);
    }
}
