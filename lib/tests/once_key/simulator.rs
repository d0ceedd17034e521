//! Simulation of several nodes in virtual time, with a lossy network and targets that count runs.

use {
    monsoon_lib::{
        call::{Outcome, Reason, Refusal},
        id::{Call, Incarnation, Pool, Route, Vm},
        once::{Action, Claim, Deduplicator, Id, Message, Peer, Report, Request, Settings, Ticket},
        table,
        time::Instant,
        unit::{Bytes, Revision},
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

const STEP: Duration = Duration::from_millis(1);
const RUN_DURATION: Duration = Duration::from_millis(5);

pub fn settings() -> Settings {
    Settings {
        window_ms: 2_000,
        ticket_ms: 400,
        fresh_ms: 200,
        probe_ms: 40,
        resend_ms: 20,
        ..Settings::default()
    }
}

/// Message loss, duplication and delay of the network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay_max_ms: u64,
}

pub const RELIABLE_NETWORK: Network =
    Network { loss_percent: 0, duplicate_percent: 0, delay_max_ms: 1 };

#[derive(Clone, Debug)]
enum Frame {
    Peer { message: Message },
    Run { call: Call, claim: Claim },
    Ran { call: Call, attempt: u8, result: Result<(), Refusal> },
}

#[derive(Clone, Debug)]
struct Packet {
    from: Peer,
    to: usize,
    frame: Frame,
}

#[derive(Clone, Debug)]
struct OpenCall {
    transmission: usize,
    id: Option<(Id, Ticket)>,
    fingerprint: u64,
    attempt: u8,
    sent_at: Instant,
    may_have_run: bool,
}

/// The response to a caller for one transmission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    Answer,
    Replay,
    Refused(Refusal),
}

/// One request sent by a caller, possibly a resent one.
#[derive(Clone, Debug)]
pub struct Transmission {
    pub response: Option<Response>,
    pub runs: u32,
}

struct Node {
    deduplicator: Option<Deduplicator>,
    incarnation: Incarnation,
    revision: usize,
    paused_until: Instant,
    calls: BTreeMap<Call, OpenCall>,
    next_call: u64,
    inbox: Vec<Packet>,
    clock_rate_ppm: u64,
}

pub struct Simulation {
    pub now: Instant,
    pub network: Network,
    /// Delay of a request on its way to the target, in addition to the network's delay.
    pub run_delay: Duration,
    settings: Settings,
    pub transmissions: Vec<Transmission>,
    /// The times at which each key ran.
    pub runs: BTreeMap<u32, Vec<Instant>>,
    nodes: Vec<Node>,
    tables: Vec<Arc<table::Set>>,
    other_pool: Vec<usize>,
    isolated: BTreeSet<usize>,
    packets: BTreeMap<(Instant, u64), Packet>,
    next_packet: u64,
    table_updates: BTreeMap<(Instant, u64), (usize, usize)>,
    rng: ChaCha8Rng,
    keys_by_id: HashMap<Id, u32>,
}

fn vm(index: usize) -> Vm {
    format!("v{index}").parse().expect("a name")
}

fn route() -> Route {
    "book".parse().expect("a name")
}

fn pool() -> Pool {
    "bench".parse().expect("a name")
}

fn tables(revision: u64, members: &BTreeSet<usize>, other_pool: &[usize]) -> Arc<table::Set> {
    let target =
        |v: &usize| format!("  - {{ vm: v{v}, data_centre: d, slots: 9, connections: 9 }}\n");
    let mut text = "pools:\n- name: bench\n  targets:\n".to_owned();
    text.extend(members.iter().map(target));
    text.push_str("- name: desk\n  targets:\n");
    text.extend(other_pool.iter().map(target));
    let mut builder = table::Builder::new();
    builder.add_document("test", &text);
    Arc::new(builder.finish(Revision(revision)).expect("the tables are valid"))
}

impl Simulation {
    /// Starts `count` nodes, of which `members` serve the pool, and two nodes of another pool.
    pub fn new(seed: u64, count: usize, members: &[usize], network: Network) -> Self {
        Self::with_settings(seed, count, members, network, settings())
    }

    /// As [`Simulation::new`], with the given settings.
    pub fn with_settings(
        seed: u64,
        count: usize,
        members: &[usize],
        network: Network,
        settings: Settings,
    ) -> Self {
        let other_pool = vec![count, count + 1];
        let mut simulation = Self {
            now: Instant::from_millis(1_000_000),
            network,
            run_delay: Duration::ZERO,
            settings,
            transmissions: Vec::new(),
            runs: BTreeMap::new(),
            nodes: Vec::new(),
            tables: vec![tables(1, &members.iter().copied().collect(), &other_pool)],
            other_pool,
            isolated: BTreeSet::new(),
            packets: BTreeMap::new(),
            next_packet: 0,
            table_updates: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys_by_id: HashMap::new(),
        };
        for index in 0..count + 2 {
            let clock_rate_ppm = simulation.rng.random_range(990_000..=1_010_000);
            simulation.nodes.push(Node {
                deduplicator: None,
                incarnation: Incarnation(0),
                revision: 0,
                paused_until: Instant::ZERO,
                calls: BTreeMap::new(),
                next_call: 0,
                inbox: Vec::new(),
                clock_rate_ppm,
            });
            simulation.start(index);
        }
        simulation
    }

    fn clock(&self, index: usize) -> Instant {
        let nanos = u128::from(self.now.as_nanos()) * u128::from(self.nodes[index].clock_rate_ppm);
        Instant::from_nanos(u64::try_from(nanos / 1_000_000).expect("a short run"))
    }

    fn peer(&self, index: usize) -> Peer {
        Peer { vm: vm(index), incarnation: self.nodes[index].incarnation }
    }

    fn start(&mut self, index: usize) {
        self.nodes[index].incarnation.0 += 1;
        let (now, seed) = (self.clock(index), self.rng.random());
        let deduplicator = Deduplicator::new(now, self.peer(index), self.settings.clone(), seed);
        let node = &mut self.nodes[index];
        node.deduplicator = Some(deduplicator);
        node.calls.clear();
        node.inbox.clear();
        node.paused_until = Instant::ZERO;
        let revision = node.revision;
        self.apply_tables(index, revision);
    }

    fn apply_tables(&mut self, index: usize, revision: usize) {
        let now = self.clock(index);
        let tables = self.tables[revision].clone();
        let node = &mut self.nodes[index];
        node.revision = revision;
        let Some(deduplicator) = &mut node.deduplicator else { return };
        deduplicator.set_tables(now, tables, |_| Revision(revision as u64 + 1));
    }

    /// Stops a node immediately.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].deduplicator = None;
    }

    /// Starts a new incarnation of a node, with empty state.
    pub fn restart(&mut self, index: usize) {
        self.start(index);
    }

    /// Suspends a node while its clock continues.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now + time;
    }

    /// Isolates the given nodes from the others.
    pub fn partition(&mut self, isolated: BTreeSet<usize>) {
        self.isolated = isolated;
    }

    /// Publishes another membership. Each node accepts it after a random delay.
    pub fn publish(&mut self, members: &BTreeSet<usize>, delay_max: Duration) {
        self.publish_to(members, delay_max, 0..self.nodes.len());
    }

    /// Publishes another membership to the given nodes only.
    pub fn publish_to(
        &mut self,
        members: &BTreeSet<usize>,
        delay_max: Duration,
        nodes: impl IntoIterator<Item = usize>,
    ) {
        let revision = self.tables.len();
        self.tables.push(tables(revision as u64 + 1, members, &self.other_pool));
        for index in nodes {
            let delay = delay_max.mul_f64(self.rng.random());
            self.next_packet += 1;
            self.table_updates.insert((self.now + delay, self.next_packet), (index, revision));
        }
    }

    /// Sends a request with an unused key.
    pub fn submit_with_new_key(&mut self, index: usize) -> usize {
        let key = 1_000 + self.transmissions.len();
        self.submit(index, u32::try_from(key).expect("a short run"), 1)
    }

    /// Sends a request with a key to a node. Returns the index of the transmission.
    pub fn submit(&mut self, index: usize, key: u32, fingerprint: u64) -> usize {
        let transmission = self.transmissions.len();
        self.transmissions.push(Transmission { response: None, runs: 0 });
        let now = self.clock(index);
        let (route, pool) = (route(), pool());
        self.keys_by_id.insert(Id::of(None, &route, &key.to_be_bytes()), key);
        let node = &mut self.nodes[index];
        let Some(deduplicator) = &mut node.deduplicator else { return transmission };
        node.next_call += 1;
        let call = Call(node.next_call);
        let (id, attempt, may_have_run) = (None, 0, false);
        let open_call =
            OpenCall { transmission, id, fingerprint, attempt, sent_at: now, may_have_run };
        node.calls.insert(call, open_call);
        let deadline = now + Duration::from_millis(150);
        let (account, key) = (None, &key.to_be_bytes()[..]);
        let request = Request { account, route: &route, pool: &pool, key, fingerprint, deadline };
        let actions = deduplicator.begin(now, call, &request);
        self.apply_actions(index, actions);
        transmission
    }

    /// Advances the virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        while let Some(entry) = self.table_updates.first_entry().filter(|e| e.key().0 <= self.now) {
            let (index, revision) = entry.remove();
            if revision > self.nodes[index].revision {
                self.apply_tables(index, revision);
            }
        }
        while let Some(entry) = self.packets.first_entry().filter(|e| e.key().0 <= self.now) {
            let packet = entry.remove();
            self.nodes[packet.to].inbox.push(packet);
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused_until > self.now {
                continue;
            }
            for packet in std::mem::take(&mut self.nodes[index].inbox) {
                self.deliver(index, packet);
            }
            let now = self.clock(index);
            if let Some(deduplicator) = &mut self.nodes[index].deduplicator {
                let actions = deduplicator.tick(now);
                self.apply_actions(index, actions);
                self.time_out(index);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: &Frame) {
        if self.isolated.contains(&from) != self.isolated.contains(&to) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.network.duplicate_percent);
        for _ in 0..copies {
            if self.rng.random_range(0..100) < self.network.loss_percent {
                continue;
            }
            let delay = self.rng.random_range(0..=self.network.delay_max_ms);
            let is_run = matches!(frame, Frame::Run { .. });
            let delay = Duration::from_millis(delay) + self.run_delay * u32::from(is_run);
            self.next_packet += 1;
            let at = (self.now + delay, self.next_packet);
            let packet = Packet { from: self.peer(from), to, frame: frame.clone() };
            self.packets.insert(at, packet);
        }
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to = to.as_str()[1..].parse().expect("a number");
                    self.send(index, to, &Frame::Peer { message });
                }
                Action::Proceed { call, id, ticket } => {
                    if let Some(open_call) = self.nodes[index].calls.get_mut(&call) {
                        open_call.id = Some((id, ticket));
                        self.send_attempt(index, call);
                    }
                }
                Action::Replay { call, .. } => self.respond(index, call, Response::Replay),
                Action::Refuse { call, refusal } => {
                    self.respond(index, call, Response::Refused(refusal));
                }
                Action::Drop { .. } => {}
            }
        }
    }

    fn respond(&mut self, index: usize, call: Call, response: Response) {
        if let Some(open_call) = self.nodes[index].calls.remove(&call) {
            self.transmissions[open_call.transmission].response = Some(response);
        }
    }

    fn send_attempt(&mut self, index: usize, call: Call) {
        let now = self.clock(index);
        let table_set = &self.tables[self.nodes[index].revision];
        let Some(open_call) = self.nodes[index].calls.get(&call) else { return };
        let Some((id, ticket)) = open_call.id.clone() else { return };
        let vms: Vec<usize> = (0..self.nodes.len())
            .filter(|v| table_set.target(&vm(*v)).is_some_and(|(p, _)| p.name == pool()))
            // Sometimes the owner is chosen, against the driver's contract. That must be harmless.
            .filter(|v| vm(*v) != ticket.owner.vm || now.as_nanos().is_multiple_of(8))
            .filter(|v| self.nodes[*v].deduplicator.is_some())
            .filter(|v| self.isolated.contains(v) == self.isolated.contains(&index))
            .collect();
        let ticket_owner = || ticket.owner.vm.as_str()[1..].parse().expect("a number");
        let to = match vms.len() {
            0 => ticket_owner(),
            count => vms[self.rng.random_range(0..count)],
        };
        let runner = self.nodes[to].incarnation;
        let Some(open_call) = self.nodes[index].calls.get_mut(&call) else { return };
        open_call.attempt += 1;
        open_call.sent_at = now;
        let claim = Claim {
            ticket,
            id,
            fingerprint: open_call.fingerprint,
            attempt: open_call.attempt,
            runner,
        };
        self.send(index, to, &Frame::Run { call, claim });
    }

    fn deliver(&mut self, index: usize, packet: Packet) {
        let now = self.clock(index);
        let from: usize = packet.from.vm.as_str()[1..].parse().expect("a number");
        let Some(deduplicator) = &mut self.nodes[index].deduplicator else { return };
        match packet.frame {
            Frame::Peer { message } => {
                let actions = deduplicator.receive(now, &packet.from, message);
                self.apply_actions(index, actions);
            }
            Frame::Run { call, claim } => {
                let result = deduplicator.admit(now, &claim);
                if result.is_ok() {
                    self.count_run(from, call, &claim);
                }
                let attempt = claim.attempt;
                self.send(index, from, &Frame::Ran { call, attempt, result });
            }
            Frame::Ran { call, attempt, result } => {
                self.handle_result(index, from, call, attempt, result);
            }
        }
    }

    fn count_run(&mut self, from: usize, call: Call, claim: &Claim) {
        let key = self.keys_by_id[&claim.id];
        self.runs.entry(key).or_default().push(self.now);
        if let Some(open_call) = self.nodes[from].calls.get(&call) {
            self.transmissions[open_call.transmission].runs += 1;
        }
    }

    fn handle_result(
        &mut self,
        index: usize,
        ran: usize,
        call: Call,
        attempt: u8,
        result: Result<(), Refusal>,
    ) {
        let Some(open_call) = self.nodes[index].calls.get_mut(&call) else { return };
        if open_call.attempt != attempt {
            return;
        }
        match result {
            Ok(()) => {
                let report = Report::Answered { ran: vm(ran), size: Bytes(100) };
                self.finish(index, call, report, Response::Answer);
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun && attempt < 3 => {
                self.send_attempt(index, call);
            }
            Err(refusal) => {
                let is_not_run = refusal.outcome == Outcome::NotRun && !open_call.may_have_run;
                let report = if is_not_run { Report::NotRun } else { Report::Unknown };
                self.finish(index, call, report, Response::Refused(refusal));
            }
        }
    }

    fn time_out(&mut self, index: usize) {
        let now = self.clock(index);
        let late = |open_call: &OpenCall| {
            open_call.attempt > 0 && now - open_call.sent_at > RUN_DURATION * 20
        };
        let calls = &self.nodes[index].calls;
        let late: Vec<Call> = calls.iter().filter(|(_, o)| late(o)).map(|(c, _)| *c).collect();
        for call in late {
            let refusal = Refusal::unknown(Reason::Broken);
            self.finish(index, call, Report::Unknown, Response::Refused(refusal));
        }
    }

    fn finish(&mut self, index: usize, call: Call, report: Report, response: Response) {
        let now = self.clock(index);
        self.respond(index, call, response);
        if let Some(deduplicator) = &mut self.nodes[index].deduplicator {
            let actions = deduplicator.finished(now, call, report);
            self.apply_actions(index, actions);
        }
    }

    /// Returns the keys below 255 that a node owns under the given membership.
    pub fn keys_owned_by(&self, index: usize, members: &[usize]) -> Vec<u32> {
        let vms: Vec<Vm> = members.iter().map(|index| vm(*index)).collect();
        let is_owned =
            |key: &u32| Id::of(None, &route(), &key.to_be_bytes()).owner(&vms) == Some(&vm(index));
        (0..255).filter(is_owned).collect()
    }
}
