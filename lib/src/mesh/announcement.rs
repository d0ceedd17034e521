//! What targets say about themselves in their responses.
//!
//! A target may know better than its published entry, and it is heard by nodes that are cut off from
//! the platform. See docs/design/platform.md.

/// What a target says about itself in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// Whether the target is leaving, so that it gets no new requests.
    pub is_leaving: bool,
}
