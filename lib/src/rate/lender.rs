//! A minter's side: its own bucket and what it has lent.
//!
//! The invariant: the rates of the own bucket and of all loans that may still be in use sum to at
//! most the share, and so do the caps, with the caps of tokens given on ask. Whatever is lent leaves
//! the own bucket before the message is made, and comes back only when the borrower has said that it
//! uses a later version, or when the term has ended on this node's clock.

use {
    super::{
        bucket::Bucket,
        message::{Ask, Loan, Sequence, Want},
        settings::{Guards, Settings},
        split::Share,
    },
    crate::{id, time::Instant, unit::Tokens},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The most versions of one loan that may be in use at once.
const MAX_VERSIONS: usize = 8;
/// The most borrowers of one account that a minter serves.
const MAX_BORROWERS: usize = 1_024;

#[derive(Debug)]
struct Version {
    sequence: Sequence,
    share: Share,
    until: Instant,
}

/// One life of one node.
pub type Key = (id::Vm, id::Incarnation);

#[derive(Debug)]
struct Borrower {
    demand: Tokens,
    versions: VecDeque<Version>,
    nonce: Option<Sequence>,
    last_nonce: Sequence,
    heard_at: Instant,
}

/// What the calls of one moment share.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The account.
    pub account: &'a id::Account,
    /// The clock's reading.
    pub now: Instant,
    /// The settings.
    pub settings: &'a Settings,
    /// The guards in force.
    pub guards: Guards,
}

impl Borrower {
    fn new(now: Instant) -> Self {
        Self {
            demand: Tokens::ZERO,
            versions: VecDeque::new(),
            nonce: None,
            last_nonce: 0,
            heard_at: now,
        }
    }

    /// Ends the versions that the borrower no longer uses.
    fn acknowledge(&mut self, want: &Want) {
        let last = self.versions.back().map(|last| last.sequence);
        let seen = self.versions.iter_mut().find(|version| version.sequence == want.seen);
        let Some(seen) = seen else { return };
        seen.share = seen.share.min(want.keep.unwrap_or(seen.share));
        let is_over = seen.share == Share::NONE && last == Some(want.seen);
        self.versions.retain(|version| version.sequence >= want.seen && !is_over);
    }

    /// Returns when a version made now ends. One that answers no request lengthens nothing.
    fn until(&self, context: Context<'_>, nonce: Option<Sequence>) -> Option<Instant> {
        let Context { now, settings, guards, .. } = context;
        let earlier = self.versions.iter().map(|version| version.until).max();
        if nonce.is_none() {
            return earlier;
        }
        let term = settings.term();
        let term = if guards.has_margin { settings.widen(term) } else { term };
        Some(earlier.map_or(now + term, |earlier| earlier.max(now + term)))
    }

    fn committed(&self) -> Share {
        self.versions.iter().map(|version| version.share).fold(Share::NONE, Share::max)
    }

    fn last(&self) -> Share {
        self.versions.back().map_or(Share::NONE, |version| version.share)
    }
}

/// An ask that waits for tokens that borrowers may hand back.
#[derive(Debug)]
struct Pending {
    asker: Key,
    nonce: Sequence,
    until: Instant,
}

/// The answer to an ask.
#[derive(Debug)]
pub struct Outcome {
    /// Who asked.
    pub asker: Key,
    /// The ask.
    pub nonce: Sequence,
    /// Whether a token was given.
    pub is_given: bool,
}

#[derive(Debug)]
struct Lien {
    asker: Key,
    nonce: Sequence,
    until: Instant,
    tokens: Tokens,
}

/// A minter's state for one account.
#[derive(Debug)]
pub struct Lender {
    own: Bucket,
    until: Instant,
    allowed: Share,
    borrowers: BTreeMap<Key, Borrower>,
    liens: VecDeque<Lien>,
    pending: VecDeque<Pending>,
    next_recall: Instant,
}

impl Lender {
    /// Makes a minter with no share.
    pub fn new(now: Instant) -> Self {
        Self {
            own: Bucket::new(now, Share::NONE),
            until: Instant::ZERO,
            allowed: Share::NONE,
            borrowers: BTreeMap::new(),
            liens: VecDeque::new(),
            pending: VecDeque::new(),
            next_recall: Instant::ZERO,
        }
    }

    /// Returns the share that the minter divides.
    pub fn allowed(&self) -> Share {
        self.allowed
    }

    /// Returns the part that is lent or given and not yet ended.
    pub fn committed(&self) -> Share {
        let lent = self.borrowers.values().map(Borrower::committed);
        let cap = self.liens.iter().fold(Tokens::ZERO, |sum, l| sum.saturating_add(l.tokens));
        lent.fold(Share { rate: Tokens::ZERO, cap }, Share::plus)
    }

    /// Returns the part that is neither lent nor given.
    pub fn own(&self) -> Share {
        self.own.share()
    }

    /// Adds what was minted to the own bucket, and stops where this node may mint no more.
    pub fn fill(&mut self, now: Instant) {
        if now < self.until {
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

    /// Tells whether the VM has told its demand, which then includes its asks.
    pub fn is_borrower(&self, vm: &id::Vm, incarnation: id::Incarnation) -> bool {
        let borrower = self.borrowers.get(&(vm.clone(), incarnation));
        borrower.is_some_and(|borrower| borrower.demand > Tokens::ZERO)
    }

    /// Ends what has ended and sets the share to be divided from now on, until a time.
    pub fn refresh(&mut self, now: Instant, allowed: Share, until: Instant) {
        self.fill(now);
        self.until = until;
        let allowed = if now < until { allowed } else { Share::NONE };
        self.allowed = allowed;
        self.borrowers.retain(|_, borrower| {
            borrower.versions.retain(|version| version.until > now);
            let is_recent = now.since(borrower.heard_at).as_secs() < 5;
            !borrower.versions.is_empty() || is_recent
        });
        while self.liens.front().is_some_and(|lien| lien.until <= now) {
            self.liens.pop_front();
        }
        self.resize(now);
    }

    fn resize(&mut self, now: Instant) {
        self.fill(now);
        let own = self.allowed.minus(self.committed());
        self.own.set_share(now, own);
    }

    /// Takes at most the given tokens from the own bucket.
    pub fn take(&mut self, now: Instant, tokens: Tokens) -> Tokens {
        self.fill(now);
        self.own.take(tokens)
    }

    /// Queues an ask. [`Lender::serve`] answers it.
    pub fn ask(&mut self, now: Instant, asker: Key, ask: &Ask) {
        const LONGEST_WAIT: Duration = Duration::from_millis(150);
        const MAX_PENDING: usize = 256;
        let mut lent = self.borrowers.iter().filter(|(_, b)| !b.versions.is_empty());
        let is_lent = lent.any(|(key, _)| *key != asker);
        let may_wait = ask.is_patient && is_lent && self.pending.len() < MAX_PENDING;
        let until = if may_wait { now + LONGEST_WAIT } else { now };
        self.pending.push_back(Pending { asker, nonce: ask.nonce, until });
    }

    /// Answers the asks that can be answered, in their order.
    pub fn serve(&mut self, context: Context<'_>) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            let is_given = self.give(context, pending.asker.clone(), pending.nonce);
            if is_given || context.now >= pending.until {
                let Pending { asker, nonce, .. } = pending;
                outcomes.push(Outcome { asker, nonce, is_given });
            } else {
                self.pending.push_back(pending);
            }
        }
        outcomes
    }

    /// Returns the borrowers to recall from, where asks wait or this node itself has no token.
    pub fn recall(&mut self, now: Instant, is_needed_here: bool) -> Vec<id::Vm> {
        const PAUSE: Duration = Duration::from_millis(20);
        const MOST: usize = 8;
        let is_needed = is_needed_here || !self.pending.is_empty();
        if !is_needed || now < self.next_recall {
            return Vec::new();
        }
        self.next_recall = now + PAUSE;
        let asking = |vm: &id::Vm| self.pending.iter().any(|pending| pending.asker.0 == *vm);
        let lent = self
            .borrowers
            .iter()
            .filter(|(key, borrower)| borrower.committed().cap >= Tokens::ONE && !asking(&key.0));
        let mut lent: Vec<_> = lent.map(|(key, b)| (b.committed().cap, &key.0)).collect();
        lent.sort_by_key(|(cap, _)| std::cmp::Reverse(*cap));
        lent.into_iter().take(MOST).map(|(_, vm)| vm.clone()).collect()
    }

    /// Gives one token to another node that must use it within the ask's term.
    fn give(&mut self, context: Context<'_>, asker: Key, nonce: Sequence) -> bool {
        const MAX_LIENS: usize = 65_536;
        let Context { now, settings, guards, .. } = context;
        self.fill(now);
        if self.own.level() < Tokens::ONE || self.liens.len() >= MAX_LIENS {
            return false;
        }
        if !guards.has_deduction {
            return true;
        }
        self.own.take(Tokens::ONE);
        let until = now + settings.widen(settings.ask_term());
        self.liens.push_back(Lien { asker, nonce, until, tokens: Tokens::ONE });
        self.resize(now);
        true
    }

    /// Returns when the own bucket holds a whole token, in milliseconds.
    pub fn wait_ms(&self) -> u32 {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let open = Tokens::ONE.saturating_sub(self.own.level()).0;
        let wait = open.saturating_mul(MILLIS_PER_SECOND) / self.own.share().rate.0.max(1);
        u32::try_from(wait).unwrap_or(u32::MAX)
    }

    /// Ends the wait for a token that its asker has used or dropped.
    pub fn release(&mut self, now: Instant, asker: &Key, nonce: Sequence) {
        let is_open = |lien: &Lien| lien.nonce == nonce && lien.asker == *asker;
        if let Some(index) = self.liens.iter().position(is_open) {
            self.liens.remove(index);
            self.resize(now);
        }
    }

    /// Takes in a borrower's request. The answer comes with the next [`Lender::tick`].
    ///
    /// `is_mine` tells whether the request speaks of a loan of this life of the lender.
    pub fn want(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        is_mine: bool,
        want: &Want,
    ) {
        let key = (from.clone(), incarnation);
        let is_new = !self.borrowers.contains_key(&key);
        let is_full = self.borrowers.len() >= MAX_BORROWERS;
        if self.is_superseded(&key) || (is_new && (is_full || want.demand == Tokens::ZERO)) {
            return;
        }
        let borrower = self.borrowers.entry(key).or_insert_with(|| Borrower::new(now));
        borrower.heard_at = now;
        if borrower.last_nonce < want.nonce {
            borrower.last_nonce = want.nonce;
            borrower.nonce = Some(want.nonce).filter(|_| want.demand > Tokens::ZERO);
            borrower.demand = want.demand;
        }
        if is_mine {
            let before = borrower.committed().cap;
            borrower.acknowledge(want);
            // Only as much comes back as the loan's cap covered while it was on its way.
            let freed = before.saturating_sub(borrower.committed().cap);
            self.resize(now);
            self.own.put(want.returned.min(freed));
        }
    }

    /// Tells whether a later life of the VM has spoken, and ends the demand of earlier ones.
    fn is_superseded(&mut self, key: &Key) -> bool {
        let mut is_superseded = false;
        let lives =
            (key.0.clone(), id::Incarnation(0))..=(key.0.clone(), id::Incarnation(u64::MAX));
        for (life, borrower) in self.borrowers.range_mut(lives) {
            is_superseded |= life.1 > key.1;
            if life.1 < key.1 {
                borrower.demand = Tokens::ZERO;
                borrower.nonce = None;
            }
        }
        is_superseded
    }

    /// Divides the share by demand and returns the new versions of loans.
    pub fn tick(
        &mut self,
        context: Context<'_>,
        demand: Tokens,
        sequence: &mut Sequence,
    ) -> Vec<(id::Vm, Loan)> {
        let mut loans = Vec::new();
        for (key, target) in self.targets(demand) {
            if let Some(loan) = self.lend(context, &key, target, sequence) {
                loans.push((key.0, loan));
            }
        }
        loans
    }

    fn targets(&self, own_demand: Tokens) -> Vec<(Key, Share)> {
        const RESERVE_PERCENT: u64 = 2;
        let demands = self.borrowers.values().map(|borrower| borrower.demand.0);
        let sum = demands.fold(own_demand.0, u64::saturating_add);
        let whole = sum.saturating_add(sum.saturating_mul(RESERVE_PERCENT) / 100);
        let target = |borrower: &Borrower| self.allowed.scale(borrower.demand.0, whole);
        self.borrowers.iter().map(|(key, b)| (key.clone(), target(b))).collect()
    }

    fn lend(
        &mut self,
        context: Context<'_>,
        key: &Key,
        target: Share,
        sequence: &mut Sequence,
    ) -> Option<Loan> {
        let free = self.allowed.minus(self.committed());
        let borrower = self.borrowers.get_mut(key)?;
        let committed = borrower.committed();
        let share = target.min(committed.plus(free));
        let is_due = borrower.nonce.is_some() || is_far(share, borrower.last());
        let is_empty = share == Share::NONE && committed == Share::NONE;
        if !is_due || is_empty || borrower.versions.len() >= MAX_VERSIONS {
            return None;
        }
        let until = borrower.until(context, borrower.nonce)?;
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

    /// Moves the tokens that belong to a grown cap out of the own bucket.
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

/// Tells whether a loan is worth changing before its borrower asks.
fn is_far(target: Share, current: Share) -> bool {
    const EIGHTH: u64 = 8;
    target.rate.0.abs_diff(current.rate.0) > current.rate.0 / EIGHTH
}
