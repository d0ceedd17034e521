//! Settings of the rate ledger.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How tokens are placed and how long promises between nodes last.
///
/// All nodes of a fleet use the same settings: a lender's wait after a restart covers only loans
/// of its own term.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The term of a loan, in milliseconds.
    pub term_ms: u64,
    /// How long an ingress waits for the answer to one ask for a token, in milliseconds.
    pub ask_ms: u64,
    /// How much slower than the sold rate tokens are minted, and how much longer a lender counts a
    /// term, in millionths. It covers the drift of clocks.
    pub margin_ppm: u64,
    /// The fewest whole tokens of burst that a minter is given.
    pub least_cap: u32,
    /// The most asks of one account that may be under way from one node.
    pub asks: usize,
    /// The longest time for which a minter that had no token is not asked again, in milliseconds.
    pub dry_ms: u64,
    /// The longest pause between two requests for the same loan, in milliseconds.
    pub renew_ms: u64,
    /// The pause between two rounds of queries while a split changes, in milliseconds.
    pub query_ms: u64,
    /// How long a minter goes on minting without word from most minters of its split, in
    /// milliseconds. The share of a dead VM that the tables dropped is won back after this time.
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

    /// Returns how long an asker accepts an answer, on its own clock.
    pub fn ask_term(&self) -> Duration {
        Duration::from_millis(self.ask_ms)
    }

    /// Returns how long a minter mints without word from most others.
    pub fn retirement(&self) -> Duration {
        Duration::from_millis(self.retire_ms)
    }

    /// Returns the time after which a minter without word from most others has surely stopped, with
    /// all that it lent.
    pub fn silence(&self) -> Duration {
        self.widen(self.retirement() + self.term() + self.ask_term())
    }

    /// Returns how long the giver of a promise counts a term that the taker counts as `term`.
    pub fn widen(&self, term: Duration) -> Duration {
        const MILLION: u128 = 1_000_000;
        let extra = term.as_nanos() * u128::from(self.margin_ppm) / MILLION;
        term + Duration::from_nanos(u64::try_from(extra).unwrap_or(u64::MAX))
    }
}

/// The guards that safety rests on, each of which a test may take away to show that it is needed.
///
/// A daemon has no way to set them.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A lender counts a term as longer than the borrower does, and minting is slowed.
    pub has_margin: bool,
    /// A restarted minter waits until loans of its earlier life have ended.
    pub has_restart_wait: bool,
    /// A message is used once and only by the life that it was meant for.
    pub has_dedup: bool,
    /// A minter grows only after the others keep to the new split.
    pub has_transition: bool,
    /// A loan or an answer is void after its term, however late the node wakes up.
    pub has_expiry: bool,
    /// A minter stops without word from most others.
    pub has_retirement: bool,
    /// Tokens and caps leave the lender before the message does.
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
