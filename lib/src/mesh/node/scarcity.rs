//! How a node measures the load of its target, learns the loads of pools below and refuses client
//! requests that these cannot carry. It does nothing unless the settings enable it.

use {
    super::{AttemptResult, Call, Node},
    crate::{
        id,
        mesh::{
            demand::{Arrival, Limits, Origin},
            gate::Decision,
            lineage::Lineage,
            scarcity::{self, Change, Class, Path, PoolLoad, PoolState, Scarcest},
        },
        pressure::Share,
        time::Instant,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How a run on the local target ended, for the meter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run took this time, whether or not it gave an answer.
    Ran(Duration),
    /// The target declined the call as not run.
    Declined,
}

impl Node {
    /// Records what the gate decided on a call that arrived.
    pub fn record_arrival(&mut self, now: Instant, origin: &Origin, decision: Decision) {
        if !self.settings.is_entry_admission_enabled {
            return;
        }
        let arrival = match decision {
            Decision::Run => Arrival::Started,
            Decision::Queued(_) => Arrival::Queued,
            Decision::Refused(_) => Arrival::Refused,
        };
        self.meter.record_arrival(now, origin, arrival);
    }

    /// Records the end of a run on the local target.
    pub fn record_run_end(&mut self, now: Instant, origin: &Origin, end: RunEnd) {
        if !self.settings.is_entry_admission_enabled {
            return;
        }
        match end {
            RunEnd::Ran(hold) => self.meter.record_end(now, origin, hold),
            RunEnd::Declined => self.meter.record_decline(now),
        }
    }

    /// Returns the loads that are reported with the response to a call on the given route: that of
    /// the local target and those of the pools below, where they are under pressure.
    pub fn reported_loads(&mut self, now: Instant, route: Option<&id::Route>) -> Vec<PoolLoad> {
        if !self.settings.is_entry_admission_enabled {
            return Vec::new();
        }
        let limits = self.limits(now);
        let own = self.meter.load(now, limits);
        let mut loads = route.map_or(Vec::new(), |route| self.tracker.loads_below(now, route));
        if own.is_under_pressure() {
            let pool = self.settings.pool.clone();
            loads.retain(|load| load.pool != pool);
            loads.push(PoolLoad { pool, load: own.clone() });
            scarcity::limit_loads(&mut loads);
        }
        loads
    }

    /// Records the loads that came with the response to an attempt.
    pub fn record_reported_loads(
        &mut self,
        now: Instant,
        call: &Call,
        result: AttemptResult,
        loads: &[PoolLoad],
    ) {
        if self.settings.is_entry_admission_enabled {
            let path = Path { route: &call.route.name, pool: &call.pool };
            let has_run = matches!(result, AttemptResult::Answered { .. });
            self.tracker.record_response(now, path, loads, has_run);
        }
    }

    /// Finds the route of a request from another node, which does not state it.
    pub fn find_route(&self, host: &str, path: &str) -> Option<id::Route> {
        self.table.as_ref()?.route(host, path).map(|route| route.name.clone())
    }

    /// Returns the pool for which the last request was refused at the entry.
    pub fn take_refusing_pool(&mut self) -> Option<id::Pool> {
        self.refusing_pool.take()
    }

    /// Returns the pools that became scarce, or ceased to be, since the last call, and drops outdated
    /// loads.
    pub fn take_scarcity_changes(&mut self, now: Instant) -> Vec<Change> {
        self.tracker.tick(now)
    }

    /// Returns the latest known loads of pools, including that of the local target for the own one.
    pub(super) fn pool_states(&self, now: Instant) -> BTreeMap<id::Pool, PoolState> {
        let mut pools = self.tracker.pools(now);
        if let Some(load) = self.meter.latest_load(now) {
            let own = pools.entry(self.settings.pool.clone()).or_insert(PoolState::from(load));
            *own = PoolState { lowest_share: own.lowest_share, ..PoolState::from(load) };
        }
        pools
    }

    /// Records that a run made a call, and returns the share that the call inherits.
    pub(super) fn record_call(
        &mut self,
        now: Instant,
        lineage: &Lineage,
        route: &id::Route,
    ) -> Share {
        if let Some(run) = &lineage.route {
            self.tracker.record_call(now, run, route);
        }
        lineage.admitted
    }

    /// Returns the pool that decides whether a client's request may start, if one below its route is
    /// scarce.
    pub(super) fn scarcest(
        &self,
        now: Instant,
        path: Path<'_>,
        class: Class,
    ) -> Option<Scarcest<'_>> {
        if !self.settings.is_entry_admission_enabled {
            return None;
        }
        self.tracker.scarcest(now, path, class)
    }

    fn limits(&self, now: Instant) -> Limits {
        Limits {
            concurrency: self.gate.concurrency_limit(),
            rate: self.gate.rate_limit(now),
            waiting: self.gate.waiting(),
        }
    }
}
