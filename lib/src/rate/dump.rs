//! What a node shows of its rates. docs/operate/rates.md explains the fields.

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

/// The state of all accounts.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The revision of the tables that the splits are derived from.
    pub revision: Revision,
    /// How long this node still mints nothing after its start, in milliseconds.
    pub restart_wait_ms: u64,
    /// The accounts by name.
    pub accounts: BTreeMap<id::Account, AccountDump>,
}

/// The state of one account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountDump {
    /// Whether the tables name the account.
    pub is_sold: bool,
    /// The published split.
    pub split: Split,
    /// What is known of others that may keep to an earlier split.
    pub knowledge: Knowledge,
    /// The splits that others may keep to, the current one last.
    pub splits: Vec<Digest>,
    /// The VMs whose word is missing before this node grows to the current split.
    pub missing: Vec<id::Vm>,
    /// What this node may mint and lend.
    pub allowed: Share,
    /// What is lent or given and not yet ended.
    pub committed: Share,
    /// The tokens in this node's own bucket.
    pub own: Tokens,
    /// How many nodes hold a loan from this one.
    pub borrowers: usize,
    /// The other minters in the order in which they are asked.
    pub homes: Vec<id::Vm>,
    /// How many of them are borrowed from.
    pub width: usize,
    /// The loans that this node holds.
    pub held: BTreeMap<id::Vm, Loan>,
    /// Requests a second that arrive here.
    pub demand: Tokens,
}

/// A loan that a node holds.
#[derive(Clone, Debug, Serialize)]
pub struct Loan {
    /// The part that is lent.
    pub share: Share,
    /// The tokens at hand.
    pub level: Tokens,
    /// How long it lasts unless it is renewed, in milliseconds.
    pub left_ms: u64,
}

fn millis_until(until: Instant, now: Instant) -> u64 {
    u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)
}

impl AccountDump {
    /// Shows one account.
    pub fn new(now: Instant, account: &Account) -> Self {
        let held = account.held.iter().filter(|(_, held)| now < held.until());
        let loan = |(vm, held): (&id::Vm, &super::borrower::HeldLoan)| {
            let left_ms = millis_until(held.until(), now);
            (vm.clone(), Loan { share: held.share(now), level: held.level(), left_ms })
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
