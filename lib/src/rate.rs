//! Distributed rate limiting of client accounts across the fleet.
//!
//! The published tables split each account's rate and burst over a few VMs, its minters. A minter
//! lends parts of its share for a short term to the nodes where requests arrive, or grants single
//! tokens on request. The tokens that exist at any moment, in buckets, loans and messages, never
//! exceed the configured burst, and tokens are never minted faster than the configured rate, even
//! if messages are lost, delayed or duplicated or nodes are partitioned. See docs/design/rate.md
//! for the argument and docs/operate/rates.md for the behaviour that an account sees.

pub mod split;

mod account;
mod borrower;
mod bucket;
mod dump;
mod lender;
mod message;
mod meter;
mod pending_requests;
mod receive;
mod settings;
mod split_state;

pub use {
    account::FleetView,
    bucket::Bucket,
    dump::{AccountDump, Dump, LoanDump},
    message::{
        Knowledge, Loan, LoanRequest, Message, Recall, SplitQuery, SplitStatus, TokenAck,
        TokenReply, TokenRequest,
    },
    pending_requests::Ticket,
    settings::{Guards, Settings},
};

use {
    crate::{
        id, table,
        time::Instant,
        unit::{Rate, Revision, Tokens},
    },
    account::Account,
    lender::Context,
    message::Sequence,
    pending_requests::PendingRequests,
    split::{Share, Split},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The decision on one root request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request is within the account's rate and may run.
    Granted,
    /// No token is available locally, and one has been requested from another node.
    /// [`Limiter::take_late_decisions`] returns the decision, within [`Settings::ask_ms`] per
    /// attempt.
    Pending(Ticket),
    /// The request exceeds the account's rate and has not run.
    Refused {
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// The decision on a request that waited for a token from another node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LateDecision {
    /// The ticket that [`Decision::Pending`] returned for the request.
    pub ticket: Ticket,
    /// The decision, which is granted or refused.
    pub decision: Decision,
}

/// An account's configured limits and the tokens available at this node, for the RateLimit header
/// fields.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Requests per second, across the fleet.
    pub rate: Rate,
    /// Burst size in requests, across the fleet.
    pub burst: u32,
    /// Requests that this node can grant without contacting another node.
    pub remaining: u64,
}

/// Maximum number of accounts whose state is kept after the tables removed them.
const MAX_REMOVED_ACCOUNTS: usize = 1_024;

/// The rate limiter of one node, with the state of all accounts.
#[derive(Debug)]
pub struct Limiter {
    settings: Settings,
    guards: Guards,
    local_vm: id::Vm,
    incarnation: id::Incarnation,
    view: FleetView,
    started: Option<Instant>,
    revision: Revision,
    vms_by_data_centre: split::VmsByDataCentre,
    accounts: BTreeMap<id::Account, Account>,
    pending: PendingRequests,
    sequence: Sequence,
    last_ticket: u64,
    outbox: Vec<(id::Vm, Message)>,
    late_decisions: Vec<LateDecision>,
}

impl Limiter {
    /// Creates the limiter of a node that has just started.
    pub fn new(
        settings: Settings,
        local_vm: id::Vm,
        data_centre: id::DataCentre,
        incarnation: id::Incarnation,
    ) -> Self {
        Self {
            settings,
            guards: Guards::default(),
            local_vm,
            incarnation,
            view: FleetView { data_centre: Some(data_centre), ..FleetView::default() },
            started: None,
            revision: Revision::default(),
            vms_by_data_centre: split::VmsByDataCentre::new(),
            accounts: BTreeMap::new(),
            pending: PendingRequests::default(),
            sequence: 0,
            last_ticket: 0,
            outbox: Vec::new(),
            late_decisions: Vec::new(),
        }
    }

    /// Disables guards, so that a test can show that each of them is needed.
    #[doc(hidden)]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        if !guards.has_margin {
            self.settings.margin_ppm = 0;
        }
        self
    }

    /// Applies a new revision of the tables. Revisions that are not newer than the current one are
    /// ignored.
    pub fn configure(&mut self, now: Instant, set: &table::Set) {
        if set.revision() <= self.revision {
            return;
        }
        self.started.get_or_insert(now);
        self.revision = set.revision();
        let vms_by_data_centre = split::vms_by_data_centre(set);
        let is_placement_changed = vms_by_data_centre != self.vms_by_data_centre;
        self.vms_by_data_centre = vms_by_data_centre;
        for (name, published) in set.accounts() {
            let current = self.accounts.get(name).and_then(|state| state.published.as_ref());
            if is_placement_changed || current != Some(published) {
                let split =
                    Arc::new(Split::new(&self.settings, published, &self.vms_by_data_centre));
                self.update_account(now, name, split, Some(published.clone()));
            }
        }
        let is_removed = |name: &&id::Account| !set.accounts().contains_key(*name);
        let removed: Vec<_> = self.accounts.keys().filter(is_removed).cloned().collect();
        for name in &removed {
            self.update_account(now, name, Arc::new(Split::default()), None);
        }
        // State with outstanding loans must be kept: those tokens still count against the share.
        let is_removable =
            |state: &Account| state.published.is_none() && state.lender.committed() == Share::NONE;
        for name in removed.iter().skip(MAX_REMOVED_ACCOUNTS) {
            if self.accounts.get(name).is_some_and(is_removable) {
                self.accounts.remove(name);
            }
        }
    }

    fn update_account(
        &mut self,
        now: Instant,
        name: &id::Account,
        split: Arc<Split>,
        published: Option<Arc<table::Account>>,
    ) {
        let nonce = self.sequence + 1;
        if !self.accounts.contains_key(name) {
            let account = Account::new(now, &self.local_vm, split.clone(), self.revision, nonce);
            self.accounts.insert(name.clone(), account);
        }
        let Some(account) = self.accounts.get_mut(name) else { return };
        account.published = published;
        account.split_state.replace(now, split, self.revision, nonce);
        account.sort_lenders(name, &self.local_vm, &self.view);
        self.refresh(now, name);
    }

    /// Sets the VMs that are considered unavailable: dead, suspected or leaving.
    pub fn set_absent(&mut self, absent: impl IntoIterator<Item = id::Vm>) {
        self.view.absent = absent.into_iter().collect();
        for (name, account) in &mut self.accounts {
            account.sort_lenders(name, &self.local_vm, &self.view);
        }
    }

    /// Decides on one root request of an account and takes a token if one is available.
    pub fn take(&mut self, now: Instant, account: &id::Account) -> Decision {
        let context = Context { account, now, settings: &self.settings, guards: self.guards };
        let Some(state) = self.accounts.get_mut(account).filter(|state| state.published.is_some())
        else {
            return Decision::Refused { retry_after: Duration::from_secs(1) };
        };
        state.demand.count(now);
        if state.take(context) {
            return Decision::Granted;
        }
        let retry_after = state.retry_after();
        let may_ask = state.may_request(now, self.pending.count(account));
        let preferred = state.next_lender(now, None);
        let may_wait = preferred.is_none();
        let minter =
            preferred.or_else(|| state.fallback_lender(self.last_ticket + 1)).filter(|_| may_ask);
        let recall_from = if may_ask { state.lender.recall(now, true) } else { Vec::new() };
        for vm in recall_from {
            self.outbox.push((vm, Message::Recall(Recall { account: account.clone() })));
        }
        let Some(minter) = minter else { return Decision::Refused { retry_after } };
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let deadline = now + self.settings.token_request_term();
        let account = account.clone();
        self.request_token(pending_requests::PendingRequest {
            ticket,
            account,
            minter,
            attempts: 0,
            may_wait,
            deadline,
        });
        Decision::Pending(ticket)
    }

    fn request_token(&mut self, request: pending_requests::PendingRequest) {
        self.sequence += 1;
        let nonce = self.sequence;
        let account = request.account.clone();
        let message =
            Message::TokenRequest(TokenRequest { account, nonce, may_wait: request.may_wait });
        self.outbox.push((request.minter.clone(), message));
        self.pending.insert(nonce, request);
    }

    /// Returns whether loans made by this node's previous incarnation may still be in use.
    fn is_in_restart_wait(&self, now: Instant) -> bool {
        self.guards.has_restart_wait && self.restart_wait_left(now) > Duration::ZERO
    }

    fn restart_wait_left(&self, now: Instant) -> Duration {
        let wait = self.settings.with_margin(self.settings.term());
        self.started.map_or(wait, |started| (started + wait).since(now))
    }

    fn refresh(&mut self, now: Instant, name: &id::Account) {
        let is_in_restart_wait = self.is_in_restart_wait(now);
        let Some(state) = self.accounts.get_mut(name) else { return };
        if !self.guards.has_transition {
            state.split_state.assume_settled();
        }
        if !is_in_restart_wait {
            state.split_state.settle_if_agreed(now, &self.settings);
        }
        let allowed = if is_in_restart_wait { Share::NONE } else { state.split_state.allowed() };
        let deadline = match self.guards.has_retirement {
            true => state.split_state.mint_deadline(&self.settings),
            false => Instant::from_nanos(u64::MAX),
        };
        state.lender.refresh(now, allowed, deadline);
    }

    /// Expires loans and token requests, redistributes the shares, and returns the messages to
    /// send. The caller must call it every 100 ms and should batch the messages for each VM.
    pub fn tick(&mut self, now: Instant) -> Vec<(id::Vm, Message)> {
        for request in self.pending.remove_expired(now) {
            self.mark_empty(now, &request, Duration::from_millis(self.settings.renew_ms));
            self.retry(now, request);
        }
        let names: Vec<_> = self.accounts.keys().cloned().collect();
        let mut messages = std::mem::take(&mut self.outbox);
        for name in names {
            self.refresh(now, &name);
            self.serve(now, &name);
            self.tick_account(now, &name, &mut messages);
        }
        messages.append(&mut self.outbox);
        messages
    }

    fn tick_account(
        &mut self,
        now: Instant,
        name: &id::Account,
        messages: &mut Vec<(id::Vm, Message)>,
    ) {
        let Some(state) = self.accounts.get_mut(name) else { return };
        let context = Context { account: name, now, settings: &self.settings, guards: self.guards };
        state.demand.tick(now);
        state.remote_demand.tick(now);
        let demand = state.demand.demand().saturating_add(state.remote_demand.demand());
        let loans = state.lender.tick(context, demand, &mut self.sequence);
        messages.extend(loans.into_iter().map(|(vm, loan)| (vm, Message::Loan(loan))));
        messages.extend(state.borrow(context, &mut self.sequence));
        if state.split_state.is_query_due(now, &self.settings, self.sequence + 1) {
            for vm in state.split_state.other_minters() {
                self.sequence += 1;
                let query = SplitQuery { account: name.clone(), nonce: self.sequence };
                messages.push((vm, Message::SplitQuery(query)));
            }
        }
    }

    /// Returns the messages to send immediately. The caller must call it after [`Limiter::take`]
    /// and [`Limiter::receive`].
    pub fn take_outbox(&mut self) -> Vec<(id::Vm, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the decisions on requests that waited for a token. The caller must call it after
    /// [`Limiter::receive`] and [`Limiter::tick`].
    pub fn take_late_decisions(&mut self) -> Vec<LateDecision> {
        std::mem::take(&mut self.late_decisions)
    }

    /// Returns all borrowed tokens to their lenders and refuses the waiting requests. It must be
    /// called before the process exits.
    pub fn drain(&mut self, now: Instant) -> Vec<(id::Vm, Message)> {
        for request in self.pending.remove_all() {
            let retry_after = Duration::from_secs(1);
            let decision = Decision::Refused { retry_after };
            self.late_decisions.push(LateDecision { ticket: request.ticket, decision });
        }
        let mut messages = std::mem::take(&mut self.outbox);
        for (name, state) in &mut self.accounts {
            for (vm, held) in &mut state.held {
                self.sequence += 1;
                let loan_request = held.hand_back(now, name, self.sequence);
                messages.extend(
                    loan_request
                        .map(|loan_request| (vm.clone(), Message::LoanRequest(loan_request))),
                );
            }
        }
        messages
    }

    /// Returns the values of the RateLimit header fields, or nothing if the tables do not contain
    /// the account.
    pub fn limit(&self, account: &id::Account) -> Option<Limit> {
        let state = self.accounts.get(account)?;
        let published = state.published.as_ref()?;
        let remaining = state.level().0 / Tokens::ONE.0;
        Some(Limit { rate: published.rate, burst: published.burst, remaining })
    }

    /// Returns the state of all accounts for diagnostics.
    pub fn dump(&self, now: Instant) -> Dump {
        let entries = self.accounts.iter();
        let wait = self.restart_wait_left(now).as_millis();
        Dump {
            revision: self.revision,
            restart_wait_ms: u64::try_from(wait).unwrap_or(u64::MAX),
            accounts: entries
                .map(|(name, state)| (name.clone(), AccountDump::new(now, state)))
                .collect(),
        }
    }
}
