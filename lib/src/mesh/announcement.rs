//! What targets say about themselves in their responses.
//!
//! A target may know better than its published entry, and it is heard by nodes that are cut off from
//! the platform. See docs/design/platform.md.

use crate::unit::RequestRate;

/// The limit on its requests per second, from all nodes together, that a target names in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// The target names no limit, so an earlier one no longer holds.
    #[default]
    None,
    /// The target takes this many requests per second.
    Rate(RequestRate),
    /// The limit can't be understood, so that what was known before holds.
    Malformed,
}

/// What a target says about itself in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// Whether the target is leaving, so that it gets no new requests.
    pub is_leaving: bool,
    /// How many requests per second the target takes.
    pub limit: Limit,
}
