//! What nodes learn only from each other, because the platform does not publish it.
//!
//! Crashes of targets and the departures that targets announced are kept in the memory of processes
//! that are replaced in turn. A node that starts asks peers for them before it gets tables, and each node
//! asks a random peer now and then for what it missed. See docs/design/beliefs.md.

use {
    super::node::Node,
    crate::{crash, id, time::Instant},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashSet,
        hash::{Hash as _, Hasher as _},
        net::IpAddr,
        time::Duration,
    },
};

/// A request for what the sender does not know yet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// The digests of the crashes and departures that the sender knows.
    pub known: Vec<u64>,
}

/// The announcement of a target that it is leaving, as sent between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// The name of the target.
    pub target: id::Vm,
    /// The start of the incarnation that announced it, in milliseconds of the wall clock.
    pub started_at_ms: u64,
    /// The time since the announcement when the message was created, in milliseconds.
    pub age_ms: u64,
}

impl Departure {
    fn digest(&self) -> u64 {
        let mut hash = siphasher::sip::SipHasher13::new();
        (self.target.as_str(), self.started_at_ms).hash(&mut hash);
        hash.finish()
    }
}

/// What the sender of a [`Query`] lacks, as far as the responder knows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Whether the responder has caught up itself. If not, it may know less than other nodes.
    pub is_caught_up: bool,
    /// Crashes that the sender does not know, or not with all suspects that were cleared.
    pub crashes: Vec<crash::Crash>,
    /// Departures that the sender does not know.
    pub departures: Vec<Departure>,
}

/// The numbers of peers that a starting node asks at a time. It asks the next ones if none of them
/// has caught up, as after a restart of many nodes at once.
const BATCHES: [usize; 2] = [3, 6];

/// How far a starting node has come in asking its peers.
#[derive(Debug, Default)]
pub struct CatchUp {
    asked: HashSet<IpAddr>,
    batches: usize,
}

impl CatchUp {
    /// Returns the peers to ask next, or none if all that may be asked were asked. `hosts` are the
    /// known peers in a random order, since those that come first in any other may be restarted at the
    /// same time.
    pub fn next_batch(&mut self, hosts: &[IpAddr]) -> Vec<IpAddr> {
        let Some(size) = BATCHES.get(self.batches) else { return Vec::new() };
        let others = hosts.iter().filter(|host| !self.asked.contains(host));
        let batch: Vec<IpAddr> = others.take(*size).copied().collect();
        self.batches += usize::from(!batch.is_empty());
        self.asked.extend(&batch);
        batch
    }

    /// Returns whether no further peers are asked.
    pub fn is_exhausted(&self) -> bool {
        self.batches == BATCHES.len()
    }
}

impl Node {
    /// Records that this node has just started and may know less than its peers.
    pub fn begin_catch_up(&mut self) {
        self.is_caught_up = false;
    }

    /// Records that peers were asked for what they know, or that there are none to ask.
    pub fn finish_catch_up(&mut self) {
        self.is_caught_up = true;
    }

    /// Returns the query for what this node does not know.
    pub fn transfer_query(&self, now: Instant) -> Query {
        let departures = self.fleet.departures(now);
        let departures = departures.iter().map(Departure::digest);
        Query { known: self.crash_tracker.digests().chain(departures).collect() }
    }

    /// Returns what the sender of a query does not know.
    pub fn transfer_snapshot(&self, now: Instant, query: &Query) -> Snapshot {
        let known: HashSet<u64> = query.known.iter().copied().collect();
        let departures = self.fleet.departures(now).into_iter();
        Snapshot {
            is_caught_up: self.is_caught_up,
            crashes: self.crash_tracker.missing_from(now, &known),
            departures: departures.filter(|d| !known.contains(&d.digest())).collect(),
        }
    }

    /// Merges what a peer knows.
    pub fn apply_transfer(&mut self, now: Instant, snapshot: Snapshot) {
        self.crash_tracker.merge(now, snapshot.crashes);
        let mut has_changes = false;
        for departure in snapshot.departures {
            let announced_at = now - Duration::from_millis(departure.age_ms);
            let Departure { target, started_at_ms, .. } = departure;
            has_changes |= self.fleet.merge_departure(now, target, started_at_ms, announced_at);
        }
        if has_changes {
            self.refresh(now);
        }
    }
}
