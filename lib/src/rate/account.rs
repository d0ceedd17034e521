//! The state of one account at one node: the loans that it makes and holds, and the demand.

use {
    super::{
        borrower::HeldLoan,
        lender::{Context, Lender},
        message::{Message, Sequence},
        meter::Meter,
        settings::Settings,
        split::{self, Share, Split},
        split_state::SplitState,
    },
    crate::{
        id, table,
        time::Instant,
        unit::{Revision, Tokens},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// The state of one account at this node.
#[derive(Debug)]
pub struct Account {
    /// The published configuration, or nothing if the tables do not contain the account.
    pub published: Option<Arc<table::Account>>,
    /// The splits that other nodes may still apply.
    pub split_state: SplitState,
    /// The tokens that this node mints and lends.
    pub lender: Lender,
    /// The loans that this node holds, by lender.
    pub held: BTreeMap<id::Vm, HeldLoan>,
    /// The other minters, in the order in which this node requests loans and tokens from them.
    pub lender_order: Vec<id::Vm>,
    /// The number of minters, from the start of `lender_order`, to borrow from.
    pub lender_count: usize,
    /// The rate of requests that arrive at this node.
    pub demand: Meter,
    /// The rate of token requests from other nodes.
    pub remote_demand: Meter,
    denied_until: Instant,
    backoff_doublings: u32,
    /// Maximum number of token requests in flight.
    request_window: usize,
    widen_at: Instant,
    oversupplied_since: Option<Instant>,
}

/// Maximum number of token requests in flight until the first denial.
const INITIAL_REQUEST_WINDOW: usize = 16;

/// A node's view of the fleet. It may be inaccurate, so only the placement of tokens depends on it,
/// never their number.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The data centre of this node.
    pub data_centre: Option<id::DataCentre>,
    /// The VMs that are considered dead, suspected or leaving.
    pub absent: BTreeSet<id::Vm>,
}

/// Returns the level in millionths of the cap, rounded up to one if the level is not zero.
fn fill_ppm(level: Tokens, share: Share) -> u128 {
    const MILLION: u128 = 1_000_000;
    let ratio = u128::from(level.0) * MILLION / u128::from(share.cap.0.max(1));
    ratio.max(u128::from(level.0.min(1)))
}

impl Account {
    /// Creates the state of an account with no knowledge of other nodes.
    pub fn new(
        now: Instant,
        local_vm: &id::Vm,
        split: Arc<Split>,
        revision: Revision,
        nonce: Sequence,
    ) -> Self {
        Self {
            published: None,
            split_state: SplitState::new(now, local_vm.clone(), split, revision, nonce),
            lender: Lender::new(now),
            held: BTreeMap::new(),
            lender_order: Vec::new(),
            lender_count: 0,
            demand: Meter::slow_decay(now),
            remote_demand: Meter::fast_decay(now),
            denied_until: Instant::ZERO,
            backoff_doublings: 0,
            request_window: INITIAL_REQUEST_WINDOW,
            widen_at: Instant::ZERO,
            oversupplied_since: None,
        }
    }

    /// Sorts the other minters: available ones before absent ones, then those in the same data
    /// centre first. Loans of VMs that are no longer minters are dropped.
    pub fn sort_lenders(&mut self, account: &id::Account, local_vm: &id::Vm, view: &FleetView) {
        let split = self.split_state.current();
        let mut lender_order: Vec<_> =
            split.minters.iter().filter(|(vm, _)| *vm != local_vm).collect();
        lender_order.sort_by_cached_key(|(vm, minter)| {
            let is_remote = view.data_centre.as_ref() != Some(&minter.data_centre);
            let weight = split::rendezvous_weight(account, vm.as_str(), local_vm.as_str());
            (view.absent.contains(*vm), is_remote, std::cmp::Reverse(weight))
        });
        self.lender_order = lender_order.into_iter().map(|(vm, _)| vm.clone()).collect();
        let split = self.split_state.current().clone();
        self.held.retain(|vm, _| split.minters.contains_key(vm));
    }

    /// Takes one token from the local bucket and the held loans. Returns false and takes nothing if
    /// they hold less than one.
    pub fn take(&mut self, context: Context<'_>) -> bool {
        let now = context.now;
        self.lender.fill(now);
        let mut sum = self.lender.level();
        for held in self.held.values_mut() {
            held.fill(now, context.guards);
            sum = sum.saturating_add(held.level());
        }
        if sum < Tokens::ONE {
            return false;
        }
        let mut needed = Tokens::ONE;
        while needed > Tokens::ZERO {
            needed = needed.saturating_sub(self.take_fullest(now, needed));
        }
        true
    }

    /// Takes tokens from the bucket with the highest fill level, since a full bucket discards newly
    /// minted tokens.
    fn take_fullest(&mut self, now: Instant, needed: Tokens) -> Tokens {
        let own = fill_ppm(self.lender.level(), self.lender.own());
        let held = self.held.values_mut();
        let fullest = held.max_by_key(|held| fill_ppm(held.level(), held.share(now)));
        match fullest.filter(|held| fill_ppm(held.level(), held.share(now)) > own) {
            Some(held) => held.take(needed),
            None => self.lender.take(now, needed),
        }
    }

    /// Returns the tokens in the local bucket and the held loans.
    pub fn level(&self) -> Tokens {
        let held = self.held.values().map(HeldLoan::level);
        held.fold(self.lender.level(), Tokens::saturating_add)
    }

    /// Returns how long a caller should wait before it retries.
    pub fn retry_after(&self) -> Duration {
        const MAX_DELAY: Duration = Duration::from_secs(1);
        let rate = self.published.as_ref().map_or(0, |published| published.rate.0);
        MAX_DELAY.checked_div(u32::try_from(rate).unwrap_or(u32::MAX)).unwrap_or(MAX_DELAY)
    }

    /// Returns the first minter that has not recently run out of tokens, leaving out `excluded`.
    pub fn next_lender(&self, now: Instant, excluded: Option<&id::Vm>) -> Option<id::Vm> {
        let is_candidate = |vm: &&id::Vm| {
            let is_empty = self.held.get(*vm).is_some_and(|held| now < held.empty_until);
            !is_empty && Some(*vm) != excluded
        };
        self.lender_order.iter().find(is_candidate).cloned()
    }

    /// Returns whether another token request may be sent in addition to those in flight.
    pub fn may_request(&self, now: Instant, in_flight: usize) -> bool {
        now >= self.denied_until && in_flight < self.request_window
    }

    /// Records that no minter had a token. It halves the request window and, once the window is
    /// down to one, pauses requests with exponential backoff.
    pub fn record_denial(&mut self, now: Instant) {
        const MIN_BACKOFF_MS: u64 = 10;
        const MAX_DOUBLINGS: u32 = 4;
        self.request_window = (self.request_window / 2).max(1);
        if self.request_window == 1 && now >= self.denied_until {
            self.denied_until =
                now + Duration::from_millis(MIN_BACKOFF_MS << self.backoff_doublings);
            self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_DOUBLINGS);
        }
    }

    /// Records that a token request was granted, which widens the request window by one.
    pub fn record_grant(&mut self, settings: &Settings) {
        const RECOVERED_WINDOW: usize = 4;
        self.request_window = (self.request_window + 1).min(settings.asks);
        if self.request_window >= RECOVERED_WINDOW {
            self.backoff_doublings = 0;
        }
    }

    /// Returns the minter to wait for if all have recently run out of tokens. Tickets are spread
    /// over the minters.
    pub fn fallback_lender(&self, ticket: u64) -> Option<id::Vm> {
        let count = self.lender_order.len().max(1) as u64;
        let index = usize::try_from(ticket % count).unwrap_or(0);
        self.lender_order.get(index).cloned()
    }

    /// Returns the unneeded tokens of one lender's loan, after that lender has recalled them.
    pub fn recall(
        &mut self,
        context: Context<'_>,
        lender: &id::Vm,
        nonce: &mut Sequence,
    ) -> Option<Message> {
        let Context { account, now, guards, .. } = context;
        if self.demand.is_silent(now) {
            self.demand.reset(now);
            self.lender_count = 0;
        }
        let is_idle = self.demand.demand() == Tokens::ZERO;
        let held = self.held.get_mut(lender)?;
        held.fill(now, guards);
        let request = if is_idle {
            *nonce += 1;
            held.hand_back(now, account, *nonce)
        } else {
            held.recall(now, account)
        };
        request.map(Message::LoanRequest)
    }

    /// Adjusts the loans to the demand and returns the messages to the lenders.
    pub fn borrow(&mut self, context: Context<'_>, nonce: &mut Sequence) -> Vec<(id::Vm, Message)> {
        let demand = self.demand.demand();
        let own = self.lender.own();
        let deficit = demand.saturating_sub(own.rate);
        if self.prefers_single_tokens(demand) || deficit == Tokens::ZERO {
            self.lender_count = 0;
        } else {
            self.adjust_lender_count(context.now, demand, own);
        }
        self.loan_requests(context, deficit, nonce)
    }

    /// Returns whether the part of the burst that corresponds to the demand is too small to absorb
    /// uneven arrivals, in which case single tokens serve better than a loan.
    fn prefers_single_tokens(&self, demand: Tokens) -> bool {
        const MIN_LOAN_BURST: u64 = 6;
        let Some(published) = &self.published else { return true };
        let ratio = u128::from(demand.0) * u128::from(published.burst);
        ratio < u128::from(Tokens::whole(MIN_LOAN_BURST).0) * u128::from(published.rate.0)
    }

    fn adjust_lender_count(&mut self, now: Instant, demand: Tokens, own: Share) {
        const WIDEN_INTERVAL: Duration = Duration::from_millis(250);
        const SHRINK_DELAY: Duration = Duration::from_secs(3);
        let shares =
            self.lender_order.iter().take(self.lender_count).filter_map(|vm| self.held.get(vm));
        let rates: Vec<u64> = shares.map(|held| held.share(now).rate.0).collect();
        let supply = own.rate.0 + rates.iter().sum::<u64>();
        let without_last = supply - rates.last().copied().unwrap_or(0);
        let is_undersupplied = supply < demand.0 + demand.0 / 50;
        if (is_undersupplied || self.lender_count == 0) && now >= self.widen_at {
            self.lender_count = (self.lender_count * 2).max(1).min(self.lender_order.len());
            self.widen_at = now + WIDEN_INTERVAL;
        }
        let is_oversupplied = self.lender_count > 1 && without_last > demand.0 + demand.0 / 2;
        if !is_oversupplied {
            self.oversupplied_since = None;
        } else if now.since(*self.oversupplied_since.get_or_insert(now)) >= SHRINK_DELAY {
            self.lender_count -= 1;
            self.oversupplied_since = None;
        }
    }

    fn loan_requests(
        &mut self,
        context: Context<'_>,
        deficit: Tokens,
        nonce: &mut Sequence,
    ) -> Vec<(id::Vm, Message)> {
        let Context { account, now, settings, .. } = context;
        let split = self.split_state.current().clone();
        let rate_of = |vm: &id::Vm| u128::from(split.share(vm).rate.0);
        let active: Vec<id::Vm> =
            self.lender_order.iter().take(self.lender_count).cloned().collect();
        let total_rate = active.iter().map(rate_of).sum::<u128>().max(1);
        let mut messages = Vec::new();
        for vm in &active {
            let held = self.held.entry(vm.clone()).or_insert_with(|| HeldLoan::new(now));
            let reported_demand = u128::from(deficit.0) * rate_of(vm) / total_rate;
            let reported_demand = Tokens(u64::try_from(reported_demand).unwrap_or(u64::MAX));
            if held.is_due(now, settings, reported_demand) {
                *nonce += 1;
                let request = held.request(now, account, *nonce, reported_demand);
                messages.push((vm.clone(), Message::LoanRequest(request)));
            } else if let Some(request) = held.acknowledge(now, account) {
                messages.push((vm.clone(), Message::LoanRequest(request)));
            }
        }
        for (vm, held) in &mut self.held {
            if !active.contains(vm) {
                *nonce += 1;
                let request = held.hand_back(now, account, *nonce);
                messages.extend(request.map(|request| (vm.clone(), Message::LoanRequest(request))));
            }
        }
        messages
    }
}
