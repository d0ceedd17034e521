//! What operators can set of admission.

use {
    super::LimitSettings,
    serde::{Deserialize, Serialize},
};

/// How a gate decides.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How the number of calls in flight adapts.
    pub limit: LimitSettings,
    /// The most calls that wait.
    pub max_queue: usize,
    /// The longest wait while the queue empties from time to time, in milliseconds.
    pub wait_ms: u64,
    /// The longest wait while the queue stands, in milliseconds.
    pub standing_wait_ms: u64,
    /// The calls of a class stand when the oldest one waited for more than half of the standing wait
    /// all of this time, in milliseconds.
    pub standing_after_ms: u64,
    /// Whether a standing queue serves its newest calls first.
    pub is_newest_first: bool,
    /// The time at its sold rate that an account may catch up on, in milliseconds.
    pub credit_ms: u64,
    /// A class with calls is served at least once in this time, in milliseconds.
    pub floor_ms: u64,
    /// Whether classes and accounts count. Otherwise calls are served in order of arrival.
    pub is_fair: bool,
    /// The shortest time after which a refused caller may come again, in milliseconds.
    pub min_retry_after_ms: u64,
    /// The longest time after which a refused caller may come again, in milliseconds.
    pub max_retry_after_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            limit: LimitSettings::default(),
            max_queue: 1024,
            wait_ms: 100,
            standing_wait_ms: 20,
            standing_after_ms: 100,
            is_newest_first: true,
            credit_ms: 500,
            floor_ms: 1000,
            is_fair: true,
            min_retry_after_ms: 100,
            max_retry_after_ms: 1000,
        }
    }
}
