//! The lender's side of loans: a minter's own bucket and the loans and tokens that it has handed
//! out.
//!
//! Invariant: the rates of the own bucket and of all loans that may still be in use add up to at
//! most the share. So do their caps, together with the caps of granted tokens that may still be in
//! flight. Whatever is lent is deducted from the own bucket before the message is created. It is
//! added back only after the borrower has confirmed that it uses a later version, or after the term
//! has ended on this node's clock.

use {
    super::{
        bucket::Bucket,
        message::{Loan, LoanRequest, Sequence, TokenRequest},
        settings::{Guards, Settings},
        split::Share,
    },
    crate::{id, time::Instant, unit::Tokens},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Maximum number of versions of one loan that may be in use at the same time.
const MAX_VERSIONS: usize = 8;
/// Maximum number of borrowers per account.
const MAX_BORROWERS: usize = 1_024;

#[derive(Debug)]
struct Version {
    sequence: Sequence,
    share: Share,
    until: Instant,
}

/// One incarnation of a VM.
pub type Instance = (id::Vm, id::Incarnation);

#[derive(Debug)]
struct Borrower {
    demand: Tokens,
    versions: VecDeque<Version>,
    nonce: Option<Sequence>,
    last_nonce: Sequence,
    last_request_at: Instant,
}

/// Parameters that are common to the calls made at one time.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The account.
    pub account: &'a id::Account,
    /// The current time.
    pub now: Instant,
    /// The settings of the limiter.
    pub settings: &'a Settings,
    /// The enabled guards.
    pub guards: Guards,
}

impl Borrower {
    fn new(now: Instant) -> Self {
        Self {
            demand: Tokens::ZERO,
            versions: VecDeque::new(),
            nonce: None,
            last_nonce: 0,
            last_request_at: now,
        }
    }

    /// Removes the versions that the borrower no longer uses.
    fn acknowledge(&mut self, loan_request: &LoanRequest) {
        let last = self.versions.back().map(|last| last.sequence);
        let held_version =
            self.versions.iter_mut().find(|version| version.sequence == loan_request.held_version);
        let Some(held_version) = held_version else { return };
        held_version.share =
            held_version.share.min(loan_request.kept_share.unwrap_or(held_version.share));
        let is_over = held_version.share == Share::NONE && last == Some(loan_request.held_version);
        self.versions.retain(|version| version.sequence >= loan_request.held_version && !is_over);
    }

    /// Returns the end of a version created now. A version that answers no request does not extend
    /// the term.
    fn version_end(&self, context: Context<'_>, nonce: Option<Sequence>) -> Option<Instant> {
        let Context { now, settings, guards, .. } = context;
        let earlier_end = self.versions.iter().map(|version| version.until).max();
        if nonce.is_none() {
            return earlier_end;
        }
        let term = settings.term();
        let term = if guards.has_margin { settings.with_margin(term) } else { term };
        Some(earlier_end.map_or(now + term, |earlier_end| earlier_end.max(now + term)))
    }

    fn committed(&self) -> Share {
        self.versions.iter().map(|version| version.share).fold(Share::NONE, Share::max)
    }

    fn last(&self) -> Share {
        self.versions.back().map_or(Share::NONE, |version| version.share)
    }
}

/// A token request that waits to be answered, if need be until borrowers have returned tokens.
#[derive(Debug)]
struct QueuedRequest {
    requester: Instance,
    nonce: Sequence,
    until: Instant,
}

/// The result of a token request.
#[derive(Debug)]
pub struct Outcome {
    /// The node that sent the token request.
    pub requester: Instance,
    /// The nonce of the token request.
    pub nonce: Sequence,
    /// Whether a token was granted.
    pub is_granted: bool,
}

#[derive(Debug)]
struct Reservation {
    requester: Instance,
    nonce: Sequence,
    until: Instant,
    tokens: Tokens,
}

/// A minter's state for one account.
#[derive(Debug)]
pub struct Lender {
    own: Bucket,
    mint_until: Instant,
    allowed: Share,
    borrowers: BTreeMap<Instance, Borrower>,
    reservations: VecDeque<Reservation>,
    queue: VecDeque<QueuedRequest>,
    next_recall: Instant,
}

impl Lender {
    /// Creates a minter without a share.
    pub fn new(now: Instant) -> Self {
        Self {
            own: Bucket::new(now, Share::NONE),
            mint_until: Instant::ZERO,
            allowed: Share::NONE,
            borrowers: BTreeMap::new(),
            reservations: VecDeque::new(),
            queue: VecDeque::new(),
            next_recall: Instant::ZERO,
        }
    }

    /// Returns the share that the minter distributes.
    pub fn allowed(&self) -> Share {
        self.allowed
    }

    /// Returns the part of the share that is in use by loans and granted tokens.
    pub fn committed(&self) -> Share {
        let lent = self.borrowers.values().map(Borrower::committed);
        let cap =
            self.reservations.iter().fold(Tokens::ZERO, |sum, l| sum.saturating_add(l.tokens));
        lent.fold(Share { rate: Tokens::ZERO, cap }, Share::plus)
    }

    /// Returns the part of the share that is neither lent nor granted.
    pub fn own(&self) -> Share {
        self.own.share()
    }

    /// Adds the minted tokens to the own bucket, or clears it after the time until which this node
    /// may mint.
    pub fn fill(&mut self, now: Instant) {
        if now < self.mint_until {
            self.own.fill(now);
        } else {
            self.own.set_share(now, Share::NONE);
        }
    }

    /// Returns the tokens in the own bucket.
    pub fn level(&self) -> Tokens {
        self.own.level()
    }

    /// Returns the number of borrowers that hold a loan.
    pub fn borrowers(&self) -> usize {
        self.borrowers.values().filter(|borrower| !borrower.versions.is_empty()).count()
    }

    /// Returns whether the VM has reported its demand, which then includes its token requests.
    pub fn is_borrower(&self, vm: &id::Vm, incarnation: id::Incarnation) -> bool {
        let borrower = self.borrowers.get(&(vm.clone(), incarnation));
        borrower.is_some_and(|borrower| borrower.demand > Tokens::ZERO)
    }

    /// Removes expired loans and reservations, and sets the share to distribute until the given
    /// time.
    pub fn refresh(&mut self, now: Instant, allowed: Share, until: Instant) {
        self.fill(now);
        self.mint_until = until;
        let allowed = if now < until { allowed } else { Share::NONE };
        self.allowed = allowed;
        self.borrowers.retain(|_, borrower| {
            borrower.versions.retain(|version| version.until > now);
            let is_recent = now.since(borrower.last_request_at).as_secs() < 5;
            !borrower.versions.is_empty() || is_recent
        });
        while self.reservations.front().is_some_and(|reservation| reservation.until <= now) {
            self.reservations.pop_front();
        }
        self.resize(now);
    }

    fn resize(&mut self, now: Instant) {
        self.fill(now);
        let own = self.allowed.minus(self.committed());
        self.own.set_share(now, own);
    }

    /// Takes at most the given number of tokens from the own bucket.
    pub fn take(&mut self, now: Instant, tokens: Tokens) -> Tokens {
        self.fill(now);
        self.own.take(tokens)
    }

    /// Queues a token request. [`Lender::serve`] answers it.
    pub fn enqueue(&mut self, now: Instant, requester: Instance, request: &TokenRequest) {
        const MAX_WAIT: Duration = Duration::from_millis(150);
        const MAX_QUEUED: usize = 256;
        let mut lent = self.borrowers.iter().filter(|(_, b)| !b.versions.is_empty());
        let is_lent = lent.any(|(key, _)| *key != requester);
        let is_deferred = request.may_wait && is_lent && self.queue.len() < MAX_QUEUED;
        let until = if is_deferred { now + MAX_WAIT } else { now };
        self.queue.push_back(QueuedRequest { requester, nonce: request.nonce, until });
    }

    /// Answers the queued token requests in order, except those that may wait longer for a token.
    pub fn serve(&mut self, context: Context<'_>) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for queued in std::mem::take(&mut self.queue) {
            let is_granted = self.grant(context, queued.requester.clone(), queued.nonce);
            if is_granted || context.now >= queued.until {
                let QueuedRequest { requester, nonce, .. } = queued;
                outcomes.push(Outcome { requester, nonce, is_granted });
            } else {
                self.queue.push_back(queued);
            }
        }
        outcomes
    }

    /// Returns the borrowers to recall tokens from, if token requests are queued or this node
    /// itself has no token.
    pub fn recall(&mut self, now: Instant, is_needed_locally: bool) -> Vec<id::Vm> {
        const RECALL_INTERVAL: Duration = Duration::from_millis(20);
        const MAX_RECALLS: usize = 8;
        let is_needed = is_needed_locally || !self.queue.is_empty();
        if !is_needed || now < self.next_recall {
            return Vec::new();
        }
        self.next_recall = now + RECALL_INTERVAL;
        let is_requesting = |vm: &id::Vm| self.queue.iter().any(|queued| queued.requester.0 == *vm);
        let lent = self.borrowers.iter().filter(|(key, borrower)| {
            borrower.committed().cap >= Tokens::ONE && !is_requesting(&key.0)
        });
        let mut lent: Vec<_> = lent.map(|(key, b)| (b.committed().cap, &key.0)).collect();
        lent.sort_by_key(|(cap, _)| std::cmp::Reverse(*cap));
        lent.into_iter().take(MAX_RECALLS).map(|(_, vm)| vm.clone()).collect()
    }

    /// Grants one token to another node, which must use it within the term of a token request. The
    /// token is reserved until the node confirms its use or the term ends.
    fn grant(&mut self, context: Context<'_>, requester: Instance, nonce: Sequence) -> bool {
        const MAX_RESERVATIONS: usize = 65_536;
        let Context { now, settings, guards, .. } = context;
        self.fill(now);
        if self.own.level() < Tokens::ONE || self.reservations.len() >= MAX_RESERVATIONS {
            return false;
        }
        if !guards.has_deduction {
            return true;
        }
        self.own.take(Tokens::ONE);
        let until = now + settings.with_margin(settings.token_request_term());
        self.reservations.push_back(Reservation { requester, nonce, until, tokens: Tokens::ONE });
        self.resize(now);
        true
    }

    /// Returns the time until the own bucket holds a whole token, in milliseconds.
    pub fn wait_ms(&self) -> u32 {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let shortfall = Tokens::ONE.saturating_sub(self.own.level()).0;
        let wait = shortfall.saturating_mul(MILLIS_PER_SECOND) / self.own.share().rate.0.max(1);
        u32::try_from(wait).unwrap_or(u32::MAX)
    }

    /// Removes the reservation of a token that the requester has used or discarded.
    pub fn release(&mut self, now: Instant, requester: &Instance, nonce: Sequence) {
        let is_match = |reservation: &Reservation| {
            reservation.nonce == nonce && reservation.requester == *requester
        };
        if let Some(index) = self.reservations.iter().position(is_match) {
            self.reservations.remove(index);
            self.resize(now);
        }
    }

    /// Records a borrower's loan request. The next [`Lender::tick`] answers it.
    ///
    /// `is_current_incarnation` tells whether the request refers to a loan made by this incarnation
    /// of the lender.
    pub fn handle_loan_request(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        is_current_incarnation: bool,
        loan_request: &LoanRequest,
    ) {
        let key = (from.clone(), incarnation);
        let is_new = !self.borrowers.contains_key(&key);
        let is_full = self.borrowers.len() >= MAX_BORROWERS;
        if self.is_superseded(&key) || (is_new && (is_full || loan_request.demand == Tokens::ZERO))
        {
            return;
        }
        let borrower = self.borrowers.entry(key).or_insert_with(|| Borrower::new(now));
        borrower.last_request_at = now;
        if borrower.last_nonce < loan_request.nonce {
            borrower.last_nonce = loan_request.nonce;
            borrower.nonce =
                Some(loan_request.nonce).filter(|_| loan_request.demand > Tokens::ZERO);
            borrower.demand = loan_request.demand;
        }
        if is_current_incarnation {
            let before = borrower.committed().cap;
            borrower.acknowledge(loan_request);
            // Tokens are taken back only up to the cap that the loan held for them while they were
            // in transit.
            let freed = before.saturating_sub(borrower.committed().cap);
            self.resize(now);
            self.own.put(loan_request.returned.min(freed));
        }
    }

    /// Returns whether a later incarnation of the VM has sent a request, and clears the demand of
    /// earlier ones.
    fn is_superseded(&mut self, key: &Instance) -> bool {
        let mut is_superseded = false;
        let incarnations =
            (key.0.clone(), id::Incarnation(0))..=(key.0.clone(), id::Incarnation(u64::MAX));
        for (instance, borrower) in self.borrowers.range_mut(incarnations) {
            is_superseded |= instance.1 > key.1;
            if instance.1 < key.1 {
                borrower.demand = Tokens::ZERO;
                borrower.nonce = None;
            }
        }
        is_superseded
    }

    /// Distributes the share in proportion to demand and returns the new versions of loans.
    pub fn tick(
        &mut self,
        context: Context<'_>,
        demand: Tokens,
        sequence: &mut Sequence,
    ) -> Vec<(id::Vm, Loan)> {
        let mut loans = Vec::new();
        for (key, desired) in self.desired_shares(demand) {
            if let Some(loan) = self.make_loan(context, &key, desired, sequence) {
                loans.push((key.0, loan));
            }
        }
        loans
    }

    fn desired_shares(&self, own_demand: Tokens) -> Vec<(Instance, Share)> {
        const RESERVE_PERCENT: u64 = 2;
        let demands = self.borrowers.values().map(|borrower| borrower.demand.0);
        let sum = demands.fold(own_demand.0, u64::saturating_add);
        let whole = sum.saturating_add(sum.saturating_mul(RESERVE_PERCENT) / 100);
        let desired = |borrower: &Borrower| self.allowed.scale(borrower.demand.0, whole);
        self.borrowers.iter().map(|(key, b)| (key.clone(), desired(b))).collect()
    }

    fn make_loan(
        &mut self,
        context: Context<'_>,
        key: &Instance,
        desired: Share,
        sequence: &mut Sequence,
    ) -> Option<Loan> {
        let free = self.allowed.minus(self.committed());
        let borrower = self.borrowers.get_mut(key)?;
        let committed = borrower.committed();
        let share = desired.min(committed.plus(free));
        let is_due = borrower.nonce.is_some() || is_worth_changing(share, borrower.last());
        let is_empty = share == Share::NONE && committed == Share::NONE;
        if !is_due || is_empty || borrower.versions.len() >= MAX_VERSIONS {
            return None;
        }
        let until = borrower.version_end(context, borrower.nonce)?;
        let nonce = borrower.nonce.take().unwrap_or(0);
        *sequence += 1;
        borrower.versions.push_back(Version { sequence: *sequence, share, until });
        let tokens = self.deduct(context, share.cap.saturating_sub(committed.cap));
        Some(Loan {
            account: context.account.clone(),
            borrower: key.1,
            sequence: *sequence,
            nonce,
            share,
            tokens,
            term_ms: context.settings.term_ms,
        })
    }

    /// Takes from the own bucket the tokens that belong to an increase of a loan's cap.
    fn deduct(&mut self, context: Context<'_>, grown: Tokens) -> Tokens {
        self.fill(context.now);
        let cap = self.own.share().cap.0.max(1);
        let part = u128::from(self.own.level().0) * u128::from(grown.0.min(cap)) / u128::from(cap);
        let part = Tokens(u64::try_from(part).unwrap_or(0));
        let tokens = if context.guards.has_deduction { self.own.take(part) } else { part };
        self.resize(context.now);
        tokens
    }
}

/// Returns whether the desired rate differs enough from the current one to change the loan before
/// its borrower requests it.
fn is_worth_changing(desired: Share, current: Share) -> bool {
    const EIGHTH: u64 = 8;
    desired.rate.0.abs_diff(current.rate.0) > current.rate.0 / EIGHTH
}
