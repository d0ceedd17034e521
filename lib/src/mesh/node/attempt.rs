//! One attempt to run a request on a target, and what follows from its result.

use {
    crate::{
        call::{Reason, Refusal},
        id,
        mesh::{
            demand::Origin,
            gate::{AdmissionRequest, Rank},
        },
        pressure::Share,
        time::Instant,
    },
    serde::{Deserialize, Serialize},
    std::{net::IpAddr, time::Duration},
};

/// One attempt to send a request to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The instance of the target.
    pub target: id::Vm,
    /// The address of the VM that the target and its node run on.
    pub host: IpAddr,
    /// Whether the target is the local one of this node.
    pub is_own: bool,
    /// The time left until the deadline.
    pub remaining: Duration,
}

/// The result of an attempt, without the answer itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The target ran the request and gave a complete answer.
    Answered {
        /// Whether the target reports a failure.
        has_failed: bool,
    },
    /// The request was refused before it reached a target.
    Refused(Refusal),
    /// The request reached the target, which reports that it did not run it.
    Declined(Refusal),
    /// No complete answer was received; the target may have run the request.
    Lost(Reason),
}

impl AttemptResult {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Refused(_) => "refused",
            Self::Declined(_) => "declined",
            Self::Lost(_) => "lost",
        }
    }

    /// Returns why there is no answer, unless there is one.
    pub fn reason(self) -> Option<Reason> {
        match self {
            Self::Answered { .. } => None,
            Self::Refused(refusal) | Self::Declined(refusal) => Some(refusal.reason),
            Self::Lost(reason) => Some(reason),
        }
    }
}

/// The next step after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Pass the answer to the caller.
    Answer,
    /// Send the request again.
    Resend,
    /// Refuse the request.
    Refuse(Refusal),
}

impl NextStep {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Resend => "resend",
            Self::Refuse(_) => "refuse",
        }
    }

    /// Returns the retry delay that the caller is given, if any.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Refuse(refusal) => refusal.retry_after,
            Self::Answer | Self::Resend => None,
        }
    }
}

/// A request as forwarded to the node of the target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardedRequest {
    /// The request id chosen by the caller.
    pub request: String,
    /// The instance of the target.
    pub target: id::Vm,
    /// The pool of the node that forwards the request.
    pub caller: id::Pool,
    /// The account that the request is charged to.
    pub account: Option<id::Account>,
    /// The queueing order of the request.
    pub rank: Rank,
    /// Whether the request repeats an earlier attempt, or is a call of a run that does.
    pub is_repeat: bool,
    /// Whether the request may safely run more than once.
    pub is_idempotent: bool,
    /// A hash of account and content, which identifies requests that crash targets.
    pub fingerprint: u64,
    /// The remainder of the latency objective.
    pub objective: Duration,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The share at which the client's request was admitted. Like the following fields it is not
    /// part of the message between nodes, whose layout is fixed.
    #[serde(skip, default = "all")]
    pub admitted: Share,
    /// Whether a target of the pool refused or declined the request before.
    #[serde(skip)]
    pub is_resend: bool,
    /// The route that the request matches, if this node knows it.
    #[serde(skip)]
    pub route: Option<id::Route>,
}

/// Returns the share of requests from nodes that do not state one.
fn all() -> Share {
    Share::ALL
}

impl ForwardedRequest {
    /// Returns the input for the admission control of the target.
    pub fn admission_request(&self, now: Instant) -> AdmissionRequest {
        AdmissionRequest {
            rank: self.rank,
            objective: self.objective,
            deadline: now + self.remaining,
        }
    }

    /// Returns the input for the meter of the target.
    pub fn origin(&self) -> Origin {
        Origin { class: self.rank.into(), admitted: self.admitted, is_resend: self.is_resend }
    }
}
