//! One request as the nodes see it, and what its caller is told.
//!
//! A body never enters the model. The driver keeps bodies by [`id::Call`] and tells the model only
//! their digests. The truth of refusals is described in docs/design/outcome.md.

use {
    crate::{id, once, table::Class},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, time::Duration},
};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is proved that no byte of the request reached a target, or the target itself declared
    /// that it did not run it.
    NotRun,
    /// The request may have run, once.
    Unknown,
}

impl Outcome {
    /// Returns the name used towards callers.
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

/// Why a request got no answer from a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// The key is missing, unknown or withdrawn. The caller is not told which.
    Key,
    /// The request is not well formed.
    Malformed,
    /// The body is over the bound.
    TooLarge,
    /// The node has no tables yet, or they are too old to be trusted with keys.
    NoTables,
    /// The account is over its rate and burst.
    Rate,
    /// A pool on the way has no room for this class and account.
    Overload,
    /// The deadline passed, or too little of it is left.
    Deadline,
    /// The caller went away.
    Cancelled,
    /// No target of the pool can be reached.
    NoTarget,
    /// The node or the target is leaving.
    Leaving,
    /// The link to the target or to its node broke.
    Broken,
    /// The request crashed targets before.
    Crasher,
    /// A request with the same idempotency key is still running, or its result is not known.
    Duplicate,
    /// The idempotency key was used with another request.
    KeyReuse,
    /// The call context is forged, stale or foreign.
    Context,
    /// The chain of calls is deeper than allowed.
    Depth,
}

impl Reason {
    /// Returns the name used towards callers, in dumps and in metrics.
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
        }
    }

    /// All reasons.
    pub const ALL: [Self; 17] = [
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
    ];

    /// Tells whether a resend to another target can help where the request did not run.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Overload | Self::NoTarget | Self::Leaving | Self::Broken)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text is not the name of a reason.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown reason {0:?}")]
pub struct ReasonError(String);

impl FromStr for Reason {
    type Err = ReasonError;

    fn from_str(text: &str) -> Result<Self, ReasonError> {
        let found = Self::ALL.into_iter().find(|reason| reason.as_str() == text);
        found.ok_or_else(|| ReasonError(text.into()))
    }
}

/// A request that got no answer from a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why there is no answer.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// When another try makes sense, if one ever does.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request of which no byte reached a target.
    pub const fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Gives up on a request that may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Adds the time after which another try makes sense.
    pub const fn after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }
}

/// What goes down the chain with a request, without a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The root request that this call is part of.
    pub request: id::Request,
    /// The account that pays, or none on a route open to all.
    pub account: Option<id::Account>,
    /// The route that the call takes.
    pub route: id::Route,
    /// The pool that serves the route.
    pub pool: id::Pool,
    /// The class, never less urgent than the root request's.
    pub class: Class,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// The time left until the root request's deadline.
    pub remaining: Duration,
    /// Further attempts that this call and all calls below it may make together.
    pub retries: u8,
    /// The number of calls above this one.
    pub depth: u8,
    /// Identifies equal requests of one account: a hash of account, method, path and body.
    pub fingerprint: u64,
    /// The right to run a request with an idempotency key, where it has one.
    pub claim: Option<once::Claim>,
}
