//! Sizes, rates and revisions with their units.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
};

/// A quantity that is not well formed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a number in the expected form.
    #[error("expected {expected}, not {found:?}")]
    Malformed {
        /// An example of the expected form.
        expected: &'static str,
        /// What stood there.
        found: String,
    },
}

/// One request's worth of an account's rate, in millionths, so that shares stay exact integers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No token.
    pub const ZERO: Self = Self(0);
    /// What one root request costs.
    pub const ONE: Self = Self(1_000_000);

    /// Makes a number of whole tokens.
    pub const fn whole(count: u64) -> Self {
        Self(count * Self::ONE.0)
    }

    /// Returns the sum, at most the largest number.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero where `other` is the larger.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the number of requests that these tokens pay for, with a fraction.
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
    /// Returns the tokens minted at this rate in the given time, rounded down.
    pub fn over(self, time: Duration) -> Tokens {
        const NANOS_PER_SECOND: u128 = 1_000_000_000;
        let micros = u128::from(self.0) * u128::from(Tokens::ONE.0);
        let minted = micros * time.as_nanos() / NANOS_PER_SECOND;
        Tokens(u64::try_from(minted).unwrap_or(u64::MAX))
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

/// Orders the states of the published tables. The platform's first revision is 1, and 0 stands for
/// a node that has accepted none.
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
