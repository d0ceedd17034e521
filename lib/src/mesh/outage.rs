//! Whether the platform is down, judged by the reads of this node and the confirmations of its peers.
//!
//! A read that fails says little about the platform: a waiting watch may be cut, its history may be
//! compacted, a connection may be reset, a response may be lost, and the platform may turn this node
//! away for a moment or alone. The platform counts as down only if a read fails after nobody has
//! had a response for [`DOWN_AFTER`]. See docs/design/beliefs.md.

use {crate::time::Instant, std::time::Duration};

/// How long nobody may have had a response until a failed read means that the platform is down. The
/// entry of a live target lapses after three missed heartbeats, so shorter outages lapse none. A
/// node that reads the platform notices by two reads that time out in a row, but not by one.
pub const DOWN_AFTER: Duration = Duration::from_millis(2_500);

/// Detects outages of the platform.
#[derive(Debug, Default)]
pub struct Detector {
    /// The last known response of the platform to any node. Before the first one, the first failed
    /// read.
    silent_since: Option<Instant>,
    /// The last failed read, while the platform counts as down.
    down_at: Option<Instant>,
}

impl Detector {
    /// Records that the platform responded to this node or to a peer at this time. Returns whether an
    /// outage has ended.
    pub fn record_response(&mut self, at: Instant) -> bool {
        self.silent_since = self.silent_since.max(Some(at));
        self.down_at.take_if(|down_at| at > *down_at).is_some()
    }

    /// Records that a read of this node failed. Returns whether an outage has begun.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let silent_since = *self.silent_since.get_or_insert(now);
        now - silent_since >= DOWN_AFTER && self.down_at.replace(now).is_none()
    }

    /// Returns whether the platform counts as down.
    pub fn is_down(&self) -> bool {
        self.down_at.is_some()
    }
}
