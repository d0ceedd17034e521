//! Sends messages and spreads rumours.

use {
    super::{Body, Health, Message, Rumour, View},
    crate::id,
    rand::seq::IteratorRandom,
};

impl View {
    /// Queues a fact as a rumour, and sends it immediately if it is urgent.
    pub(super) fn spread(&mut self, vm: &id::Vm, is_urgent: bool) {
        self.queue.push(vm, is_urgent);
        if !is_urgent {
            return;
        }
        let max = self.settings.eager_peers.min(self.eager_budget);
        for to in self.random_peers(max, vm) {
            self.eager_budget -= 1;
            self.send(&to, Body::Gossip);
        }
    }

    pub(super) fn random_peers(&mut self, max: usize, except: &id::Vm) -> Vec<id::Vm> {
        let reachable = self.members.iter().filter(|(vm, member)| {
            *vm != except && self.cuts.is_reachable(&member.data_centre, member.fact.health)
        });
        reachable.map(|(vm, _)| vm.clone()).sample(&mut self.rng, max)
    }

    pub(super) fn send(&mut self, to: &id::Vm, body: Body) {
        let picked = self.queue.pick(self.settings.rumours, self.members.len());
        let mut rumours: Vec<Rumour> = picked.iter().filter_map(|vm| self.rumour(vm)).collect();
        // A suspected or dead VM always gets the fact about itself, so that it can refute.
        let doubted = self.members.get(to).is_some_and(|m| m.fact.health != Health::Alive);
        if doubted && !picked.contains(to) {
            rumours.extend(self.rumour(to));
        }
        let suspected_data_centres = self.cuts.names();
        let message =
            Message { origin: self.origin.clone(), body, rumours, suspected_data_centres };
        self.out.push((to.clone(), message));
    }

    pub(super) fn rumour(&self, vm: &id::Vm) -> Option<Rumour> {
        let member = if *vm == self.me { None } else { Some(self.members.get(vm)?) };
        Some(match member {
            None => Rumour {
                vm: vm.clone(),
                data_centre: self.origin.data_centre.clone(),
                address: Some(self.origin.address),
                fact: self.origin.fact,
            },
            Some(member) => Rumour {
                vm: vm.clone(),
                data_centre: member.data_centre.clone(),
                address: member.address,
                fact: member.fact,
            },
        })
    }
}
