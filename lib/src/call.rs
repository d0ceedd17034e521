//! Requests as passed between nodes, and their outcomes as reported to callers.
//!
//! The model never holds bodies. The driver stores them by [`id::Call`] and passes only their
//! digests to the model. docs/design/outcome.md describes what a refusal guarantees.

use {
    crate::{id, once, table::Class},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, time::Duration},
};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run: no byte of it reached a target, or the target declared that it did
    /// not run it.
    NotRun,
    /// The request may have run, at most once.
    Unknown,
}

impl Outcome {
    /// Returns the name used in responses to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// The key is missing, unknown or withdrawn. Callers cannot distinguish these cases.
    Key,
    /// The request is malformed.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The node has no tables yet, or its keys are too old to be trusted.
    NoTables,
    /// The account has exceeded its rate and burst.
    Rate,
    /// A pool on the path of the call has no capacity for this class and account.
    Overload,
    /// The deadline has passed, or too little time is left.
    Deadline,
    /// The caller disconnected.
    Cancelled,
    /// No target of the pool is reachable.
    NoTarget,
    /// The node or the target is leaving.
    Leaving,
    /// The link to the target or to its node broke.
    Broken,
    /// Requests with the same fingerprint have crashed targets.
    Crasher,
    /// A request with the same idempotency key is still running, or its result is unknown.
    Duplicate,
    /// The idempotency key was used with a different request.
    KeyReuse,
    /// The call context is forged, expired or from another node.
    Context,
    /// The chain of nested calls is too deep.
    Depth,
    /// The operator has evacuated the data centre of the target. Nodes of earlier versions do not
    /// know this reason, so they are told [`Reason::NoTarget`].
    Evacuated,
}

impl Reason {
    /// Returns the name used in responses to callers, in dumps and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::Key => "key",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::NoTables => "no-tables",
            Self::Rate => "rate",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::NoTarget => "no-target",
            Self::Leaving => "leaving",
            Self::Broken => "broken",
            Self::Crasher => "crasher",
            Self::Duplicate => "duplicate",
            Self::KeyReuse => "key-reuse",
            Self::Context => "context",
            Self::Depth => "depth",
            Self::Evacuated => "evacuated",
        }
    }

    /// All reasons.
    pub const ALL: [Self; 18] = [
        Self::NoRoute,
        Self::Key,
        Self::Malformed,
        Self::TooLarge,
        Self::NoTables,
        Self::Rate,
        Self::Overload,
        Self::Deadline,
        Self::Cancelled,
        Self::NoTarget,
        Self::Leaving,
        Self::Broken,
        Self::Crasher,
        Self::Duplicate,
        Self::KeyReuse,
        Self::Context,
        Self::Depth,
        Self::Evacuated,
    ];

    /// Returns whether a request that did not run may succeed on another target.
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Overload | Self::NoTarget | Self::Leaving | Self::Broken | Self::Evacuated
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An unknown reason name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown reason {0:?}")]
pub struct ReasonError(String);

impl FromStr for Reason {
    type Err = ReasonError;

    fn from_str(text: &str) -> Result<Self, ReasonError> {
        let reason = Self::ALL.into_iter().find(|reason| reason.as_str() == text);
        reason.ok_or_else(|| ReasonError(text.into()))
    }
}

/// The refusal of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// How long to wait before a retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Sets the time to wait before a retry.
    pub const fn after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }
}

/// The routing data that a node forwards with a request. It contains no key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The root request that this call is part of.
    pub request: id::Request,
    /// The account that is charged, or `None` on an open route.
    pub account: Option<id::Account>,
    /// The route of the call.
    pub route: id::Route,
    /// The pool that serves the route.
    pub pool: id::Pool,
    /// The class, never of lower priority than the root request's.
    pub class: Class,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// The time left until the call's deadline, which is never later than the root request's.
    pub remaining: Duration,
    /// The retries that this call and all its nested calls may use in total.
    pub retries: u8,
    /// The nesting depth: 0 for a root request, one more than the parent's for a nested call.
    pub depth: u8,
    /// Identifies equal requests of one account: a hash of account, route, method, path, query and
    /// body.
    pub fingerprint: u64,
    /// The permission to run the request, if it has an idempotency key.
    pub claim: Option<once::Claim>,
}
