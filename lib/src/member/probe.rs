//! Probing: one peer a period, others' help before doubt, a second try before suspicion.

use {
    super::{Body, Reason, View, cut::EVIDENCE, fact::Health},
    crate::{id, time::Instant},
    rand::seq::{IteratorRandom, SliceRandom},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The most pings that a node passes on for others at one time.
const MAX_RELAYS: usize = 64;
/// The most distrust of a node in itself. Its timeouts grow by as many times.
const MAX_DISTRUST: u32 = 4;
/// How many probes in a row a VM must fail to be a suspect.
const MISSES: u8 = 2;

#[derive(Debug)]
struct Probe {
    vm: id::Vm,
    started: Instant,
    has_asked_others: bool,
}

#[derive(Debug)]
struct Relay {
    asker: id::Vm,
    probe: u32,
    started: Instant,
}

/// The probes under way.
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
    /// Makes the node slower to suspect others, because it may itself be at fault.
    pub fn lower_trust(&mut self) {
        self.distrust = (self.distrust + 1).min(MAX_DISTRUST);
    }

    pub const fn distrust(&self) -> u32 {
        self.distrust
    }

    fn raise_trust(&mut self) {
        self.distrust = self.distrust.saturating_sub(1);
    }

    fn number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    fn is_probing(&self, vm: &id::Vm) -> bool {
        self.probes.values().any(|probe| probe.vm == *vm)
    }
}

impl View {
    /// Starts all timeouts afresh when the tick comes late: answers that came in the meantime have
    /// not been read, so nothing that this node waited for counts as missing.
    pub(super) fn notice_pause(&mut self, now: Instant) {
        let limit = Duration::from_millis(self.settings.pause_ms);
        let is_late = self.last_tick.is_some_and(|at| now.since(at) > limit);
        self.last_tick = Some(now);
        if !is_late {
            return;
        }
        self.pauses += 1;
        self.prober.lower_trust();
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

    pub(super) fn probe_next(&mut self, now: Instant) {
        if now < self.prober.next_at {
            return;
        }
        self.prober.next_at = now + self.settings.period();
        self.eager_left = self.settings.eager_messages;
        if let Some(vm) = self.next_target() {
            self.ping(now, &vm);
        }
    }

    /// Goes round all known VMs in random order, so that each is probed within a bounded time. The
    /// dead and the cut off are in it too: they may be back.
    fn next_target(&mut self) -> Option<id::Vm> {
        if let Some(vm) = self.missed() {
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

    /// Returns a VM that failed one probe, to find out whether it fails another.
    fn missed(&self) -> Option<id::Vm> {
        let is_missed = |(vm, member): &(&id::Vm, &super::Member)| {
            (1..MISSES).contains(&member.misses)
                && self.cuts.is_open(&member.data_centre, member.fact.health)
                && !self.prober.is_probing(vm)
        };
        self.members.iter().find(is_missed).map(|(vm, _)| vm.clone())
    }

    fn ping(&mut self, now: Instant, vm: &id::Vm) {
        let number = self.prober.number();
        let probe = Probe { vm: vm.clone(), started: now, has_asked_others: false };
        self.prober.probes.insert(number, probe);
        self.send(vm, Body::Ping { probe: number });
    }

    pub(super) fn expire_probes(&mut self, now: Instant) {
        let slack = 1 + self.prober.distrust;
        let direct = self.settings.probe_timeout() * slack;
        let whole = self.settings.period() * slack;
        self.prober.relays.retain(|_, relay| now.since(relay.started) < whole);
        let late: Vec<u32> = self
            .prober
            .probes
            .iter()
            .filter(|(_, probe)| !probe.has_asked_others && now.since(probe.started) >= direct)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.ask_others(number);
        }
        let failed: Vec<u32> = self
            .prober
            .probes
            .iter()
            .filter(|(_, probe)| now.since(probe.started) >= whole)
            .map(|(number, _)| *number)
            .collect();
        for number in failed {
            if let Some(probe) = self.prober.probes.remove(&number) {
                self.fail(now, &probe.vm);
            }
        }
    }

    fn ask_others(&mut self, number: u32) {
        let Some(probe) = self.prober.probes.get_mut(&number) else { return };
        probe.has_asked_others = true;
        let vm = probe.vm.clone();
        let is_open =
            self.members.get(&vm).is_some_and(|m| self.cuts.is_open(&m.data_centre, m.fact.health));
        if !is_open {
            return;
        }
        for helper in self.random_peers(self.settings.indirect_peers, &vm) {
            self.send(&helper, Body::PingRequest { probe: number, target: vm.clone() });
        }
    }

    fn fail(&mut self, now: Instant, vm: &id::Vm) {
        let Some(member) = self.members.get_mut(vm) else { return };
        member.misses = member.misses.saturating_add(1);
        let (misses, health) = (member.misses, member.fact.health);
        let data_centre = member.data_centre.clone();
        if health == Health::Dead {
            return;
        }
        let size = self.size_of(&data_centre);
        self.cuts.fail(&data_centre, vm, size, now);
        self.check(now, &data_centre);
        if misses < MISSES || health != Health::Alive || self.cuts.is_cut(&data_centre) {
            return;
        }
        let Some(member) = self.members.get_mut(vm) else { return };
        member.fact.health = Health::Suspect;
        member.health_since = now;
        member.reason = Reason::NoAnswer;
        self.spread(vm, false);
        self.refresh(vm);
        // The suspect hears of it at once, so that it can refute.
        self.send(vm, Body::Gossip);
    }

    fn size_of(&self, data_centre: &id::DataCentre) -> usize {
        let is_in = |member: &&super::Member| {
            member.data_centre == *data_centre && member.fact.health != Health::Dead
        };
        self.members.values().filter(is_in).count()
    }

    /// Probes some VMs of a data centre to find out whether all of it is cut off.
    pub(super) fn check(&mut self, now: Instant, data_centre: &id::DataCentre) {
        if !self.cuts.start_check(data_centre, now) {
            return;
        }
        let in_centre = self.members.iter().filter(|(vm, member)| {
            member.data_centre == *data_centre
                && member.fact.health != Health::Dead
                && !self.prober.is_probing(vm)
        });
        let sample: Vec<id::Vm> =
            in_centre.map(|(vm, _)| vm.clone()).sample(&mut self.rng, EVIDENCE);
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
            // A node that hears from nobody, or from nobody there, has no ground for a verdict.
            let has_heard = heard_at.is_some_and(|at| at > member.health_since);
            if !has_heard || cuts.is_cut(&member.data_centre) {
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
            self.refresh(&vm);
        }
    }

    pub(super) fn answer_ping_request(
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
        let number = self.prober.number();
        let relay = Relay { asker: from.clone(), probe, started: now };
        self.prober.relays.insert(number, relay);
        self.send(target, Body::Ping { probe: number });
    }

    pub(super) fn take_ack(&mut self, number: u32) {
        if let Some(relay) = self.prober.relays.remove(&number) {
            self.send(&relay.asker, Body::Ack { probe: relay.probe });
        }
        let Some(probe) = self.prober.probes.remove(&number) else { return };
        self.prober.raise_trust();
        let Some(member) = self.members.get_mut(&probe.vm) else { return };
        member.misses = 0;
        let data_centre = member.data_centre.clone();
        self.cuts.clear(&data_centre);
    }
}
