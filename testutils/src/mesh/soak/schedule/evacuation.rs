//! Evacuations of zones, written to the store by the operator.

use {
    super::{Driver, Event},
    std::{collections::BTreeSet, time::Instant},
};

/// How long an evacuation lasts, in milliseconds. It has to be longer than the time within which
/// nodes comply, which is 5 s.
const EVACUATION_MS: std::ops::Range<u64> = 6_000..11_000;

fn key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

impl Driver {
    /// Evacuates the zone of a machine.
    pub(super) fn evacuate(&mut self, machine: usize) {
        let zone = self.deployment.machines[machine].zone.clone();
        if !self.evacuated.insert(zone.clone()) {
            return;
        }
        let length = self.random_millis(EVACUATION_MS);
        self.record(&format!("zone {zone} is evacuated for {length:?}"));
        self.write_evacuation(&zone);
        self.schedule(length, Event::TakeBack(zone));
    }

    fn write_evacuation(&self, zone: &str) {
        self.deployment.store.write(&key(zone), Some(b"{}"));
        self.shared.audit.borrow_mut().evacuations.begin(Instant::now(), zone);
    }

    /// Takes the evacuation of a zone back. Its servers are mostly cold then.
    pub(super) fn take_back(&mut self, zone: &str) {
        self.record(&format!("evacuation of {zone} is taken back"));
        self.evacuated.remove(zone);
        self.shared.audit.borrow_mut().evacuations.end(Instant::now(), zone);
        self.deployment.store.write(&key(zone), None);
        if !self.plan.is_cold_enabled {
            return;
        }
        for machine in 0..self.links.len() {
            if self.deployment.machines[machine].zone == zone {
                self.chill(machine);
            }
        }
    }

    /// Stops the check of all evacuations, since the store is about to lose its last writes.
    pub(super) fn lose_evacuations(&mut self) {
        let mut audit = self.shared.audit.borrow_mut();
        for zone in &self.evacuated {
            audit.evacuations.end(Instant::now(), zone);
        }
    }

    /// Writes the keys of all zones as they should be, after the store was restored from a copy.
    pub(super) fn write_evacuations_again(&mut self) {
        if !self.plan.is_evacuation_enabled {
            return;
        }
        let zones: BTreeSet<String> =
            self.deployment.machines.iter().map(|machine| machine.zone.clone()).collect();
        for zone in zones {
            match self.evacuated.contains(&zone) {
                true => self.write_evacuation(&zone),
                false => self.deployment.store.write(&key(&zone), None),
            }
        }
    }
}
