//! Admission settings.

use {
    super::LimitSettings,
    serde::{Deserialize, Serialize},
};

/// The settings of an admission controller.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The adaptive concurrency limit.
    pub limit: LimitSettings,
    /// The maximum number of queued calls.
    pub max_queue: usize,
    /// The maximum wait while there is no standing queue, in milliseconds.
    pub wait_ms: u64,
    /// The maximum wait in a standing queue, in milliseconds. It is raised if the target is slow.
    pub standing_wait_ms: u64,
    /// A class has a standing queue once its oldest call has waited for more than half of the
    /// standing wait throughout this time, in milliseconds.
    pub standing_after_ms: u64,
    /// Whether a standing queue serves its newest calls first (LIFO).
    pub is_newest_first: bool,
    /// How much unused service an account may catch up on, in milliseconds at its contracted rate.
    pub credit_ms: u64,
    /// A class with queued calls is served at least once in this interval, in milliseconds.
    pub floor_ms: u64,
    /// Whether scheduling honours classes and accounts. Otherwise all calls are scheduled as one
    /// class and one account.
    pub is_fair: bool,
    /// The minimum time after which a refused caller may retry, in milliseconds.
    pub min_retry_after_ms: u64,
    /// The maximum time after which a refused caller may retry, in milliseconds.
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
