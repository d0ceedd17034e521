//! The borrower's side of loans: what a node holds from the minters of one account.

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

/// Maximum number of unanswered requests to one lender.
const MAX_SENT_REQUESTS: usize = 8;

#[derive(Debug)]
struct SentRequest {
    nonce: Sequence,
    sent_at: Instant,
}

/// The loan from one lender.
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
    /// The time before which the lender is assumed to have no token for a token request.
    pub empty_until: Instant,
}

impl HeldLoan {
    /// Creates an empty loan.
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

    /// Returns the share that may be used now, which is none after the term.
    pub fn share(&self, now: Instant) -> Share {
        if now < self.until { self.bucket.share() } else { Share::NONE }
    }

    /// Returns the tokens available as of the last [`HeldLoan::fill`].
    pub fn level(&self) -> Tokens {
        self.bucket.level()
    }

    /// Returns when the term ends.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Adds the tokens minted since the last call, or ends the loan if its term is over.
    pub fn fill(&mut self, now: Instant, guards: Guards) {
        if now < self.until || !guards.has_expiry {
            self.bucket.fill(now);
        } else {
            self.bucket.set_share(now, Share::NONE);
        }
    }

    /// Takes at most the given number of tokens and returns how many were taken. Call
    /// [`HeldLoan::fill`] first.
    pub fn take(&mut self, tokens: Tokens) -> Tokens {
        self.bucket.take(tokens)
    }

    /// Applies a new version of the loan from the given incarnation of the lender. If it arrives
    /// after its term, returns a message that hands its tokens back.
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

    /// Returns whether to report this demand to the lender now: it has changed by more than a
    /// quarter, or the last report is as old as the renewal interval.
    pub fn is_due(&self, now: Instant, settings: &Settings, demand: Tokens) -> bool {
        const QUARTER: u64 = 4;
        let is_changed =
            demand.0.abs_diff(self.reported_demand.0) > self.reported_demand.0 / QUARTER;
        let is_renewal_due =
            now.since(self.reported_at).as_millis() >= u128::from(settings.renew_ms);
        demand > Tokens::ZERO && (is_changed || is_renewal_due)
    }

    /// Returns a message that confirms a reduced version of the loan, unless the lender already
    /// knows that it is in use.
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

    /// Returns half of the available tokens to the lender, or nothing if there are none.
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

    /// Creates the next loan request, which reports the demand.
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

    /// Ends the loan and returns its tokens to the lender. Returns nothing if no loan is held.
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
