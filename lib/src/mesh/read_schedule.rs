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
/// The number of nodes of a data centre that make an early first probe. If the reader is lost together
/// with nodes that come next, one of the others reads soon enough for a change to be in force in time.
const EARLY_PROBERS: usize = 8;
/// The time between the first probes of these nodes. The result of one reaches the others within it.
const EARLY_STAGGER: Duration = Duration::from_millis(40);
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
    probing_since: Option<Instant>,
    /// Whether the last read failed.
    has_failed: bool,
}

impl ReadSchedule {
    /// Returns whether the node is to read the platform now. Must be called repeatedly while the
    /// role lasts.
    pub fn is_due(&mut self, now: Instant, role: Role, place: Place) -> bool {
        match role {
            Role::Follower => {
                *self = Self::default();
                false
            }
            Role::Reader => self.next_probe.is_none_or(|at| at <= now),
            Role::Prober => {
                let since = *self.probing_since.get_or_insert(now);
                let first = match place.rank < EARLY_PROBERS {
                    true => since + times(EARLY_STAGGER, place.rank),
                    false => since + times(PROBE_STAGGER, place.rank),
                };
                *self.next_probe.get_or_insert(first) <= now
            }
        }
    }

    /// Returns when the next read is due, if that is known.
    pub fn next_read(&self) -> Option<Instant> {
        self.next_probe
    }

    /// Records a successful read; the next one is due after `interval`.
    pub fn record_success(&mut self, now: Instant, interval: Duration) {
        *self = Self { next_probe: Some(now + interval), ..Self::default() };
    }

    /// Records a failed read. The reader tries again at once, since one read may fail while the
    /// platform works, and then soon, since others wait for it; probers leave the next attempts to
    /// each other. Returns whether the read that failed was itself the second attempt.
    pub fn record_failure(&mut self, now: Instant, role: Role, place: Place) -> bool {
        let is_repeated = std::mem::replace(&mut self.has_failed, true);
        self.next_probe = Some(match role {
            Role::Prober => self.next_turn(now, place),
            Role::Reader | Role::Follower if !is_repeated => now,
            Role::Reader | Role::Follower => now + MIN_PROBE_PERIOD,
        });
        is_repeated
    }

    /// Returns the next turn of a prober. The turns of a data centre's nodes are `PROBE_STAGGER` apart.
    fn next_turn(&self, now: Instant, place: Place) -> Instant {
        let first = self.probing_since.unwrap_or(now) + times(PROBE_STAGGER, place.rank);
        if now < first {
            return first;
        }
        let period = times(PROBE_STAGGER, place.nodes).max(MIN_PROBE_PERIOD);
        let passed = (now - first).as_nanos() / period.as_nanos();
        first + times(period, usize::try_from(passed).unwrap_or(usize::MAX).saturating_add(1))
    }
}

fn times(duration: Duration, count: usize) -> Duration {
    duration.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
