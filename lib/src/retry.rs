//! Retries: limited by one budget per root request and one ratio per pool.
//!
//! The [`Budget`] limits the retries that one root request may cause in its whole call chain. The
//! ratio limits the retries that all requests together may add to a pool. [`Policy::decide`]
//! combines both with the outcome of the failed attempt and the remaining time. See
//! docs/design/retries.md. [`Window`] is the ratio of the mesh, see docs/design/declining-pools.md.

mod budget;
mod ratio;
mod window;

pub use {
    budget::{Budget, Quota},
    ratio::Ratio,
    window::Window,
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

/// The settings of a retry policy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The maximum retries to a pool per thousand first sends in the sliding window.
    pub ratio_permille: u32,
    /// The length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Retries per second that are allowed regardless of the ratio, except after an overload
    /// refusal.
    pub floor_per_second: u32,
    /// The maximum backoff before the first retry, in milliseconds.
    pub backoff_ms: u64,
    /// The maximum backoff before any retry, in milliseconds.
    pub backoff_max_ms: u64,
    /// The minimum time that must remain for the attempt itself, in milliseconds.
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

/// The attempt that just failed, as seen by its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The number of attempts made by this call, including this one.
    pub number: u8,
    /// Whether every target of the pool that could be chosen is overloaded.
    pub is_pool_overloaded: bool,
}

/// Decides on the retries to all pools.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    ratios: BTreeMap<id::Pool, Ratio>,
    rng: ChaCha8Rng,
}

impl Policy {
    /// Creates a policy without recorded sends. Different seeds decorrelate the backoffs of nodes.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self { settings, ratios: BTreeMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Records the first send of a call to a pool.
    pub fn record_first_send(&mut self, now: Instant, pool: &id::Pool) {
        self.ratio(now, pool).record_first_send(now);
    }

    /// Decides whether a failed attempt is retried, and returns the backoff if so.
    ///
    /// `offer.remaining` must be the time remaining now. If a backoff is returned, one retry has
    /// been taken from the budget and from the pool's ratio.
    pub fn decide(
        &mut self,
        now: Instant,
        offer: &Offer,
        budget: &mut Budget,
        refusal: &Refusal,
        attempt: Attempt,
    ) -> Option<Duration> {
        if !is_retryable(offer, refusal, attempt) || budget.remaining() == 0 {
            return None;
        }
        let min_run = Duration::from_millis(self.settings.run_least_ms);
        let max_backoff =
            offer.remaining.checked_sub(min_run).filter(|max_backoff| !max_backoff.is_zero())?;
        let is_overload = refusal.reason == Reason::Overload;
        if !self.ratio(now, &offer.pool).try_take(now, is_overload) {
            return None;
        }
        budget.spend();
        Some(self.backoff(attempt.number).min(max_backoff))
    }

    /// Removes pools that are no longer in the tables.
    pub fn retain(&mut self, mut is_known_pool: impl FnMut(&id::Pool) -> bool) {
        self.ratios.retain(|pool, _| is_known_pool(pool));
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Vec<Dump> {
        let pool_dump = |(pool, ratio): (&id::Pool, &Ratio)| Dump {
            pool: pool.clone(),
            first_sends: ratio.first_sends(now),
            retries: ratio.retries(now),
            withheld: ratio.withheld(),
        };
        self.ratios.iter().map(pool_dump).collect()
    }

    fn ratio(&mut self, now: Instant, pool: &id::Pool) -> &mut Ratio {
        if !self.ratios.contains_key(pool) {
            self.ratios.insert(pool.clone(), Ratio::new(now, &self.settings));
        }
        self.ratios.get_mut(pool).expect("the ratio was just inserted")
    }

    // Exponential backoff with equal jitter: half is fixed, so that a retry never follows
    // immediately, and half is random.
    fn backoff(&mut self, attempts: u8) -> Duration {
        let doublings = u32::from(attempts.saturating_sub(1)).min(16);
        let max = self.settings.backoff_ms.saturating_mul(1 << doublings);
        let max = Duration::from_millis(max.min(self.settings.backoff_max_ms));
        max.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}

fn is_retryable(offer: &Offer, refusal: &Refusal, attempt: Attempt) -> bool {
    let is_safe = offer.idempotent || refusal.outcome == Outcome::NotRun;
    let would_be_refused = refusal.reason == Reason::Overload && attempt.is_pool_overloaded;
    is_safe && !would_be_refused && refusal.reason.is_retryable()
}

/// The retries to one pool, for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// The pool.
    pub pool: id::Pool,
    /// The number of first sends in the sliding window.
    pub first_sends: u64,
    /// The number of retries in the sliding window, without those allowed by the floor.
    pub retries: u64,
    /// The number of retries denied by the ratio since the node started.
    pub withheld: u64,
}
