//! A token bucket with exact integer arithmetic.

use {
    super::split::Share,
    crate::{time::Instant, unit::Tokens},
};

/// A bucket that fills at a fixed rate up to a cap.
///
/// The level is stored in billionths of the unit of [`Tokens`], so that no fraction is lost between
/// two clock readings.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    level: u128,
    filled_at: Instant,
}

const NANOS: u128 = 1_000_000_000;

fn exact(tokens: Tokens) -> u128 {
    u128::from(tokens.0) * NANOS
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(now: Instant, share: Share) -> Self {
        Self { share, level: 0, filled_at: now }
    }

    /// Returns the rate and the cap.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Adds the tokens minted since the last call. A clock reading before the last one adds
    /// nothing.
    pub fn fill(&mut self, now: Instant) {
        let nanos = now.since(self.filled_at).as_nanos();
        self.filled_at = self.filled_at.max(now);
        let minted = u128::from(self.share.rate.0).saturating_mul(nanos);
        self.level = self.level.saturating_add(minted).min(exact(self.share.cap));
    }

    /// Changes the rate and the cap. Tokens above the new cap are discarded.
    pub fn set_share(&mut self, now: Instant, share: Share) {
        self.fill(now);
        self.share = share;
        self.level = self.level.min(exact(share.cap));
    }

    /// Returns the available tokens, rounded down.
    pub fn level(&self) -> Tokens {
        Tokens(u64::try_from(self.level / NANOS).unwrap_or(u64::MAX))
    }

    /// Takes at most the given number of tokens and returns how many were taken.
    pub fn take(&mut self, tokens: Tokens) -> Tokens {
        let taken = tokens.min(self.level());
        self.level -= exact(taken);
        taken
    }

    /// Adds tokens, up to the cap.
    pub fn put(&mut self, tokens: Tokens) {
        self.level = self.level.saturating_add(exact(tokens)).min(exact(self.share.cap));
    }
}
