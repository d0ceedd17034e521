//! The start-up protocol that a node completes before it admits a key.
//!
//! A restarted node has no state, and the platform may serve stale data. The node therefore first
//! queries its peers for their revisions, and admits no key before it has caught up with them. See
//! docs/design/keys.md.

use {
    super::{Message, Store, validator::Validator},
    crate::{id, time::Instant, unit::Revision},
    rand::seq::IteratorRandom,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How many samples of peers are queried, one after another, while no peer answers.
const MAX_ROUNDS: u32 = 3;
/// How long a peer's answer still counts after the peer has stopped claiming that revision.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a node without the platform's list waits for more peers to be discovered.
const PEER_DISCOVERY_WAIT: Duration = Duration::from_secs(1);
/// The interval at which an unanswered query is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// The phase of the start-up protocol.
#[derive(Debug, Default)]
pub(super) enum Start {
    /// No peer is known yet.
    #[default]
    Alone,
    /// A sample of peers has been queried.
    Querying(Round),
    /// The peers have answered, and the node is catching up with the highest revision.
    CatchingUp(Goals),
    /// The node has caught up with the peers it queried.
    Done,
}

/// The revisions that peers reported, which this node has to reach.
#[derive(Debug)]
pub(super) struct Goals {
    since: Instant,
    peers: BTreeMap<id::Vm, Revision>,
}

/// One sample of peers and their answers.
#[derive(Debug)]
pub(super) struct Round {
    number: u32,
    started: Instant,
    queried_at: Instant,
    answers: BTreeMap<id::Vm, Option<Revision>>,
}

impl Start {
    pub const fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Querying(_) => "asking",
            Self::CatchingUp(_) => "catching-up",
            Self::Done => "done",
        }
    }

    /// Records a peer's answer. Only its first one counts.
    pub fn record_answer(&mut self, vm: &id::Vm, complete: Revision) {
        if let Self::Querying(round) = self
            && let Some(answer) = round.answers.get_mut(vm)
        {
            answer.get_or_insert(complete);
        }
    }
}

impl<V: Validator> Store<V> {
    pub(super) fn advance_start(&mut self, now: Instant) {
        self.start = match std::mem::take(&mut self.start) {
            Start::Done => Start::Done,
            Start::Alone => self.wait_for_peers(now),
            Start::Querying(round) => self.continue_round(now, round),
            Start::CatchingUp(goals) => self.catch_up(now, goals),
        };
    }

    fn wait_for_peers(&mut self, now: Instant) -> Start {
        if !self.live.is_empty() {
            return self.query_sample(now, 1);
        }
        let waited = now.since(self.started.unwrap_or(now));
        let has_waited = waited >= Duration::from_millis(self.settings.ask_wait_ms);
        if has_waited && self.set().is_some() { Start::Done } else { Start::Alone }
    }

    fn query_sample(&mut self, now: Instant, number: u32) -> Start {
        let sample_size = self.settings.ask_peers;
        let peers = self.live.iter().map(|peer| peer.vm.clone()).sample(&mut self.rng, sample_size);
        let answers = peers.into_iter().map(|vm| (vm, None)).collect();
        let mut round = Round { number, started: now, queried_at: now, answers };
        self.query_round(now, &mut round);
        Start::Querying(round)
    }

    fn query_round(&mut self, now: Instant, round: &mut Round) {
        round.queried_at = now;
        for (vm, answer) in &round.answers {
            if answer.is_none() {
                self.query(now, vm);
            }
        }
    }

    /// Queries peers discovered since the round began, up to the sample size.
    fn query_new_peers(&mut self, now: Instant, round: &mut Round) {
        let free_slots = self.settings.ask_peers.saturating_sub(round.answers.len());
        let is_new = |vm: &id::Vm| !round.answers.contains_key(vm);
        let new: Vec<id::Vm> =
            self.live.iter().map(|peer| peer.vm.clone()).filter(is_new).take(free_slots).collect();
        for vm in new {
            self.query(now, &vm);
            round.answers.insert(vm, None);
        }
    }

    fn continue_round(&mut self, now: Instant, mut round: Round) -> Start {
        let wait = Duration::from_millis(self.settings.ask_wait_ms);
        let waited = now.since(round.started);
        let is_timed_out = waited >= wait;
        // Without the platform's list, peers are discovered one by one.
        let is_settled = self.has_list || waited >= PEER_DISCOVERY_WAIT;
        let is_complete = is_settled && round.answers.values().all(Option::is_some);
        self.query_new_peers(now, &mut round);
        if !is_timed_out && !is_complete {
            if now.since(round.queried_at) >= RESEND_INTERVAL {
                self.query_round(now, &mut round);
            }
            return Start::Querying(round);
        }
        let answers: BTreeMap<id::Vm, Revision> =
            round.answers.into_iter().filter_map(|(vm, answer)| Some((vm, answer?))).collect();
        if answers.is_empty() && round.number < MAX_ROUNDS {
            return self.query_sample(now, round.number + 1);
        }
        self.catch_up(now, Goals { since: now, peers: answers })
    }

    /// Waits until the highest reported revision is reached. Peers that have gone, restarted or
    /// failed to deliver what they claimed are not waited for.
    fn catch_up(&mut self, now: Instant, mut goals: Goals) -> Start {
        let reachable: BTreeSet<&id::Vm> = self.live.iter().map(|peer| &peer.vm).collect();
        let is_timed_out = now.since(goals.since) >= CATCH_UP_TIMEOUT;
        goals.peers.retain(|vm, goal| {
            let is_still_claimed = self.claims.get(vm).is_some_and(|claim| claim.complete >= *goal);
            let is_usable = reachable.contains(vm) && !self.claims.is_muted(now, vm);
            is_usable && (is_still_claimed || !is_timed_out)
        });
        let goal = goals.peers.values().max().copied().unwrap_or_default();
        let is_caught_up = self.latest.revision() >= goal && self.set().is_some();
        if is_caught_up { Start::Done } else { Start::CatchingUp(goals) }
    }

    /// Sends a query to a peer and records the time.
    pub(super) fn query(&mut self, now: Instant, vm: &id::Vm) {
        let nonce = self.nonce();
        self.queries.insert(nonce, (vm.clone(), now));
        self.send(vm, Message::Query { nonce, complete: self.latest.revision() });
    }
}
