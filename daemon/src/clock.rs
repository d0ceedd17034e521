//! The node's monotonic clock. It includes the time during which the VM was suspended.

use {
    monsoon_lib::{id::Incarnation, time::Instant},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Returns the current time in the form that `monsoon_lib` uses.
///
/// # Panics
///
/// Panics if the system has no boot-time clock, since leases can't be enforced without one.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot-time clock");
    Instant::ZERO + Duration::from(time)
}

/// Returns the incarnation number of this process: its start time in Unix milliseconds.
pub fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
