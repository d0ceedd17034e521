//! What a gate is told, and what it decides.

use {
    crate::{call::Refusal, id, table::Class, time::Instant},
    serde::Serialize,
    std::time::Duration,
};

/// What the gate has to know of a call.
#[derive(Clone, Debug)]
pub struct Request {
    /// The account that pays, or none on a route open to all.
    pub account: Option<id::Account>,
    /// The account's sold rate, in requests a second.
    pub weight: u32,
    /// The class of the call.
    pub class: Class,
    /// When an answer is of no more use.
    pub deadline: Instant,
    /// The number of calls above this one.
    pub depth: u8,
}

/// What the gate does with an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call runs now.
    Run,
    /// The call waits and comes back in a [`Release`].
    Queued,
    /// The call is refused and did not run.
    Refused(Refusal),
}

/// The end of a call's wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Release {
    /// The call runs now.
    Run(id::Call),
    /// The call is refused and did not run.
    Refuse(id::Call, Refusal),
}

/// The decision on an offered call, and the waits that ended through it.
#[derive(Clone, Debug)]
pub struct OfferResult {
    /// What happens to the offered call.
    pub decision: Decision,
    /// What happens to calls that waited.
    pub releases: Vec<Release>,
}

/// How a call that ran came to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The target answered.
    Ok,
    /// The target answered with a failure of its own.
    Failed,
    /// The target declared that it did not run the call, because it has no room.
    Shed,
    /// The call was given up before the target answered.
    Cancelled,
    /// The link to the target broke.
    Broken,
}

/// The end of a call that ran.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The time since the call was released, with the set-up of a connection where one was made.
    pub latency: Duration,
    /// How it ended.
    pub kind: CallResult,
}

/// The load that a target reports of itself. It may lag, freeze or lie.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReportedLoad {
    /// The share of its slots that are busy.
    pub load: f64,
}
