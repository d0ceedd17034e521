//! Recovery of the state that a node may have lost in a restart.
//!
//! A node has complete knowledge of the window once it has run for the retention time, once all VMs
//! in the tables have confirmed that its VM had no earlier incarnation, or once the other nodes of
//! its pool have sent it their records. A key never runs at its owner's own target, so the loss of
//! a single node loses no information.

use {
    super::{Settings, agreement::EpochAgreement, message::Peer},
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
enum StartHistory {
    /// These VMs have not yet answered whether the local VM had an earlier incarnation.
    Unconfirmed(BTreeSet<Vm>),
    /// The local VM had no earlier incarnation.
    First,
    /// The local VM had an earlier incarnation, or that cannot be ruled out.
    Restarted,
}

#[derive(Debug, Default)]
struct ReceivedParts {
    nonce: u64,
    seen: BTreeSet<u16>,
}

/// The fields of one [`Message::Records`](super::Message::Records) other than its records.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartHeader {
    pub nonce: u64,
    pub part: u16,
    pub parts: u16,
    pub knows_runs: bool,
    pub knows_grants: bool,
}

#[derive(Debug)]
struct RecoveryRound {
    epoch: Revision,
    peers: BTreeSet<Vm>,
    parts: BTreeMap<Vm, ReceivedParts>,
    runs_from: BTreeSet<Vm>,
    grants_from: BTreeSet<Vm>,
}

#[derive(Debug)]
struct KnownIncarnations {
    first: Incarnation,
    last: Incarnation,
    last_seen: Instant,
}

/// How the sender of a message compares with the last known incarnation of its VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PeerIncarnation {
    /// An incarnation that has ended. Its messages are ignored.
    Stale,
    /// The last known incarnation.
    Current,
    /// The first known incarnation, or one later than the last known.
    New,
}

#[derive(Debug)]
pub(super) struct Recovery {
    started: Instant,
    start_history: Option<StartHistory>,
    incarnations: BTreeMap<Vm, KnownIncarnations>,
    round: Option<RecoveryRound>,
    recovered_runs: bool,
    recovered_grants: bool,
}

impl Recovery {
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            start_history: None,
            incarnations: BTreeMap::new(),
            round: None,
            recovered_runs: false,
            recovered_grants: false,
        }
    }

    /// Starts to ask all VMs of the first tables whether the local VM had an earlier incarnation.
    pub fn start(&mut self, others: BTreeSet<Vm>, settings: &Settings) {
        if self.start_history.is_some() {
            return;
        }
        self.start_history = Some(match (settings.trust_full_start, others.is_empty()) {
            (false, _) => StartHistory::Restarted,
            (true, true) => StartHistory::First,
            (true, false) => StartHistory::Unconfirmed(others),
        });
    }

    /// Discards all knowledge because the VM joined another pool.
    pub fn reset(&mut self, now: Instant) {
        self.started = now;
        self.start_history = self.start_history.take().map(|_| StartHistory::Restarted);
        (self.recovered_runs, self.recovered_grants, self.round) = (false, false, None);
    }

    /// Returns the VMs that have not yet answered whether the local VM had an earlier incarnation.
    pub fn unasked(&self) -> impl Iterator<Item = &Vm> {
        let waiting = match &self.start_history {
            Some(StartHistory::Unconfirmed(waiting)) => Some(waiting),
            _ => None,
        };
        waiting.into_iter().flatten()
    }

    /// Processes the answer of another node whether the local VM had an earlier incarnation.
    pub fn handle_history_reply(&mut self, vm: &Vm, has_earlier_incarnation: bool) {
        let Some(StartHistory::Unconfirmed(waiting)) = &mut self.start_history else { return };
        waiting.remove(vm);
        let is_last = waiting.is_empty();
        if has_earlier_incarnation {
            self.start_history = Some(StartHistory::Restarted);
        } else if is_last {
            self.start_history = Some(StartHistory::First);
        }
    }

    /// Records the incarnation of another node.
    pub fn observe(&mut self, now: Instant, peer: &Peer) -> PeerIncarnation {
        let last = self.incarnations.get(&peer.vm).map(|known| known.last);
        if last.is_some_and(|last| last > peer.incarnation) {
            return PeerIncarnation::Stale;
        }
        let known = self.incarnations.entry(peer.vm.clone());
        let first = peer.incarnation;
        let known = known.or_insert(KnownIncarnations { first, last: first, last_seen: now });
        (known.last, known.last_seen) = (peer.incarnation, now);
        if last == Some(peer.incarnation) { PeerIncarnation::Current } else { PeerIncarnation::New }
    }

    /// Returns whether a VM may have had an incarnation before this one.
    pub fn may_have_earlier_incarnation(
        &self,
        now: Instant,
        peer: &Peer,
        settings: &Settings,
    ) -> bool {
        let may_have_forgotten = matches!(self.start_history, Some(StartHistory::Restarted))
            && !self.is_past_retention(now, settings);
        let is_later =
            self.incarnations.get(&peer.vm).is_some_and(|known| known.first < peer.incarnation);
        may_have_forgotten || is_later
    }

    /// Removes VMs that are not in the tables and sent no message within the retention time.
    pub fn retain(&mut self, now: Instant, settings: &Settings, is_named: impl Fn(&Vm) -> bool) {
        let is_recent = |known: &KnownIncarnations| now - known.last_seen < settings.retention();
        self.incarnations.retain(|vm, known| is_recent(known) || is_named(vm));
    }

    /// Returns the time since the start, or since the VM joined another pool.
    pub fn age(&self, now: Instant) -> Duration {
        now - self.started
    }

    fn is_past_retention(&self, now: Instant, settings: &Settings) -> bool {
        self.age(now) >= settings.retention()
    }

    /// Returns whether the local VM is known to have had no earlier incarnation.
    pub fn is_first(&self) -> bool {
        matches!(self.start_history, Some(StartHistory::First))
    }

    fn has_full_history(&self, now: Instant, settings: &Settings) -> bool {
        self.is_past_retention(now, settings) || self.is_first()
    }

    /// Returns whether the node knows all requests that ran at its target within the window.
    pub fn knows_runs(&self, now: Instant, settings: &Settings) -> bool {
        self.recovered_runs || self.has_full_history(now, settings)
    }

    /// Returns whether the node knows all tickets that it granted within the window.
    pub fn knows_grants(&self, now: Instant, settings: &Settings) -> bool {
        self.recovered_grants || self.has_full_history(now, settings)
    }

    /// Returns whether the node knows all runs of a key that `owner` owned in an earlier
    /// membership.
    ///
    /// The records of the earlier owner suffice, and so do those of all other members together,
    /// because a key does not run at its owner.
    pub fn knows_moved_keys(
        &self,
        epoch: Revision,
        owner: &Vm,
        members: &[Vm],
        knows_own_runs: impl Fn(&Vm) -> bool,
    ) -> bool {
        let round = self.round.as_ref().filter(|round| round.epoch == epoch);
        let Some(round) = round else { return false };
        let has_sent_runs = |vm: &Vm| round.runs_from.contains(vm) || knows_own_runs(vm);
        let mut others = members.iter().filter(|vm| *vm != owner);
        round.grants_from.contains(owner) || members.len() > 1 && others.all(has_sent_runs)
    }

    /// Returns the peers to request records from, if some are missing. Each call needs a new nonce.
    pub fn peers_to_query(
        &mut self,
        now: Instant,
        agreement: &EpochAgreement,
        nonce: u64,
        settings: &Settings,
    ) -> Vec<Vm> {
        let knows_own = self.knows_runs(now, settings) && self.knows_grants(now, settings);
        if agreement.is_settled() && knows_own {
            self.round = None;
            return Vec::new();
        }
        let peers = agreement.peers();
        let is_current =
            |round: &RecoveryRound| round.epoch == agreement.epoch() && round.peers == peers;
        if !self.round.as_ref().is_some_and(is_current) {
            let (runs_from, grants_from) = (BTreeSet::new(), BTreeSet::new());
            let (epoch, parts) = (agreement.epoch(), BTreeMap::new());
            self.round = Some(RecoveryRound { epoch, peers, parts, runs_from, grants_from });
        }
        let Some(round) = &mut self.round else { return Vec::new() };
        let is_complete = |vm: &Vm| round.runs_from.contains(vm) && round.grants_from.contains(vm);
        let incomplete: Vec<Vm> =
            round.peers.iter().filter(|vm| !is_complete(vm)).cloned().collect();
        for vm in &incomplete {
            round.parts.insert(vm.clone(), ReceivedParts { nonce, seen: BTreeSet::new() });
        }
        incomplete
    }

    /// Returns whether a part belongs to the last request to a VM.
    pub fn is_expected(&self, vm: &Vm, nonce: u64) -> bool {
        let parts = self.round.as_ref().and_then(|round| round.parts.get(vm));
        parts.is_some_and(|parts| parts.nonce == nonce)
    }

    /// Marks one part of a reply as received, after its records were restored.
    ///
    /// If the node was the only member of its pool, no other node can know what it lost.
    pub fn record_part(&mut self, vm: &Vm, part: PartHeader, was_sole_member: bool) {
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
        if !was_sole_member {
            self.recovered_grants |= round.runs_from == round.peers;
            self.recovered_runs |= round.grants_from == round.peers;
        }
    }
}
