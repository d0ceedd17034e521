//! Which splits of an account other nodes may still keep to.
//!
//! A node keeps within the smallest share that it has in every split since the last settled one, so
//! it shrinks at once. It grows only when all minters of those splits have said that they keep
//! within the new one. docs/design/rate.md gives the argument.

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

/// The most splits that are kept while none is settled.
const MAX_HISTORY: usize = 16;
/// The most splits that a VM keeps which is a minter in none of them.
const IDLE_HISTORY: usize = 4;

/// Returns how many of a number are most of them.
fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// What another node has said of itself.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// The question that it answers.
    pub nonce: Sequence,
    /// The revision of its tables.
    pub revision: Revision,
    /// The split that it keeps within.
    pub digest: Digest,
    /// How long it has done so.
    pub age: Duration,
    /// What it knows of others.
    pub knowledge: Knowledge,
}

/// When a round of queries was sent, and its first number.
#[derive(Debug)]
struct Round {
    nonce: Sequence,
    at: Instant,
}

/// The most rounds of queries whose answers count.
const MAX_ROUNDS: usize = 8;

/// What a node knows of one account's splits.
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
    /// Starts with one split and no knowledge of others.
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

    /// Returns what is known of others.
    pub fn knowledge(&self) -> Knowledge {
        self.knowledge
    }

    /// Replaces the split by that of newer tables.
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

    /// Tells whether this node has a part in settling the current split.
    pub fn needs_confirmation(&self) -> bool {
        let is_minter = self.history.iter().any(|split| split.minters.contains_key(&self.local_vm));
        self.knowledge != Knowledge::Settled && is_minter
    }

    /// Returns how long this node has kept within the current split.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.current_since)
    }

    /// Tells whether it is time to query the others, and when it will be again.
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
        self.rounds.push_back(Round { nonce, at: now });
        true
    }

    /// Returns the other minters of the splits that may be kept to.
    pub fn other_minters(&self) -> BTreeSet<id::Vm> {
        let minters = self.history.iter().flat_map(|split| split.minters.keys());
        minters.filter(|vm| **vm != self.local_vm).cloned().collect()
    }

    /// Returns the VMs whose word is missing.
    pub fn unconfirmed(&self) -> Vec<id::Vm> {
        let is_unconfirmed = |vm: &id::Vm| !self.confirmations.contains_key(vm);
        self.other_minters().into_iter().filter(is_unconfirmed).collect()
    }

    /// Takes in another node's word.
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
            let answered_round_at = self.answered_round_at.entry(from.clone()).or_insert(round.at);
            *answered_round_at = round.at.max(*answered_round_at);
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

    /// Settles the current split once every other minter keeps within it or has surely stopped.
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

    /// Tells whether a silent minter cannot have had word from most others for so long that it has
    /// stopped. Enough others must have kept within the current split for all of that time.
    fn is_retired(&self, now: Instant, settings: &Settings, vm: &id::Vm) -> bool {
        let silence = settings.silence();
        let has_kept_long = |other: &&id::Vm| {
            let age = match self.confirmations.get(*other) {
                _ if **other == self.local_vm => Some(self.age(now)),
                confirmation => confirmation.map(|confirmation| confirmation.age),
            };
            *other != vm && age.is_some_and(|age| age >= silence)
        };
        let splits = self.history.iter().filter(|split| split.minters.contains_key(vm));
        splits.into_iter().all(|split| {
            let count = split.minters.len();
            split.minters.keys().filter(has_kept_long).count() > count - majority(count)
        })
    }

    /// Returns until when this node may mint on the word that it has from others.
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
                    .map_or(Instant::ZERO, |at| *at + settings.retirement()),
            }
        });
        until.min().unwrap_or(Instant::ZERO)
    }

    fn settle(&mut self) {
        let current = self.current().clone();
        self.history = vec![current];
        self.knowledge = Knowledge::Settled;
    }

    /// Forgets earlier splits without anyone's word. It stands in for a missing guard.
    pub fn assume_settled(&mut self) {
        self.settle();
    }

    /// Returns the digests of the splits that others may keep to, the current one last.
    pub fn digests(&self) -> Vec<Digest> {
        self.history.iter().map(|split| split.digest).collect()
    }
}
