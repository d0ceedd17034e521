//! Diagnostic dump of the rate limiter. docs/operate/rates.md explains the fields.

use {
    super::{
        account::Account,
        message::Knowledge,
        split::{Digest, Share, Split},
    },
    crate::{
        id,
        time::Instant,
        unit::{Revision, Tokens},
    },
    serde::Serialize,
    std::collections::BTreeMap,
};

/// The state of all accounts at one node.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The revision of the tables that the splits are derived from.
    pub revision: Revision,
    /// Remaining time after startup during which this node mints no tokens, in milliseconds.
    pub restart_wait_ms: u64,
    /// The accounts, by name.
    pub accounts: BTreeMap<id::Account, AccountDump>,
}

/// The state of one account at one node.
#[derive(Clone, Debug, Serialize)]
pub struct AccountDump {
    /// Whether the tables contain the account.
    pub is_sold: bool,
    /// The split of the current tables.
    pub split: Split,
    /// What this node knows of other nodes that may still apply an earlier split.
    pub knowledge: Knowledge,
    /// The splits that other nodes may still apply, with the current one last.
    pub splits: Vec<Digest>,
    /// The VMs that have not yet confirmed the current split. This node does not grow to its new
    /// share before they do.
    pub missing: Vec<id::Vm>,
    /// The share that this node may mint and lend.
    pub allowed: Share,
    /// The part of the share that is in use by loans and granted tokens.
    pub committed: Share,
    /// The tokens in this node's own bucket.
    pub own: Tokens,
    /// The number of nodes that hold a loan from this one.
    pub borrowers: usize,
    /// The other minters, in the order in which this node requests loans and tokens from them.
    pub homes: Vec<id::Vm>,
    /// The number of them to borrow from.
    pub width: usize,
    /// The loans that this node holds, by lender.
    pub held: BTreeMap<id::Vm, LoanDump>,
    /// Requests per second that arrive at this node.
    pub demand: Tokens,
}

/// A loan that this node holds.
#[derive(Clone, Debug, Serialize)]
pub struct LoanDump {
    /// The lent share.
    pub share: Share,
    /// The available tokens.
    pub level: Tokens,
    /// Remaining time of the loan unless it is renewed, in milliseconds.
    pub left_ms: u64,
}

fn millis_until(until: Instant, now: Instant) -> u64 {
    u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)
}

impl AccountDump {
    /// Returns the state of one account.
    pub fn new(now: Instant, account: &Account) -> Self {
        let held = account.held.iter().filter(|(_, held)| now < held.until());
        let loan = |(vm, held): (&id::Vm, &super::borrower::HeldLoan)| {
            let left_ms = millis_until(held.until(), now);
            (vm.clone(), LoanDump { share: held.share(now), level: held.level(), left_ms })
        };
        Self {
            is_sold: account.published.is_some(),
            split: account.split_state.current().as_ref().clone(),
            knowledge: account.split_state.knowledge(),
            splits: account.split_state.digests(),
            missing: account.split_state.unconfirmed(),
            allowed: account.lender.allowed(),
            committed: account.lender.committed(),
            own: account.lender.level(),
            borrowers: account.lender.borrowers(),
            homes: account.lender_order.clone(),
            width: account.lender_count,
            held: held.map(loan).collect(),
            demand: account.demand.demand(),
        }
    }
}
