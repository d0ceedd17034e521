//! Simulates the platform: published values, a list of VMs, and faults.

use {
    monsoon_lib::{
        config::{Difference, Value},
        member,
        table::{Builder, Set},
        time::Instant,
        unit::Revision,
    },
    std::collections::BTreeMap,
};

pub struct Platform {
    pub vms: Vec<member::Vm>,
    pub is_down: bool,
    pub stale_at: Option<Revision>,
    pub limit: Option<u64>,
    /// Differences from earlier revisions are no longer available.
    pub compacted_to: Revision,
    /// The last time at which a fault began or ended.
    pub last_fault_at: Instant,
    /// The number of reads in each second.
    pub reads: BTreeMap<u64, u64>,
    revision: Revision,
    log: Vec<Value>,
    sets: BTreeMap<Revision, Option<Set>>,
}

impl Platform {
    pub fn new(vms: Vec<member::Vm>) -> Self {
        Self {
            vms,
            is_down: false,
            stale_at: None,
            limit: None,
            compacted_to: Revision(0),
            last_fault_at: Instant::ZERO,
            reads: BTreeMap::new(),
            revision: Revision(0),
            log: Vec::new(),
            sets: BTreeMap::new(),
        }
    }

    /// Publishes a batch of changes at one revision.
    pub fn publish(&mut self, changes: &[(String, Option<String>)]) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        let revision = self.revision;
        let value = |(name, text): &(String, Option<String>)| Value {
            name: name.clone(),
            revision,
            text: text.clone(),
        };
        self.log.extend(changes.iter().map(value));
        revision
    }

    /// Ends all faults.
    pub fn heal(&mut self, now: Instant) {
        self.is_down = false;
        self.stale_at = None;
        self.limit = None;
        self.last_fault_at = now;
    }

    pub fn is_healthy(&self) -> bool {
        !self.is_down && self.stale_at.is_none() && self.limit.is_none()
    }

    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision that readers see.
    pub fn visible_revision(&self) -> Revision {
        self.stale_at.map_or(self.revision, |stale| stale.min(self.revision))
    }

    /// Counts a read and returns whether it exceeds the limit.
    pub fn count(&mut self, now: Instant) -> bool {
        let reads = self.reads.entry(now.as_nanos() / 1_000_000_000).or_default();
        *reads += 1;
        self.limit.is_some_and(|limit| *reads > limit)
    }

    pub fn worst_second(&self) -> u64 {
        self.reads.values().copied().max().unwrap_or(0)
    }

    pub fn total_reads(&self) -> u64 {
        self.reads.values().sum()
    }

    fn latest(&self, revision: Revision) -> BTreeMap<&str, &Value> {
        let seen = self.log.iter().filter(|value| value.revision <= revision);
        seen.map(|value| (value.name.as_str(), value)).collect()
    }

    /// Returns the set of tables of a revision, or none if it does not validate.
    pub fn set_at(&mut self, revision: Revision) -> Option<&Set> {
        if !self.sets.contains_key(&revision) {
            let mut builder = Builder::new();
            for (name, value) in self.latest(revision) {
                if let Some(text) = &value.text {
                    builder.add_value(name, text);
                }
            }
            let set = builder.finish(revision).ok();
            self.sets.insert(revision, set);
        }
        self.sets.get(&revision)?.as_ref()
    }

    pub fn read(&self, after: Revision) -> Difference {
        let revision = self.visible_revision();
        let latest = self.latest(revision);
        let reset = after < self.compacted_to;
        let is_whole = reset || after == Revision(0);
        let is_wanted = |value: &&&Value| {
            if is_whole { value.text.is_some() } else { value.revision > after }
        };
        let values = latest.values().filter(is_wanted).map(|value| (*value).clone()).collect();
        Difference { revision, reset, values }
    }
}
