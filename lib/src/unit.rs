//! Sizes, rates and revisions with their units.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
};

/// A malformed quantity.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text does not have the expected format.
    #[error("expected {expected}, not {found:?}")]
    Malformed {
        /// An example of the expected format.
        expected: &'static str,
        /// The text found.
        found: String,
    },
}

/// An amount of rate-limit tokens, in millionths of a token, so that shares are exact integers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No token.
    pub const ZERO: Self = Self(0);
    /// The cost of one root request.
    pub const ONE: Self = Self(1_000_000);

    /// Creates an amount of whole tokens.
    pub const fn whole(count: u64) -> Self {
        Self(count * Self::ONE.0)
    }

    /// Returns the sum, saturating at the maximum.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is larger.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the number of tokens, with fractions.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / Self::ONE.0 as f64
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.as_f64())
    }
}

/// Requests per second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Rate(pub u64);

impl Rate {
    /// Returns the tokens that accrue at this rate in the given time, rounded down.
    pub fn over(self, time: Duration) -> Tokens {
        const NANOS_PER_SECOND: u128 = 1_000_000_000;
        let micros = u128::from(self.0) * u128::from(Tokens::ONE.0);
        let accrued = micros * time.as_nanos() / NANOS_PER_SECOND;
        Tokens(u64::try_from(accrued).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed =
            |_: ParseIntError| Error::Malformed { expected: "\"100/s\"", found: text.into() };
        text.strip_suffix("/s").unwrap_or(text).parse().map(Self).map_err(malformed)
    }
}

/// Requests per second, with fractions. It is finite and not negative.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// The largest rate that is accepted. It keeps derived times within range.
    const MAX: f64 = 1e9;

    /// Returns the number of requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    fn malformed(found: &str) -> Error {
        Error::Malformed { expected: "\"44.9/s\"", found: found.into() }
    }
}

/// A rate is never NaN, so each rate equals itself.
impl Eq for RequestRate {}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = Error;

    fn try_from(per_second: f64) -> Result<Self, Error> {
        match (0.0..=Self::MAX).contains(&per_second) {
            true => Ok(Self(per_second)),
            false => Err(Self::malformed(&per_second.to_string())),
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let rate: Option<f64> = text.strip_suffix("/s").unwrap_or(text).parse().ok();
        rate.and_then(|rate| rate.try_into().ok()).ok_or_else(|| Self::malformed(text))
    }
}

/// A number of bytes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Bytes(pub u64);

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed =
            |_: ParseIntError| Error::Malformed { expected: "\"4096 B\"", found: text.into() };
        text.strip_suffix('B').unwrap_or(text).trim().parse().map(Self).map_err(malformed)
    }
}

/// The revision of the published tables. The platform's first revision is 1; 0 means that the node
/// has not accepted any tables.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed =
            |_: ParseIntError| Error::Malformed { expected: "\"r12\"", found: text.into() };
        text.strip_prefix('r').unwrap_or(text).parse().map(Self).map_err(malformed)
    }
}
