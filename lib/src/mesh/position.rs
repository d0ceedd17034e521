//! Positions in the history of the platform's store.
//!
//! The store may be restored from a copy that is some seconds old. Revisions then go back and are
//! assigned again, so a revision only has a meaning within one era. See docs/design/platform.md.

use {
    crate::{time::Instant, unit::Revision},
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
};

/// How long after a restore a read of the document confirms nothing. The operator may have withdrawn
/// a key just before, and needs this time to write that document again.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);

/// The number of times that the store was restored from a copy.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.strip_prefix('e').unwrap_or(text).parse().map(Self)
    }
}

/// A revision of the store in one of its eras. All positions of an era are later than those of
/// earlier eras.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision in this era.
    pub revision: Revision,
}

impl Position {
    /// Creates the position of a revision in an era.
    pub const fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// The latest era of the store that a node knows of, and since when.
#[derive(Debug, Default)]
pub struct EraTracker {
    current: Option<Era>,
    /// When the node learnt that the store was restored, unless it knows only one era.
    restored_at: Option<Instant>,
}

impl EraTracker {
    /// Records the era of an answer. Returns whether the store was restored since the last one.
    pub fn record(&mut self, now: Instant, era: Era) -> bool {
        let is_restored = self.current.is_some_and(|current| current < era);
        if is_restored {
            self.restored_at = Some(now);
        }
        self.current = self.current.max(Some(era));
        is_restored
    }

    /// Returns whether a read of the current document in `era`, requested at this time, shows that
    /// no later document was acknowledged.
    pub fn is_conclusive(&self, requested_at: Instant, era: Era) -> bool {
        let has_settled = |at: Instant| requested_at >= at + SETTLING_TIME;
        self.current.is_none_or(|current| current <= era)
            && self.restored_at.is_none_or(has_settled)
    }
}
