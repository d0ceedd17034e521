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

/// A token request in flight.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request that waits for the token.
    pub ticket: Ticket,
    /// The account that the token is taken from.
    pub account: id::Account,
    /// The VM that the request was sent to.
    pub minter: id::Vm,
    /// The number of attempts before this one.
    pub attempts: usize,
    /// Whether the minter may delay its reply until borrowers have returned tokens.
    pub may_wait: bool,
    /// The time from which a reply is too late.
    pub deadline: Instant,
}

/// The token requests in flight from one node.
#[derive(Debug, Default)]
pub struct PendingRequests {
    waiting: BTreeMap<Sequence, PendingRequest>,
    counts: HashMap<id::Account, usize>,
}

impl PendingRequests {
    /// Adds a token request.
    pub fn insert(&mut self, nonce: Sequence, request: PendingRequest) {
        *self.counts.entry(request.account.clone()).or_default() += 1;
        self.waiting.insert(nonce, request);
    }

    /// Returns the number of token requests in flight for an account.
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

    /// Removes the token request that a reply from a VM answers.
    pub fn remove_answered(&mut self, nonce: Sequence, from: &id::Vm) -> Option<PendingRequest> {
        if self.waiting.get(&nonce)?.minter != *from {
            return None;
        }
        let request = self.waiting.remove(&nonce)?;
        self.decrement_count(&request.account);
        Some(request)
    }

    /// Removes the token requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<PendingRequest> {
        let is_expired = |_: &Sequence, request: &mut PendingRequest| now >= request.deadline;
        let expired_requests: Vec<PendingRequest> =
            self.waiting.extract_if(.., is_expired).map(|(_, request)| request).collect();
        for request in &expired_requests {
            self.decrement_count(&request.account);
        }
        expired_requests
    }

    /// Removes all token requests.
    pub fn remove_all(&mut self) -> Vec<PendingRequest> {
        self.counts.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}
