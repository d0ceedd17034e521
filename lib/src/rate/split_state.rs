//! Tracks the splits of an account that other nodes may still apply.
//!
//! After a change, a node uses at most the smallest share that it has in any split since the last
//! settled one, so it shrinks immediately. It grows only after all minters of those splits have
//! confirmed that they apply the new one. docs/design/rate.md gives the argument.

use {
    super::{
        message::{Knowledge, Sequence},
        settings::Settings,
        split::{Digest, Share, Split},
    },
    crate::{id, time::Instant, unit::Revision},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Maximum number of splits to keep while none is settled.
const MAX_HISTORY: usize = 16;
/// Maximum number of splits to keep if this VM is a minter in none of them.
const IDLE_HISTORY: usize = 4;

/// Returns the smallest number that is more than half of `count`.
fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Another node's confirmation of the split that it applies.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// The nonce of the query that it answers.
    pub nonce: Sequence,
    /// The revision of the node's tables.
    pub revision: Revision,
    /// The split that the node applies.
    pub digest: Digest,
    /// How long the node has applied it.
    pub age: Duration,
    /// What the node knows of other nodes.
    pub knowledge: Knowledge,
}

/// The first nonce and the send time of a round of queries.
#[derive(Debug)]
struct Round {
    nonce: Sequence,
    sent_at: Instant,
}

/// Maximum number of past rounds of queries whose answers are accepted.
const MAX_ROUNDS: usize = 8;

/// A node's knowledge of the splits of one account.
#[derive(Debug)]
pub struct SplitState {
    local_vm: id::Vm,
    history: Vec<Arc<Split>>,
    knowledge: Knowledge,
    split_revision: Revision,
    first_nonce: Sequence,
    current_since: Instant,
    confirmations: BTreeMap<id::Vm, Confirmation>,
    rounds: VecDeque<Round>,
    answered_round_at: BTreeMap<id::Vm, Instant>,
    /// When the next round of queries is due.
    pub next_query: Instant,
}

impl SplitState {
    /// Creates the state with one split and no knowledge of other nodes.
    pub fn new(
        now: Instant,
        local_vm: id::Vm,
        split: Arc<Split>,
        revision: Revision,
        nonce: Sequence,
    ) -> Self {
        Self {
            local_vm,
            history: vec![split],
            knowledge: Knowledge::Fresh,
            split_revision: revision,
            first_nonce: nonce,
            current_since: now,
            confirmations: BTreeMap::new(),
            rounds: VecDeque::new(),
            answered_round_at: BTreeMap::new(),
            next_query: Instant::ZERO,
        }
    }

    /// Returns the split of the current tables.
    pub fn current(&self) -> &Arc<Split> {
        self.history.last().expect("the history is never empty")
    }

    /// Returns what is known of other nodes.
    pub fn knowledge(&self) -> Knowledge {
        self.knowledge
    }

    /// Adds the split of newer tables as the current one.
    pub fn replace(
        &mut self,
        now: Instant,
        split: Arc<Split>,
        revision: Revision,
        nonce: Sequence,
    ) {
        if split.digest == self.current().digest {
            return;
        }
        self.history.push(split);
        self.split_revision = revision;
        self.first_nonce = nonce;
        self.current_since = now;
        self.confirmations.clear();
        self.next_query = Instant::ZERO;
        if self.knowledge == Knowledge::Settled {
            self.knowledge = Knowledge::Changing;
        }
        self.trim_history();
    }

    fn trim_history(&mut self) {
        let is_minter = self.history.iter().any(|split| split.minters.contains_key(&self.local_vm));
        let most = if is_minter { MAX_HISTORY } else { IDLE_HISTORY };
        if self.history.len() > most {
            self.history.drain(..self.history.len() - most);
            self.knowledge = Knowledge::Fresh;
        }
    }

    /// Returns the share that this node may use now.
    pub fn allowed(&self) -> Share {
        if self.knowledge == Knowledge::Fresh {
            return Share::NONE;
        }
        let shares = self.history.iter().map(|split| split.share(&self.local_vm));
        shares.reduce(Share::min).unwrap_or(Share::NONE)
    }

    /// Returns whether this node is a minter and the current split is not settled.
    pub fn needs_confirmation(&self) -> bool {
        let is_minter = self.history.iter().any(|split| split.minters.contains_key(&self.local_vm));
        self.knowledge != Knowledge::Settled && is_minter
    }

    /// Returns how long this node has applied the current split.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.current_since)
    }

    /// Returns whether a round of queries is due now. If so, records the round and schedules the
    /// next.
    pub fn is_query_due(&mut self, now: Instant, settings: &Settings, nonce: Sequence) -> bool {
        const ROUNDS: u32 = 4;
        let is_minter = self.history.iter().any(|split| split.minters.contains_key(&self.local_vm));
        if !is_minter || now < self.next_query {
            return false;
        }
        let is_up_to_date = !self.needs_confirmation() && self.mint_deadline(settings) > now;
        let slow = settings.retirement() / ROUNDS;
        let pause = Duration::from_millis(settings.query_ms);
        self.next_query = now + if is_up_to_date { slow } else { pause };
        if self.rounds.len() >= MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round { nonce, sent_at: now });
        true
    }

    /// Returns the other minters of all splits that may still be applied.
    pub fn other_minters(&self) -> BTreeSet<id::Vm> {
        let minters = self.history.iter().flat_map(|split| split.minters.keys());
        minters.filter(|vm| **vm != self.local_vm).cloned().collect()
    }

    /// Returns the other minters that have not confirmed the current split.
    pub fn unconfirmed(&self) -> Vec<id::Vm> {
        let is_unconfirmed = |vm: &id::Vm| !self.confirmations.contains_key(vm);
        self.other_minters().into_iter().filter(is_unconfirmed).collect()
    }

    /// Records another node's confirmation.
    pub fn record_confirmation(
        &mut self,
        now: Instant,
        settings: &Settings,
        from: &id::Vm,
        confirmation: Confirmation,
    ) {
        let is_current = confirmation.digest == self.current().digest
            && confirmation.revision >= self.split_revision;
        if !is_current
            || confirmation.nonce < self.first_nonce
            || !self.other_minters().contains(from)
        {
            return;
        }
        let round = self.rounds.iter().rev().find(|round| round.nonce <= confirmation.nonce);
        if let Some(round) = round {
            let answered_round_at =
                self.answered_round_at.entry(from.clone()).or_insert(round.sent_at);
            *answered_round_at = round.sent_at.max(*answered_round_at);
        }
        let adopts_settled =
            self.knowledge == Knowledge::Fresh && confirmation.knowledge == Knowledge::Settled;
        self.confirmations.insert(from.clone(), confirmation);
        if adopts_settled {
            self.settle();
        } else {
            self.settle_if_agreed(now, settings);
        }
    }

    /// Settles the current split if every other minter has confirmed it or has certainly stopped.
    pub fn settle_if_agreed(&mut self, now: Instant, settings: &Settings) {
        if self.needs_confirmation() && self.is_confirmed(now, settings) {
            self.settle();
        }
    }

    fn is_confirmed(&self, now: Instant, settings: &Settings) -> bool {
        let is_safe =
            |vm: &id::Vm| self.confirmations.contains_key(vm) || self.is_retired(now, settings, vm);
        let is_fresh = self
            .confirmations
            .values()
            .all(|confirmation| confirmation.knowledge == Knowledge::Fresh);
        let is_informed = self.knowledge != Knowledge::Fresh;
        self.other_minters().iter().all(is_safe) && (is_informed || is_fresh)
    }

    /// Returns whether a minter without an answer must have stopped minting, because it cannot have
    /// had an answer from the majority for long enough. For each of its splits, enough other
    /// minters must have applied the current split for all of that time to leave it no majority.
    fn is_retired(&self, now: Instant, settings: &Settings, vm: &id::Vm) -> bool {
        let certain_retirement = settings.certain_retirement();
        let has_kept_long = |other: &&id::Vm| {
            let age = match self.confirmations.get(*other) {
                _ if **other == self.local_vm => Some(self.age(now)),
                confirmation => confirmation.map(|confirmation| confirmation.age),
            };
            *other != vm && age.is_some_and(|age| age >= certain_retirement)
        };
        let splits = self.history.iter().filter(|split| split.minters.contains_key(vm));
        splits.into_iter().all(|split| {
            let count = split.minters.len();
            split.minters.keys().filter(has_kept_long).count() > count - majority(count)
        })
    }

    /// Returns the time until which this node may mint, given the answers from other minters.
    pub fn mint_deadline(&self, settings: &Settings) -> Instant {
        let splits = self.history.iter().filter(|split| split.minters.contains_key(&self.local_vm));
        let until = splits.map(|split| {
            let mut answered_round_at: Vec<_> = split
                .minters
                .keys()
                .filter_map(|vm| self.answered_round_at.get(vm))
                .copied()
                .collect();
            answered_round_at.sort_unstable_by(|a, b| b.cmp(a));
            match majority(split.minters.len()) {
                1 => Instant::from_nanos(u64::MAX),
                most => answered_round_at
                    .get(most - 2)
                    .map_or(Instant::ZERO, |sent_at| *sent_at + settings.retirement()),
            }
        });
        until.min().unwrap_or(Instant::ZERO)
    }

    fn settle(&mut self) {
        let current = self.current().clone();
        self.history = vec![current];
        self.knowledge = Knowledge::Settled;
    }

    /// Settles the current split without any confirmation, as a replacement for a disabled guard in
    /// tests.
    pub fn assume_settled(&mut self) {
        self.settle();
    }

    /// Returns the digests of the splits that other nodes may still apply, with the current one
    /// last.
    pub fn digests(&self) -> Vec<Digest> {
        self.history.iter().map(|split| split.digest).collect()
    }
}
