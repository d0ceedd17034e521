//! Maintains the known VMs from the platform's list, the published tables and peers.

use {
    super::{
        Change, MAX_MEMBERS, Member, Reason, View, Vm,
        fact::{Fact, Health, Rumour},
    },
    crate::{id, time::Instant},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

impl View {
    /// Applies the platform's list of VMs. An empty list carries no information and is ignored. A
    /// VM that is missing from the list stays known until it has been dead for the retention
    /// period.
    pub fn listed(&mut self, now: Instant, list: &[Vm]) {
        if list.is_empty() {
            return;
        }
        let listed: BTreeMap<&id::Vm, &Vm> = list.iter().map(|vm| (&vm.vm, vm)).collect();
        for (vm, member) in &mut self.members {
            member.listing = listed.get(vm).map(|entry| entry.state);
        }
        for entry in list {
            self.apply_listing(now, entry);
        }
        if !self.has_list {
            self.has_list = true;
            self.sync.join(now);
        }
        self.record_all_states();
    }

    fn apply_listing(&mut self, now: Instant, entry: &Vm) {
        let member = self.get_or_insert_member(now, &entry.vm, &entry.data_centre, Reason::Listed);
        let Some(member) = member else { return };
        member.listing = Some(entry.state);
        // The address that the VM itself reports takes precedence over the list, which lags.
        if member.fact.incarnation == id::Incarnation::default() || member.address.is_none() {
            member.data_centre = entry.data_centre.clone();
            member.address = Some(entry.address);
        }
    }

    /// Applies the VMs named by the tables in force, so that their nodes are accepted as peers even
    /// while the platform's list lags.
    pub fn published<'a>(
        &mut self,
        now: Instant,
        targets: impl Iterator<Item = (&'a id::Vm, &'a id::DataCentre)>,
    ) {
        for member in self.members.values_mut() {
            member.is_published = false;
        }
        for (vm, data_centre) in targets {
            if let Some(member) = self.get_or_insert_member(now, vm, data_centre, Reason::Published)
            {
                member.is_published = true;
            }
        }
        self.record_all_states();
    }

    /// Returns the record of a VM, which is inserted if it is missing and the limit allows it.
    pub(super) fn get_or_insert_member(
        &mut self,
        now: Instant,
        vm: &id::Vm,
        data_centre: &id::DataCentre,
        reason: Reason,
    ) -> Option<&mut Member> {
        if *vm == self.me {
            return None;
        }
        if !self.members.contains_key(vm) && self.members.len() >= MAX_MEMBERS {
            return None;
        }
        let member = self.members.entry(vm.clone()).or_insert_with(|| Member {
            data_centre: data_centre.clone(),
            address: None,
            listing: None,
            is_published: false,
            fact: Fact::default(),
            misses: 0,
            heard_at: None,
            health_since: now,
            reported: None,
            reason,
        });
        Some(member)
    }

    /// Returns whether unknown VMs are accepted, because neither a list nor a table names any VM
    /// yet. The connection has already authenticated them as part of the fleet.
    pub(super) fn is_bootstrapping(&self) -> bool {
        !self.has_list && !self.members.values().any(|member| member.is_published)
    }

    /// Applies a fact about another VM, and spreads it if `is_new` is set and it changed anything.
    pub(super) fn apply(&mut self, now: Instant, rumour: &Rumour, reason: Reason, is_new: bool) {
        if rumour.vm == self.me {
            return self.refute(&rumour.fact);
        }
        if !self.is_plausible(now, &rumour.fact) {
            return;
        }
        if !self.members.contains_key(&rumour.vm) {
            if !self.is_bootstrapping() {
                return;
            }
            self.get_or_insert_member(now, &rumour.vm, &rumour.data_centre, Reason::Introduced);
        }
        let Some(member) = self.members.get_mut(&rumour.vm) else { return };
        let before = member.fact;
        if !member.fact.merge(&rumour.fact) {
            return;
        }
        member.reason = reason;
        if before.health != member.fact.health {
            member.health_since = now;
        }
        if before.incarnation != member.fact.incarnation {
            member.misses = 0;
        }
        set_address(member, &before, rumour.address);
        let has_left = member.fact.leaving && !before.leaving;
        let has_refuted = before.health != Health::Alive && member.fact.health == Health::Alive;
        if is_new {
            self.spread(&rumour.vm, has_left || has_refuted);
        }
        self.record_state(&rumour.vm);
    }

    /// Refutes a claim that this node's own VM is not alive, with a fact of a higher round.
    fn refute(&mut self, claim: &Fact) {
        const MAX_ROUND: u32 = 1 << 24;
        let own = self.origin.fact;
        if claim.incarnation > own.incarnation {
            if self.superseded < Some(claim.incarnation) {
                self.superseded = Some(claim.incarnation);
                self.record_change(Change::Superseded { incarnation: claim.incarnation });
            }
            return;
        }
        let is_doubt = claim.health != Health::Alive && claim.round >= own.round;
        if claim.incarnation < own.incarnation || !is_doubt || claim.round > MAX_ROUND {
            return;
        }
        self.origin.fact.round = claim.round + 1;
        self.prober.increase_distrust();
        let me = self.me.clone();
        self.spread(&me, true);
    }

    /// Returns whether an incarnation does not start in the future. An incarnation is the wall
    /// clock at the start of a process, so this node's own incarnation and age give an estimate of
    /// the current time.
    pub(super) fn is_plausible(&self, now: Instant, fact: &Fact) -> bool {
        const MAX_CLOCK_ERROR: Duration = Duration::from_secs(3_600);
        let age = self.started.map_or(Duration::ZERO, |started| now.since(started));
        let latest = u128::from(self.origin.fact.incarnation.0)
            + age.as_millis()
            + MAX_CLOCK_ERROR.as_millis();
        u128::from(fact.incarnation.0) <= latest
    }

    pub(super) fn remove_expired(&mut self, now: Instant) {
        let retention = Duration::from_millis(self.settings.forget_ms);
        let cuts = &self.cuts;
        let is_expired = |member: &Member| {
            let is_unreachable =
                member.fact.health == Health::Dead || cuts.is_cut(&member.data_centre);
            let heard_at = member.heard_at.unwrap_or(member.health_since);
            let since = heard_at.max(member.health_since);
            let is_declared = member.listing.is_some() || member.is_published;
            is_unreachable && !is_declared && now.since(since) >= retention
        };
        let expired: Vec<id::Vm> =
            self.members.iter().filter(|(_, m)| is_expired(m)).map(|(vm, _)| vm.clone()).collect();
        for vm in expired {
            self.members.remove(&vm);
            self.queue.remove(&vm);
            self.record_change(Change::Forgotten { vm });
        }
    }
}

fn set_address(member: &mut Member, before: &Fact, address: Option<SocketAddr>) {
    let is_later = member.fact.incarnation > before.incarnation;
    if address.is_some() && (is_later || member.address.is_none()) {
        member.address = address;
    }
}
