//! What peers claim to know, and how far they were found to be right.

use {
    crate::{id, time::Instant, unit::Revision},
    rand::{Rng, seq::IteratorRandom},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How often in a row a peer may fail to give what it claims to have.
const MAX_FAILURES: u8 = 8;
/// After so many failures in a row the peer must claim again to be asked again, so that a peer that
/// is cut off is not counted as one that lies.
const FAILURES_TO_DISCARD_CLAIM: u8 = 2;
/// The most peers whose claims are kept.
const MAX_PEERS: usize = 4_096;

/// The claims of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Claim {
    pub complete: Revision,
    pub accepted: Revision,
    failures: u8,
    muted_until: Option<Instant>,
}

/// The claims of all peers.
#[derive(Debug, Default)]
pub(super) struct Claims {
    peers: BTreeMap<id::Vm, Claim>,
    /// The peer that served the last page.
    last_server: Option<id::Vm>,
}

impl Claims {
    /// Takes in what a peer says that it knows. A muted peer is not heard.
    pub fn record_claim(
        &mut self,
        now: Instant,
        vm: &id::Vm,
        complete: Revision,
        accepted: Option<Revision>,
    ) {
        if !self.peers.contains_key(vm) && self.peers.len() >= MAX_PEERS {
            return;
        }
        let claim = self.peers.entry(vm.clone()).or_default();
        if claim.muted_until.is_some_and(|until| now < until) {
            return;
        }
        if claim.muted_until.take().is_some() {
            claim.failures = 0;
        }
        // A peer that started again knows less than before, so the last word counts.
        claim.complete = complete;
        claim.accepted = accepted.unwrap_or(claim.accepted);
    }

    /// Counts a peer's failure and mutes it after several.
    pub fn record_failure(&mut self, now: Instant, vm: &id::Vm, mute: Duration) {
        let Some(claim) = self.peers.get_mut(vm) else { return };
        claim.failures += 1;
        if claim.failures >= MAX_FAILURES {
            *claim = Claim { muted_until: Some(now + mute), ..Claim::default() };
        } else if claim.failures >= FAILURES_TO_DISCARD_CLAIM {
            claim.complete = Revision(0);
            claim.accepted = Revision(0);
        }
        self.deprioritize(vm);
    }

    /// Counts a page that brought the reader on.
    pub fn record_success(&mut self, vm: &id::Vm) {
        if let Some(claim) = self.peers.get_mut(vm) {
            claim.failures = 0;
        }
        self.last_server = Some(vm.clone());
    }

    /// Prefers other peers the next time.
    pub fn deprioritize(&mut self, vm: &id::Vm) {
        if self.last_server.as_ref() == Some(vm) {
            self.last_server = None;
        }
    }

    pub fn get(&self, vm: &id::Vm) -> Option<&Claim> {
        self.peers.get(vm)
    }

    pub fn is_muted(&self, now: Instant, vm: &id::Vm) -> bool {
        let until = self.peers.get(vm).and_then(|claim| claim.muted_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns a peer whose claim passes, the one that served last if it does.
    pub fn pick(&self, rng: &mut impl Rng, is_eligible: impl Fn(&Claim) -> bool) -> Option<id::Vm> {
        let is_candidate = |vm: &&id::Vm| self.peers.get(*vm).is_some_and(&is_eligible);
        if let Some(last_server) = self.last_server.as_ref().filter(is_candidate) {
            return Some(last_server.clone());
        }
        self.peers.keys().filter(is_candidate).choose(rng).cloned()
    }

    pub fn highest(&self) -> Revision {
        self.peers.values().map(|claim| claim.complete).max().unwrap_or_default()
    }

    pub fn muted(&self, now: Instant) -> Vec<id::Vm> {
        self.peers.keys().filter(|vm| self.is_muted(now, vm)).cloned().collect()
    }

    /// Drops the claims of peers that can't be reached, but not the memory of who is muted.
    pub fn retain(&mut self, now: Instant, reachable: &BTreeSet<&id::Vm>) {
        self.peers.retain(|vm, claim| {
            reachable.contains(vm) || claim.muted_until.is_some_and(|until| now < until)
        });
    }
}
