//! Tracks which revisions peers claim to have, and how often they failed to deliver them.

use {
    crate::{id, time::Instant, unit::Revision},
    rand::{Rng, seq::IteratorRandom},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// After this many consecutive failures to deliver what it claims, a peer is muted.
const MAX_FAILURES: u8 = 8;
/// After this many consecutive failures the claim is discarded, and the peer is fetched from only
/// after a new claim. This keeps a peer that is merely cut off from being muted as a false
/// claimant.
const FAILURES_TO_DISCARD_CLAIM: u8 = 2;
/// Bounds the memory for claims.
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
    /// Records the revisions that a peer claims. Claims of a muted peer are ignored.
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
        // A restarted peer knows less than before, so the latest claim replaces the earlier one.
        claim.complete = complete;
        claim.accepted = accepted.unwrap_or(claim.accepted);
    }

    /// Counts a failure of a peer. Repeated failures discard its claim and then mute it.
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

    /// Resets the failure count after a useful page, and prefers this peer for the next fetch.
    pub fn record_success(&mut self, vm: &id::Vm) {
        if let Some(claim) = self.peers.get_mut(vm) {
            claim.failures = 0;
        }
        self.last_server = Some(vm.clone());
    }

    /// Clears the preference for this peer.
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

    /// Returns a random peer with an eligible claim, preferring the one that served the last page.
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

    /// Removes the claims of unreachable peers, except those that are still muted.
    pub fn retain(&mut self, now: Instant, reachable: &BTreeSet<&id::Vm>) {
        self.peers.retain(|vm, claim| {
            reachable.contains(vm) || claim.muted_until.is_some_and(|until| now < until)
        });
    }
}
