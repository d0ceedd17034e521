//! The state of one node and its decisions on requests.
//!
//! The driver passes the current time in with every call and does all I/O. A request is a [`Call`]
//! that the driver keeps: [`Node::admit`] creates it, [`Node::next_attempt`] selects the next
//! target, and [`Node::finish_attempt`] decides whether to resend.

mod admit;
mod attempt;
mod call;
mod dump;
mod entry;
mod facts;
mod linger;
mod peers;
mod scarcity;
mod weighted_round_robin;

pub use {
    attempt::{Attempt, AttemptResult, ForwardedRequest, NextStep},
    call::{Call, Head},
    dump::Dump,
    facts::Changes,
    peers::{Peer, Source},
    scarcity::RunEnd,
};

use {
    super::{
        announcement::{Announcement, Limit, Pace},
        cold,
        demand::Meter,
        evacuation::Evacuations,
        fact::{FactStore, Target},
        fleet::Fleet,
        gate::Gate,
        lag::Lag,
        lease::Lease,
        lineage::ActiveRuns,
        outage, pace,
        position::{EraTracker, Position},
        quota::{Coordinator, Demand, RateLimiter, Shares},
        resend::ResendBudget,
        scarcity::Tracker,
        standing,
        table::Table,
    },
    crate::{
        balance::Picker,
        crash::{self, CrashTracker},
        id, pressure,
        time::Instant,
    },
    admit::LongestTimeouts,
    peers::Peers,
    rand::{
        SeedableRng as _,
        seq::{IteratorRandom as _, SliceRandom as _},
    },
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    weighted_round_robin::WeightedRoundRobin,
};

/// The number of peers that get a crash report at a time, repeated with each tick until all peers
/// have it. A caller may send the request again within a second.
const CRASH_REPORT_FANOUT: usize = 16;

/// The node of a leaving target refuses requests after the time to drain divided by this number,
/// counted from when it learned of the departure. It may have learned late itself.
const DRAIN_DIVISOR: u32 = 4;

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the VM.
    pub vm: id::Vm,
    /// The address of the VM, which identifies the node to its peers.
    pub host: IpAddr,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The pool of the local target.
    pub pool: id::Pool,
    /// The address that the local target listens on.
    pub target: SocketAddr,
    /// The longest allowed time from the withdrawal of a key to its effect.
    pub withdrawal: Duration,
    /// The longest allowed time from a target's notice that it is leaving to its last request.
    pub drain: Duration,
    /// The number of resends allowed per thousand first sends.
    pub resend_permille: u32,
    /// The window over which resends are counted.
    pub resend_window: Duration,
    /// Whether client requests are refused at the entry while a pool below their route cannot carry
    /// them. The loads that this needs are then exchanged with other nodes.
    pub is_entry_admission_enabled: bool,
    /// Whether the calls of a cancelled run are ended before the run, and its exchange with the
    /// target may go on for a while so that the connection can be kept.
    pub is_linger_enabled: bool,
    /// Whether requests need a key also if the document has no client accounts.
    pub requires_key: bool,
}

/// The reasons why a node is not ready for requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NotReady {
    /// No routing table is in force, since none was read or the one that was read is invalid.
    #[error("no routing table; none was found or the one that was found is invalid")]
    NoTables,
    /// The targets are not known yet.
    #[error("targets are not known yet")]
    NoTargets,
    /// Nothing has confirmed for too long that no key was withdrawn.
    #[error("keys are not confirmed by the platform")]
    KeysUnconfirmed,
    /// The node is leaving.
    #[error("leaving")]
    Leaving,
}

/// The changes caused by a target's announcement.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnnouncementChanges {
    /// Whether the target is leaving and was not known to be.
    pub is_leaving: bool,
    /// Whether the local target began or ceased to name a limit on its requests per second.
    pub is_limit_changed: bool,
}

/// The state of one node.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    facts: FactStore,
    lag: Lag,
    eras: EraTracker,
    table: Option<Arc<Table>>,
    lease: Lease,
    outage: outage::Detector,
    pub(super) fleet: Fleet,
    evacuations: Evacuations,
    peers: Peers,
    pickers: BTreeMap<id::Pool, Picker>,
    resend_budgets: BTreeMap<id::Pool, ResendBudget>,
    runs: ActiveRuns,
    pub(super) crash_tracker: CrashTracker,
    pool_selectors: HashMap<id::Route, WeightedRoundRobin>,
    longest_timeouts: LongestTimeouts,
    entry_refusals: standing::Refusals,
    /// The targets that named a limit in their last response to this node.
    limited_targets: BTreeSet<id::Vm>,
    paced_pools: pace::Pools,
    /// How much longer targets are cold, by their entries, with the times of receipt.
    cold_targets: BTreeMap<id::Vm, (Instant, Duration)>,
    gate: Gate,
    meter: Meter,
    tracker: Tracker,
    /// The pool for which the last request was refused at the entry, until the driver takes it.
    refusing_pool: Option<id::Pool>,
    /// The name and start of the local target that the gate is for.
    own_instance: Option<(id::Vm, u64)>,
    rate_limiter: RateLimiter,
    coordinator: Coordinator,
    random: ChaCha8Rng,
    is_leaving: bool,
    /// Whether peers were asked for what the platform does not publish.
    pub(super) is_caught_up: bool,
}

impl Node {
    /// Creates a node that has neither facts nor peers. `seed` seeds its random decisions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            facts: FactStore::default(),
            lag: Lag::default(),
            eras: EraTracker::default(),
            table: None,
            lease: Lease::new(settings.withdrawal),
            outage: outage::Detector::default(),
            fleet: Fleet::default(),
            evacuations: Evacuations::default(),
            peers: Peers::new(settings.host, settings.data_centre.clone()),
            pickers: BTreeMap::new(),
            resend_budgets: BTreeMap::new(),
            runs: ActiveRuns::default(),
            crash_tracker: CrashTracker::new(
                settings.vm.clone(),
                id::Incarnation(seed),
                crash::Settings::default(),
            ),
            pool_selectors: HashMap::new(),
            longest_timeouts: LongestTimeouts::default(),
            entry_refusals: standing::Refusals::default(),
            limited_targets: BTreeSet::new(),
            paced_pools: pace::Pools::default(),
            cold_targets: BTreeMap::new(),
            gate: Gate::new(0),
            meter: Meter::default(),
            tracker: Tracker::default(),
            refusing_pool: None,
            own_instance: None,
            rate_limiter: RateLimiter::default(),
            coordinator: Coordinator::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            is_leaving: false,
            is_caught_up: true,
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the facts known to the node.
    pub fn facts(&self) -> &FactStore {
        &self.facts
    }

    /// Returns the lease on the accepted keys.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the known targets.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether the local target is in an evacuated data centre, by the settings of the node
    /// or by the entry of the target.
    fn is_own_evacuated(&self) -> bool {
        let own = self.fleet.by_address(self.settings.target);
        let listed = own.is_some_and(|target| self.evacuations.contains(&target.data_centre));
        listed || self.evacuations.contains(&self.settings.data_centre)
    }

    /// Returns the known peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the known peers for modification.
    pub fn peers_mut(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Returns the admission control of the local target.
    pub fn gate(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Returns the bound on the local target while it is cold.
    pub fn cold_guard(&self) -> &cold::Guard {
        self.gate.cold()
    }

    /// Returns the active runs of the local target.
    pub fn runs(&mut self) -> &mut ActiveRuns {
        &mut self.runs
    }

    /// Returns the tracker of requests that may have crashed targets.
    pub fn crash_tracker(&mut self) -> &mut CrashTracker {
        &mut self.crash_tracker
    }

    /// Returns a crash report and a random sample of peers to send it to, if one is pending.
    pub fn next_crash_report(&mut self, now: Instant) -> Option<(crash::Message, Vec<IpAddr>)> {
        let message = self.crash_tracker.next_message(now, self.peers.len() + 1)?;
        let usable = self.peers.hosts().filter(|host| self.peers.is_usable(now, *host));
        Some((message, usable.sample(&mut self.random, CRASH_REPORT_FANOUT)))
    }

    /// Returns the usable peers in a random order.
    pub fn shuffled_peers(&mut self, now: Instant) -> Vec<IpAddr> {
        let usable = self.peers.hosts().filter(|host| self.peers.is_usable(now, *host));
        let mut hosts: Vec<IpAddr> = usable.collect();
        hosts.shuffle(&mut self.random);
        hosts
    }

    /// Returns the limiter that enforces this node's shares of the sold rates.
    pub fn rate_limiter(&mut self) -> &mut RateLimiter {
        &mut self.rate_limiter
    }

    /// Returns the shares of a node that reported its demand, while this node is the coordinator.
    pub fn share_rates(&mut self, now: Instant, host: IpAddr, demand: Demand) -> Option<Shares> {
        self.coordinator.update(now, host, demand, self.peers.len() + 1)
    }

    /// Marks the node as leaving.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether the node is ready for requests of callers.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not.
    pub fn readiness(&self, now: Instant) -> Result<(), NotReady> {
        let Some(table) = &self.table else { return Err(NotReady::NoTables) };
        if self.is_leaving {
            return Err(NotReady::Leaving);
        }
        if self.facts.position() == Position::default() {
            return Err(NotReady::NoTargets);
        }
        match self.requires_key(table) && !self.lease.is_valid(now) {
            true => Err(NotReady::KeysUnconfirmed),
            false => Ok(()),
        }
    }

    /// Returns whether requests need a key, except on open routes.
    fn requires_key(&self, table: &Table) -> bool {
        self.settings.requires_key || table.requires_key()
    }

    /// Returns the name of the local target's current instance, once its entry is known.
    pub fn own_target(&self) -> Option<id::Vm> {
        self.fleet.by_address(self.settings.target).map(|target| target.name.clone())
    }

    /// Returns the targets that are kept although their entries were removed.
    pub fn missing(&self) -> impl Iterator<Item = &Target> {
        self.fleet.missing()
    }

    /// Records whether the node of a target without an entry vouches for it.
    pub fn record_vouch(&mut self, now: Instant, name: &id::Vm, is_vouched: bool) {
        self.fleet.record_vouch(now, name, is_vouched);
        if self.fleet.tick(now) {
            self.refresh(now);
        }
    }

    /// Records that the platform was down at this time, according to a peer.
    pub fn record_outage(&mut self, at: Instant) {
        self.fleet.record_outage(at);
    }

    /// Records that a read of the platform failed.
    pub fn record_failed_read(&mut self, now: Instant) {
        if self.outage.record_failure(now) {
            log::warn!("the platform is down");
        }
        if self.outage.is_down() {
            self.fleet.record_outage(now);
        }
    }

    /// Records that the platform responded at this time, to this node or to a peer.
    pub fn record_response(&mut self, at: Instant) {
        if self.outage.record_response(at) {
            log::info!("the platform responds again");
            // It may have come back long after the last failed read.
            self.fleet.record_outage(at);
        }
    }

    /// Expires outdated state. The driver calls this about twice per second.
    pub fn tick(&mut self, now: Instant) {
        self.facts.tick(now);
        self.crash_tracker.tick(now);
        self.peers.tick(now);
        self.longest_timeouts.tick(now);
        for pool in self.paced_pools.take_expired(now) {
            self.use_reported_latency(&pool, false);
        }
        if self.fleet.tick(now) {
            log::info!("targets whose entries were removed are no longer used");
            self.refresh(now);
        }
    }

    /// Records what a target said about itself in a response.
    pub fn record_announcement(
        &mut self,
        now: Instant,
        target: &id::Vm,
        announcement: &Announcement,
    ) -> AnnouncementChanges {
        let is_leaving = announcement.is_leaving && self.fleet.record_departure(now, target);
        if is_leaving {
            self.refresh(now);
        }
        match announcement.limit {
            Limit::None => _ = self.limited_targets.remove(target),
            Limit::Rate(_) => _ = self.limited_targets.insert(target.clone()),
            Limit::Malformed => {}
        }
        // The limits of other targets are kept by their own nodes.
        let is_own = self.own_target().as_ref() == Some(target);
        if let Some(pace) = announcement.load.and_then(|load| load.pace) {
            self.record_pace(now, target, pace, is_own);
        }
        let is_limit_changed = is_own && self.gate.record_limit(now, announcement.limit);
        AnnouncementChanges { is_leaving, is_limit_changed }
    }

    /// Returns whether the local target, being the given instance, takes no more requests, since it
    /// has been leaving for so long that other nodes should know. It guards against requests of those
    /// that do not.
    pub fn is_closed(&self, now: Instant, target: &id::Vm) -> bool {
        let since = self.fleet.leaving_since(target);
        since.is_some_and(|since| now - since >= self.settings.drain / DRAIN_DIVISOR)
    }

    /// Records the reported load of a target.
    pub fn record_load(&mut self, now: Instant, target: &id::Vm, report: &pressure::Report) {
        let Some(pool) = self.fleet.get(target).map(|target| target.pool.clone()) else { return };
        if let Some(picker) = self.pickers.get_mut(&pool) {
            picker.record_report(now, target, report);
        }
    }

    /// Records the load of the local target for calls to its own pool, if the others are compared by
    /// their reports.
    fn record_own_load(&mut self, now: Instant, pool: &id::Pool) {
        if *pool != self.settings.pool || !self.paced_pools.contains(pool) {
            return;
        }
        if let Some(target) = self.own_target() {
            self.record_load(now, &target, &self.gate.report(now));
        }
    }

    fn record_pace(&mut self, now: Instant, target: &id::Vm, pace: Pace, is_own: bool) {
        if is_own {
            self.gate.record_pace(now, pace);
        }
        let Some(pool) = self.fleet.get(target).map(|target| &target.pool) else { return };
        if self.paced_pools.record(now, pool) {
            let pool = pool.clone();
            self.use_reported_latency(&pool, true);
        }
    }

    fn use_reported_latency(&mut self, pool: &id::Pool, is_used: bool) {
        if let Some(picker) = self.pickers.get_mut(pool) {
            picker.use_reported_latency(is_used);
        }
    }

    fn resend_budget(&mut self, now: Instant, pool: &id::Pool) -> &mut ResendBudget {
        let Settings { resend_permille, resend_window, .. } = self.settings;
        let budget = self.resend_budgets.entry(pool.clone());
        budget.or_insert_with(|| ResendBudget::new(now, resend_permille, resend_window))
    }
}
