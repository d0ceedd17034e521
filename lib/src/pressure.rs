//! Backpressure: nodes of a call chain report to each other how many calls their pools can take.
//!
//! Reports are piggybacked on replies. See docs/design/pressure.md.

mod tracker;

pub use tracker::{Dump, Settings, Tracker};

use {
    crate::{id, table::Class},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The maximum number of slices in one report.
pub const MAX_SLICES: usize = 32;

/// The fraction of calls that a target wants to be sent, in units of 1/255.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Share(pub u8);

impl Share {
    /// All calls.
    pub const ALL: Self = Self(u8::MAX);

    /// Creates a share from a fraction, clamped to the range from 0 to 1.
    pub fn from_f64(share: f64) -> Self {
        Self((share.clamp(0.0, 1.0) * f64::from(u8::MAX)).round() as u8)
    }

    /// Returns the share as a fraction between 0 and 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(u8::MAX)
    }
}

/// A combination of class and account of which a target wants fewer calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slice {
    /// The class.
    pub class: Class,
    /// The account, or none for routes open to all.
    pub account: Option<id::Account>,
    /// The fraction of these calls that the target wants to be sent.
    pub admit: Share,
}

/// The pressure on one target as measured by its own node.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The number of running calls.
    pub in_flight: u32,
    /// The concurrency limit, in calls.
    pub limit: u32,
    /// The age of the oldest queued call.
    pub queue_delay: Duration,
    /// The mean latency of the target.
    pub latency: Duration,
    /// The time after which a refused caller may retry.
    pub retry_after: Duration,
    /// The classes and accounts of which the target wants fewer calls. All others are not limited.
    pub slices: Vec<Slice>,
}

impl Report {
    /// Returns the fraction of the calls of a class and account that the target wants to be sent.
    pub fn admit_share(&self, class: Class, account: &Option<id::Account>) -> Share {
        let is_same = |slice: &&Slice| slice.class == class && slice.account == *account;
        self.slices.iter().find(is_same).map_or(Share::ALL, |slice| slice.admit)
    }
}

/// A report that is passed on to the nodes upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedReport {
    /// The pool of the target.
    pub pool: id::Pool,
    /// The VM of the target.
    pub vm: id::Vm,
    /// The time since the report was created, excluding network transit.
    pub age: Duration,
    /// The report.
    pub report: Report,
}
