//! Which splits of an account other nodes may still keep to.
//!
//! A node keeps within the smallest share that it has in every split since the last settled one, so
//! it shrinks at once. It grows only when all minters of those splits have said that they keep
//! within the new one. docs/design/rate.md gives the argument.

use {
    super::{
        message::{Knowledge, Sequence},
        split::{Digest, Share, Split},
    },
    crate::{id, time::Instant, unit::Revision},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The most splits that are kept while none is settled.
const MAX_HISTORY: usize = 16;
/// The most splits that a VM keeps which is a minter in none of them.
const IDLE_HISTORY: usize = 4;

/// What a node knows of one account's splits.
#[derive(Debug)]
pub struct Standing {
    me: id::Vm,
    history: Vec<Arc<Split>>,
    knowledge: Knowledge,
    arrived: Revision,
    first_nonce: Sequence,
    confirmed: BTreeMap<id::Vm, Knowledge>,
    /// When the next round of queries is due.
    pub next_query: Instant,
}

impl Standing {
    /// Starts with one split and no knowledge of others.
    pub fn new(me: id::Vm, split: Arc<Split>, revision: Revision, nonce: Sequence) -> Self {
        Self {
            me,
            history: vec![split],
            knowledge: Knowledge::Fresh,
            arrived: revision,
            first_nonce: nonce,
            confirmed: BTreeMap::new(),
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
    pub fn replace(&mut self, split: Arc<Split>, revision: Revision, nonce: Sequence) {
        if split.digest == self.current().digest {
            return;
        }
        self.history.push(split);
        self.arrived = revision;
        self.first_nonce = nonce;
        self.confirmed.clear();
        self.next_query = Instant::ZERO;
        if self.knowledge == Knowledge::Settled {
            self.knowledge = Knowledge::Changing;
        }
        self.bound();
    }

    fn bound(&mut self) {
        let is_minter = self.history.iter().any(|split| split.minters.contains_key(&self.me));
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
        let shares = self.history.iter().map(|split| split.share(&self.me));
        shares.reduce(Share::min).unwrap_or(Share::NONE)
    }

    /// Tells whether this node has a part in settling the current split.
    pub fn is_curious(&self) -> bool {
        let is_minter = self.history.iter().any(|split| split.minters.contains_key(&self.me));
        self.knowledge != Knowledge::Settled && is_minter
    }

    /// Returns the VMs whose word is missing.
    pub fn missing(&self) -> BTreeSet<id::Vm> {
        let all = self.others();
        let is_open = |vm: &id::Vm| match self.confirmed.get(vm) {
            None => true,
            Some(_) => self.knowledge == Knowledge::Fresh,
        };
        all.into_iter().filter(is_open).collect()
    }

    fn others(&self) -> BTreeSet<id::Vm> {
        let minters = self.history.iter().flat_map(|split| split.minters.keys());
        minters.filter(|vm| **vm != self.me).cloned().collect()
    }

    /// Takes in another node's word.
    pub fn confirm(
        &mut self,
        from: &id::Vm,
        nonce: Sequence,
        revision: Revision,
        digest: Digest,
        knowledge: Knowledge,
    ) {
        let is_current = digest == self.current().digest && revision >= self.arrived;
        if !is_current || nonce < self.first_nonce || !self.others().contains(from) {
            return;
        }
        self.confirmed.insert(from.clone(), knowledge);
        let is_adopted = self.knowledge == Knowledge::Fresh && knowledge == Knowledge::Settled;
        if is_adopted || self.is_agreed() {
            self.settle();
        }
    }

    /// Settles a split that no other node mints for.
    pub fn settle_alone(&mut self) {
        if self.is_curious() && self.is_agreed() {
            self.settle();
        }
    }

    fn is_agreed(&self) -> bool {
        let others = self.others();
        let is_all = others.iter().all(|vm| self.confirmed.contains_key(vm));
        let is_fresh = self.confirmed.values().all(|word| *word == Knowledge::Fresh);
        is_all && (self.knowledge != Knowledge::Fresh || is_fresh)
    }

    fn settle(&mut self) {
        let current = self.current().clone();
        self.history = vec![current];
        self.knowledge = Knowledge::Settled;
    }

    /// Forgets earlier splits without anyone's word. It stands in for a missing guard.
    pub fn presume(&mut self) {
        self.settle();
    }

    /// Returns the digests of the splits that others may keep to, the current one last.
    pub fn digests(&self) -> Vec<Digest> {
        self.history.iter().map(|split| split.digest).collect()
    }
}
