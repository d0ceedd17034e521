//! A time type for both real and virtual time.
//!
//! The model never reads a clock. The caller passes readings of a monotonic clock that keeps
//! counting while the machine or the process is suspended.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::{Add, AddAssign, Sub},
        time::Duration,
    },
};

/// A reading of the node's own clock, in nanoseconds from an arbitrary origin.
///
/// Readings from different nodes, or from different processes of one node, must not be compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a reading from nanoseconds after the origin.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Creates a reading from milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the nanoseconds since the origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this reading.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
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
