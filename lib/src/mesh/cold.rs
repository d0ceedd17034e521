//! Bounds on the requests per second of targets that are cold.
//!
//! A target that has just started, or that became cold again, takes only few requests per second,
//! and crashes under many more. See docs/design/uneven-load.md.

use {
    crate::unit::RequestRate,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The bound on the targets of a pool while they are cold.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// How long a target is cold after its start.
    pub duration: Duration,
    /// How many requests per second a cold target takes from all nodes together.
    pub rate: RequestRate,
}
