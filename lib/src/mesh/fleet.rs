//! The targets of the deployment, derived from their published entries.
//!
//! An entry that is removed during or just after an outage of the platform may belong to a target
//! that is still alive, so it is kept for [`OUTAGE_GRACE`] after the platform has recovered. A
//! target may also be partitioned from the platform alone. Therefore the node on the VM of each
//! target whose entry was removed is asked, and the target is kept while that node vouches for it.

use {
    super::fact::Target,
    crate::{id, time::Instant},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// How long removed entries are kept after the platform has recovered from an outage. Live targets
/// renew their entries within about two seconds.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2_300);
/// How long a target whose entry was removed is kept until its node answers. Targets go on serving
/// for two seconds after the removal of their entry.
const REMOVAL_GRACE: Duration = Duration::from_millis(800);
/// How long a vouch by a target's node is valid. The node is asked again before it expires.
const VOUCH_TTL: Duration = Duration::from_millis(2_000);

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// Set if the published entry was removed: how long the target is kept.
    kept_until: Option<Instant>,
}

/// The known targets of the deployment by name.
#[derive(Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<id::Vm, Entry>,
    last_outage: Option<Instant>,
}

impl Fleet {
    /// Adds or replaces the entry of a target.
    pub fn put(&mut self, target: Target) {
        // An address belongs to one instance at a time. The entry of an earlier instance may still
        // be published for a while.
        self.entries.retain(|name, entry| {
            *name == target.name
                || entry.target.address != target.address
                || entry.target.started_at_ms > target.started_at_ms
        });
        self.entries.insert(target.name.clone(), Entry { target, kept_until: None });
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
