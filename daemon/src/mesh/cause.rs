//! Why nobody knows whether a request ran.

use {
    monsoon_lib::call::Reason,
    serde::{Deserialize, Serialize},
};

/// Why the outcome of a request is unknown.
///
/// Postcard encodes variants by position, so their order is part of the format between nodes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cause {
    /// The connection to the target broke, or its response could not be read.
    TargetBroke,
    /// The target did not respond before the deadline.
    TargetDeadline,
    /// The link to the target's node broke.
    LinkBroke,
    /// The target's node was silent for so long that the link was given up.
    LinkTimeout,
    /// The response belongs to another request, or is not a valid response of a target.
    MismatchedResponse,
    /// None of the other causes.
    Other,
    /// Answers that other callers have not read fill the memory for the target's answer.
    NoRoom,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 7] = [
        Self::TargetBroke,
        Self::TargetDeadline,
        Self::LinkBroke,
        Self::LinkTimeout,
        Self::MismatchedResponse,
        Self::Other,
        Self::NoRoom,
    ];

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TargetBroke => "target-broke",
            Self::TargetDeadline => "target-deadline",
            Self::LinkBroke => "link-broke",
            Self::LinkTimeout => "link-timeout",
            Self::MismatchedResponse => "mismatched-response",
            Self::Other => "other",
            Self::NoRoom => "no-room",
        }
    }

    /// Returns the reason that callers and nodes of earlier versions are given.
    pub const fn reason(self) -> Reason {
        match self {
            Self::TargetDeadline | Self::NoRoom => Reason::Deadline,
            _ => Reason::Broken,
        }
    }

    /// Returns the most likely cause for a reason given by the target's node.
    pub const fn of_reason(reason: Reason) -> Self {
        match reason {
            Reason::Deadline => Self::TargetDeadline,
            Reason::Broken => Self::TargetBroke,
            _ => Self::Other,
        }
    }
}
