//! The order in which clients' requests are admitted while a pool below their route is scarce.
//!
//! The entry node admits a request if its standing is below the share of its class, so requests with
//! a low standing go first. Callers that waited as they were told go before the others, repeating at
//! once gains nothing, and an account gets room by the rate that it bought. See part 5 of
//! docs/design/uneven-load.md.

use {
    super::gate::{MAX_RETRY_AFTER, MIN_RETRY_AFTER},
    serde::{Serialize, Serializer},
    std::{fmt, time::Duration},
};

/// A caller whose timeout is shorter than the longest one on the route by at least this time is
/// taken to be retrying.
const RETRY_DETECTION_GAP: Duration = Duration::from_millis(60);
/// The highest standing. It is below 1, also in single precision, so that a share of 1 admits every
/// request.
const MAX_STANDING: f64 = 1.0 - f32::EPSILON as f64;
/// The retry delay is the time for which the pool has been scarce, divided by this number. A short
/// spike is retried soon, and a long one is not worth a quick return.
const RETRY_AFTER_DIVISOR: f64 = 2.0;
/// The retry delays of different requests differ by up to this fraction in both directions, so that
/// callers that were refused together don't return together.
const RETRY_AFTER_SPREAD: f64 = 0.2;

/// How a caller came to send a request, as far as the time that it has spent shows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The first attempt.
    First,
    /// A further attempt after the delay that the caller was told, with time left to the objective.
    Returned,
    /// A further attempt without that delay.
    Immediate,
    /// An attempt after the objective has passed. An answer is worth less than one in time.
    Late,
}

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 4] = [Self::First, Self::Returned, Self::Immediate, Self::Late];

    /// Returns the kind of a request whose caller has spent this time on earlier attempts.
    pub fn of(spent: Duration, objective: Duration) -> Self {
        if spent < RETRY_DETECTION_GAP {
            Self::First
        } else if spent >= objective {
            Self::Late
        } else if spent < MIN_RETRY_AFTER {
            Self::Immediate
        } else {
            Self::Returned
        }
    }

    /// Returns whether the request waits behind those of callers that returned as they were told.
    pub fn queues_as_first_attempt(self) -> bool {
        self != Self::Returned
    }

    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Returned => "returned",
            Self::Immediate => "immediate",
            Self::Late => "late",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The place of a client's request among those of its class, from 0 to just below 1. Lower ones go
/// first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Standing(f64);

impl Standing {
    /// Returns the standing of a request. `hash_fraction` is that of its id, and `account_factor`
    /// the [`account_factor`] of its account.
    pub fn of(kind: Kind, hash_fraction: f64, account_factor: f64) -> Self {
        let by_kind = match kind {
            Kind::First | Kind::Immediate => hash_fraction,
            Kind::Returned => hash_fraction.powi(2),
            Kind::Late => hash_fraction.sqrt(),
        };
        Self((by_kind * account_factor.max(1.0)).min(MAX_STANDING))
    }

    /// Returns the standing as a number.
    pub fn value(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

/// Returns by how many times the usage of an account exceeds the mean usage of all accounts, and at
/// least 1.
///
/// The usage is the demand divided by the sold rate. It is unknown for accounts without a rate, and
/// until a coordinator has answered.
pub fn account_factor(usage: Option<f64>, mean_usage: Option<f64>) -> f64 {
    match (usage, mean_usage) {
        (Some(usage), Some(mean)) if mean > 0.0 => (usage / mean).max(1.0),
        _ => 1.0,
    }
}

/// Returns the retry delay of a request that is refused since a pool is scarce, which it has been
/// for the given time.
pub fn retry_after(scarce_for: Duration, hash_fraction: f64) -> Duration {
    let spread = 1.0 + RETRY_AFTER_SPREAD * (2.0 * hash_fraction - 1.0);
    scarce_for.mul_f64(spread / RETRY_AFTER_DIVISOR).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// The number of requests refused at the entry because a pool is scarce, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Refusals {
    by_kind: [u64; Kind::ALL.len()],
}

impl Refusals {
    /// Counts a refused request.
    pub fn record(&mut self, kind: Kind) {
        self.by_kind[kind as usize] += 1;
    }

    /// Returns the number of refused requests of a kind.
    pub fn count(&self, kind: Kind) -> u64 {
        self.by_kind[kind as usize]
    }
}

impl Serialize for Refusals {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(Kind::ALL.map(|kind| (kind, self.count(kind))))
    }
}
