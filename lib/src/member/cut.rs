//! Detects data centres that are cut off as a whole.
//!
//! A cut is a local observation and is never spread as a fact. VMs of a data centre that is cut off
//! are not declared dead, so nothing has to be refuted when the connection recovers: the first
//! message from any of them makes all of them usable again.

use {
    super::fact::Health,
    crate::{id, time::Instant},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How many different VMs of a data centre must fail, with no message from any, before it counts as
/// cut off.
pub(super) const MIN_FAILED_VMS: usize = 3;
/// The minimum time between two checks of the same data centre.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Evidence {
    failed: BTreeSet<id::Vm>,
    checked_at: Option<Instant>,
    cut_at: Option<Instant>,
}

/// The evidence for a cut, by data centre.
#[derive(Debug, Default)]
pub(super) struct Cuts {
    by_data_centre: BTreeMap<id::DataCentre, Evidence>,
}

impl Cuts {
    /// Records a VM that answered no probe. `size` is the number of VMs of the data centre that are
    /// not dead; a data centre with a single VM never counts as cut off.
    pub fn record_failure(
        &mut self,
        data_centre: &id::DataCentre,
        vm: &id::Vm,
        size: usize,
        now: Instant,
    ) {
        let evidence = self.by_data_centre.entry(data_centre.clone()).or_default();
        evidence.failed.insert(vm.clone());
        if size > 1
            && evidence.failed.len() >= size.min(MIN_FAILED_VMS)
            && evidence.cut_at.is_none()
        {
            evidence.cut_at = Some(now);
        }
    }

    /// Clears all evidence after a message from the data centre.
    pub fn clear(&mut self, data_centre: &id::DataCentre) {
        if let Some(evidence) = self.by_data_centre.get_mut(data_centre) {
            evidence.failed.clear();
            evidence.cut_at = None;
        }
    }

    /// Clears the evidence against data centres that do not count as cut off yet.
    pub fn clear_evidence(&mut self) {
        for evidence in
            self.by_data_centre.values_mut().filter(|evidence| evidence.cut_at.is_none())
        {
            evidence.failed.clear();
        }
    }

    /// Returns whether a check of the data centre is due, and if so records its start.
    pub fn start_check(&mut self, data_centre: &id::DataCentre, now: Instant) -> bool {
        let evidence = self.by_data_centre.entry(data_centre.clone()).or_default();
        let is_due = evidence.checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if evidence.cut_at.is_some() || !is_due {
            return false;
        }
        evidence.checked_at = Some(now);
        true
    }

    /// Returns whether the data centre is cut off.
    pub fn is_cut(&self, data_centre: &id::DataCentre) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(|evidence| evidence.cut_at.is_some())
    }

    /// Returns whether a VM with this health is reachable.
    pub fn is_reachable(&self, data_centre: &id::DataCentre, health: Health) -> bool {
        health != Health::Dead && !self.is_cut(data_centre)
    }

    /// Returns the data centres that are cut off.
    pub fn names(&self) -> Vec<id::DataCentre> {
        self.cuts().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the data centres that are cut off, with the time of detection.
    pub fn cuts(&self) -> impl Iterator<Item = (&id::DataCentre, Instant)> {
        self.by_data_centre.iter().filter_map(|(name, evidence)| Some((name, evidence.cut_at?)))
    }
}
