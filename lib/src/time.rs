//! Virtual and real time in one type.
//!
//! The model never reads a clock. The caller passes the reading of a clock that never goes back and
//! that counts the time for which the machine or the process was suspended.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::{Add, AddAssign, Sub},
        time::Duration,
    },
};

/// A reading of the node's own clock, in nanoseconds from an origin of no meaning.
///
/// Readings of two nodes, or of two lives of one node, are never compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Makes a reading from nanoseconds after the origin.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Makes a reading from milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the nanoseconds since the origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time since an earlier reading, or zero where `earlier` is the later one.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, by: Duration) -> Self {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, by: Duration) {
        *self = *self + by;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, by: Duration) -> Self {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s", Duration::from_nanos(self.0).as_secs_f64())
    }
}
