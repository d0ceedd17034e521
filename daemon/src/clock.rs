//! The node's clock, which counts the time for which the machine was suspended.

use {
    monsoon_lib::{id::Incarnation, time::Instant},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Reads the clock that the model's times are given in.
///
/// # Panics
///
/// Panics where the system has no such clock, since no lease could be kept without one.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot-time clock");
    Instant::ZERO + Duration::from(time)
}

/// Numbers this life of the process by the wall clock in milliseconds.
pub fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
