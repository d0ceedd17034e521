//! One node: what it believes, and what it decides on each request.
//!
//! The driver passes the reading of its clock in with every call and does all input and output. A
//! request is a [`Call`] that the driver keeps: [`Node::admit`] makes it, [`Node::send`] names the
//! next target, and [`Node::returned`] decides whether to go on.

mod call;
mod peers;
mod wheel;

pub use {
    call::{Call, Head, Next, Returned, Send, Served},
    peers::{Peer, Source},
};

use {
    super::{
        fact::{Fact, Facts, Key, Target, Value},
        fleet::Fleet,
        gate::Gate,
        lease::Lease,
        lineage::Runs,
        quota::{Coordinator, Meters},
        resend::Resends,
        table::Table,
    },
    crate::{
        balance::{self, Picker},
        crash::{self, CrashTracker},
        id, pressure,
        time::Instant,
        unit::Revision,
    },
    call::Horizon,
    peers::Peers,
    rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _},
    rand_chacha::ChaCha8Rng,
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashMap},
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    wheel::Wheel,
};

/// The factor by which a target elsewhere has to be cheaper than one in the own data centre. Bytes
/// between data centres are paid for, and a target with published slots is not slower at half load.
const REMOTE_FACTOR: f64 = 3.0;
/// The same towards a target in the own data centre that is nearly full. The way elsewhere takes a
/// millisecond or two.
const BUSY_REMOTE_FACTOR: f64 = 1.2;

/// The peers that a node tells of crashes at once, and again with each tick until all have heard. A caller
/// may send the request again within a second.
const CRASH_PEERS: usize = 16;

/// What a node has to know of itself and of its deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the VM.
    pub vm: id::Vm,
    /// The address of the VM, by which other nodes know it.
    pub host: IpAddr,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The pool of the VM's own target.
    pub pool: id::Pool,
    /// Where the VM's own target listens.
    pub target: SocketAddr,
    /// The longest time from the withdrawal of a key to its effect.
    pub withdrawal: Duration,
    /// Resends for a thousand first sends.
    pub resend_permille: u32,
    /// The window of the resends.
    pub resend_window: Duration,
}

/// What changed with some facts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// A new table is in force.
    pub table: Option<Revision>,
    /// Targets came, went or changed.
    pub has_targets: bool,
}

/// All beliefs of one node.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    facts: Facts,
    table: Option<Arc<Table>>,
    lease: Lease,
    fleet: Fleet,
    peers: Peers,
    pickers: BTreeMap<id::Pool, Picker>,
    resends: BTreeMap<id::Pool, Resends>,
    runs: Runs,
    suspects: CrashTracker,
    wheels: HashMap<id::Route, Wheel>,
    horizon: Horizon,
    gate: Gate,
    meters: Meters,
    coordinator: Coordinator,
    random: ChaCha8Rng,
    is_leaving: bool,
}

impl Node {
    /// Makes a node that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            facts: Facts::default(),
            table: None,
            lease: Lease::new(settings.withdrawal),
            fleet: Fleet::default(),
            peers: Peers::new(settings.host, settings.data_centre.clone()),
            pickers: BTreeMap::new(),
            resends: BTreeMap::new(),
            runs: Runs::default(),
            suspects: CrashTracker::new(
                settings.vm.clone(),
                id::Incarnation(seed),
                crash::Settings::default(),
            ),
            wheels: HashMap::new(),
            horizon: Horizon::default(),
            gate: Gate::new(0),
            meters: Meters::default(),
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

    /// Returns the table in force.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the facts.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Returns how long keys may be trusted.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the targets.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the peers to change them.
    pub fn peers_mut(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Returns the gate of the own target.
    pub fn gate(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Returns the runs of the own target.
    pub fn runs(&mut self) -> &mut Runs {
        &mut self.runs
    }

    /// Returns the requests that crash targets.
    pub fn suspects(&mut self) -> &mut CrashTracker {
        &mut self.suspects
    }

    /// Returns news of crashes for other nodes, and the peers that get them.
    pub fn crash_news(&mut self, now: Instant) -> Option<(crash::Message, Vec<IpAddr>)> {
        let message = self.suspects.next_message(now, self.peers.len() + 1)?;
        let usable = self.peers.hosts().filter(|host| self.peers.is_usable(now, *host));
        Some((message, usable.sample(&mut self.random, CRASH_PEERS)))
    }

    /// Returns this node's part of the sold rates.
    pub fn meters(&mut self) -> &mut Meters {
        &mut self.meters
    }

    /// Returns the demand of all nodes, which counts while this node is the coordinator.
    pub fn coordinator(&mut self) -> &mut Coordinator {
        &mut self.coordinator
    }

    /// Starts to leave.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Tells whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Tells whether callers should come to this node.
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_keyed = self.table.as_ref().is_some_and(|table| table.is_keyed());
        let has_keys = !is_keyed || self.lease.is_valid(now);
        self.table.is_some() && has_keys && !self.is_leaving
    }

    /// Returns the name of the own target's life, once its entry is known.
    pub fn own_target(&self) -> Option<id::Vm> {
        self.fleet.at(self.settings.target).map(|target| target.name.clone())
    }

    /// Takes facts. `position` is the revision up to which none is missing after them.
    pub fn learn(&mut self, now: Instant, facts: &[Fact], position: Revision) -> Changes {
        let mut changes = Changes::default();
        for fact in facts {
            if self.facts.take(now, fact) {
                self.learn_one(now, fact, &mut changes);
            }
        }
        self.facts.advance(position);
        if changes.has_targets || changes.table.is_some() {
            self.refresh(now);
        }
        changes
    }

    /// Takes a whole listing of the platform, from which targets that left are missing.
    pub fn learn_listing(&mut self, now: Instant, facts: &[Fact], at: Revision) -> Changes {
        let listed: Vec<Key> = facts.iter().map(|fact| fact.key.clone()).collect();
        let mut facts = facts.to_vec();
        facts.extend(self.facts.missing(&listed, at));
        self.learn(now, &facts, at)
    }

    /// Notes that the document was the newest one at a moment.
    pub fn confirm(&mut self, at: Instant) {
        self.lease.confirm(at);
    }

    /// Returns the targets whose entries went away and that are kept for now.
    pub fn missing(&self) -> impl Iterator<Item = &Target> {
        self.fleet.missing()
    }

    /// Takes in whether the node of a target without an entry vouches for it.
    pub fn vouched(&mut self, now: Instant, name: &id::Vm, is_vouched: bool) {
        self.fleet.vouched(now, name, is_vouched);
        if self.fleet.tick(now) {
            self.refresh(now);
        }
    }

    /// Notes that the platform could not be read.
    pub fn outage(&mut self, now: Instant) {
        self.fleet.outage(now);
    }

    /// Does what is due by time alone. It is called about twice a second.
    pub fn tick(&mut self, now: Instant) {
        self.facts.tick(now);
        self.suspects.tick(now);
        self.peers.tick(now);
        if self.fleet.tick(now) {
            self.refresh(now);
        }
    }

    /// Takes in the load of a target.
    pub fn report(&mut self, now: Instant, target: &id::Vm, report: &pressure::Report) {
        let Some(pool) = self.fleet.get(target).map(|target| target.pool.clone()) else { return };
        if let Some(picker) = self.pickers.get_mut(&pool) {
            picker.record_report(now, target, report);
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            vm: self.settings.vm.clone(),
            table: self.table.as_ref().map(|table| table.revision()),
            position: self.facts.position(),
            confirmed_age_ms: self.lease.age(now).map(|age| age.as_millis() as u64),
            targets: self.fleet.iter().count(),
            peers: self.peers.len(),
            in_flight: self.gate.in_flight(),
            waiting: self.gate.waiting(),
            pools: self.pickers.iter().map(|(pool, p)| (pool.clone(), p.dump(now))).collect(),
        }
    }

    fn learn_one(&mut self, now: Instant, fact: &Fact, changes: &mut Changes) {
        match (&fact.key, &fact.value) {
            (Key::Document, Value::Document(document)) => {
                let newer = self.table.as_ref().is_none_or(|t| t.revision() < document.revision);
                if !newer {
                    return;
                }
                match Table::new(document.as_ref().clone()) {
                    Ok(table) => {
                        changes.table = Some(table.revision());
                        self.meters.set_table(now, &table);
                        self.table = Some(Arc::new(table));
                    }
                    Err(error) => {
                        log::warn!("refused revision {} of the tables: {error}", document.revision);
                    }
                }
            }
            (Key::Target(_), Value::Target(target)) => {
                changes.has_targets = true;
                self.fleet.put(target.clone());
            }
            (Key::Target(name), Value::Gone) => {
                changes.has_targets = true;
                self.fleet.remove(now, name);
            }
            (key, value) => log::warn!("ignored a fact of the wrong kind: {key:?}, {value:?}"),
        }
    }

    /// Brings everything that depends on tables and targets up to date.
    fn refresh(&mut self, now: Instant) {
        self.peers.set_hosts(self.fleet.iter());
        self.meters.set_nodes(now, self.peers.len() + 1);
        let slots = self.fleet.at(self.settings.target).map(|target| target.slots);
        if let Some(slots) = slots {
            self.gate.resize(slots);
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

    fn resends(&mut self, now: Instant, pool: &id::Pool) -> &mut Resends {
        let Settings { resend_permille, resend_window, .. } = self.settings;
        let resends = self.resends.entry(pool.clone());
        resends.or_insert_with(|| Resends::new(now, resend_permille, resend_window))
    }
}

/// The state of a node, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The VM.
    pub vm: id::Vm,
    /// The revision of the tables in force.
    pub table: Option<Revision>,
    /// The platform's revision up to which nothing is missing.
    pub position: Revision,
    /// The time since the tables were last known to be the newest.
    pub confirmed_age_ms: Option<u64>,
    /// The number of targets.
    pub targets: usize,
    /// The number of peers.
    pub peers: usize,
    /// The calls that run on the own target.
    pub in_flight: usize,
    /// The calls that wait for the own target.
    pub waiting: usize,
    /// The targets by pool.
    pub pools: BTreeMap<id::Pool, balance::Dump>,
}
