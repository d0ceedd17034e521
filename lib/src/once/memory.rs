//! What a node may have forgotten since its VM began to serve, and how it gets it back.
//!
//! A node knows the window once it is old enough, once all VMs of the tables confirmed that its VM had
//! no earlier life, or once the other nodes of its pool told it what they know. A key never
//! runs at its owner's own target, so the loss of one node loses nothing.

use {
    super::{Settings, guard::Guard, message::Peer},
    crate::{
        id::{Incarnation, Vm},
        time::Instant,
        unit::Revision,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

#[derive(Debug)]
enum Birth {
    /// These VMs have not yet said whether the own VM had an earlier life.
    Asking(BTreeSet<Vm>),
    /// The own VM had no earlier life.
    First,
    /// The own VM had an earlier life, or it cannot be excluded.
    Again,
}

#[derive(Debug, Default)]
struct Parts {
    nonce: u64,
    seen: BTreeSet<u16>,
}

/// What one part of an answer to a recall says besides its records.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    pub nonce: u64,
    pub part: u16,
    pub parts: u16,
    pub knows_runs: bool,
    pub knows_grants: bool,
}

#[derive(Debug)]
struct Round {
    epoch: Revision,
    peers: BTreeSet<Vm>,
    parts: BTreeMap<Vm, Parts>,
    runs_from: BTreeSet<Vm>,
    grants_from: BTreeSet<Vm>,
}

#[derive(Debug)]
struct Life {
    first: Incarnation,
    last: Incarnation,
    met: Instant,
}

/// How a node's message compares with the lives of its VM that were met before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Meeting {
    /// The life is over, and so is all that it said.
    Over,
    /// The life is the one met last.
    Same,
    /// The life is the first or a later one.
    New,
}

#[derive(Debug)]
pub(super) struct Memory {
    started: Instant,
    birth: Option<Birth>,
    lives: BTreeMap<Vm, Life>,
    round: Option<Round>,
    has_runs: bool,
    has_grants: bool,
}

impl Memory {
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            birth: None,
            lives: BTreeMap::new(),
            round: None,
            has_runs: false,
            has_grants: false,
        }
    }

    /// Begins to ask all VMs of the first tables whether the own VM had an earlier life.
    pub fn start(&mut self, others: BTreeSet<Vm>, settings: &Settings) {
        if self.birth.is_some() {
            return;
        }
        self.birth = Some(match (settings.trust_full_start, others.is_empty()) {
            (false, _) => Birth::Again,
            (true, true) => Birth::First,
            (true, false) => Birth::Asking(others),
        });
    }

    /// Begins anew, because the VM joined another pool.
    pub fn reset(&mut self, now: Instant) {
        self.started = now;
        self.birth = self.birth.take().map(|_| Birth::Again);
        (self.has_runs, self.has_grants, self.round) = (false, false, None);
    }

    /// Returns the VMs that still have to say whether the own VM had an earlier life.
    pub fn unasked(&self) -> impl Iterator<Item = &Vm> {
        let waiting = match &self.birth {
            Some(Birth::Asking(waiting)) => Some(waiting),
            _ => None,
        };
        waiting.into_iter().flatten()
    }

    /// Takes in what another node says about earlier lives of the own VM.
    pub fn testify(&mut self, vm: &Vm, has_earlier_incarnation: bool) {
        let Some(Birth::Asking(waiting)) = &mut self.birth else { return };
        waiting.remove(vm);
        let is_alone = waiting.is_empty();
        if has_earlier_incarnation {
            self.birth = Some(Birth::Again);
        } else if is_alone {
            self.birth = Some(Birth::First);
        }
    }

    /// Takes note of a life of another node.
    pub fn meet(&mut self, now: Instant, peer: &Peer) -> Meeting {
        let last = self.lives.get(&peer.vm).map(|life| life.last);
        if last.is_some_and(|last| last > peer.incarnation) {
            return Meeting::Over;
        }
        let life = self.lives.entry(peer.vm.clone());
        let first = peer.incarnation;
        let life = life.or_insert(Life { first, last: first, met: now });
        (life.last, life.met) = (peer.incarnation, now);
        if last == Some(peer.incarnation) { Meeting::Same } else { Meeting::New }
    }

    /// Tells whether a VM may have had an earlier life than this one.
    pub fn is_later_life(&self, now: Instant, peer: &Peer, settings: &Settings) -> bool {
        let is_forgetful = matches!(self.birth, Some(Birth::Again)) && !self.is_old(now, settings);
        let is_met = self.lives.get(&peer.vm).is_some_and(|life| life.first < peer.incarnation);
        is_forgetful || is_met
    }

    /// Forgets VMs that the tables have not named for a window.
    pub fn retain(&mut self, now: Instant, settings: &Settings, is_named: impl Fn(&Vm) -> bool) {
        let is_late = |life: &Life| now - life.met < settings.retention();
        self.lives.retain(|vm, life| is_late(life) || is_named(vm));
    }

    /// Returns how long this life has lasted.
    pub fn age(&self, now: Instant) -> Duration {
        now - self.started
    }

    fn is_old(&self, now: Instant, settings: &Settings) -> bool {
        self.age(now) >= settings.retention()
    }

    /// Tells whether the own VM had no earlier life.
    pub fn is_first(&self) -> bool {
        matches!(self.birth, Some(Birth::First))
    }

    fn is_whole(&self, now: Instant, settings: &Settings) -> bool {
        self.is_old(now, settings) || self.is_first()
    }

    /// Tells whether the node knows all that ran at its target in the window.
    pub fn knows_runs(&self, now: Instant, settings: &Settings) -> bool {
        self.has_runs || self.is_whole(now, settings)
    }

    /// Tells whether the node knows all that it granted in the window.
    pub fn knows_grants(&self, now: Instant, settings: &Settings) -> bool {
        self.has_grants || self.is_whole(now, settings)
    }

    /// Tells whether the node knows all that ran of a key which `owner` owned in an earlier roster.
    ///
    /// The earlier owner itself knows, and so do all other nodes of that roster together, because
    /// a key does not run at its owner.
    pub fn knows_moved(
        &self,
        epoch: Revision,
        owner: &Vm,
        members: &[Vm],
        knows_own_runs: impl Fn(&Vm) -> bool,
    ) -> bool {
        let round = self.round.as_ref().filter(|round| round.epoch == epoch);
        let Some(round) = round else { return false };
        let has_told = |vm: &Vm| round.runs_from.contains(vm) || knows_own_runs(vm);
        let mut others = members.iter().filter(|vm| *vm != owner);
        round.grants_from.contains(owner) || members.len() > 1 && others.all(has_told)
    }

    /// Returns whom to ask again, where something is missing. Each call needs a new number.
    pub fn ask(&mut self, now: Instant, guard: &Guard, nonce: u64, settings: &Settings) -> Vec<Vm> {
        let knows_own = self.knows_runs(now, settings) && self.knows_grants(now, settings);
        if guard.is_settled() && knows_own {
            self.round = None;
            return Vec::new();
        }
        let peers = guard.peers();
        let is_current = |round: &Round| round.epoch == guard.epoch() && round.peers == peers;
        if !self.round.as_ref().is_some_and(is_current) {
            let (runs_from, grants_from) = (BTreeSet::new(), BTreeSet::new());
            let (epoch, parts) = (guard.epoch(), BTreeMap::new());
            self.round = Some(Round { epoch, peers, parts, runs_from, grants_from });
        }
        let Some(round) = &mut self.round else { return Vec::new() };
        let both = |vm: &Vm| round.runs_from.contains(vm) && round.grants_from.contains(vm);
        let open: Vec<Vm> = round.peers.iter().filter(|vm| !both(vm)).cloned().collect();
        for vm in &open {
            round.parts.insert(vm.clone(), Parts { nonce, seen: BTreeSet::new() });
        }
        open
    }

    /// Tells whether a part answers what a VM was last asked.
    pub fn is_asked(&self, vm: &Vm, nonce: u64) -> bool {
        let parts = self.round.as_ref().and_then(|round| round.parts.get(vm));
        parts.is_some_and(|parts| parts.nonce == nonce)
    }

    /// Takes note of one part of an answer, after its records were taken in.
    ///
    /// Where the node was the only one of a roster, nobody could know what it forgot.
    pub fn answered(&mut self, vm: &Vm, part: Part, was_alone: bool) {
        let Some(round) = &mut self.round else { return };
        let Some(parts) = round.parts.get_mut(vm).filter(|parts| parts.nonce == part.nonce) else {
            return;
        };
        parts.seen.insert(part.part);
        if parts.seen.len() < usize::from(part.parts) {
            return;
        }
        round.parts.remove(vm);
        if part.knows_runs {
            round.runs_from.insert(vm.clone());
        }
        if part.knows_grants {
            round.grants_from.insert(vm.clone());
        }
        if !was_alone {
            self.has_grants |= round.runs_from == round.peers;
            self.has_runs |= round.grants_from == round.peers;
        }
    }
}
