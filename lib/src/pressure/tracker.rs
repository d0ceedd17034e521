//! Tracks the pressure on the pools that a node's calls reach.

use {
    super::{RelayedReport, Report, Share},
    crate::{
        call::{Reason, Refusal},
        id,
        table::Class,
        time::Instant,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// The maximum number of targets per pool whose reports are kept.
const MAX_TARGETS: usize = 256;
/// The maximum number of pools whose reports are kept.
const MAX_POOLS: usize = 256;
/// The maximum number of routes whose call chains are tracked.
const MAX_ROUTES: usize = 1024;
/// The maximum number of downstream pools tracked per route.
const MAX_DOWNSTREAM_POOLS: usize = 32;
/// The maximum number of reports in one reply.
const MAX_RELAYED: usize = 16;
/// The weight of one call in the moving average of how often a route reaches a pool.
const USE_WEIGHT: f64 = 0.02;

/// The settings of a tracker.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether calls are refused early.
    pub is_early: bool,
    /// The age after which a report is ignored, in milliseconds.
    pub report_age_ms: u64,
    /// The fraction of a route's calls that must reach a downstream pool for its pressure to count.
    pub min_use: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { is_early: true, report_age_ms: 500, min_use: 0.9 }
    }
}

/// The state of a tracker, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The fraction of each route's calls that reach each downstream pool.
    pub routes: BTreeMap<id::Route, BTreeMap<id::Pool, f64>>,
    /// The reports that are recent enough to count, by pool and VM.
    pub pools: BTreeMap<id::Pool, BTreeMap<id::Vm, Report>>,
}

#[derive(Clone, Debug)]
struct StoredReport {
    report: Report,
    received: Instant,
    age: Duration,
}

impl StoredReport {
    /// Returns the age of the report. It is kept as age on receipt plus time since, because the
    /// report may be older than this node's clock, which then has no value for the time of its
    /// creation.
    fn age(&self, now: Instant) -> Duration {
        self.age + (now - self.received)
    }
}

/// Reports of other nodes and the downstream pools that each route reaches.
#[derive(Debug)]
pub struct Tracker {
    settings: Settings,
    pools: BTreeMap<id::Pool, BTreeMap<id::Vm, StoredReport>>,
    routes: BTreeMap<id::Route, BTreeMap<id::Pool, f64>>,
    rng: ChaCha8Rng,
}

impl Tracker {
    /// Creates a tracker without reports, which refuses nothing.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            pools: BTreeMap::new(),
            routes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Stores a report received with a reply, unless a newer one of the same target is stored.
    pub fn record_report(&mut self, now: Instant, relayed: RelayedReport) {
        if relayed.age > self.max_age() {
            return;
        }
        if self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&relayed.pool) {
            return;
        }
        let targets = self.pools.entry(relayed.pool).or_default();
        let known_age = targets.get(&relayed.vm).map(|stored| stored.age(now));
        if known_age.is_some_and(|known_age| known_age < relayed.age) {
            return;
        }
        if known_age.is_none() && targets.len() >= MAX_TARGETS {
            return;
        }
        let stored = StoredReport { report: relayed.report, received: now, age: relayed.age };
        targets.insert(relayed.vm, stored);
    }

    /// Records the downstream pools that one completed call of a route reached. Must only be called
    /// for answered calls, because a refused call reaches fewer pools.
    pub fn record_reached_pools(&mut self, route: &id::Route, reached: &[id::Pool]) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let is_new = !self.routes.contains_key(route);
        let chain = self.routes.entry(route.clone()).or_default();
        for (pool, share) in chain.iter_mut() {
            let used = f64::from(u8::from(reached.contains(pool)));
            *share += USE_WEIGHT * (used - *share);
        }
        for pool in reached {
            if chain.len() < MAX_DOWNSTREAM_POOLS && !chain.contains_key(pool) {
                chain.insert(pool.clone(), if is_new { 1.0 } else { USE_WEIGHT });
            }
        }
    }

    /// Refuses a call early if its own pool or one further down its chain would likely refuse it.
    ///
    /// The decision is random, so that the admitted fraction of the calls still goes downstream and
    /// shows when capacity is available again.
    pub fn check(
        &mut self,
        now: Instant,
        route: &id::Route,
        pool: &id::Pool,
        class: Class,
        account: &Option<id::Account>,
    ) -> Option<Refusal> {
        if !self.settings.is_early {
            return None;
        }
        let min_use = self.settings.min_use;
        let chain = self.routes.get(route).into_iter().flatten();
        let downstream = chain.filter(|(_, share)| **share >= min_use).map(|(pool, _)| pool);
        let admit_share = |pool| self.admit_share(now, pool, class, account);
        let (share, retry_after) = std::iter::once(pool)
            .chain(downstream)
            .filter_map(admit_share)
            .min_by_key(|(share, _)| *share)?;
        if share == Share::ALL || self.rng.random_bool(share.as_f64()) {
            return None;
        }
        Some(Refusal::not_run(Reason::Overload).after(retry_after))
    }

    /// Returns whether every target of the pool with a recent report wants fewer of these calls.
    pub fn is_limited(
        &self,
        now: Instant,
        pool: &id::Pool,
        class: Class,
        account: &Option<id::Account>,
    ) -> bool {
        let admit_share = self.admit_share(now, pool, class, account);
        admit_share.is_some_and(|(share, _)| share < Share::ALL)
    }

    /// Returns the reports on the downstream pools of a route, to be sent upstream with a reply.
    pub fn relayed_reports(&self, now: Instant, route: &id::Route) -> Vec<RelayedReport> {
        let downstream = self.routes.get(route).into_iter().flatten().map(|(pool, _)| pool);
        let stored = downstream.filter_map(|pool| Some((pool, self.pools.get(pool)?)));
        let all =
            stored.flat_map(|(pool, targets)| targets.iter().map(move |stored| (pool, stored)));
        let fresh = all.filter(|(_, (_, stored))| stored.age(now) <= self.max_age());
        let relayed = fresh.map(|(pool, (vm, stored))| RelayedReport {
            pool: pool.clone(),
            vm: vm.clone(),
            age: stored.age(now),
            report: stored.report.clone(),
        });
        relayed.take(MAX_RELAYED).collect()
    }

    /// Removes reports that are too old, and pools and routes that are no longer in the tables.
    pub fn retain(
        &mut self,
        now: Instant,
        mut is_known_pool: impl FnMut(&id::Pool) -> bool,
        mut is_known_route: impl FnMut(&id::Route) -> bool,
    ) {
        let max_age = self.max_age();
        for targets in self.pools.values_mut() {
            targets.retain(|_, stored| stored.age(now) <= max_age);
        }
        self.pools.retain(|pool, targets| !targets.is_empty() && is_known_pool(pool));
        self.routes.retain(|route, _| is_known_route(route));
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let max_age = self.max_age();
        let fresh = |targets: &BTreeMap<id::Vm, StoredReport>| {
            let fresh = targets.iter().filter(|(_, stored)| stored.age(now) <= max_age);
            fresh.map(|(vm, stored)| (vm.clone(), stored.report.clone())).collect()
        };
        Dump {
            routes: self.routes.clone(),
            pools: self.pools.iter().map(|(pool, stored)| (pool.clone(), fresh(stored))).collect(),
        }
    }

    fn max_age(&self) -> Duration {
        Duration::from_millis(self.settings.report_age_ms)
    }

    /// Returns the highest share of these calls that a target of the pool admits, and the time
    /// after which a refused caller may retry there. Returns none without a recent report.
    fn admit_share(
        &self,
        now: Instant,
        pool: &id::Pool,
        class: Class,
        account: &Option<id::Account>,
    ) -> Option<(Share, Duration)> {
        let max_age = self.max_age();
        let fresh = self.pools.get(pool)?.values().filter(|stored| stored.age(now) <= max_age);
        let admit_shares = fresh.map(|stored| (stored.report.admit_share(class, account), stored));
        let (share, stored) = admit_shares.max_by_key(|(share, _)| *share)?;
        Some((share, stored.report.retry_after))
    }
}
