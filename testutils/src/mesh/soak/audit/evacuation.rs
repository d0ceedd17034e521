//! Checks that nothing reaches the servers of an evacuated zone. See part 4 of
//! docs/design/uneven-load.md.

use {
    super::disturbance,
    std::time::{Duration, Instant},
};

/// The most time from the store's answer to the operator until nothing more is sent to the servers
/// of the zone (`evac_ms`).
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Evacuation {
    zone: String,
    from: Instant,
    until: Option<Instant>,
}

/// The evacuations of a soak.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    evacuations: Vec<Evacuation>,
}

impl Audit {
    /// Records that the key of a zone was written to the store, possibly again.
    pub fn begin(&mut self, at: Instant, zone: &str) {
        self.end(at, zone);
        self.evacuations.push(Evacuation { zone: zone.into(), from: at, until: None });
    }

    /// Records that the store has the key of a zone no more.
    pub fn end(&mut self, at: Instant, zone: &str) {
        let open = |other: &&mut Evacuation| other.zone == zone && other.until.is_none();
        if let Some(evacuation) = self.evacuations.iter_mut().find(open) {
            evacuation.until = Some(at);
        }
    }

    /// Checks the arrival times of the requests at the server of each machine, in the zone that
    /// comes with them. A node that can't read the store need not comply until it can, since full
    /// outages have no bound.
    pub fn check(
        &self,
        disturbances: &disturbance::Log,
        machines: &[(String, Vec<Instant>)],
    ) -> Vec<String> {
        let mut violations = Vec::new();
        for evacuation in &self.evacuations {
            let in_zone =
                machines.iter().enumerate().filter(|(_, (zone, _))| *zone == evacuation.zone);
            for (machine, (_, arrivals)) in in_zone {
                let limit = EVACUATION_LIMIT;
                let Some(from) = disturbances.binds_from(machine, evacuation.from, limit) else {
                    continue;
                };
                let is_wrong = |at: &&Instant| {
                    **at > from && evacuation.until.is_none_or(|until| **at < until)
                };
                let late: Vec<&Instant> = arrivals.iter().filter(is_wrong).collect();
                if let Some(first) = late.iter().min() {
                    violations.push(format!(
                        "{} requests reached m{machine} after the evacuation of its zone, the \
                         first {:?} after it",
                        late.len(),
                        **first - evacuation.from
                    ));
                }
            }
        }
        violations
    }
}
