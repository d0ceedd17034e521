//! A borrower's side: the loans that a node holds from the minters of one account.

use {
    super::{
        bucket::Bucket,
        message::{Loan, LoanRequest, Sequence},
        settings::{Guards, Settings},
        split::Share,
    },
    crate::{id, time::Instant, unit::Tokens},
    std::collections::VecDeque,
};

/// The most requests to one lender whose answers are awaited.
const MAX_SENT_REQUESTS: usize = 8;

#[derive(Debug)]
struct SentRequest {
    nonce: Sequence,
    sent_at: Instant,
}

/// What one lender has lent.
#[derive(Debug)]
pub struct HeldLoan {
    lender: id::Incarnation,
    last_sequence: Sequence,
    has_unacknowledged_reduction: bool,
    bucket: Bucket,
    until: Instant,
    sent: VecDeque<SentRequest>,
    reported_demand: Tokens,
    reported_at: Instant,
    excess: Tokens,
    kept_share: Option<Share>,
    /// The lender had no token for an ask until then.
    pub empty_until: Instant,
}

impl HeldLoan {
    /// Makes a holding of nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            lender: id::Incarnation(0),
            last_sequence: 0,
            has_unacknowledged_reduction: false,
            bucket: Bucket::new(now, Share::NONE),
            until: Instant::ZERO,
            sent: VecDeque::new(),
            reported_demand: Tokens::ZERO,
            reported_at: Instant::ZERO,
            excess: Tokens::ZERO,
            kept_share: None,
            empty_until: Instant::ZERO,
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

    /// Takes at most the given tokens, after [`HeldLoan::fill`].
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
    ) -> Option<LoanRequest> {
        let is_stale =
            lender < self.lender || (lender == self.lender && loan.sequence <= self.last_sequence);
        if is_stale && guards.has_dedup {
            return None;
        }
        if lender > self.lender {
            self.until = Instant::ZERO;
        }
        self.fill(now, guards);
        self.lender = lender;
        self.last_sequence = loan.sequence;
        let sent = self.sent.iter().position(|sent| sent.nonce == loan.nonce);
        if let Some(sent) = sent.and_then(|index| self.sent.remove(index)) {
            let term = std::time::Duration::from_millis(loan.term_ms);
            self.until = self.until.max(sent.sent_at + term);
        }
        if now >= self.until && guards.has_expiry {
            self.excess = loan.tokens;
            self.kept_share = Some(Share::NONE);
            return Some(self.loan_request(&loan.account, 0, Tokens::ZERO));
        }
        let held = self.bucket.level().saturating_add(loan.tokens);
        self.kept_share = None;
        self.has_unacknowledged_reduction |= !self.bucket.share().is_within(loan.share);
        self.bucket.set_share(now, loan.share);
        self.excess = held.saturating_sub(loan.share.cap);
        self.bucket.put(loan.tokens);
        None
    }

    /// Tells whether the lender should hear of this demand now.
    pub fn is_due(&self, now: Instant, settings: &Settings, demand: Tokens) -> bool {
        const QUARTER: u64 = 4;
        let is_changed =
            demand.0.abs_diff(self.reported_demand.0) > self.reported_demand.0 / QUARTER;
        let is_renewal_due =
            now.since(self.reported_at).as_millis() >= u128::from(settings.renew_ms);
        demand > Tokens::ZERO && (is_changed || is_renewal_due)
    }

    /// Tells the lender that a smaller version is in use, if it does not know yet.
    pub fn acknowledge(&mut self, now: Instant, account: &id::Account) -> Option<LoanRequest> {
        if !std::mem::take(&mut self.has_unacknowledged_reduction) || now >= self.until {
            return None;
        }
        Some(self.loan_request(account, 0, self.reported_demand))
    }

    fn loan_request(
        &mut self,
        account: &id::Account,
        nonce: Sequence,
        demand: Tokens,
    ) -> LoanRequest {
        self.has_unacknowledged_reduction = false;
        LoanRequest {
            account: account.clone(),
            nonce,
            demand,
            lender: self.lender,
            held_version: self.last_sequence,
            kept_share: std::mem::take(&mut self.kept_share),
            returned: std::mem::take(&mut self.excess),
        }
    }

    /// Hands back half of what is at hand, or nothing where there is none.
    pub fn recall(&mut self, now: Instant, account: &id::Account) -> Option<LoanRequest> {
        let half = Tokens(self.bucket.level().0 / 2);
        if now >= self.until || half == Tokens::ZERO {
            return None;
        }
        let taken = self.bucket.take(half);
        let share = self.bucket.share();
        let smaller = Share { cap: share.cap.saturating_sub(taken), ..share };
        self.bucket.set_share(now, smaller);
        self.excess = self.excess.saturating_add(taken);
        self.kept_share = Some(smaller);
        Some(self.loan_request(account, 0, self.reported_demand))
    }

    /// Makes the next request to the lender.
    pub fn request(
        &mut self,
        now: Instant,
        account: &id::Account,
        nonce: Sequence,
        demand: Tokens,
    ) -> LoanRequest {
        if self.sent.len() >= MAX_SENT_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentRequest { nonce, sent_at: now });
        self.reported_demand = demand;
        self.reported_at = now;
        self.loan_request(account, nonce, demand)
    }

    /// Gives the loan up and hands its tokens back. Returns nothing where none is held.
    pub fn hand_back(
        &mut self,
        now: Instant,
        account: &id::Account,
        nonce: Sequence,
    ) -> Option<LoanRequest> {
        if now >= self.until {
            return None;
        }
        self.bucket.fill(now);
        let level = self.bucket.level();
        self.excess = self.excess.saturating_add(level);
        self.bucket.set_share(now, Share::NONE);
        self.until = Instant::ZERO;
        self.kept_share = Some(Share::NONE);
        let request = self.request(now, account, nonce, Tokens::ZERO);
        self.sent.clear();
        Some(request)
    }
}
