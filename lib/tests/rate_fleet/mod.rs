//! Simulates the rate limiters of several nodes in virtual time, with faulty networks and drifting
//! clocks.

#![allow(dead_code)]

use {
    monsoon_lib::{
        id,
        rate::{Decision, Guards, Limiter, Message, Settings, Ticket},
        table,
        time::Instant,
        unit::Revision,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
        fmt::Write,
        sync::Arc,
    },
};

pub const MS: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MS;

/// The contents of one revision of the tables.
#[derive(Clone, Debug)]
pub struct Tables {
    /// Name, rate and burst of each account.
    pub accounts: Vec<(&'static str, u64, u32)>,
    /// Indices of the nodes in the pools.
    pub vms: Vec<usize>,
    pub shares: String,
}

#[derive(Clone, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplicates: f64,
    /// Fraction of the messages that are delayed by up to `max_extra_delay`.
    pub late_share: f64,
    pub max_extra_delay: u64,
    pub delay: u64,
}

impl Network {
    pub const GOOD: Self =
        Self { loss: 0.0, duplicates: 0.0, late_share: 0.0, max_extra_delay: 0, delay: MS / 2 };
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick(usize),
    Deliver {
        to: usize,
        from: usize,
        /// The incarnation of the sender.
        sender: id::Incarnation,
        message: Message,
    },
    /// A request of an account at a node, repeated at an interval until a time.
    Arrive {
        account: &'static str,
        node: Ingress,
        interval: u64,
        until: u64,
    },
    Pause {
        node: usize,
        time: u64,
    },
    Restart {
        node: usize,
    },
    /// The node stops permanently, unless a restart event follows.
    Stop {
        node: usize,
    },
    Partition {
        groups: Vec<u8>,
        time: u64,
    },
    Heal,
    Publish {
        revision: usize,
    },
    Configure {
        node: usize,
        revision: usize,
    },
    SetAbsent {
        node: usize,
        absent: Vec<usize>,
    },
    /// No token of an earlier revision is in use any more, so new windows start with the current
    /// limits.
    RestartWindows,
}

#[derive(Clone, Debug)]
pub enum Ingress {
    One(usize),
    All,
    Some(Vec<usize>),
}

pub struct Node {
    vm: id::Vm,
    data_centre: id::DataCentre,
    pub clock_drift_ppm: i64,
    clock_offset: u64,
    incarnation: u64,
    pub limiter: Limiter,
    pub revision: usize,
    paused_until: u64,
    is_stopped: bool,
}

/// The excess over the rate for all windows that began under one set of tables, tracked as a
/// running maximum.
struct Window {
    excess: f64,
    bound: f64,
    at: u64,
}

#[derive(Default)]
pub struct Count {
    pub arrived: u64,
    pub granted: u64,
    pub refused: u64,
    pub waited: u64,
    pub refused_at: Vec<u64>,
    pub granted_at: Vec<(u64, usize)>,
}

pub struct Fleet {
    pub settings: Settings,
    pub guards: Guards,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub tables: Vec<(Tables, Arc<table::Set>)>,
    pub counts: HashMap<&'static str, Count>,
    pub messages: u64,
    pub bytes: u64,
    pub sent_bytes: Vec<u64>,
    /// Each excess over a window's bound: the account, by how much, and when.
    pub violations: Vec<(&'static str, f64, u64)>,
    pub bandwidth_from: u64,
    groups: Vec<u8>,
    windows: HashMap<&'static str, Vec<Window>>,
    /// The largest rate and burst in force since the last change, by account.
    limits_in_force: HashMap<&'static str, (f64, f64)>,
    /// When each revision was last in force at any node.
    last_used: BTreeMap<usize, u64>,
    pending: HashMap<(usize, u64, Ticket), &'static str>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_event_key: u64,
    pub now: u64,
    rng: ChaCha8Rng,
}

pub fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

pub fn table_set(tables: &Tables, data_centres: usize, revision: u64) -> table::Set {
    let mut text = String::from("pools:\n  - name: desk\n    targets:\n");
    for vm in &tables.vms {
        let data_centre = vm % data_centres;
        writeln!(
            text,
            "      - {{ vm: {}, data_centre: dc-{data_centre}, slots: 9, connections: 9 }}",
            vm_name(*vm)
        )
        .expect("writing to a string does not fail");
    }
    if !tables.accounts.is_empty() {
        text += "accounts:\n";
    }
    for (name, rate, burst) in &tables.accounts {
        let shares = &tables.shares;
        writeln!(text, "  - {{ name: {name}, rate: {rate}, burst: {burst}{shares} }}")
            .expect("writing to a string does not fail");
    }
    let mut builder = table::Builder::new();
    builder.add_document("tables.yaml", &text);
    builder.finish(Revision(revision)).expect("the tables are valid")
}

impl Fleet {
    pub fn new(
        seed: u64,
        count: usize,
        data_centres: usize,
        drift_ppm: i64,
        settings: Settings,
        guards: Guards,
        tables: &[Tables],
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sets = tables.iter().enumerate();
        let tables: Vec<_> = sets
            .map(|(i, t)| (t.clone(), Arc::new(table_set(t, data_centres, i as u64 + 1))))
            .collect();
        let mut nodes = Vec::new();
        for index in 0..count {
            let vm: id::Vm = vm_name(index).parse().expect("the name is valid");
            let data_centre: id::DataCentre =
                format!("dc-{}", index % data_centres).parse().expect("the name is valid");
            let incarnation = id::Incarnation(1);
            let limiter =
                Limiter::new(settings.clone(), vm.clone(), data_centre.clone(), incarnation);
            nodes.push(Node {
                limiter: limiter.with_guards(guards),
                vm,
                data_centre,
                clock_drift_ppm: if drift_ppm == 0 {
                    0
                } else {
                    rng.random_range(-drift_ppm..=drift_ppm)
                },
                clock_offset: rng.random_range(0..1_000_000) * SECOND,
                incarnation: 1,
                revision: 0,
                paused_until: 0,
                is_stopped: false,
            });
        }
        let mut fleet = Self {
            settings,
            guards,
            nodes,
            network: Network::GOOD,
            counts: HashMap::new(),
            messages: 0,
            bytes: 0,
            sent_bytes: vec![0; count],
            violations: Vec::new(),
            bandwidth_from: 0,
            groups: vec![0; count],
            windows: HashMap::new(),
            limits_in_force: HashMap::new(),
            last_used: BTreeMap::new(),
            pending: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event_key: 0,
            now: 0,
            rng,
            tables,
        };
        for node in 0..count {
            fleet.configure(node, 0);
            let offset = fleet.rng.random_range(0..100) * MS;
            fleet.at(offset, Event::Tick(node));
        }
        fleet.restart_windows();
        fleet
    }

    pub fn at(&mut self, time: u64, event: Event) {
        self.last_event_key += 1;
        self.queue.push(Reverse((time, self.last_event_key)));
        self.events.insert(self.last_event_key, event);
    }

    pub fn clock(&self, node: usize) -> Instant {
        let node = &self.nodes[node];
        let drift = self.now as i128 * i128::from(node.clock_drift_ppm) / 1_000_000;
        let nanos = i128::from(node.clock_offset) + self.now as i128 + drift;
        Instant::from_nanos(u64::try_from(nanos).expect("the clock is past its origin"))
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, key))) = self.queue.peek().copied() {
            if time > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(time);
            let event = self.events.remove(&key).expect("each queued key has an event");
            self.handle(event);
        }
        self.now = until;
    }

    fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].paused_until > self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Deliver { to, from, sender, message } => self.deliver(to, from, sender, message),
            Event::Arrive { account, node, interval, until } => {
                self.arrive(account, &node);
                if self.now + interval <= until {
                    let last_event_key = self.now + interval;
                    self.at(last_event_key, Event::Arrive { account, node, interval, until });
                }
            }
            Event::Pause { node, time } => self.nodes[node].paused_until = self.now + time,
            Event::Restart { node } => self.restart(node),
            Event::Stop { node } => self.nodes[node].is_stopped = true,
            Event::Partition { groups, time } => {
                self.groups = groups;
                let heal = self.now + time;
                self.at(heal, Event::Heal);
            }
            Event::Heal => self.groups.fill(0),
            Event::RestartWindows => self.restart_windows(),
            Event::Publish { revision } => {
                for node in 0..self.nodes.len() {
                    let lag = self.rng.random_range(0..6_000) * MS;
                    let time = self.now + lag;
                    self.at(time, Event::Configure { node, revision });
                }
            }
            Event::Configure { node, revision } => {
                if self.is_paused(node) {
                    let wake = self.nodes[node].paused_until;
                    self.at(wake, Event::Configure { node, revision });
                } else if self.nodes[node].revision < revision {
                    self.configure(node, revision);
                }
            }
            Event::SetAbsent { node, absent } => {
                let absent: BTreeSet<id::Vm> =
                    absent.into_iter().map(|i| self.nodes[i].vm.clone()).collect();
                self.nodes[node].limiter.set_absent(absent);
            }
        }
    }

    fn configure(&mut self, node: usize, revision: usize) {
        let now = self.clock(node);
        let old = self.nodes[node].revision;
        self.last_used.insert(old, self.now);
        self.nodes[node].revision = revision;
        let set = self.tables[revision].1.clone();
        self.nodes[node].limiter.configure(now, &set);
        self.restart_windows();
        // After this time, no token of an earlier revision is in use.
        let release_delay = self.now + self.release_delay() + MS;
        self.at(release_delay, Event::RestartWindows);
    }

    fn release_delay(&self) -> u64 {
        (self.settings.term_ms + self.settings.ask_ms + 50) * MS
    }

    fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.is_stopped = false;
        node.paused_until = 0;
        let incarnation = id::Incarnation(node.incarnation);
        let (vm, data_centre) = (node.vm.clone(), node.data_centre.clone());
        node.clock_offset = self.rng.random_range(0..1_000_000) * SECOND;
        let limiter = Limiter::new(self.settings.clone(), vm, data_centre, incarnation);
        node.limiter = limiter.with_guards(self.guards);
        let revision = node.revision;
        self.configure(index, revision);
    }

    fn tick(&mut self, node: usize) {
        const PERIOD: u64 = 100 * MS;
        let last_event_key = self.now.max(self.nodes[node].paused_until) + PERIOD;
        self.at(last_event_key, Event::Tick(node));
        if self.is_paused(node) || self.nodes[node].is_stopped {
            return;
        }
        let now = self.clock(node);
        let messages = self.nodes[node].limiter.tick(now);
        self.send(node, messages);
        self.record_late_decisions(node);
    }

    fn deliver(&mut self, to: usize, from: usize, sender: id::Incarnation, message: Message) {
        if self.is_paused(to) {
            let wake = self.nodes[to].paused_until;
            self.at(wake, Event::Deliver { to, from, sender, message });
            return;
        }
        if self.nodes[to].is_stopped {
            return;
        }
        let now = self.clock(to);
        let from = self.nodes[from].vm.clone();
        self.nodes[to].limiter.receive(now, &from, sender, &message);
        self.flush(to);
    }

    fn flush(&mut self, node: usize) {
        let messages = self.nodes[node].limiter.take_outbox();
        self.send(node, messages);
        self.record_late_decisions(node);
    }

    fn record_late_decisions(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        for answer in self.nodes[node].limiter.take_late_decisions() {
            if let Some(account) = self.pending.remove(&(node, incarnation, answer.ticket)) {
                self.count(account, node, answer.decision);
            } else if answer.decision == Decision::Granted {
                panic!("a request was decided twice");
            }
        }
    }

    fn send(&mut self, from: usize, messages: Vec<(id::Vm, Message)>) {
        let sender = id::Incarnation(self.nodes[from].incarnation);
        for (vm, message) in messages {
            let index = vm.as_str().strip_prefix("vm-").and_then(|n| n.parse().ok());
            let to: usize = index.expect("the VM name ends with the node's index");
            if self.now >= self.bandwidth_from {
                let bytes = postcard::to_allocvec(&message).expect("a message encodes").len();
                self.messages += 1;
                self.bytes += bytes as u64;
                self.sent_bytes[from] += bytes as u64;
            }
            let is_duplicated = self.rng.random_bool(self.network.duplicates);
            for _ in 0..=u8::from(is_duplicated) {
                if self.groups[from] != self.groups[to] || self.rng.random_bool(self.network.loss) {
                    continue;
                }
                let mut delay = self.rng.random_range(self.network.delay..=2 * self.network.delay);
                if self.rng.random_bool(self.network.late_share) {
                    delay += self.rng.random_range(0..=self.network.max_extra_delay);
                }
                let time = self.now + delay;
                let message = message.clone();
                self.at(time, Event::Deliver { to, from, sender, message });
            }
        }
    }

    fn arrive(&mut self, account: &'static str, ingress: &Ingress) {
        let node = match ingress {
            Ingress::One(node) => *node,
            Ingress::All => self.rng.random_range(0..self.nodes.len()),
            Ingress::Some(nodes) => nodes[self.rng.random_range(0..nodes.len())],
        };
        if self.is_paused(node) || self.nodes[node].is_stopped {
            return;
        }
        self.counts.entry(account).or_default().arrived += 1;
        let now = self.clock(node);
        let decision = self.nodes[node].limiter.take(now, &account.parse().expect("a valid name"));
        if let Decision::Pending(ticket) = decision {
            self.counts.entry(account).or_default().waited += 1;
            self.pending.insert((node, self.nodes[node].incarnation, ticket), account);
        } else {
            self.count(account, node, decision);
        }
        self.flush(node);
    }

    fn count(&mut self, account: &'static str, node: usize, decision: Decision) {
        let now = self.now;
        let count = self.counts.entry(account).or_default();
        if decision != Decision::Granted {
            count.refused += 1;
            count.refused_at.push(now);
            return;
        }
        count.granted += 1;
        count.granted_at.push((now, node));
        self.check(account);
    }

    /// Returns the largest rate and burst of an account that are still in force at any node.
    fn largest_limits_in_force(&self, account: &str) -> (f64, f64) {
        let held = self.nodes.iter().map(|node| node.revision);
        let since = self.now.saturating_sub(self.release_delay());
        let recent = self.last_used.iter().filter(|(_, at)| **at >= since).map(|(r, _)| *r);
        let mut largest = (0.0, 0.0);
        for revision in held.chain(recent) {
            let accounts = &self.tables[revision].0.accounts;
            if let Some((_, rate, burst)) = accounts.iter().find(|spec| spec.0 == account) {
                largest =
                    (f64::max(largest.0, *rate as f64), f64::max(largest.1, f64::from(*burst)));
            }
        }
        largest
    }

    /// Accounts for the interval up to now at the old rates, and opens a window that begins now.
    fn restart_windows(&mut self) {
        let names_in_tables =
            self.tables.iter().flat_map(|(t, _)| t.accounts.iter().map(|spec| spec.0));
        let names: BTreeSet<&'static str> = names_in_tables.collect();
        for account in names {
            let now = self.now;
            let old = self.limits_in_force.get(account).copied().unwrap_or((0.0, 0.0));
            let (rate, bound) = self.largest_limits_in_force(account);
            self.limits_in_force.insert(account, (rate, bound));
            let windows = self.windows.entry(account).or_default();
            for window in windows.iter_mut() {
                window.drain(now, old.0);
                window.bound = window.bound.max(bound);
            }
            windows.push(Window { excess: 0.0, bound, at: now });
        }
    }

    fn check(&mut self, account: &'static str) {
        let (rate, _) = self.limits_in_force[account];
        let now = self.now;
        for window in self.windows.entry(account).or_default() {
            window.drain(now, rate);
            window.excess += 1.0;
            if window.excess > window.bound + 1e-6 {
                self.violations.push((account, window.excess - window.bound, now));
            }
        }
    }
}

impl Window {
    fn drain(&mut self, now: u64, rate: f64) {
        let seconds = (now - self.at) as f64 / SECOND as f64;
        self.excess = (self.excess - seconds * rate).max(0.0);
        self.at = now;
    }
}
