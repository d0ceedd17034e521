//! Inputs and decisions of an admission controller.

use {
    crate::{call::Refusal, id, table::Class, time::Instant},
    serde::Serialize,
    std::time::Duration,
};

/// A call that asks for admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// The billed account, or none on a route open to all.
    pub account: Option<id::Account>,
    /// The account's contracted rate, in requests per second.
    pub weight: u32,
    /// The class of the call.
    pub class: Class,
    /// The time after which an answer is useless to the caller.
    pub deadline: Instant,
    /// The number of calls above this one in the call chain.
    pub depth: u8,
}

/// The decision on an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call runs now.
    Run,
    /// The call is queued; a later [`Release`] tells whether it runs.
    Queued,
    /// The call is refused and did not run.
    Refused(Refusal),
}

/// The outcome of a call's wait in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Release {
    /// The call runs now.
    Run(id::Call),
    /// The call is refused and did not run.
    Refuse(id::Call, Refusal),
}

/// The decision on an offered call and the queued calls released at the same time.
#[derive(Clone, Debug)]
pub struct OfferResult {
    /// The decision on the offered call.
    pub decision: Decision,
    /// Queued calls that now run or are refused.
    pub releases: Vec<Release>,
}

/// The result of a call that ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The target answered.
    Ok,
    /// The target answered with a failure of its own.
    Failed,
    /// The target declared that it did not run the call for lack of capacity.
    Shed,
    /// The call was cancelled before the target answered.
    Cancelled,
    /// The connection to the target broke.
    Broken,
}

/// The completion of a call that ran.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The time since the call was admitted, including connection set-up if there was one.
    pub latency: Duration,
    /// The result of the call.
    pub kind: CallResult,
}

/// The load that a target reports about itself. It may be stale, stuck or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReportedLoad {
    /// The fraction of its slots that are busy.
    pub load: f64,
}
