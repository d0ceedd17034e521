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
pub struct PendingRequest {
    /// The request that waits.
    pub ticket: Ticket,
    /// The account.
    pub account: id::Account,
    /// Who was asked.
    pub asked_vm: id::Vm,
    /// How many have been asked before.
    pub attempts: usize,
    /// Whether the answer may wait.
    pub may_wait: bool,
    /// When an answer is too late.
    pub deadline: Instant,
}

/// The asks under way at one node.
#[derive(Debug, Default)]
pub struct PendingRequests {
    waiting: BTreeMap<Sequence, PendingRequest>,
    counts: HashMap<id::Account, usize>,
}

impl PendingRequests {
    /// Adds an ask.
    pub fn insert(&mut self, nonce: Sequence, request: PendingRequest) {
        *self.counts.entry(request.account.clone()).or_default() += 1;
        self.waiting.insert(nonce, request);
    }

    /// Returns the number of asks under way for an account.
    pub fn count(&self, account: &id::Account) -> usize {
        self.counts.get(account).copied().unwrap_or(0)
    }

    fn decrement_count(&mut self, account: &id::Account) {
        if let Some(count) = self.counts.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(account);
            }
        }
    }

    /// Takes the ask out that an answer from a VM belongs to.
    pub fn remove_answered(&mut self, nonce: Sequence, from: &id::Vm) -> Option<PendingRequest> {
        if self.waiting.get(&nonce)?.asked_vm != *from {
            return None;
        }
        let request = self.waiting.remove(&nonce)?;
        self.decrement_count(&request.account);
        Some(request)
    }

    /// Takes the asks out that no answer can serve any more.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<PendingRequest> {
        let is_expired = |_: &Sequence, request: &mut PendingRequest| now >= request.deadline;
        let expired_requests: Vec<PendingRequest> =
            self.waiting.extract_if(.., is_expired).map(|(_, request)| request).collect();
        for request in &expired_requests {
            self.decrement_count(&request.account);
        }
        expired_requests
    }

    /// Takes out all asks.
    pub fn remove_all(&mut self) -> Vec<PendingRequest> {
        self.counts.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}
