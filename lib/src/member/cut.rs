//! Data centres that do not answer as a whole.
//!
//! A cut is this node's own finding and is never spread as a fact. While a data centre is cut off,
//! its VMs are not declared dead, so that there is nothing to refute when the cut heals: the first
//! message from any of them makes all usable again.

use {
    super::fact::Health,
    crate::{id, time::Instant},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How many different VMs of a data centre must fail, with no message from any, to call it cut off.
pub(super) const MIN_FAILED_VMS: usize = 3;
/// The shortest time between two checks of one data centre.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Evidence {
    failed: BTreeSet<id::Vm>,
    checked_at: Option<Instant>,
    cut_at: Option<Instant>,
}

/// The evidence against each data centre.
#[derive(Debug, Default)]
pub(super) struct Cuts {
    by_data_centre: BTreeMap<id::DataCentre, Evidence>,
}

impl Cuts {
    /// Counts a VM that answered no probe. `size` is the number of VMs of the data centre that are
    /// not dead; a data centre of one VM is never called cut off.
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

    /// Drops all evidence, because something of the data centre answered.
    pub fn clear(&mut self, data_centre: &id::DataCentre) {
        if let Some(evidence) = self.by_data_centre.get_mut(data_centre) {
            evidence.failed.clear();
            evidence.cut_at = None;
        }
    }

    /// Drops all evidence that does not amount to a cut yet.
    pub fn clear_evidence(&mut self) {
        for evidence in
            self.by_data_centre.values_mut().filter(|evidence| evidence.cut_at.is_none())
        {
            evidence.failed.clear();
        }
    }

    /// Tells whether it is time to check the data centre, and counts the check.
    pub fn start_check(&mut self, data_centre: &id::DataCentre, now: Instant) -> bool {
        let evidence = self.by_data_centre.entry(data_centre.clone()).or_default();
        let is_due = evidence.checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if evidence.cut_at.is_some() || !is_due {
            return false;
        }
        evidence.checked_at = Some(now);
        true
    }

    /// Tells whether the data centre is cut off.
    pub fn is_cut(&self, data_centre: &id::DataCentre) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(|evidence| evidence.cut_at.is_some())
    }

    /// Tells whether a VM can be reached.
    pub fn is_reachable(&self, data_centre: &id::DataCentre, health: Health) -> bool {
        health != Health::Dead && !self.is_cut(data_centre)
    }

    /// Returns the data centres that are cut off.
    pub fn names(&self) -> Vec<id::DataCentre> {
        self.cuts().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the data centres that are cut off, and since when.
    pub fn cuts(&self) -> impl Iterator<Item = (&id::DataCentre, Instant)> {
        self.by_data_centre.iter().filter_map(|(name, evidence)| Some((name, evidence.cut_at?)))
    }
}
