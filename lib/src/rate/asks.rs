//! Requests that wait for one token from another node.

use {
    super::message::Sequence,
    crate::{id, time::Instant},
    std::{
        collections::{BTreeMap, HashMap},
        fmt,
    },
};

/// Identifies a request that waits for a token.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One ask under way.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The request that waits.
    pub ticket: Ticket,
    /// The account.
    pub account: id::Account,
    /// Who was asked.
    pub asked: id::Vm,
    /// How many have been asked before.
    pub tries: usize,
    /// Whether the answer may wait.
    pub is_patient: bool,
    /// When an answer is too late.
    pub until: Instant,
}

/// The asks under way at one node.
#[derive(Debug, Default)]
pub struct Asks {
    waiting: BTreeMap<Sequence, Ask>,
    counts: HashMap<id::Account, usize>,
}

impl Asks {
    /// Adds an ask.
    pub fn insert(&mut self, nonce: Sequence, ask: Ask) {
        *self.counts.entry(ask.account.clone()).or_default() += 1;
        self.waiting.insert(nonce, ask);
    }

    /// Returns the number of asks under way for an account.
    pub fn count(&self, account: &id::Account) -> usize {
        self.counts.get(account).copied().unwrap_or(0)
    }

    fn forget(&mut self, account: &id::Account) {
        if let Some(count) = self.counts.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(account);
            }
        }
    }

    /// Takes the ask out that an answer from a VM belongs to.
    pub fn answered(&mut self, nonce: Sequence, from: &id::Vm) -> Option<Ask> {
        if self.waiting.get(&nonce)?.asked != *from {
            return None;
        }
        let ask = self.waiting.remove(&nonce)?;
        self.forget(&ask.account);
        Some(ask)
    }

    /// Takes the asks out that no answer can serve any more.
    pub fn expired(&mut self, now: Instant) -> Vec<Ask> {
        let is_over = |_: &Sequence, ask: &mut Ask| now >= ask.until;
        let over: Vec<Ask> = self.waiting.extract_if(.., is_over).map(|(_, ask)| ask).collect();
        for ask in &over {
            self.forget(&ask.account);
        }
        over
    }

    /// Takes out all asks.
    pub fn take_all(&mut self) -> Vec<Ask> {
        self.counts.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}
