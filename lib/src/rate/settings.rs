//! Settings of the rate limiter.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Settings for the distribution of tokens and the terms of loans.
///
/// All nodes of a fleet must use the same settings: after a restart, a lender waits only as long as
/// its own configured term before it lends again.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The term of a loan, in milliseconds.
    pub term_ms: u64,
    /// How long a node waits for the reply to a token request, in milliseconds.
    pub ask_ms: u64,
    /// By how much minting is slowed below the configured rate, and lenders count terms as longer,
    /// in millionths. It compensates for clock drift.
    pub margin_ppm: u64,
    /// Minimum burst of a minter, in whole tokens.
    pub least_cap: u32,
    /// Maximum number of token requests in flight per account and node.
    pub asks: usize,
    /// Maximum time for which a minter that had no token is not asked again, in milliseconds.
    pub dry_ms: u64,
    /// Maximum interval between two requests for the same loan, in milliseconds.
    pub renew_ms: u64,
    /// Interval between two rounds of queries while a split changes, in milliseconds.
    pub query_ms: u64,
    /// How long a minter continues to mint without an answer from the majority of the minters of
    /// its split, in milliseconds. After this time, the share of a dead VM that the tables removed
    /// becomes available to the others.
    pub retire_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            term_ms: 2_000,
            ask_ms: 250,
            margin_ppm: 1_000,
            least_cap: 4,
            asks: 64,
            dry_ms: 100,
            renew_ms: 900,
            query_ms: 300,
            retire_ms: 3_600_000,
        }
    }
}

impl Settings {
    /// Returns how long a borrower uses a loan, on its own clock.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Returns how long a requester accepts a reply to a token request, on its own clock.
    pub fn token_request_term(&self) -> Duration {
        Duration::from_millis(self.ask_ms)
    }

    /// Returns how long a minter mints without an answer from the majority of minters.
    pub fn retirement(&self) -> Duration {
        Duration::from_millis(self.retire_ms)
    }

    /// Returns the time after which a minter without an answer from the majority has certainly
    /// stopped, and so have all its loans and granted tokens.
    pub fn certain_retirement(&self) -> Duration {
        self.with_margin(self.retirement() + self.term() + self.token_request_term())
    }

    /// Returns how long a lender counts a term that the borrower counts as `term`.
    pub fn with_margin(&self, term: Duration) -> Duration {
        const MILLION: u128 = 1_000_000;
        let extra = term.as_nanos() * u128::from(self.margin_ppm) / MILLION;
        term + Duration::from_nanos(u64::try_from(extra).unwrap_or(u64::MAX))
    }
}

/// The mechanisms that keep each account within its rate and burst. A test may disable each of them
/// to show that it is needed.
///
/// The daemon has no setting for them.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A lender counts a term as longer than the borrower does, and minting is slowed.
    pub has_margin: bool,
    /// A restarted minter waits until the loans of its previous incarnation have ended.
    pub has_restart_wait: bool,
    /// A message is used once, and only by the incarnation that it was sent to.
    pub has_dedup: bool,
    /// A minter grows to a new split only after the other minters have confirmed it.
    pub has_transition: bool,
    /// A loan or a token reply is void after its term, even if the node resumes later from a pause.
    pub has_expiry: bool,
    /// A minter stops minting without an answer from the majority of minters.
    pub has_retirement: bool,
    /// Tokens and caps are deducted from the lender before the message is sent.
    pub has_deduction: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            has_margin: true,
            has_restart_wait: true,
            has_dedup: true,
            has_transition: true,
            has_expiry: true,
            has_retirement: true,
            has_deduction: true,
        }
    }
}
