//! What a node knows about the loads of the pools below the routes that it sends.

use {
    super::{
        Class, Load, PoolLoad,
        average::{Average, STALE_AFTER},
        limit_loads,
    },
    crate::{id, pressure::Share, time::Instant},
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// How long a load is kept after its last report. By then its shares are close to 1.
const LOAD_TTL: Duration = Duration::from_secs(10);
/// How long a route counts as one that calls another after the last such call.
const CALLEE_TTL: Duration = Duration::from_secs(60);

/// Where a request is sent: the route that it matches and the pool that was selected for it.
#[derive(Clone, Copy, Debug)]
pub struct Path<'a> {
    /// The route.
    pub route: &'a id::Route,
    /// The pool that runs the request. A route may be split over several.
    pub pool: &'a id::Pool,
}

/// The refusal of a request because a pool cannot carry all requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scarce {
    /// The pool with the lowest share.
    pub pool: id::Pool,
    /// The time since which it has been scarce.
    pub since: Instant,
}

/// The scarce pool at which a class has its lowest share.
#[derive(Clone, Copy, Debug)]
pub struct Scarcest<'a> {
    share: Share,
    pool: &'a id::Pool,
    since: Instant,
}

impl Scarcest<'_> {
    /// Returns the share at which a client's request may start.
    ///
    /// # Errors
    ///
    /// Returns the pool if the request's standing, a number between 0 and 1, is not below the share.
    pub fn admit(&self, standing: f64) -> Result<Share, Scarce> {
        match self.share == Share::ALL || standing < self.share.as_f64() {
            true => Ok(self.share),
            false => Err(Scarce { pool: self.pool.clone(), since: self.since }),
        }
    }
}

/// The beginning or the end of scarcity of a pool below a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The route.
    pub route: id::Route,
    /// The pool.
    pub pool: id::Pool,
    /// Whether the pool is scarce from now on.
    pub is_scarce: bool,
    /// The average load of the pool.
    pub load: Load,
}

/// The latest knowledge about a pool, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PoolState {
    /// The offered demand of all classes, in slot-seconds per second and target.
    pub demand: f64,
    /// The capacity, in slot-seconds per second and target.
    pub capacity: f64,
    /// The lowest share of a class.
    pub lowest_share: f64,
}

impl From<&Load> for PoolState {
    /// Returns the state of a pool whose shares restrict no request.
    fn from(load: &Load) -> Self {
        let (demand, capacity) = (load.demand(), f64::from(load.capacity));
        Self { demand, capacity, lowest_share: 1.0 }
    }
}

#[derive(Debug)]
struct PoolBelow {
    /// The pool that the route was sent to when this pool was reported.
    via: id::Pool,
    pool: id::Pool,
    average: Average,
    /// Whether the last [`Change`] said that the pool is scarce.
    is_announced: bool,
}

/// The loads of the pools below each route, as reported with responses.
#[derive(Debug, Default)]
pub struct Tracker {
    loads: HashMap<id::Route, Vec<PoolBelow>>,
    /// The routes that are called by runs of a route, with the time of the last call.
    callees: HashMap<id::Route, Vec<(id::Route, Instant)>>,
}

impl Tracker {
    /// Records that a run of one route made a call on another.
    pub fn record_call(&mut self, now: Instant, run: &id::Route, call: &id::Route) {
        if !self.callees.contains_key(run) {
            self.callees.insert(run.clone(), Vec::new());
        }
        let Some(callees) = self.callees.get_mut(run) else { return };
        match callees.iter_mut().find(|(callee, _)| callee == call) {
            Some((_, last)) => *last = now,
            None => callees.push((call.clone(), now)),
        }
    }

    /// Returns whether runs of the route made calls lately.
    pub fn has_callees(&self, now: Instant, route: &id::Route) -> bool {
        let callees = self.callees.get(route);
        callees.is_some_and(|callees| callees.iter().any(|(_, last)| now - *last < CALLEE_TTL))
    }

    /// Records the loads that came with a response. A pool that is not mentioned is not under
    /// pressure. `has_run` is whether the request ran, since otherwise the sender need not know
    /// anything about the pools below its own.
    pub fn record_response(
        &mut self,
        now: Instant,
        path: Path<'_>,
        reports: &[PoolLoad],
        has_run: bool,
    ) {
        if !reports.is_empty() && !self.loads.contains_key(path.route) {
            self.loads.insert(path.route.clone(), Vec::new());
        }
        let Some(below) = self.loads.get_mut(path.route) else { return };
        for entry in below.iter_mut().filter(|entry| entry.via == *path.pool) {
            let report = reports.iter().find(|report| report.pool == entry.pool);
            match report.filter(|report| report.load.is_valid()) {
                Some(report) => entry.average.record(now, &report.load),
                None if has_run || entry.pool == entry.via => entry.average.record_missing(now),
                None => {}
            }
        }
        for PoolLoad { pool, load } in reports {
            let is_known = |entry: &PoolBelow| entry.via == *path.pool && entry.pool == *pool;
            if load.is_valid() && !below.iter().any(is_known) {
                below.push(PoolBelow {
                    via: path.pool.clone(),
                    pool: pool.clone(),
                    average: Average::new(now, load),
                    is_announced: false,
                });
            }
        }
    }

    /// Returns the scarce pool on a path at which a class has its lowest share, if a pool there is
    /// scarce.
    pub fn scarcest(&self, now: Instant, path: Path<'_>, class: Class) -> Option<Scarcest<'_>> {
        let below = self.loads.get(path.route).into_iter().flatten();
        let scarce = below.filter(|entry| entry.via == *path.pool).filter_map(|entry| {
            let average = self.freshest(now, entry);
            let since = average.scarce_since()?;
            Some((average.share_of(now, class), &entry.pool, since))
        });
        let (share, pool, since) = scarce.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
        // The share that is compared is the one that travels, so that the weights are exact.
        Some(Scarcest { share: Share::from_f64(share), pool, since })
    }

    /// Returns the share at which a client's request may start.
    ///
    /// # Errors
    ///
    /// Returns the pool that has no room, as [`Scarcest::admit`] does.
    pub fn admit(
        &self,
        now: Instant,
        path: Path<'_>,
        class: Class,
        standing: f64,
    ) -> Result<Share, Scarce> {
        let scarcest = self.scarcest(now, path, class);
        scarcest.map_or(Ok(Share::ALL), |scarcest| scarcest.admit(standing))
    }

    /// Returns whether calls are refused or declined at a pool below that of the path.
    pub fn is_contended_below(&self, now: Instant, path: Path<'_>) -> bool {
        let entries = self.loads.get(path.route).into_iter().flatten();
        let mut below = entries.filter(|entry| entry.via == *path.pool && entry.pool != entry.via);
        below
            .any(|entry| entry.average.load().is_contended && entry.average.age(now) <= STALE_AFTER)
    }

    /// Returns the loads below a route for the nodes that send it: those of the routes that its
    /// runs call, where they are under pressure and recent.
    pub fn loads_below(&self, now: Instant, route: &id::Route) -> Vec<PoolLoad> {
        let mut loads: Vec<PoolLoad> = Vec::new();
        let callees = self.callees.get(route).into_iter().flatten();
        let entries = callees.filter_map(|(callee, _)| self.loads.get(callee)).flatten();
        for PoolBelow { pool, average, .. } in entries {
            let load = average.load();
            if average.age(now) > STALE_AFTER || !load.is_under_pressure() {
                continue;
            }
            match loads.iter_mut().find(|known| known.pool == *pool) {
                Some(known) if known.load.pressure() >= load.pressure() => {}
                Some(known) => known.load = average.load_to_pass_on(now),
                None => {
                    let load = average.load_to_pass_on(now);
                    loads.push(PoolLoad { pool: pool.clone(), load });
                }
            }
        }
        limit_loads(&mut loads);
        loads
    }

    /// Drops what is outdated, and returns the changes since the last call.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for (route, below) in &mut self.loads {
            below.retain_mut(|entry| {
                let is_kept = entry.average.age(now) < LOAD_TTL;
                let is_scarce = is_kept && entry.average.scarce_since().is_some();
                if is_scarce != std::mem::replace(&mut entry.is_announced, is_scarce) {
                    let (route, pool) = (route.clone(), entry.pool.clone());
                    let load = entry.average.load().clone();
                    changes.push(Change { route, pool, is_scarce, load });
                }
                is_kept
            });
        }
        self.loads.retain(|_, below| !below.is_empty());
        self.callees.retain(|_, callees| {
            callees.retain(|(_, last)| now - *last < CALLEE_TTL);
            !callees.is_empty()
        });
        changes
    }

    /// Returns the latest knowledge about each pool.
    pub fn pools(&self, now: Instant) -> BTreeMap<id::Pool, PoolState> {
        let mut latest: BTreeMap<&id::Pool, &Average> = BTreeMap::new();
        for entry in self.loads.values().flatten() {
            let known = latest.entry(&entry.pool).or_insert(&entry.average);
            if known.reported_at() < entry.average.reported_at() {
                *known = &entry.average;
            }
        }
        let state_of = |average: &Average| {
            let load = average.load();
            let shares = load.demands.iter().map(|of_class| average.share_of(now, of_class.class));
            PoolState { lowest_share: shares.fold(1.0, f64::min), ..PoolState::from(load) }
        };
        latest.into_iter().map(|(pool, average)| (pool.clone(), state_of(average))).collect()
    }

    /// Returns the entry's average, or if that is stale, the freshest one of the same pool below any
    /// route. Nodes with few requests on a route learn about the pool from others.
    fn freshest<'a>(&'a self, now: Instant, entry: &'a PoolBelow) -> &'a Average {
        if entry.average.age(now) <= STALE_AFTER {
            return &entry.average;
        }
        let same_pool = self.loads.values().flatten().filter(|other| other.pool == entry.pool);
        let freshest = same_pool.map(|other| &other.average).max_by_key(|a| a.reported_at());
        freshest.unwrap_or(&entry.average)
    }
}
