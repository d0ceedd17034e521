//! A fleet in virtual time: nodes with a view and a store, a network with faults and a platform.
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

pub const TICK: Duration = Duration::from_millis(100);

/// A message of either protocol.
#[derive(Clone, Debug)]
pub enum Packet {
    Member(member::Message),
    Config(config::Message),
}

#[derive(Clone, Debug)]
enum Event {
    Tick { node: usize, life: u64 },
    Deliver { from: usize, to: usize, packet: Packet },
    Poll { node: usize, life: u64, after: Revision, until: Instant },
    Listed { node: usize, life: u64 },
    Wake { node: usize },
}

struct Timed {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        Reverse((self.at, self.number)).cmp(&Reverse((other.at, other.number)))
    }
}

/// How the network treats messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplicates: f64,
    pub delay_ms: (u64, u64),
}

pub const GOOD: Network = Network { loss: 0.0, duplicates: 0.0, delay_ms: (1, 5) };

/// What one node has sent.
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
    pub life: u64,
    pub is_up: bool,
    pub paused_until: Option<Instant>,
    pub side: u8,
    pub has_platform: bool,
    pub cost: Cost,
    /// The last time at which a fault touched the node.
    pub touched_at: Instant,
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
    pub is_measured: bool,
    pub member_settings: member::Settings,
    pub config_settings: config::Settings,
    pub seed: u64,
    index: BTreeMap<id::Vm, usize>,
    queue: BinaryHeap<Timed>,
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
            network: GOOD,
            is_measured: false,
            member_settings,
            config_settings,
            seed,
            index: (0..nodes).map(|i| (vm(i), i)).collect(),
            queue: BinaryHeap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for line in list {
            let (view, store) = fleet.life_of(&line.vm, &line.data_centre, 0);
            fleet.nodes.push(Node {
                vm: line.vm,
                data_centre: line.data_centre,
                view,
                store,
                life: 0,
                is_up: false,
                paused_until: None,
                side: 0,
                has_platform: true,
                cost: Cost::default(),
                touched_at: Instant::ZERO,
                started_at: Instant::ZERO,
                highest: Revision(0),
                clock: Duration::ZERO,
                deferred: Vec::new(),
            });
        }
        (0..nodes).for_each(|i| fleet.start(i));
        fleet
    }

    fn life_of(&mut self, vm: &id::Vm, dc: &id::DataCentre, life: u64) -> (View, Store) {
        let seed = self.rng.random();
        let address = self.platform.vms.iter().find(|line| line.vm == *vm).expect("known").address;
        let incarnation =
            id::Incarnation(1_000_000 + life * 1_000 + self.now.as_nanos() / 1_000_000);
        let member = self.member_settings.clone();
        let view = View::new(member, vm.clone(), dc.clone(), address, incarnation, seed);
        let config = self.config_settings.clone();
        let store = Store::new(config, vm.clone(), dc.clone(), incarnation, seed);
        (view, store)
    }

    /// Starts a node, or ends its life and starts another with empty memory.
    pub fn start(&mut self, node: usize) {
        let (vm, dc) = (self.nodes[node].vm.clone(), self.nodes[node].data_centre.clone());
        let life = self.nodes[node].life + 1;
        let (view, store) = self.life_of(&vm, &dc, life);
        let clock = Duration::from_millis(self.rng.random_range(0..1_000_000));
        let wait = Duration::from_millis(self.rng.random_range(0..100));
        let now = self.now;
        let n = &mut self.nodes[node];
        (n.view, n.store, n.life, n.clock) = (view, store, life, clock);
        (n.is_up, n.paused_until, n.highest) = (true, None, Revision(0));
        (n.touched_at, n.started_at) = (now, now);
        n.deferred.clear();
        self.push(wait, Event::Tick { node, life });
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].is_up = false;
        self.nodes[node].life += 1;
        self.nodes[node].touched_at = self.now;
    }

    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = Some(self.now + time);
        self.nodes[node].touched_at = self.now;
        self.push(time, Event::Wake { node });
    }

    /// Ends a pause. What reached the paused process has waited in its sockets.
    fn wake(&mut self, node: usize) {
        if self.nodes[node].paused_until.take().is_some() {
            self.nodes[node].touched_at = self.now;
            for event in std::mem::take(&mut self.nodes[node].deferred) {
                self.push(Duration::ZERO, event);
            }
        }
    }

    /// Puts each node on one side of a cut, which no message passes.
    pub fn cut(&mut self, side_of: impl Fn(usize, &Node) -> u8) {
        let now = self.now;
        for (i, node) in self.nodes.iter_mut().enumerate() {
            node.side = side_of(i, node);
            node.touched_at = now;
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cut(|_, _| 0);
        self.network = GOOD;
        self.platform.heal(self.now);
        for node in &mut self.nodes {
            node.has_platform = true;
        }
        (0..self.nodes.len()).for_each(|node| self.wake(node));
    }

    pub fn leave(&mut self, node: usize) {
        let now = self.local(node);
        let out = self.nodes[node].view.leave(now);
        self.send_member(node, out);
    }

    /// Hands a node a message that its sender never sent.
    pub fn inject(&mut self, from: usize, to: usize, message: config::Message) {
        self.deliver(from, to, Packet::Config(message));
    }

    fn local(&self, node: usize) -> Instant {
        self.now + self.nodes[node].clock
    }

    fn push(&mut self, wait: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Timed { at: self.now + wait, number: self.number, event });
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|timed| timed.at <= end) {
            let timed = self.queue.pop().expect("peeked");
            self.now = timed.at;
            self.handle(timed.event);
        }
        self.now = end;
    }

    /// Lets time pass until a condition holds, and returns how long it took.
    pub fn run_until(&mut self, most: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= most {
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
            | Event::Listed { node, .. }
            | Event::Wake { node } => *node,
            Event::Deliver { to, .. } => *to,
        };
        if let Some(until) = self.nodes[node].paused_until {
            if !matches!(event, Event::Wake { .. }) {
                return self.nodes[node].deferred.push(event);
            }
            if self.now >= until {
                self.wake(node);
            }
        }
        let life = self.nodes[node].life;
        match event {
            Event::Tick { life: l, .. } if l == life => self.tick(node),
            Event::Deliver { from, packet, .. } if self.nodes[node].is_up => {
                self.deliver(from, node, packet);
            }
            Event::Poll { life: l, after, until, .. } if l == life => self.poll(node, after, until),
            Event::Listed { life: l, .. } if l == life => self.list(node),
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
        let now = self.local(node);
        let out = self.nodes[node].view.tick(now);
        self.send_member(node, out);
        let live: Vec<member::Peer> = self.nodes[node].view.live().collect();
        let actions = self.nodes[node].store.tick(now, &live);
        self.act(node, actions);
        let life = self.nodes[node].life;
        self.push(TICK, Event::Tick { node, life });
    }

    fn deliver(&mut self, from: usize, to: usize, packet: Packet) {
        let now = self.local(to);
        let sender = self.nodes[from].vm.clone();
        match packet {
            Packet::Member(message) => {
                let out = self.nodes[to].view.receive(now, &sender, message);
                self.send_member(to, out);
            }
            Packet::Config(message) => {
                let actions = self.nodes[to].store.receive(now, &sender, message);
                self.act(to, actions);
            }
        }
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        const TRIP: Duration = Duration::from_millis(3);
        let life = self.nodes[node].life;
        for action in actions {
            match action {
                Action::ReadVms => {
                    self.platform.count(self.now);
                    self.push(TRIP, Event::Listed { node, life });
                }
                Action::Read { after, wait } => {
                    let is_refused = self.platform.count(self.now);
                    let until = if is_refused { Instant::ZERO } else { self.now + wait };
                    self.push(TRIP, Event::Poll { node, life, after, until });
                }
                Action::Send(to, message) => {
                    let bytes = if self.is_measured { size(&message) } else { 0 };
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
        } else if self.platform.visible() <= after && self.now < until {
            let life = self.nodes[node].life;
            return self.push(INTERVAL, Event::Poll { node, life, after, until });
        } else {
            Ok(self.platform.read(after))
        };
        let now = self.local(node);
        let actions = self.nodes[node].store.published(now, result);
        self.act(node, actions);
    }

    fn list(&mut self, node: usize) {
        let now = self.local(node);
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
            let bytes = if self.is_measured { size(&message) } else { 0 };
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
            self.push(Duration::from_millis(delay), Event::Deliver { from, to, packet });
        }
    }

    /// Returns the nodes that run and are not paused.
    pub fn awake(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_up && node.paused_until.is_none())
    }

    /// Returns a node's reading of its own clock.
    pub fn clock_of(&self, node: &Node) -> Instant {
        self.now + node.clock
    }

    /// Tells whether all nodes have a revision in force.
    pub fn is_in_force(&self, revision: Revision) -> bool {
        self.awake().all(|node| node.store.set().is_some_and(|set| set.revision() == revision))
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).expect("a message can be encoded").len() as u64
}
