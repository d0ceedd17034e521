//! Further attempts: one budget per root request, and one ratio per pool.
//!
//! The [`Budget`] bounds what one root request may cause in the whole chain below it. The ratio
//! bounds what all requests together may add to a pool. [`Policy::decide`] joins both with the
//! outcome of the failed attempt and the time left. See docs/design/retries.md.

mod budget;
mod ratio;

pub use {
    budget::{Budget, Quota},
    ratio::Ratio,
};

use {
    crate::{
        call::{Offer, Outcome, Reason, Refusal},
        id,
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// When and how often a failed attempt is repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Retries per thousand first sends that a pool takes over the sliding window.
    pub ratio_permille: u32,
    /// The length of the sliding window.
    pub window_ms: u64,
    /// Retries a second that a pool takes in any case, but never after an overload refusal.
    pub floor_per_second: u32,
    /// The longest wait before the first retry.
    pub backoff_ms: u64,
    /// The longest wait before any retry.
    pub backoff_max_ms: u64,
    /// The time that must be left for the attempt itself.
    pub run_least_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio_permille: 100,
            window_ms: 10_000,
            floor_per_second: 1,
            backoff_ms: 5,
            backoff_max_ms: 100,
            run_least_ms: 5,
        }
    }
}

/// The attempt that just failed, as its sender sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// How many attempts this call has made, this one included.
    pub number: u8,
    /// Whether every target of the pool that could be chosen is in overload.
    pub is_pool_overloaded: bool,
}

/// Decides on retries to all pools.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    ratios: BTreeMap<id::Pool, Ratio>,
    random: ChaCha8Rng,
}

impl Policy {
    /// Makes a policy that has seen no send. The seed spreads the waits of different nodes.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self { settings, ratios: BTreeMap::new(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Counts the first send of a call to a pool.
    pub fn record_first_send(&mut self, now: Instant, pool: &id::Pool) {
        self.ratio(now, pool).record_first_send(now);
    }

    /// Decides whether a failed attempt is repeated, and after what wait.
    ///
    /// `offer.remaining` must be the time left now. Where the answer is a wait, one attempt has
    /// been taken from the budget and from the pool's ratio.
    pub fn decide(
        &mut self,
        now: Instant,
        offer: &Offer,
        budget: &mut Budget,
        refusal: &Refusal,
        attempt: Attempt,
    ) -> Option<Duration> {
        if !is_allowed(offer, refusal, attempt) || budget.remaining() == 0 {
            return None;
        }
        let least = Duration::from_millis(self.settings.run_least_ms);
        let room = offer.remaining.checked_sub(least).filter(|room| !room.is_zero())?;
        let is_overload = refusal.reason == Reason::Overload;
        if !self.ratio(now, &offer.pool).try_take(now, is_overload) {
            return None;
        }
        budget.spend();
        Some(self.wait(attempt.number).min(room))
    }

    /// Forgets pools that the tables no longer name.
    pub fn retain(&mut self, mut is_pool: impl FnMut(&id::Pool) -> bool) {
        self.ratios.retain(|pool, _| is_pool(pool));
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Vec<Dump> {
        let line = |(pool, ratio): (&id::Pool, &Ratio)| Dump {
            pool: pool.clone(),
            first_sends: ratio.first_sends(now),
            retries: ratio.retries(now),
            withheld: ratio.withheld(),
        };
        self.ratios.iter().map(line).collect()
    }

    fn ratio(&mut self, now: Instant, pool: &id::Pool) -> &mut Ratio {
        if !self.ratios.contains_key(pool) {
            self.ratios.insert(pool.clone(), Ratio::new(now, &self.settings));
        }
        self.ratios.get_mut(pool).expect("the ratio was just inserted")
    }

    // Half of the wait is fixed, so that a resend never follows at once, and half is random.
    fn wait(&mut self, attempts: u8) -> Duration {
        let doublings = u32::from(attempts.saturating_sub(1)).min(16);
        let full = self.settings.backoff_ms.saturating_mul(1 << doublings);
        let full = Duration::from_millis(full.min(self.settings.backoff_max_ms));
        full.mul_f64(self.random.random_range(0.5..=1.0))
    }
}

fn is_allowed(offer: &Offer, refusal: &Refusal, attempt: Attempt) -> bool {
    let is_safe = offer.idempotent || refusal.outcome == Outcome::NotRun;
    let is_hopeless = refusal.reason == Reason::Overload && attempt.is_pool_overloaded;
    is_safe && !is_hopeless && refusal.reason.is_retryable()
}

/// The retries to one pool as operators see them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// The pool.
    pub pool: id::Pool,
    /// First sends in the sliding window.
    pub first_sends: u64,
    /// Retries in the sliding window.
    pub retries: u64,
    /// Retries that the ratio withheld since the node started.
    pub withheld: u64,
}
