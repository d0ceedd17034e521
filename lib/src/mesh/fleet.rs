//! The targets of the deployment, derived from their published entries.
//!
//! An entry that is removed during or just after an outage of the platform may belong to a target
//! that is still alive, so it is kept for [`OUTAGE_GRACE`] after the platform has recovered. A
//! target may also be partitioned from the platform alone. Therefore the node on the VM of each
//! target whose entry was removed is asked, and the target is kept while that node vouches for it.
//!
//! An address belongs to one target at a time, the one that started last. An entry of another writer
//! may name a pool that the configuration does not know; it takes no address from a target of one
//! that it knows.
//!
//! A target that says in a response that it is leaving stays so for the rest of its incarnation,
//! whatever its entry says: the entry may be late, or come from a copy of the store.

use {
    super::{fact::Target, transfer},
    crate::{id, time::Instant},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// How long removed entries are kept after the platform has recovered from an outage. Live targets
/// renew their entries within about two seconds.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2_300);
/// How long a target whose entry was removed is kept until its node answers. Targets go on serving
/// for two seconds after the removal of their entry.
const REMOVAL_GRACE: Duration = Duration::from_millis(800);
/// How long a vouch by a target's node is valid. The node is asked again before it expires.
const VOUCH_TTL: Duration = Duration::from_millis(2_000);

/// How long an announcement is kept after it was made by a target that has no entry any more. An
/// entry that is older than the announcement may come back within this time.
const ANNOUNCEMENT_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// Since when this node has known that the target is leaving.
    leaving_since: Option<Instant>,
    /// Set if the published entry was removed: how long the target is kept.
    kept_until: Option<Instant>,
}

/// The announcement of an incarnation of a target that it is leaving.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started_at_ms: u64,
    announced_at: Instant,
}

/// The known targets of the deployment by name.
#[derive(Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<id::Vm, Entry>,
    departures: BTreeMap<id::Vm, Departure>,
    /// The pools that the configuration knows. Empty as long as there is none.
    pools: BTreeSet<id::Pool>,
    last_outage: Option<Instant>,
}

impl Fleet {
    /// Sets the pools that the configuration knows. Of the `listed` targets, those that lost their
    /// addresses to targets of unknown pools get them back.
    pub fn set_pools(&mut self, now: Instant, pools: BTreeSet<id::Pool>, listed: Vec<Target>) {
        self.pools = pools;
        for target in listed {
            let is_displaced = self.get(&target.name).is_none()
                && self.by_address(target.address).is_some_and(|other| !self.is_known(other));
            if is_displaced && self.is_known(&target) {
                self.put(now, target);
            }
        }
    }

    fn is_known(&self, target: &Target) -> bool {
        self.pools.contains(&target.pool)
    }

    /// Adds or replaces the entry of a target. It stays leaving if this incarnation announced that. It
    /// has no effect if the pool is unknown and the address belongs to a target of a known one.
    pub fn put(&mut self, now: Instant, mut target: Target) {
        let is_known = self.is_known(&target);
        let is_other =
            |other: &Target| other.address == target.address && other.name != target.name;
        if !is_known && self.iter().any(|other| is_other(other) && self.is_known(other)) {
            self.entries.remove(&target.name);
            return;
        }
        let departure = self.departures.get(&target.name).copied();
        let departure = departure.filter(|known| known.started_at_ms >= target.started_at_ms);
        if departure.is_none() {
            self.departures.remove(&target.name);
        }
        target.is_leaving |= departure.is_some();
        let same = self.entries.get(&target.name);
        let same = same.filter(|entry| entry.target.started_at_ms == target.started_at_ms);
        let known_since = same.and_then(|entry| entry.leaving_since);
        let known_since = known_since.or(departure.map(|known| known.announced_at));
        let leaving_since = target.is_leaving.then(|| known_since.unwrap_or(now));
        // The entry of an earlier instance may still be published for a while.
        let pools = &self.pools;
        self.entries.retain(|name, entry| {
            let is_later = entry.target.started_at_ms > target.started_at_ms;
            *name == target.name
                || entry.target.address != target.address
                || (is_later && pools.contains(&entry.target.pool) == is_known)
        });
        let entry = Entry { target, leaving_since, kept_until: None };
        self.entries.insert(entry.target.name.clone(), entry);
    }

    /// Records that a target said in a response that it is leaving. Returns whether it was not known
    /// to be leaving.
    pub fn record_departure(&mut self, now: Instant, name: &id::Vm) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let started_at_ms = entry.target.started_at_ms;
        let departure = Departure { started_at_ms, announced_at: now };
        self.departures.entry(name.clone()).or_insert(departure);
        entry.leaving_since.get_or_insert(now);
        !std::mem::replace(&mut entry.target.is_leaving, true)
    }

    /// Returns the announcements of targets that they are leaving.
    pub fn departures(&self, now: Instant) -> Vec<transfer::Departure> {
        let departures = self.departures.iter().map(|(name, departure)| transfer::Departure {
            target: name.clone(),
            started_at_ms: departure.started_at_ms,
            age_ms: (now - departure.announced_at).as_millis().try_into().unwrap_or(u64::MAX),
        });
        departures.collect()
    }

    /// Records a target's announcement that another node knows. Returns whether a target in use was
    /// not known to be leaving.
    pub fn merge_departure(
        &mut self,
        now: Instant,
        name: id::Vm,
        started_at_ms: u64,
        announced_at: Instant,
    ) -> bool {
        let entry = self.entries.get_mut(&name);
        let is_outdated = entry.as_ref().map_or_else(
            || now - announced_at >= ANNOUNCEMENT_RETENTION,
            |entry| entry.target.started_at_ms > started_at_ms,
        );
        if is_outdated {
            return false;
        }
        self.departures.entry(name).or_insert(Departure { started_at_ms, announced_at });
        let Some(entry) = entry else { return false };
        entry.leaving_since.get_or_insert(announced_at);
        !std::mem::replace(&mut entry.target.is_leaving, true)
    }

    /// Returns since when this node has known that a target is leaving.
    pub fn leaving_since(&self, name: &id::Vm) -> Option<Instant> {
        self.entries.get(name).and_then(|entry| entry.leaving_since)
    }

    /// Records that the entry of a target was removed. The target is kept for a grace period, in
    /// which its node is asked whether it is still alive.
    pub fn remove(&mut self, now: Instant, name: &id::Vm) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.kept_until = Some(now + REMOVAL_GRACE);
        }
    }

    /// Returns the targets that are kept although their entries were removed.
    pub fn missing(&self) -> impl Iterator<Item = &Target> {
        let missing = self.entries.values().filter(|entry| entry.kept_until.is_some());
        missing.map(|entry| &entry.target)
    }

    /// Records whether the node of a target without an entry vouches for it, which means that the
    /// target is alive, is not leaving and can't reach the platform.
    pub fn record_vouch(&mut self, now: Instant, name: &id::Vm, is_vouched: bool) {
        let Some(entry) = self.entries.get_mut(name).filter(|entry| entry.kept_until.is_some())
        else {
            return;
        };
        entry.kept_until = Some(if is_vouched { now + VOUCH_TTL } else { now });
    }

    /// Records that the platform could not be read at this time.
    pub fn record_outage(&mut self, now: Instant) {
        self.last_outage = self.last_outage.max(Some(now));
    }

    /// Returns when the platform could last not be read.
    pub fn last_outage(&self) -> Option<Instant> {
        self.last_outage
    }

    /// Drops removed entries whose grace period is over. Returns whether there were any.
    pub fn tick(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        // While an outage lasts, each failed read extends the grace period.
        let outage_end = self.last_outage.map(|at| at + OUTAGE_GRACE);
        self.entries.retain(|_, entry| {
            entry.kept_until.is_none_or(|until| now < until.max(outage_end.unwrap_or(until)))
        });
        let entries = &self.entries;
        self.departures.retain(|name, departure| {
            entries.contains_key(name) || now - departure.announced_at < ANNOUNCEMENT_RETENTION
        });
        before != self.entries.len()
    }

    /// Returns the target with this name.
    pub fn get(&self, name: &id::Vm) -> Option<&Target> {
        self.entries.get(name).map(|entry| &entry.target)
    }

    /// Returns all targets, including those kept after the removal of their entries.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target)
    }

    /// Returns the most recently started target at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&Target> {
        self.iter()
            .filter(|target| target.address == address)
            .max_by_key(|target| target.started_at_ms)
    }
}
