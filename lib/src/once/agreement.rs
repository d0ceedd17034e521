//! Agreement with a majority of the local pool's nodes on the epoch, the revision of the pool's
//! table entry that is in effect.
//!
//! Two nodes with different tables can select two owners for one key. A request with a key
//! therefore runs only while a majority of the pool's nodes has recently confirmed the same epoch,
//! and after a majority of every earlier membership has permanently left its epoch. There is no
//! election and no stored state: the platform orders the epochs, and nodes only report which one
//! they accepted.

use {
    super::{
        Settings,
        message::{Membership, Peer, ProbeReply},
    },
    crate::{
        id::{Incarnation, Pool, Vm},
        time::Instant,
        unit::Revision,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Limit of the past epochs kept. Requests with a key are refused while that many changes of the
/// pool have not settled.
const PAST_EPOCHS_MAX: usize = 16;

#[derive(Debug)]
struct PastEpoch {
    vms: Vec<Vm>,
    left_majority: Option<LeftMajority>,
    sealed_at: Option<Instant>,
    all_left: bool,
}

/// A majority of nodes that had left an epoch when observed, with the incarnation of each node.
#[derive(Debug)]
struct LeftMajority {
    observed_at: Instant,
    incarnations: BTreeMap<Vm, Incarnation>,
}

impl PastEpoch {
    fn new(vms: Vec<Vm>) -> Self {
        Self { vms, left_majority: None, sealed_at: None, all_left: false }
    }
}

/// The state of another node according to its last probe reply.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// When the probe was sent that the reply belongs to.
    pub probe_sent_at: Instant,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// Tickets of the node with a lower sequence number are no longer valid.
    pub min_sequence: u64,
    epoch: Option<Revision>,
    tables: Revision,
    is_voter: bool,
}

/// The state of the local node that is not specific to its pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalState {
    /// The revision of its tables.
    pub tables: Revision,
    /// Whether its VM is known to have had no earlier incarnation.
    pub is_first: bool,
    /// The time since its start, or since it joined another pool.
    pub age: Duration,
}

/// The fields of a probe reply that depend on the probe and its sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeContext {
    pub nonce: u64,
    /// Whether the VM that sent the probe may have had an earlier incarnation.
    pub has_earlier_incarnation: bool,
}

#[derive(Debug)]
pub(super) struct EpochAgreement {
    vm: Vm,
    pool: Option<Pool>,
    epoch: Revision,
    vms: Vec<Vm>,
    past_epochs: BTreeMap<Revision, PastEpoch>,
    settled_epoch: Revision,
    newest_epoch: Revision,
    peer_states: BTreeMap<Vm, PeerState>,
    is_voter: bool,
}

impl EpochAgreement {
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            pool: None,
            epoch: Revision(0),
            vms: Vec::new(),
            past_epochs: BTreeMap::new(),
            settled_epoch: Revision(0),
            newest_epoch: Revision(0),
            peer_states: BTreeMap::new(),
            is_voter: false,
        }
    }

    pub fn pool(&self) -> Option<&Pool> {
        self.pool.as_ref()
    }

    pub fn epoch(&self) -> Revision {
        self.epoch
    }

    pub fn is_voter(&self) -> bool {
        self.is_voter
    }

    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    pub fn past_members(&self) -> impl Iterator<Item = &[Vm]> {
        self.past_epochs.values().map(|past| past.vms.as_slice())
    }

    /// Returns whether the local node is the only member of the pool, or was in a past epoch.
    pub fn was_sole_member(&self) -> bool {
        let is_alone = |vms: &[Vm]| vms == std::slice::from_ref(&self.vm);
        is_alone(&self.vms) || self.past_members().any(is_alone)
    }

    /// Returns the members of the current and past epochs, without the local node.
    pub fn peers(&self) -> BTreeSet<Vm> {
        let past = self.past_epochs.values().flat_map(|past| &past.vms);
        self.vms.iter().chain(past).filter(|vm| **vm != self.vm).cloned().collect()
    }

    /// Joins another pool. `before` is its membership in the previous tables, if known.
    pub fn join(&mut self, pool: Pool, before: Option<Membership>) {
        *self = Self { pool: Some(pool), ..Self::new(self.vm.clone()) };
        if let Some(membership) = before {
            self.adopt(membership.epoch, membership.vms);
        }
    }

    /// Accepts a newer revision of the pool's table entry.
    pub fn adopt(&mut self, epoch: Revision, vms: Vec<Vm>) {
        if epoch <= self.epoch {
            return;
        }
        let vms = std::mem::replace(&mut self.vms, vms);
        let before = std::mem::replace(&mut self.epoch, epoch);
        if before > self.settled_epoch && before > Revision(0) {
            self.past_epochs.insert(before, PastEpoch::new(vms));
        }
        self.newest_epoch = self.newest_epoch.max(epoch);
    }

    /// Discards the state of a node whose incarnation has ended.
    pub fn forget_incarnation(&mut self, vm: &Vm) {
        self.peer_states.remove(vm);
    }

    /// Processes the reply to a probe that was sent at `probe_sent_at`.
    pub fn handle_probe_reply(&mut self, probe_sent_at: Instant, peer: &Peer, reply: &ProbeReply) {
        let is_own_pool = self.pool.is_some() && reply.pool == self.pool;
        let state = PeerState {
            probe_sent_at,
            incarnation: peer.incarnation,
            min_sequence: reply.min_sequence,
            epoch: is_own_pool.then_some(reply.epoch),
            tables: reply.tables,
            is_voter: reply.is_voter,
        };
        let last = self.peer_states.get(&peer.vm).filter(|last| last.probe_sent_at > probe_sent_at);
        if last.is_none() {
            self.peer_states.insert(peer.vm.clone(), state);
        }
        if is_own_pool {
            self.merge_history(reply);
        }
    }

    fn merge_history(&mut self, reply: &ProbeReply) {
        self.newest_epoch = self.newest_epoch.max(reply.epoch);
        self.settled_epoch = self.settled_epoch.max(reply.settled_epoch);
        for membership in &reply.past_memberships {
            self.newest_epoch = self.newest_epoch.max(membership.epoch);
            let is_known = self.past_epochs.contains_key(&membership.epoch);
            let is_past = membership.epoch < self.epoch && membership.epoch > self.settled_epoch;
            if is_past && !is_known && self.past_epochs.len() < PAST_EPOCHS_MAX {
                let past = PastEpoch::new(membership.vms.clone());
                self.past_epochs.insert(membership.epoch, past);
            }
        }
        let settled_epoch = self.settled_epoch;
        self.past_epochs.retain(|epoch, _| *epoch > settled_epoch);
    }

    /// Returns the state of a node, unless its last reply is too old.
    pub fn fresh_state(&self, now: Instant, vm: &Vm, settings: &Settings) -> Option<&PeerState> {
        self.peer_states.get(vm).filter(|state| now - state.probe_sent_at < settings.freshness())
    }

    /// Advances the voter state, seals past epochs and removes those that have settled.
    pub fn tick(&mut self, now: Instant, local: LocalState, settings: &Settings) {
        self.try_become_voter(now, local, settings);
        self.seal(now);
        self.settle(now, settings);
    }

    // A restarted node may have lost the memory of an epoch that it confirmed. It becomes a voter
    // again only after a majority of voters reports the same epoch. If no such majority is left,
    // all nodes must report that epoch, and a node that may have had an earlier incarnation waits
    // until none of that incarnation's probe replies is still relied on.
    fn try_become_voter(&mut self, now: Instant, local: LocalState, settings: &Settings) {
        if self.is_voter || self.epoch < self.newest_epoch || !self.vms.contains(&self.vm) {
            return;
        }
        let agrees = |state: &&PeerState| state.epoch == Some(self.epoch);
        let others = || self.vms.iter().filter(|vm| **vm != self.vm);
        let agreeing = |vm: &Vm| self.fresh_state(now, vm, settings).filter(agrees);
        let voters = others().filter_map(agreeing).filter(|state| state.is_voter).count();
        let is_unanimous = others().all(|vm| agreeing(vm).is_some());
        let may_vote = local.is_first || local.age >= settings.seal_wait();
        self.is_voter = is_unanimous && may_vote || is_majority(voters, &self.vms);
    }

    // A majority must have left the epoch at the same time. Otherwise a node that restarted in
    // between could return to it. Each node of the majority must therefore reply to a probe that
    // was sent after the majority was observed, in the same incarnation.
    fn seal(&mut self, now: Instant) {
        let mut past_epochs = std::mem::take(&mut self.past_epochs);
        for (epoch, past) in &mut past_epochs {
            past.all_left |= self.departed(*epoch, &past.vms).len() == past.vms.len();
            if past.sealed_at.is_some() {
                continue;
            }
            let is_unchanged = |left_majority: &LeftMajority| {
                left_majority.incarnations.iter().all(|member| self.is_same_incarnation(member))
            };
            past.left_majority = past.left_majority.take().filter(is_unchanged);
            match &past.left_majority {
                Some(left_majority) => {
                    let is_confirmed = left_majority
                        .incarnations
                        .keys()
                        .all(|vm| self.replied_after(vm, left_majority.observed_at));
                    past.sealed_at = is_confirmed.then_some(now);
                }
                None => {
                    let incarnations = self.departed(*epoch, &past.vms);
                    let has_left = is_majority(incarnations.len(), &past.vms);
                    past.left_majority =
                        has_left.then_some(LeftMajority { observed_at: now, incarnations });
                }
            }
        }
        self.past_epochs = past_epochs;
    }

    fn departed(&self, epoch: Revision, vms: &[Vm]) -> BTreeMap<Vm, Incarnation> {
        let departure = |vm: &Vm| {
            if *vm == self.vm {
                return Some((vm.clone(), Incarnation::default()));
            }
            let state = self.peer_states.get(vm)?;
            // A node that is no longer in the pool left the epoch when it accepted newer tables.
            let reached = state.epoch.unwrap_or(state.tables);
            let least = state.epoch.map_or(self.epoch, |_| Revision(epoch.0 + 1));
            (reached >= least).then(|| (vm.clone(), state.incarnation))
        };
        vms.iter().filter_map(departure).collect()
    }

    fn is_same_incarnation(&self, (vm, incarnation): (&Vm, &Incarnation)) -> bool {
        let state = self.peer_states.get(vm);
        *vm == self.vm || state.is_some_and(|state| state.incarnation == *incarnation)
    }

    fn replied_after(&self, vm: &Vm, after: Instant) -> bool {
        *vm == self.vm || self.peer_states.get(vm).is_some_and(|state| state.probe_sent_at > after)
    }

    fn settle(&mut self, now: Instant, settings: &Settings) {
        while let Some(first) = self.past_epochs.first_entry() {
            let has_expired = |at| now - at >= settings.retention();
            if !first.get().sealed_at.is_some_and(has_expired) {
                return;
            }
            self.settled_epoch = self.settled_epoch.max(*first.key());
            first.remove();
        }
    }

    /// Returns whether requests with a key may be granted and run under the current epoch.
    pub fn is_ready(&self, now: Instant, settings: &Settings) -> bool {
        let is_member = self.vms.contains(&self.vm);
        let is_newest = self.epoch == self.newest_epoch && self.past_epochs.len() < PAST_EPOCHS_MAX;
        // A node that has not left the epoch may still rely on probe replies from before the
        // sealing.
        let has_expired = |past: &PastEpoch, at| past.all_left || now - at >= settings.seal_wait();
        let is_sealed = |past: &PastEpoch| past.sealed_at.is_some_and(|at| has_expired(past, at));
        let agrees = |vm: &&Vm| {
            if **vm == self.vm {
                return self.is_voter;
            }
            let state = self.fresh_state(now, vm, settings);
            state.is_some_and(|state| state.is_voter && state.epoch == Some(self.epoch))
        };
        is_member
            && is_newest
            && self.past_epochs.values().all(is_sealed)
            && is_majority(self.vms.iter().filter(agrees).count(), &self.vms)
    }

    /// Returns whether no past epoch is left under which a key may have had another owner.
    pub fn is_settled(&self) -> bool {
        self.past_epochs.is_empty()
    }

    /// Returns the reply to a probe.
    pub fn probe_reply(
        &self,
        probe: ProbeContext,
        local: LocalState,
        min_sequence: u64,
    ) -> ProbeReply {
        let membership = |(epoch, past): (&Revision, &PastEpoch)| Membership {
            epoch: *epoch,
            vms: past.vms.clone(),
        };
        ProbeReply {
            nonce: probe.nonce,
            pool: self.pool.clone(),
            epoch: self.epoch,
            tables: local.tables,
            is_voter: self.is_voter,
            min_sequence,
            has_earlier_incarnation: probe.has_earlier_incarnation,
            past_memberships: self.past_epochs.iter().map(membership).collect(),
            settled_epoch: self.settled_epoch,
        }
    }
}

fn is_majority(count: usize, of: &[Vm]) -> bool {
    2 * count > of.len()
}
