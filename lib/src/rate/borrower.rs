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
    is_shrunk: bool,
    bucket: Bucket,
    until: Instant,
    sent: VecDeque<Sent>,
    told: Tokens,
    told_at: Instant,
    surplus: Tokens,
    keep: Option<Share>,
    /// The lender had no token for an ask until then.
    pub dry_until: Instant,
}

impl Held {
    /// Makes a holding of nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            lender: id::Incarnation(0),
            last: 0,
            is_shrunk: false,
            bucket: Bucket::new(now, Share::NONE),
            until: Instant::ZERO,
            sent: VecDeque::new(),
            told: Tokens::ZERO,
            told_at: Instant::ZERO,
            surplus: Tokens::ZERO,
            keep: None,
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

    /// Takes in a version of the loan from the lender's given life. Returns a message that hands
    /// it back where it comes too late to be used.
    pub fn accept(
        &mut self,
        now: Instant,
        lender: id::Incarnation,
        loan: &Loan,
        guards: Guards,
    ) -> Option<Want> {
        let is_stale =
            lender < self.lender || (lender == self.lender && loan.sequence <= self.last);
        if is_stale && guards.has_dedup {
            return None;
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
            self.surplus = loan.tokens;
            self.keep = Some(Share::NONE);
            return Some(self.message(&loan.account, 0, Tokens::ZERO));
        }
        let held = self.bucket.level().saturating_add(loan.tokens);
        self.keep = None;
        self.is_shrunk |= !self.bucket.share().is_within(loan.share);
        self.bucket.set_share(now, loan.share);
        self.surplus = held.saturating_sub(loan.share.cap);
        self.bucket.put(loan.tokens);
        None
    }

    /// Tells whether the lender should hear of this demand now.
    pub fn is_due(&self, now: Instant, settings: &Settings, demand: Tokens) -> bool {
        const QUARTER: u64 = 4;
        let is_changed = demand.0.abs_diff(self.told.0) > self.told.0 / QUARTER;
        let is_old = now.since(self.told_at).as_millis() >= u128::from(settings.renew_ms);
        demand > Tokens::ZERO && (is_changed || is_old)
    }

    /// Tells the lender that a smaller version is in use, if it does not know yet.
    pub fn acknowledge(&mut self, now: Instant, account: &id::Account) -> Option<Want> {
        if !std::mem::take(&mut self.is_shrunk) || now >= self.until {
            return None;
        }
        Some(self.message(account, 0, self.told))
    }

    fn message(&mut self, account: &id::Account, nonce: Sequence, demand: Tokens) -> Want {
        self.is_shrunk = false;
        Want {
            account: account.clone(),
            nonce,
            demand,
            lender: self.lender,
            seen: self.last,
            keep: std::mem::take(&mut self.keep),
            returned: std::mem::take(&mut self.surplus),
        }
    }

    /// Hands back half of what is at hand, or nothing where there is none.
    pub fn recall(&mut self, now: Instant, account: &id::Account) -> Option<Want> {
        let half = Tokens(self.bucket.level().0 / 2);
        if now >= self.until || half == Tokens::ZERO {
            return None;
        }
        let taken = self.bucket.take(half);
        let share = self.bucket.share();
        let smaller = Share { cap: share.cap.saturating_sub(taken), ..share };
        self.bucket.set_share(now, smaller);
        self.surplus = self.surplus.saturating_add(taken);
        self.keep = Some(smaller);
        Some(self.message(account, 0, self.told))
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
        self.message(account, nonce, demand)
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
        self.keep = Some(Share::NONE);
        let want = self.want(now, account, nonce, Tokens::ZERO);
        self.sent.clear();
        Some(want)
    }
}
