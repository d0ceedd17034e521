//! Simulates a fleet in virtual time: nodes with a view and a store, a faulty network and a
//! platform.
#![allow(dead_code)]

pub mod platform;
pub mod tables;

use {
    monsoon_lib::{
        config::{self, Action, Store},
        id, member,
        member::View,
        time::Instant,
        unit::Revision,
    },
    platform::Platform,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A message of either protocol.
#[derive(Clone, Debug)]
pub enum Packet {
    Member(member::Message),
    Config(config::Message),
}

#[derive(Clone, Debug)]
enum Event {
    Tick { node: usize, generation: u64 },
    Deliver { from: usize, to: usize, packet: Packet },
    Poll { node: usize, generation: u64, after: Revision, until: Instant },
    ListRead { node: usize, generation: u64 },
    Resume { node: usize },
}

struct Scheduled {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        Reverse((self.at, self.number)).cmp(&Reverse((other.at, other.number)))
    }
}

/// The fault rates and delays of the network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplicates: f64,
    pub delay_ms: (u64, u64),
}

pub const LOSSLESS: Network = Network { loss: 0.0, duplicates: 0.0, delay_ms: (1, 5) };

/// The messages and bytes that one node has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub member_messages: u64,
    pub member_bytes: u64,
    pub config_messages: u64,
    pub config_bytes: u64,
}

pub struct Node {
    pub vm: id::Vm,
    pub data_centre: id::DataCentre,
    pub view: View,
    pub store: Store,
    pub generation: u64,
    pub is_running: bool,
    pub paused_until: Option<Instant>,
    pub side: u8,
    pub has_platform: bool,
    pub cost: Cost,
    /// The last time at which a fault affected the node.
    pub last_fault_at: Instant,
    pub started_at: Instant,
    highest: Revision,
    clock: Duration,
    deferred: Vec<Event>,
}

pub struct Fleet {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    pub network: Network,
    pub measures_bytes: bool,
    pub member_settings: member::Settings,
    pub config_settings: config::Settings,
    pub seed: u64,
    index: BTreeMap<id::Vm, usize>,
    queue: BinaryHeap<Scheduled>,
    number: u64,
    rng: ChaCha8Rng,
}

pub fn vm(i: usize) -> id::Vm {
    format!("vm-{i:03}").parse().expect("the name is well formed")
}

impl Fleet {
    /// Makes a fleet whose nodes all start within 100 ms.
    pub fn new(nodes: usize, data_centres: usize, seed: u64) -> Self {
        Self::with(nodes, data_centres, seed, Default::default(), Default::default())
    }

    pub fn with(
        nodes: usize,
        data_centres: usize,
        seed: u64,
        member_settings: member::Settings,
        config_settings: config::Settings,
    ) -> Self {
        let list: Vec<member::Vm> = (0..nodes)
            .map(|i| member::Vm {
                vm: vm(i),
                data_centre: format!("dc-{}", i % data_centres).parse().expect("a good name"),
                address: ([10, 0, (i / 200) as u8, (i % 200) as u8], 7_001).into(),
                state: member::Listing::Live,
            })
            .collect();
        let mut fleet = Self {
            now: Instant::from_millis(1),
            nodes: Vec::new(),
            platform: Platform::new(list.clone()),
            network: LOSSLESS,
            measures_bytes: false,
            member_settings,
            config_settings,
            seed,
            index: (0..nodes).map(|i| (vm(i), i)).collect(),
            queue: BinaryHeap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for line in list {
            let (view, store) = fleet.new_incarnation(&line.vm, &line.data_centre, 0);
            fleet.nodes.push(Node {
                vm: line.vm,
                data_centre: line.data_centre,
                view,
                store,
                generation: 0,
                is_running: false,
                paused_until: None,
                side: 0,
                has_platform: true,
                cost: Cost::default(),
                last_fault_at: Instant::ZERO,
                started_at: Instant::ZERO,
                highest: Revision(0),
                clock: Duration::ZERO,
                deferred: Vec::new(),
            });
        }
        (0..nodes).for_each(|i| fleet.start(i));
        fleet
    }

    fn new_incarnation(
        &mut self,
        vm: &id::Vm,
        dc: &id::DataCentre,
        generation: u64,
    ) -> (View, Store) {
        let seed = self.rng.random();
        let address = self.platform.vms.iter().find(|line| line.vm == *vm).expect("known").address;
        let incarnation =
            id::Incarnation(1_000_000 + generation * 1_000 + self.now.as_nanos() / 1_000_000);
        let member = self.member_settings.clone();
        let view = View::new(member, vm.clone(), dc.clone(), address, incarnation, seed);
        let config = self.config_settings.clone();
        let store = Store::new(config, vm.clone(), dc.clone(), incarnation, seed);
        (view, store)
    }

    /// Starts a node, or restarts it without any state.
    pub fn start(&mut self, node: usize) {
        let (vm, dc) = (self.nodes[node].vm.clone(), self.nodes[node].data_centre.clone());
        let generation = self.nodes[node].generation + 1;
        let (view, store) = self.new_incarnation(&vm, &dc, generation);
        let clock = Duration::from_millis(self.rng.random_range(0..1_000_000));
        let wait = Duration::from_millis(self.rng.random_range(0..100));
        let now = self.now;
        let n = &mut self.nodes[node];
        (n.view, n.store, n.generation, n.clock) = (view, store, generation, clock);
        (n.is_running, n.paused_until, n.highest) = (true, None, Revision(0));
        (n.last_fault_at, n.started_at) = (now, now);
        n.deferred.clear();
        self.schedule(wait, Event::Tick { node, generation });
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].is_running = false;
        self.nodes[node].generation += 1;
        self.nodes[node].last_fault_at = self.now;
    }

    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = Some(self.now + time);
        self.nodes[node].last_fault_at = self.now;
        self.schedule(time, Event::Resume { node });
    }

    /// Ends a pause. Events that arrived during the pause are delivered now, as if they had waited
    /// in the sockets.
    fn resume(&mut self, node: usize) {
        if self.nodes[node].paused_until.take().is_some() {
            self.nodes[node].last_fault_at = self.now;
            for event in std::mem::take(&mut self.nodes[node].deferred) {
                self.schedule(Duration::ZERO, event);
            }
        }
    }

    /// Partitions the network: nodes on different sides can't exchange messages.
    pub fn cut(&mut self, side_of: impl Fn(usize, &Node) -> u8) {
        let now = self.now;
        for (i, node) in self.nodes.iter_mut().enumerate() {
            node.side = side_of(i, node);
            node.last_fault_at = now;
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cut(|_, _| 0);
        self.network = LOSSLESS;
        self.platform.heal(self.now);
        for node in &mut self.nodes {
            node.has_platform = true;
        }
        (0..self.nodes.len()).for_each(|node| self.resume(node));
    }

    pub fn leave(&mut self, node: usize) {
        let now = self.local_time(node);
        let out = self.nodes[node].view.leave(now);
        self.send_member(node, out);
    }

    /// Delivers a forged message to a node.
    pub fn inject(&mut self, from: usize, to: usize, message: config::Message) {
        self.deliver(from, to, Packet::Config(message));
    }

    fn local_time(&self, node: usize) -> Instant {
        self.now + self.nodes[node].clock
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Scheduled { at: self.now + wait, number: self.number, event });
    }

    /// Advances the virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|scheduled| scheduled.at <= end) {
            let scheduled = self.queue.pop().expect("peeked");
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
        self.now = end;
    }

    /// Advances the virtual time until a condition holds, and returns how long that took.
    pub fn run_until(&mut self, max: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= max {
            if holds(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(20));
        }
        None
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick { node, .. }
            | Event::Poll { node, .. }
            | Event::ListRead { node, .. }
            | Event::Resume { node } => *node,
            Event::Deliver { to, .. } => *to,
        };
        if let Some(until) = self.nodes[node].paused_until {
            if !matches!(event, Event::Resume { .. }) {
                return self.nodes[node].deferred.push(event);
            }
            if self.now >= until {
                self.resume(node);
            }
        }
        let generation = self.nodes[node].generation;
        match event {
            Event::Tick { generation: g, .. } if g == generation => self.tick(node),
            Event::Deliver { from, packet, .. } if self.nodes[node].is_running => {
                self.deliver(from, node, packet);
            }
            Event::Poll { generation: g, after, until, .. } if g == generation => {
                self.poll(node, after, until);
            }
            Event::ListRead { generation: g, .. } if g == generation => self.list(node),
            _ => {}
        }
        self.check_revision(node);
    }

    fn check_revision(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        let Some(set) = n.store.set() else { return };
        let revision = set.revision();
        assert!(revision >= n.highest, "{} went from {} to {revision}", n.vm, n.highest);
        if revision == n.highest {
            return;
        }
        n.highest = revision;
        let published = self.platform.set_at(revision);
        assert!(Some(&**set) == published, "{} has not all of {revision} in force", n.vm);
    }

    fn tick(&mut self, node: usize) {
        let now = self.local_time(node);
        let out = self.nodes[node].view.tick(now);
        self.send_member(node, out);
        let live: Vec<member::Peer> = self.nodes[node].view.live().collect();
        let actions = self.nodes[node].store.tick(now, &live);
        self.perform(node, actions);
        let generation = self.nodes[node].generation;
        self.schedule(TICK_INTERVAL, Event::Tick { node, generation });
    }

    fn deliver(&mut self, from: usize, to: usize, packet: Packet) {
        let now = self.local_time(to);
        let sender = self.nodes[from].vm.clone();
        match packet {
            Packet::Member(message) => {
                let out = self.nodes[to].view.receive(now, &sender, message);
                self.send_member(to, out);
            }
            Packet::Config(message) => {
                let actions = self.nodes[to].store.receive(now, &sender, message);
                self.perform(to, actions);
            }
        }
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        const PLATFORM_DELAY: Duration = Duration::from_millis(3);
        let generation = self.nodes[node].generation;
        for action in actions {
            match action {
                Action::ReadVms => {
                    self.platform.count(self.now);
                    self.schedule(PLATFORM_DELAY, Event::ListRead { node, generation });
                }
                Action::Read { after, wait } => {
                    let is_refused = self.platform.count(self.now);
                    let until = if is_refused { Instant::ZERO } else { self.now + wait };
                    self.schedule(PLATFORM_DELAY, Event::Poll { node, generation, after, until });
                }
                Action::Send(to, message) => {
                    let bytes = if self.measures_bytes { size(&message) } else { 0 };
                    self.nodes[node].cost.config_messages += 1;
                    self.nodes[node].cost.config_bytes += bytes;
                    self.send(node, &to, &Packet::Config(message));
                }
            }
        }
    }

    fn poll(&mut self, node: usize, after: Revision, until: Instant) {
        const INTERVAL: Duration = Duration::from_millis(20);
        let is_cut = self.platform.is_down || !self.nodes[node].has_platform;
        let result = if until == Instant::ZERO {
            Err(config::ReadError::TooMany)
        } else if is_cut {
            Err(config::ReadError::Failed)
        } else if self.platform.visible_revision() <= after && self.now < until {
            let generation = self.nodes[node].generation;
            return self.schedule(INTERVAL, Event::Poll { node, generation, after, until });
        } else {
            Ok(self.platform.read(after))
        };
        let now = self.local_time(node);
        let actions = self.nodes[node].store.published(now, result);
        self.perform(node, actions);
    }

    fn list(&mut self, node: usize) {
        let now = self.local_time(node);
        let is_cut = self.platform.is_down || !self.nodes[node].has_platform;
        let n = &mut self.nodes[node];
        if is_cut {
            return n.store.vms_read(now, Err(config::ReadError::Failed));
        }
        n.view.listed(now, &self.platform.vms);
        n.store.vms_read(now, Ok(()));
    }

    fn send_member(&mut self, node: usize, out: Vec<(id::Vm, member::Message)>) {
        for (to, message) in out {
            let bytes = if self.measures_bytes { size(&message) } else { 0 };
            self.nodes[node].cost.member_messages += 1;
            self.nodes[node].cost.member_bytes += bytes;
            self.send(node, &to, &Packet::Member(message));
        }
    }

    fn send(&mut self, from: usize, to: &id::Vm, packet: &Packet) {
        let Some(to) = self.index.get(to).copied() else { return };
        if self.nodes[from].side != self.nodes[to].side {
            return;
        }
        let network = self.network;
        let copies = 1 + usize::from(self.rng.random_bool(network.duplicates));
        for _ in 0..copies {
            if self.rng.random_bool(network.loss) {
                continue;
            }
            let delay = self.rng.random_range(network.delay_ms.0..=network.delay_ms.1);
            let packet = packet.clone();
            self.schedule(Duration::from_millis(delay), Event::Deliver { from, to, packet });
        }
    }

    /// Returns the nodes that are running and not paused.
    pub fn active_nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_running && node.paused_until.is_none())
    }

    /// Returns the time on a node's own clock.
    pub fn clock_of(&self, node: &Node) -> Instant {
        self.now + node.clock
    }

    /// Returns whether all active nodes have a revision in force.
    pub fn is_in_force(&self, revision: Revision) -> bool {
        self.active_nodes()
            .all(|node| node.store.set().is_some_and(|set| set.revision() == revision))
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).expect("a message can be encoded").len() as u64
}
