//! When a node reads the platform itself, and when it leaves that to its peers.
//!
//! In each data centre one node reads for all. If it can't, or if nobody has news of the platform,
//! the nodes of the data centre probe the platform in turn, so that the load on a failing platform
//! depends on the number of data centres and not on the number of nodes.

use {
    crate::time::Instant,
    std::{fmt, time::Duration},
};

/// The time between the probes of two nodes of a data centre. It adds to the time until the end of
/// an outage is noticed.
const PROBE_STAGGER: Duration = Duration::from_millis(300);
/// The shortest time between two probes of one node.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(600);

/// The place of a node among those of its data centre, by address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// The number of usable nodes with lower addresses.
    pub rank: usize,
    /// The number of usable nodes, including this one.
    pub nodes: usize,
}

/// Why a node may read the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The node reads for its data centre.
    Reader,
    /// Nobody in the data centre is known to read the platform successfully.
    Prober,
    /// Another node reads for this one.
    Follower,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reader => "reader",
            Self::Prober => "prober",
            Self::Follower => "follower",
        })
    }
}

/// The times of a node's reads of the platform.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    next_probe: Option<Instant>,
}

impl ReadSchedule {
    /// Returns whether the node is to read the platform now. Must be called repeatedly while the
    /// role lasts.
    pub fn is_due(&mut self, now: Instant, role: Role, place: Place) -> bool {
        match role {
            Role::Follower => {
                self.next_probe = None;
                false
            }
            Role::Reader => self.next_probe.is_none_or(|at| at <= now),
            Role::Prober => {
                let first = now + PROBE_STAGGER * u32::try_from(place.rank).unwrap_or(u32::MAX);
                *self.next_probe.get_or_insert(first) <= now
            }
        }
    }

    /// Records a successful read; the next one is due after `interval`.
    pub fn record_success(&mut self, now: Instant, interval: Duration) {
        self.next_probe = Some(now + interval);
    }

    /// Records a failed read. The reader tries again soon, since others wait for it; probers leave the
    /// next attempts to each other.
    pub fn record_failure(&mut self, now: Instant, role: Role, place: Place) {
        let turn = PROBE_STAGGER * u32::try_from(place.nodes).unwrap_or(u32::MAX);
        let wait = match role {
            Role::Prober => turn.max(MIN_PROBE_PERIOD),
            Role::Reader | Role::Follower => MIN_PROBE_PERIOD,
        };
        self.next_probe = Some(now + wait);
    }
}
