//! A borrower's side: the loans that a node holds from the minters of one account.

use {
    super::{
        bucket::Bucket,
        message::{Loan, Sequence, Want},
        settings::{Guards, Settings},
        split::Share,
    },
    crate::{id, time::Instant, unit::Tokens},
    std::collections::VecDeque,
};

/// The most requests to one lender whose answers are awaited.
const MAX_SENT: usize = 8;

#[derive(Debug)]
struct Sent {
    nonce: Sequence,
    at: Instant,
}

/// What one lender has lent.
#[derive(Debug)]
pub struct Held {
    lender: id::Incarnation,
    last: Sequence,
    acknowledged: Sequence,
    bucket: Bucket,
    until: Instant,
    sent: VecDeque<Sent>,
    told: Tokens,
    told_at: Instant,
    surplus: Tokens,
    /// The lender had no token for an ask until then.
    pub dry_until: Instant,
}

impl Held {
    /// Makes a holding of nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            lender: id::Incarnation(0),
            last: 0,
            acknowledged: 0,
            bucket: Bucket::new(now, Share::NONE),
            until: Instant::ZERO,
            sent: VecDeque::new(),
            told: Tokens::ZERO,
            told_at: Instant::ZERO,
            surplus: Tokens::ZERO,
            dry_until: Instant::ZERO,
        }
    }

    /// Returns the part that may be used now.
    pub fn share(&self, now: Instant) -> Share {
        if now < self.until { self.bucket.share() } else { Share::NONE }
    }

    /// Returns the tokens at hand at the last filling.
    pub fn level(&self) -> Tokens {
        self.bucket.level()
    }

    /// Returns when the loan ends.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Adds what was minted, and ends the loan once its term is over.
    pub fn fill(&mut self, now: Instant, guards: Guards) {
        if now < self.until || !guards.has_expiry {
            self.bucket.fill(now);
        } else {
            self.bucket.set_share(now, Share::NONE);
        }
    }

    /// Takes at most the given tokens, after [`Held::fill`].
    pub fn take(&mut self, tokens: Tokens) -> Tokens {
        self.bucket.take(tokens)
    }

    /// Takes in a version of the loan from the lender's given life.
    pub fn accept(&mut self, now: Instant, lender: id::Incarnation, loan: &Loan, guards: Guards) {
        let is_stale =
            lender < self.lender || (lender == self.lender && loan.sequence <= self.last);
        if is_stale && guards.has_dedup {
            return;
        }
        if lender > self.lender {
            self.until = Instant::ZERO;
        }
        self.fill(now, guards);
        self.lender = lender;
        self.last = loan.sequence;
        let sent = self.sent.iter().position(|sent| sent.nonce == loan.nonce);
        if let Some(sent) = sent.and_then(|index| self.sent.remove(index)) {
            let term = std::time::Duration::from_millis(loan.term_ms);
            self.until = self.until.max(sent.at + term);
        }
        if now >= self.until && guards.has_expiry {
            return;
        }
        let held = self.bucket.level().saturating_add(loan.tokens);
        self.bucket.set_share(now, loan.share);
        self.surplus = held.saturating_sub(loan.share.cap);
        self.bucket.put(loan.tokens);
    }

    /// Tells whether the lender should hear of this demand now.
    pub fn is_due(&self, now: Instant, settings: &Settings, demand: Tokens) -> bool {
        const QUARTER: u64 = 4;
        let is_changed = demand.0.abs_diff(self.told.0) > self.told.0 / QUARTER;
        let is_old = now.since(self.told_at).as_millis() >= u128::from(settings.renew_ms);
        let is_held = now < self.until;
        let has_demand = demand > Tokens::ZERO;
        let is_unacknowledged = self.acknowledged != self.last && is_held;
        (has_demand && (is_changed || is_old)) || is_unacknowledged
    }

    /// Makes the next request to the lender.
    pub fn want(
        &mut self,
        now: Instant,
        account: &id::Account,
        nonce: Sequence,
        demand: Tokens,
    ) -> Want {
        if self.sent.len() >= MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(Sent { nonce, at: now });
        self.told = demand;
        self.told_at = now;
        self.acknowledged = self.last;
        Want {
            account: account.clone(),
            nonce,
            demand,
            lender: self.lender,
            seen: self.last,
            returned: std::mem::take(&mut self.surplus),
        }
    }

    /// Gives the loan up and hands its tokens back. Returns nothing where none is held.
    pub fn give_up(
        &mut self,
        now: Instant,
        account: &id::Account,
        nonce: Sequence,
    ) -> Option<Want> {
        if now >= self.until {
            return None;
        }
        self.bucket.fill(now);
        let level = self.bucket.level();
        self.surplus = self.surplus.saturating_add(level);
        self.bucket.set_share(now, Share::NONE);
        self.until = Instant::ZERO;
        let want = self.want(now, account, nonce, Tokens::ZERO);
        self.sent.clear();
        Some(want)
    }
}
