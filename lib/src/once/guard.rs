//! Which revision of the own pool is in force, agreed with a majority of its nodes.
//!
//! Two nodes with different tables can name two owners for one key. A request with a key therefore
//! runs only while a majority of the pool's nodes lately vouched for the same epoch, and after a
//! majority of every earlier roster has left its epoch for good. Nothing is elected and nothing
//! is stored: the platform orders the epochs, and the nodes only tell which one they have accepted.

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

/// Past epochs that are kept. More changes than that within the window stop requests with a key.
const PAST_MAX: usize = 16;

#[derive(Debug)]
struct Past {
    vms: Vec<Vm>,
    leavers: Option<Leavers>,
    sealed_at: Option<Instant>,
    is_left: bool,
}

/// A majority that had left an epoch by some time, each node in the given life.
#[derive(Debug)]
struct Leavers {
    by: Instant,
    lives: BTreeMap<Vm, Incarnation>,
}

impl Past {
    fn new(vms: Vec<Vm>) -> Self {
        Self { vms, leavers: None, sealed_at: None, is_left: false }
    }
}

/// What the last fresh pulse of another node said.
#[derive(Clone, Debug)]
pub(super) struct Heard {
    /// When the probe was sent that the pulse answers.
    pub sent: Instant,
    /// The life of the node.
    pub incarnation: Incarnation,
    /// The tickets of the node before this one are void.
    pub min_sequence: u64,
    epoch: Option<Revision>,
    tables: Revision,
    is_voter: bool,
}

/// What a node knows of itself besides its pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Own {
    /// The revision of all its tables.
    pub tables: Revision,
    /// Whether its VM had no earlier life.
    pub is_first: bool,
    /// How long its life has lasted.
    pub age: Duration,
}

/// A probe as it is answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub nonce: u64,
    /// Whether the asking VM may have had an earlier life.
    pub has_earlier_incarnation: bool,
}

#[derive(Debug)]
pub(super) struct Guard {
    vm: Vm,
    pool: Option<Pool>,
    epoch: Revision,
    vms: Vec<Vm>,
    past: BTreeMap<Revision, Past>,
    settled_epoch: Revision,
    newest: Revision,
    heard: BTreeMap<Vm, Heard>,
    is_voter: bool,
}

impl Guard {
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            pool: None,
            epoch: Revision(0),
            vms: Vec::new(),
            past: BTreeMap::new(),
            settled_epoch: Revision(0),
            newest: Revision(0),
            heard: BTreeMap::new(),
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

    pub fn past(&self) -> impl Iterator<Item = &[Vm]> {
        self.past.values().map(|past| past.vms.as_slice())
    }

    /// Tells whether the own node is or lately was the only one of the pool.
    pub fn was_alone(&self) -> bool {
        let is_alone = |vms: &[Vm]| vms == std::slice::from_ref(&self.vm);
        is_alone(&self.vms) || self.past().any(is_alone)
    }

    /// Returns the nodes of the present and the past rosters, without the own one.
    pub fn peers(&self) -> BTreeSet<Vm> {
        let past = self.past.values().flat_map(|past| &past.vms);
        self.vms.iter().chain(past).filter(|vm| **vm != self.vm).cloned().collect()
    }

    /// Joins another pool, whose roster before was known from earlier tables, if at all.
    pub fn join(&mut self, pool: Pool, before: Option<Membership>) {
        *self = Self { pool: Some(pool), ..Self::new(self.vm.clone()) };
        if let Some(membership) = before {
            self.adopt(membership.epoch, membership.vms);
        }
    }

    /// Accepts a newer revision of the pool's line.
    pub fn adopt(&mut self, epoch: Revision, vms: Vec<Vm>) {
        if epoch <= self.epoch {
            return;
        }
        let vms = std::mem::replace(&mut self.vms, vms);
        let before = std::mem::replace(&mut self.epoch, epoch);
        if before > self.settled_epoch && before > Revision(0) {
            self.past.insert(before, Past::new(vms));
        }
        self.newest = self.newest.max(epoch);
    }

    /// Forgets what the earlier life of a node said.
    pub fn end_life(&mut self, vm: &Vm) {
        self.heard.remove(vm);
    }

    /// Takes in the answer to a probe that was sent at `sent`.
    pub fn hear(&mut self, sent: Instant, peer: &Peer, pulse: &ProbeReply) {
        let is_own_pool = self.pool.is_some() && pulse.pool == self.pool;
        let heard = Heard {
            sent,
            incarnation: peer.incarnation,
            min_sequence: pulse.min_sequence,
            epoch: is_own_pool.then_some(pulse.epoch),
            tables: pulse.tables,
            is_voter: pulse.is_voter,
        };
        let last = self.heard.get(&peer.vm).filter(|last| last.sent > sent);
        if last.is_none() {
            self.heard.insert(peer.vm.clone(), heard);
        }
        if is_own_pool {
            self.learn(pulse);
        }
    }

    fn learn(&mut self, pulse: &ProbeReply) {
        self.newest = self.newest.max(pulse.epoch);
        self.settled_epoch = self.settled_epoch.max(pulse.settled_epoch);
        for membership in &pulse.past_memberships {
            self.newest = self.newest.max(membership.epoch);
            let is_known = self.past.contains_key(&membership.epoch);
            let is_past = membership.epoch < self.epoch && membership.epoch > self.settled_epoch;
            if is_past && !is_known && self.past.len() < PAST_MAX {
                let past = Past::new(membership.vms.clone());
                self.past.insert(membership.epoch, past);
            }
        }
        let settled_epoch = self.settled_epoch;
        self.past.retain(|epoch, _| *epoch > settled_epoch);
    }

    /// Returns the last fresh pulse of a node.
    pub fn heard(&self, now: Instant, vm: &Vm, settings: &Settings) -> Option<&Heard> {
        self.heard.get(vm).filter(|heard| now - heard.sent < settings.fresh())
    }

    /// Moves on with vouching, sealing and forgetting.
    pub fn tick(&mut self, now: Instant, own: Own, settings: &Settings) {
        self.try_vouch(now, own, settings);
        self.seal(now);
        self.settle(now, settings);
    }

    // A restarted node may have forgotten an epoch that it vouched for. It vouches again only after
    // a majority that has forgotten nothing names the same epoch. Where no such majority is left, all
    // nodes must name it, and those that are not new wait until no pulse from before counts.
    fn try_vouch(&mut self, now: Instant, own: Own, settings: &Settings) {
        if self.is_voter || self.epoch < self.newest || !self.vms.contains(&self.vm) {
            return;
        }
        let agrees = |heard: &&Heard| heard.epoch == Some(self.epoch);
        let others = || self.vms.iter().filter(|vm| **vm != self.vm);
        let same = |vm: &Vm| self.heard(now, vm, settings).filter(agrees);
        let vouching = others().filter_map(same).filter(|heard| heard.is_voter).count();
        let is_unanimous = others().all(|vm| same(vm).is_some());
        let may_begin = own.is_first || own.age >= settings.seal();
        self.is_voter = is_unanimous && may_begin || is_majority(vouching, &self.vms);
    }

    // A majority must have left the epoch at one and the same time, or a node that restarted in
    // between could go back to it. So all of them are heard again, in the same life, after that time.
    fn seal(&mut self, now: Instant) {
        let mut past = std::mem::take(&mut self.past);
        for (epoch, past) in &mut past {
            past.is_left |= self.left(*epoch, &past.vms).len() == past.vms.len();
            if past.sealed_at.is_some() {
                continue;
            }
            let stays = |leavers: &Leavers| leavers.lives.iter().all(|life| self.is_alive(life));
            past.leavers = past.leavers.take().filter(stays);
            match &past.leavers {
                Some(leavers) => {
                    let is_over = leavers.lives.keys().all(|vm| self.is_heard(vm, leavers.by));
                    past.sealed_at = is_over.then_some(now);
                }
                None => {
                    let lives = self.left(*epoch, &past.vms);
                    let has_left = is_majority(lives.len(), &past.vms);
                    past.leavers = has_left.then_some(Leavers { by: now, lives });
                }
            }
        }
        self.past = past;
    }

    fn left(&self, epoch: Revision, vms: &[Vm]) -> BTreeMap<Vm, Incarnation> {
        let left = |vm: &Vm| {
            if *vm == self.vm {
                return Some((vm.clone(), Incarnation::default()));
            }
            let heard = self.heard.get(vm)?;
            // A node that is no longer in the pool has left the epoch with its newer tables.
            let reached = heard.epoch.unwrap_or(heard.tables);
            let least = heard.epoch.map_or(self.epoch, |_| Revision(epoch.0 + 1));
            (reached >= least).then(|| (vm.clone(), heard.incarnation))
        };
        vms.iter().filter_map(left).collect()
    }

    fn is_alive(&self, (vm, incarnation): (&Vm, &Incarnation)) -> bool {
        let heard = self.heard.get(vm);
        *vm == self.vm || heard.is_some_and(|heard| heard.incarnation == *incarnation)
    }

    fn is_heard(&self, vm: &Vm, after: Instant) -> bool {
        *vm == self.vm || self.heard.get(vm).is_some_and(|heard| heard.sent > after)
    }

    fn settle(&mut self, now: Instant, settings: &Settings) {
        while let Some(first) = self.past.first_entry() {
            let is_over = |at| now - at >= settings.retention();
            if !first.get().sealed_at.is_some_and(is_over) {
                return;
            }
            self.settled_epoch = self.settled_epoch.max(*first.key());
            first.remove();
        }
    }

    /// Tells whether requests with a key may run and be granted under the present epoch.
    pub fn is_ready(&self, now: Instant, settings: &Settings) -> bool {
        let is_member = self.vms.contains(&self.vm);
        let is_newest = self.epoch == self.newest && self.past.len() < PAST_MAX;
        // A node that has not left may still rely on pulses from before the seal.
        let is_over = |past: &Past, at| past.is_left || now - at >= settings.seal();
        let is_sealed = |past: &Past| past.sealed_at.is_some_and(|at| is_over(past, at));
        let agrees = |vm: &&Vm| {
            if **vm == self.vm {
                return self.is_voter;
            }
            let heard = self.heard(now, vm, settings);
            heard.is_some_and(|heard| heard.is_voter && heard.epoch == Some(self.epoch))
        };
        is_member
            && is_newest
            && self.past.values().all(is_sealed)
            && is_majority(self.vms.iter().filter(agrees).count(), &self.vms)
    }

    /// Tells whether the pool changed so lately that a key may have had another owner.
    pub fn is_settled(&self) -> bool {
        self.past.is_empty()
    }

    /// Fills in the own part of a pulse.
    pub fn pulse(&self, asked: Asked, own: Own, min_sequence: u64) -> ProbeReply {
        let membership =
            |(epoch, past): (&Revision, &Past)| Membership { epoch: *epoch, vms: past.vms.clone() };
        ProbeReply {
            nonce: asked.nonce,
            pool: self.pool.clone(),
            epoch: self.epoch,
            tables: own.tables,
            is_voter: self.is_voter,
            min_sequence,
            has_earlier_incarnation: asked.has_earlier_incarnation,
            past_memberships: self.past.iter().map(membership).collect(),
            settled_epoch: self.settled_epoch,
        }
    }
}

fn is_majority(count: usize, of: &[Vm]) -> bool {
    2 * count > of.len()
}
