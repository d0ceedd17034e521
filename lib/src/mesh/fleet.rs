//! The targets that exist, as their entries tell.
//!
//! An entry that goes away while the platform can't be read or has just come back may belong to a
//! target that lives, so it is kept for [`RETURN_HOLD`] after the return. The same holds for the
//! entry of a target that is cut off from the platform alone, so the node beside each target whose
//! entry went away is asked, and the target is kept while that node vouches for it.

use {
    super::fact::Target,
    crate::{id, time::Instant},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// How long entries may stay away after the platform is back: targets that live renew theirs
/// within about two seconds.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2_300);
/// How long a target without an entry is kept until its node was asked. Targets serve on for two
/// seconds after their entry went away.
const DOUBT: Duration = Duration::from_millis(800);
/// How long the word of a target's node holds. It is asked again before that.
const VOUCHED: Duration = Duration::from_millis(2_000);

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    gone_until: Option<Instant>,
}

/// All targets of the deployment.
#[derive(Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<id::Vm, Entry>,
    outage_seen: Option<Instant>,
}

impl Fleet {
    /// Takes the entry of a target.
    pub fn put(&mut self, target: Target) {
        // One address belongs to one life. The entry of an earlier one may lie around for a while.
        self.entries.retain(|name, entry| {
            *name == target.name
                || entry.target.address != target.address
                || entry.target.started_at_ms > target.started_at_ms
        });
        self.entries.insert(target.name.clone(), Entry { target, gone_until: None });
    }

    /// Notes that an entry went away.
    pub fn remove(&mut self, now: Instant, name: &id::Vm) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.gone_until = Some(now + DOUBT);
        }
    }

    /// Returns the targets whose entries went away and that are kept for now.
    pub fn missing(&self) -> impl Iterator<Item = &Target> {
        let missing = self.entries.values().filter(|entry| entry.gone_until.is_some());
        missing.map(|entry| &entry.target)
    }

    /// Notes whether the node of a target without an entry vouches for it: that it lives, is not
    /// leaving and can't reach the platform.
    pub fn record_vouch(&mut self, now: Instant, name: &id::Vm, is_vouched: bool) {
        let Some(entry) = self.entries.get_mut(name).filter(|entry| entry.gone_until.is_some())
        else {
            return;
        };
        entry.gone_until = Some(if is_vouched { now + VOUCHED } else { now });
    }

    /// Notes that the platform could not be read just now.
    pub fn record_outage(&mut self, now: Instant) {
        self.outage_seen = Some(now);
    }

    /// Drops entries that stayed away. Returns whether there were any.
    pub fn tick(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        // An outage that goes on extends the hold.
        let until = self.outage_seen.map(|seen| seen + OUTAGE_GRACE);
        self.entries.retain(|_, entry| {
            entry.gone_until.is_none_or(|gone| now < gone.max(until.unwrap_or(gone)))
        });
        before != self.entries.len()
    }

    /// Returns a target.
    pub fn get(&self, name: &id::Vm) -> Option<&Target> {
        self.entries.get(name).map(|entry| &entry.target)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target)
    }

    /// Returns the newest target at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&Target> {
        self.iter()
            .filter(|target| target.address == address)
            .max_by_key(|target| target.started_at_ms)
    }
}
