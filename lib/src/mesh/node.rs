//! The state of one node and its decisions on requests.
//!
//! The driver passes the current time in with every call and does all I/O. A request is a [`Call`]
//! that the driver keeps: [`Node::admit`] creates it, [`Node::next_attempt`] selects the next
//! target, and [`Node::finish_attempt`] decides whether to resend.

mod attempt;
mod call;
mod peers;
mod weighted_round_robin;

pub use {
    attempt::{Attempt, AttemptResult, ForwardedRequest, NextStep},
    call::{Call, Head},
    peers::{Peer, Source},
};

use {
    super::{
        announcement::Announcement,
        fact::{Fact, FactStore, Key, Target, Update, Value},
        fleet::Fleet,
        gate::Gate,
        lag::Lag,
        lease::Lease,
        lineage::ActiveRuns,
        position::{Era, EraTracker, Position},
        quota::{Coordinator, Demand, RateLimiter, Shares},
        resend::ResendBudget,
        table::Table,
    },
    crate::{
        balance::{self, Picker},
        crash::{self, CrashTracker},
        id, pressure,
        time::Instant,
        unit::{RequestRate, Revision},
    },
    call::LongestTimeouts,
    peers::Peers,
    rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _},
    rand_chacha::ChaCha8Rng,
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    weighted_round_robin::WeightedRoundRobin,
};

/// The factor by which a target in another data centre has to be cheaper than a local one. Traffic
/// between data centres costs money, and a target with published slots is not slower at half load.
const REMOTE_FACTOR: f64 = 3.0;
/// The same factor if the local target is nearly full. The path to another data centre takes a
/// millisecond or two.
const BUSY_REMOTE_FACTOR: f64 = 1.2;

/// The number of peers that get a crash report at a time, repeated with each tick until all peers
/// have it. A caller may send the request again within a second.
const CRASH_REPORT_FANOUT: usize = 16;

/// The node of a leaving target refuses requests once this fraction of the time to drain has passed
/// since it learned of the departure. It may have learned late itself.
const DRAIN_SHARE: u32 = 4;

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

/// The changes caused by a set of facts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The revision of a new table that is in force.
    pub table: Option<Revision>,
    /// Whether targets were added, removed or changed.
    pub has_target_changes: bool,
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
    fleet: Fleet,
    peers: Peers,
    pickers: BTreeMap<id::Pool, Picker>,
    resend_budgets: BTreeMap<id::Pool, ResendBudget>,
    runs: ActiveRuns,
    crash_tracker: CrashTracker,
    pool_selectors: HashMap<id::Route, WeightedRoundRobin>,
    longest_timeouts: LongestTimeouts,
    gate: Gate,
    /// The name and start of the local target that the gate is for.
    own_instance: Option<(id::Vm, u64)>,
    rate_limiter: RateLimiter,
    coordinator: Coordinator,
    random: ChaCha8Rng,
    is_leaving: bool,
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
            fleet: Fleet::default(),
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
            gate: Gate::new(0),
            own_instance: None,
            rate_limiter: RateLimiter::default(),
            coordinator: Coordinator::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            is_leaving: false,
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
        match table.requires_key() && !self.lease.is_valid(now) {
            true => Err(NotReady::KeysUnconfirmed),
            false => Ok(()),
        }
    }

    /// Returns the name of the local target's current instance, once its entry is known.
    pub fn own_target(&self) -> Option<id::Vm> {
        self.fleet.by_address(self.settings.target).map(|target| target.name.clone())
    }

    /// Applies facts. `position` is where the store is complete up to with them.
    pub fn apply(&mut self, now: Instant, facts: &[Fact], position: Position) -> Changes {
        let mut changes = Changes::default();
        for fact in facts {
            if self.facts.insert(now, fact) {
                self.apply_fact(now, fact, &mut changes);
            }
        }
        self.facts.advance_position(position);
        self.lag.record_facts(self.facts.position());
        if changes.has_target_changes || changes.table.is_some() {
            self.refresh(now);
        }
        changes
    }

    /// Applies a complete listing of the platform or of a peer. Targets that it does not contain
    /// are removed.
    pub fn apply_listing(&mut self, now: Instant, facts: &[Fact], position: Position) -> Changes {
        let listed: BTreeSet<&Key> = facts.iter().map(|fact| &fact.key).collect();
        let missing = self.facts.missing_from(&listed, position);
        if self.facts.position() == Position::default() {
            self.facts.start_history(position);
        }
        // A peer that has just started has no facts and knows no era.
        if position != Position::default() {
            self.record_era(now, position.era);
        }
        let all: Vec<Fact> = facts.iter().cloned().chain(missing).collect();
        self.apply(now, &all, position)
    }

    /// Applies what a peer sent.
    pub fn apply_update(&mut self, now: Instant, update: &Update) -> Changes {
        match update.is_complete && update.position >= self.facts.position() {
            true => self.apply_listing(now, &update.facts, update.position),
            false => self.apply(now, &update.facts, self.facts.position().max(update.position)),
        }
    }

    /// Records the era of an answer of the store. Returns whether the store was restored from a copy
    /// since the last one, so that a complete listing is needed.
    pub fn record_era(&mut self, now: Instant, era: Era) -> bool {
        let is_restored = self.eras.record(now, era);
        if is_restored {
            log::warn!("the store was restored from a copy, {era}");
            // Targets whose entries the copy lacks write them again.
            self.fleet.record_outage(now);
        }
        is_restored
    }

    /// Records that the document was the newest one at this time, according to a peer.
    pub fn confirm(&mut self, at: Instant) {
        self.lease.confirm(at);
    }

    /// Records a read of the store, requested at this time in the given era, that found the document
    /// of the given revision. Returns whether it confirms the document in force.
    pub fn confirm_read(&mut self, requested_at: Instant, era: Era, found: Revision) -> bool {
        let in_force = self.table.as_ref().map(|table| table.revision());
        // A copy may lack the document in force, and with it the one that follows.
        let is_confirmed = in_force.is_some_and(|revision| revision <= found)
            && self.eras.is_conclusive(requested_at, era);
        if is_confirmed {
            self.lease.confirm(requested_at);
        }
        is_confirmed
    }

    /// Records that a read found the store at this position.
    pub fn record_store_position(&mut self, now: Instant, position: Position) {
        self.lag.record_store(now, position, self.facts.position());
    }

    /// Returns how far the facts are behind the store.
    pub fn lag(&self) -> &Lag {
        &self.lag
    }

    /// Adds the nodes beside these targets as peers. The targets themselves are not used, since
    /// their entries may be outdated.
    pub fn add_peers(&mut self, now: Instant, targets: &[Target]) {
        self.peers.set_targets(targets.iter());
        if !targets.is_empty() {
            self.rate_limiter.set_node_count(now, self.peers.len() + 1);
        }
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

    /// Records that the platform could not be read.
    pub fn record_outage(&mut self, now: Instant) {
        self.fleet.record_outage(now);
    }

    /// Expires outdated state. The driver calls this about twice per second.
    pub fn tick(&mut self, now: Instant) {
        self.facts.tick(now);
        self.crash_tracker.tick(now);
        self.peers.tick(now);
        if self.fleet.tick(now) {
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
        // The limits of other targets are kept by their own nodes.
        let is_own = self.own_target().as_ref() == Some(target);
        let is_limit_changed = is_own && self.gate.record_limit(now, announcement.limit);
        AnnouncementChanges { is_leaving, is_limit_changed }
    }

    /// Returns whether the local target, being the given instance, takes no more requests, since it
    /// has been leaving for so long that other nodes should know. It guards against requests of those
    /// that do not.
    pub fn is_closed(&self, now: Instant, target: &id::Vm) -> bool {
        let since = self.fleet.leaving_since(target);
        since.is_some_and(|since| now - since >= self.settings.drain / DRAIN_SHARE)
    }

    /// Records the reported load of a target.
    pub fn record_load(&mut self, now: Instant, target: &id::Vm, report: &pressure::Report) {
        let Some(pool) = self.fleet.get(target).map(|target| target.pool.clone()) else { return };
        if let Some(picker) = self.pickers.get_mut(&pool) {
            picker.record_report(now, target, report);
        }
    }

    /// Returns a summary of the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            vm: self.settings.vm.clone(),
            table: self.table.as_ref().map(|table| table.revision()),
            position: self.facts.position(),
            store: self.lag.latest(),
            confirmed_age_ms: self.lease.age(now).map(|age| age.as_millis() as u64),
            targets: self.fleet.iter().count(),
            peers: self.peers.len(),
            in_flight: self.gate.in_flight(),
            waiting: self.gate.waiting(),
            target_limit: self.gate.limit().map(RequestRate::per_second),
            pools: self
                .pickers
                .iter()
                .map(|(pool, picker)| (pool.clone(), picker.dump(now)))
                .collect(),
        }
    }

    fn apply_fact(&mut self, now: Instant, fact: &Fact, changes: &mut Changes) {
        match (&fact.key, &fact.value) {
            (Key::Document, Value::Document(document)) => {
                let is_newer =
                    self.table.as_ref().is_none_or(|table| table.revision() < document.revision);
                if !is_newer {
                    return;
                }
                match Table::new(document.as_ref().clone()) {
                    Ok(table) => {
                        changes.table = Some(table.revision());
                        self.rate_limiter.set_table(now, &table);
                        self.table = Some(Arc::new(table));
                    }
                    Err(error) => {
                        log::warn!(
                            "invalid routing table, revision {}: {error}",
                            document.revision
                        );
                    }
                }
            }
            (Key::Target(_), Value::Target(target)) => {
                changes.has_target_changes = true;
                self.fleet.put(now, target.clone());
            }
            (Key::Target(name), Value::Removed) => {
                changes.has_target_changes = true;
                self.fleet.remove(now, name);
            }
            (key, value) => log::warn!("ignored a mismatched fact: {key:?}, {value:?}"),
        }
    }

    /// Updates all state that is derived from the table and the targets.
    fn refresh(&mut self, now: Instant) {
        self.peers.set_targets(self.fleet.iter());
        self.rate_limiter.set_node_count(now, self.peers.len() + 1);
        if let Some(target) = self.fleet.by_address(self.settings.target) {
            self.gate.resize(target.slots);
            let instance = (target.name.clone(), target.started_at_ms);
            if self.own_instance.replace(instance.clone()).is_some_and(|last| last != instance) {
                self.gate.forget_target();
            }
        }
        let mut listed: BTreeMap<id::Pool, Vec<balance::TargetInfo>> = BTreeMap::new();
        for target in self.fleet.iter() {
            listed.entry(target.pool.clone()).or_default().push(balance::TargetInfo {
                vm: target.name.clone(),
                data_centre: target.data_centre.clone(),
                slots: target.slots,
                is_leaving: target.is_leaving,
            });
        }
        for (pool, picker) in &mut self.pickers {
            picker.set_targets(now, listed.get(pool).map_or(&[], Vec::as_slice));
        }
        for (pool, targets) in listed {
            if !self.pickers.contains_key(&pool) {
                let data_centre = self.settings.data_centre.clone();
                let seed = self.random.random();
                let settings = balance::Settings {
                    remote_factor: REMOTE_FACTOR,
                    busy_remote_factor: BUSY_REMOTE_FACTOR,
                    ..balance::Settings::default()
                };
                let mut picker = Picker::new(settings, data_centre, seed);
                picker.set_targets(now, &targets);
                self.pickers.insert(pool, picker);
            }
        }
    }

    fn resend_budget(&mut self, now: Instant, pool: &id::Pool) -> &mut ResendBudget {
        let Settings { resend_permille, resend_window, .. } = self.settings;
        let budget = self.resend_budgets.entry(pool.clone());
        budget.or_insert_with(|| ResendBudget::new(now, resend_permille, resend_window))
    }
}

/// A summary of the state of a node for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The name of the VM that the node runs on.
    pub vm: id::Vm,
    /// The revision of the routing table in force.
    pub table: Option<Revision>,
    /// The position up to which the facts are complete.
    pub position: Position,
    /// The position at which the last read found the store.
    pub store: Position,
    /// The time since the document was last known to be the newest one.
    pub confirmed_age_ms: Option<u64>,
    /// The number of targets.
    pub targets: usize,
    /// The number of peers.
    pub peers: usize,
    /// The number of calls running on the local target.
    pub in_flight: usize,
    /// The number of calls queued for the local target.
    pub waiting: usize,
    /// The limit on requests per second that the local target names.
    pub target_limit: Option<f64>,
    /// The state of load balancing by pool.
    pub pools: BTreeMap<id::Pool, balance::Dump>,
}
