//! What one node knows of the pressure in the pools that its calls reach.

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

/// The most targets of one pool whose reports are kept.
const MAX_TARGETS: usize = 256;
/// The most pools whose reports are kept.
const MAX_POOLS: usize = 256;
/// The most routes whose chains are learned.
const MAX_ROUTES: usize = 1024;
/// The most deeper pools of one route.
const MAX_CHAIN: usize = 32;
/// The most reports that one reply carries.
const MAX_RELAYED: usize = 16;
/// The weight of one call in how often a route uses a pool.
const USE_WEIGHT: f64 = 0.02;

/// How a board decides.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether calls are refused early at all.
    pub is_early: bool,
    /// The age at which a report says nothing any more, in milliseconds.
    pub report_age_ms: u64,
    /// The part of a route's calls that must reach a deeper pool for its pressure to count.
    pub min_use: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { is_early: true, report_age_ms: 500, min_use: 0.9 }
    }
}

/// What a route's calls reach, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The part of each route's calls that reach each deeper pool.
    pub routes: BTreeMap<id::Route, BTreeMap<id::Pool, f64>>,
    /// The reports in force, by pool and VM.
    pub pools: BTreeMap<id::Pool, BTreeMap<id::Vm, Report>>,
}

#[derive(Clone, Debug)]
struct Held {
    report: Report,
    received: Instant,
    age: Duration,
}

impl Held {
    /// A report may be older than the clock of this node, so its making has no reading of it.
    fn age(&self, now: Instant) -> Duration {
        self.age + (now - self.received)
    }
}

/// Reports of other nodes, and which pools each route reaches.
#[derive(Debug)]
pub struct Tracker {
    settings: Settings,
    pools: BTreeMap<id::Pool, BTreeMap<id::Vm, Held>>,
    routes: BTreeMap<id::Route, BTreeMap<id::Pool, f64>>,
    rng: ChaCha8Rng,
}

impl Tracker {
    /// Makes a board that knows nothing, and so refuses nothing.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            pools: BTreeMap::new(),
            routes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in a report that came with a reply, unless a newer one of that target is held.
    pub fn record_report(&mut self, now: Instant, relayed: RelayedReport) {
        if relayed.age > self.max_age() {
            return;
        }
        if self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&relayed.pool) {
            return;
        }
        let targets = self.pools.entry(relayed.pool).or_default();
        let known_age = targets.get(&relayed.vm).map(|held| held.age(now));
        if known_age.is_some_and(|known| known < relayed.age) {
            return;
        }
        if known_age.is_none() && targets.len() >= MAX_TARGETS {
            return;
        }
        let held = Held { report: relayed.report, received: now, age: relayed.age };
        targets.insert(relayed.vm, held);
    }

    /// Learns which deeper pools one whole call of a route reached. Only answered calls teach,
    /// because a refused one reached fewer.
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
            if chain.len() < MAX_CHAIN && !chain.contains_key(pool) {
                chain.insert(pool.clone(), if is_new { 1.0 } else { USE_WEIGHT });
            }
        }
    }

    /// Decides whether a call would be refused by its own pool or by one deeper in its chain.
    ///
    /// The decision is drawn, so that the wanted part of the calls still goes down and shows when
    /// there is room again.
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
        let deeper = chain.filter(|(_, share)| **share >= min_use).map(|(pool, _)| pool);
        let wanted = |pool| self.wanted(now, pool, class, account);
        let (share, wait) = std::iter::once(pool)
            .chain(deeper)
            .filter_map(wanted)
            .min_by_key(|(share, _)| *share)?;
        if share == Share::ALL || self.rng.random_bool(share.as_f64()) {
            return None;
        }
        Some(Refusal::not_run(Reason::Overload).after(wait))
    }

    /// Tells whether every target of the pool that reported refuses some of these calls.
    pub fn is_limited(
        &self,
        now: Instant,
        pool: &id::Pool,
        class: Class,
        account: &Option<id::Account>,
    ) -> bool {
        let wanted = self.wanted(now, pool, class, account);
        wanted.is_some_and(|(share, _)| share < Share::ALL)
    }

    /// Returns the reports on the deeper pools of a route that a reply takes upstream.
    pub fn relayed_reports(&self, now: Instant, route: &id::Route) -> Vec<RelayedReport> {
        let deeper = self.routes.get(route).into_iter().flatten().map(|(pool, _)| pool);
        let held = deeper.filter_map(|pool| Some((pool, self.pools.get(pool)?)));
        let all = held.flat_map(|(pool, targets)| targets.iter().map(move |held| (pool, held)));
        let fresh = all.filter(|(_, (_, held))| held.age(now) <= self.max_age());
        let relayed = fresh.map(|(pool, (vm, held))| RelayedReport {
            pool: pool.clone(),
            vm: vm.clone(),
            age: held.age(now),
            report: held.report.clone(),
        });
        relayed.take(MAX_RELAYED).collect()
    }

    /// Drops reports that are too old, and what the tables no longer name.
    pub fn retain(
        &mut self,
        now: Instant,
        mut is_pool: impl FnMut(&id::Pool) -> bool,
        mut is_route: impl FnMut(&id::Route) -> bool,
    ) {
        let max_age = self.max_age();
        for targets in self.pools.values_mut() {
            targets.retain(|_, held| held.age(now) <= max_age);
        }
        self.pools.retain(|pool, targets| !targets.is_empty() && is_pool(pool));
        self.routes.retain(|route, _| is_route(route));
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let max_age = self.max_age();
        let fresh = |targets: &BTreeMap<id::Vm, Held>| {
            let fresh = targets.iter().filter(|(_, held)| held.age(now) <= max_age);
            fresh.map(|(vm, held)| (vm.clone(), held.report.clone())).collect()
        };
        Dump {
            routes: self.routes.clone(),
            pools: self.pools.iter().map(|(pool, held)| (pool.clone(), fresh(held))).collect(),
        }
    }

    fn max_age(&self) -> Duration {
        Duration::from_millis(self.settings.report_age_ms)
    }

    /// Returns the part of these calls that the most willing target of the pool wants, and the wait
    /// until it may have room. Nothing is known without a fresh report.
    fn wanted(
        &self,
        now: Instant,
        pool: &id::Pool,
        class: Class,
        account: &Option<id::Account>,
    ) -> Option<(Share, Duration)> {
        let max_age = self.max_age();
        let fresh = self.pools.get(pool)?.values().filter(|held| held.age(now) <= max_age);
        let wanted = fresh.map(|held| (held.report.admit_share(class, account), held));
        let (share, held) = wanted.max_by_key(|(share, _)| *share)?;
        Some((share, held.report.retry_after))
    }
}
