//! Several nodes of one pool in virtual time, with a lossy network and targets that count runs.

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
const RUN: Duration = Duration::from_millis(5);

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

/// How the network treats a message.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss_percent: u32,
    pub copy_percent: u32,
    pub delay_max_ms: u64,
}

pub const CALM: Network = Network { loss_percent: 0, copy_percent: 0, delay_max_ms: 1 };

#[derive(Clone, Debug)]
enum Frame {
    Peer { message: Message },
    Run { call: Call, claim: Claim },
    Ran { call: Call, attempt: u8, result: Result<(), Refusal> },
}

#[derive(Clone, Debug)]
struct Parcel {
    from: Peer,
    to: usize,
    frame: Frame,
}

#[derive(Clone, Debug)]
struct Open {
    transmission: usize,
    id: Option<(Id, Ticket)>,
    fingerprint: u64,
    attempt: u8,
    sent: Instant,
    may_have_run: bool,
}

/// What a caller was told of one transmission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    Answer,
    Replay,
    Refused(Refusal),
}

/// One request as a caller sent it, perhaps a resend.
#[derive(Clone, Debug)]
pub struct Transmission {
    pub told: Option<Told>,
    pub runs: u32,
}

struct Node {
    owner: Option<Deduplicator>,
    incarnation: Incarnation,
    revision: usize,
    paused_until: Instant,
    calls: BTreeMap<Call, Open>,
    next_call: u64,
    inbox: Vec<Parcel>,
    drift_ppm: u64,
}

pub struct World {
    pub now: Instant,
    pub network: Network,
    /// How long a request is on its way to its target, besides the network's delay.
    pub run_delay: Duration,
    settings: Settings,
    pub transmissions: Vec<Transmission>,
    /// When each key ran.
    pub runs: BTreeMap<u32, Vec<Instant>>,
    nodes: Vec<Node>,
    tables: Vec<Arc<table::Set>>,
    others: Vec<usize>,
    cut: BTreeSet<usize>,
    parcels: BTreeMap<(Instant, u64), Parcel>,
    next_parcel: u64,
    adoptions: BTreeMap<(Instant, u64), (usize, usize)>,
    random: ChaCha8Rng,
    seen: HashMap<Id, u32>,
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

fn tables(revision: u64, members: &BTreeSet<usize>, others: &[usize]) -> Arc<table::Set> {
    let target =
        |v: &usize| format!("  - {{ vm: v{v}, data_centre: d, slots: 9, connections: 9 }}\n");
    let mut text = "pools:\n- name: bench\n  targets:\n".to_owned();
    text.extend(members.iter().map(target));
    text.push_str("- name: desk\n  targets:\n");
    text.extend(others.iter().map(target));
    let mut builder = table::Builder::new();
    builder.add_document("test", &text);
    Arc::new(builder.finish(Revision(revision)).expect("the tables are valid"))
}

impl World {
    /// Starts `count` nodes, of which `roster` serve the pool, and two of another pool.
    pub fn new(seed: u64, count: usize, members: &[usize], network: Network) -> Self {
        Self::with_settings(seed, count, members, network, settings())
    }

    /// Starts nodes with the given settings.
    pub fn with_settings(
        seed: u64,
        count: usize,
        members: &[usize],
        network: Network,
        settings: Settings,
    ) -> Self {
        let others = vec![count, count + 1];
        let mut world = Self {
            now: Instant::from_millis(1_000_000),
            network,
            run_delay: Duration::ZERO,
            settings,
            transmissions: Vec::new(),
            runs: BTreeMap::new(),
            nodes: Vec::new(),
            tables: vec![tables(1, &members.iter().copied().collect(), &others)],
            others,
            cut: BTreeSet::new(),
            parcels: BTreeMap::new(),
            next_parcel: 0,
            adoptions: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            seen: HashMap::new(),
        };
        for index in 0..count + 2 {
            let drift_ppm = world.random.random_range(990_000..=1_010_000);
            world.nodes.push(Node {
                owner: None,
                incarnation: Incarnation(0),
                revision: 0,
                paused_until: Instant::ZERO,
                calls: BTreeMap::new(),
                next_call: 0,
                inbox: Vec::new(),
                drift_ppm,
            });
            world.start(index);
        }
        world
    }

    fn clock(&self, index: usize) -> Instant {
        let nanos = u128::from(self.now.as_nanos()) * u128::from(self.nodes[index].drift_ppm);
        Instant::from_nanos(u64::try_from(nanos / 1_000_000).expect("a short run"))
    }

    fn peer(&self, index: usize) -> Peer {
        Peer { vm: vm(index), incarnation: self.nodes[index].incarnation }
    }

    fn start(&mut self, index: usize) {
        self.nodes[index].incarnation.0 += 1;
        let (now, seed) = (self.clock(index), self.random.random());
        let owner = Deduplicator::new(now, self.peer(index), self.settings.clone(), seed);
        let node = &mut self.nodes[index];
        node.owner = Some(owner);
        node.calls.clear();
        node.inbox.clear();
        node.paused_until = Instant::ZERO;
        let revision = node.revision;
        self.adopt(index, revision);
    }

    fn adopt(&mut self, index: usize, revision: usize) {
        let now = self.clock(index);
        let tables = self.tables[revision].clone();
        let node = &mut self.nodes[index];
        node.revision = revision;
        let Some(owner) = &mut node.owner else { return };
        owner.set_tables(now, tables, |_| Revision(revision as u64 + 1));
    }

    /// Stops a node at once.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].owner = None;
    }

    /// Starts a node anew, without any memory.
    pub fn restart(&mut self, index: usize) {
        self.start(index);
    }

    /// Suspends a node, whose clock goes on.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now + time;
    }

    /// Cuts the given nodes off from the others.
    pub fn partition(&mut self, cut: BTreeSet<usize>) {
        self.cut = cut;
    }

    /// Publishes another roster, which each node accepts after a time of its own.
    pub fn publish(&mut self, members: &BTreeSet<usize>, delay_max: Duration) {
        self.publish_to(members, delay_max, 0..self.nodes.len());
    }

    /// Publishes another roster, of which only the given nodes learn.
    pub fn publish_to(
        &mut self,
        members: &BTreeSet<usize>,
        delay_max: Duration,
        nodes: impl IntoIterator<Item = usize>,
    ) {
        let revision = self.tables.len();
        self.tables.push(tables(revision as u64 + 1, members, &self.others));
        for index in nodes {
            let delay = delay_max.mul_f64(self.random.random());
            self.next_parcel += 1;
            self.adoptions.insert((self.now + delay, self.next_parcel), (index, revision));
        }
    }

    /// Sends a request with a key that was never used.
    pub fn submit_new(&mut self, index: usize) -> usize {
        let key = 1_000 + self.transmissions.len();
        self.submit(index, u32::try_from(key).expect("a short run"), 1)
    }

    /// Sends a request with a key to a node.
    pub fn submit(&mut self, index: usize, key: u32, fingerprint: u64) -> usize {
        let transmission = self.transmissions.len();
        self.transmissions.push(Transmission { told: None, runs: 0 });
        let now = self.clock(index);
        let (route, pool) = (route(), pool());
        self.seen.insert(Id::of(None, &route, &key.to_be_bytes()), key);
        let node = &mut self.nodes[index];
        let Some(owner) = &mut node.owner else { return transmission };
        node.next_call += 1;
        let call = Call(node.next_call);
        let (id, attempt, may_have_run) = (None, 0, false);
        let open = Open { transmission, id, fingerprint, attempt, sent: now, may_have_run };
        node.calls.insert(call, open);
        let deadline = now + Duration::from_millis(150);
        let (account, key) = (None, &key.to_be_bytes()[..]);
        let request = Request { account, route: &route, pool: &pool, key, fingerprint, deadline };
        let actions = owner.begin(now, call, &request);
        self.act(index, actions);
        transmission
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        while let Some(entry) = self.adoptions.first_entry().filter(|e| e.key().0 <= self.now) {
            let (index, revision) = entry.remove();
            if revision > self.nodes[index].revision {
                self.adopt(index, revision);
            }
        }
        while let Some(entry) = self.parcels.first_entry().filter(|e| e.key().0 <= self.now) {
            let parcel = entry.remove();
            self.nodes[parcel.to].inbox.push(parcel);
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused_until > self.now {
                continue;
            }
            for parcel in std::mem::take(&mut self.nodes[index].inbox) {
                self.take(index, parcel);
            }
            let now = self.clock(index);
            if let Some(owner) = &mut self.nodes[index].owner {
                let actions = owner.tick(now);
                self.act(index, actions);
                self.time_out(index);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: &Frame) {
        if self.cut.contains(&from) != self.cut.contains(&to) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_range(0..100) < self.network.copy_percent);
        for _ in 0..copies {
            if self.random.random_range(0..100) < self.network.loss_percent {
                continue;
            }
            let delay = self.random.random_range(0..=self.network.delay_max_ms);
            let is_run = matches!(frame, Frame::Run { .. });
            let delay = Duration::from_millis(delay) + self.run_delay * u32::from(is_run);
            self.next_parcel += 1;
            let at = (self.now + delay, self.next_parcel);
            let parcel = Parcel { from: self.peer(from), to, frame: frame.clone() };
            self.parcels.insert(at, parcel);
        }
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to = to.as_str()[1..].parse().expect("a number");
                    self.send(index, to, &Frame::Peer { message });
                }
                Action::Proceed { call, id, ticket } => {
                    if let Some(open) = self.nodes[index].calls.get_mut(&call) {
                        open.id = Some((id, ticket));
                        self.attempt(index, call);
                    }
                }
                Action::Replay { call, .. } => self.tell(index, call, Told::Replay),
                Action::Refuse { call, refusal } => {
                    self.tell(index, call, Told::Refused(refusal));
                }
                Action::Drop { .. } => {}
            }
        }
    }

    fn tell(&mut self, index: usize, call: Call, told: Told) {
        if let Some(open) = self.nodes[index].calls.remove(&call) {
            self.transmissions[open.transmission].told = Some(told);
        }
    }

    fn attempt(&mut self, index: usize, call: Call) {
        let now = self.clock(index);
        let table_set = &self.tables[self.nodes[index].revision];
        let Some(open) = self.nodes[index].calls.get(&call) else { return };
        let Some((id, ticket)) = open.id.clone() else { return };
        let vms: Vec<usize> = (0..self.nodes.len())
            .filter(|v| table_set.target(&vm(*v)).is_some_and(|(p, _)| p.name == pool()))
            // A driver that sends to the owner against the rule must do no harm.
            .filter(|v| vm(*v) != ticket.owner.vm || now.as_nanos().is_multiple_of(8))
            .filter(|v| self.nodes[*v].owner.is_some())
            .filter(|v| self.cut.contains(v) == self.cut.contains(&index))
            .collect();
        let alone = || ticket.owner.vm.as_str()[1..].parse().expect("a number");
        let to = match vms.len() {
            0 => alone(),
            count => vms[self.random.random_range(0..count)],
        };
        let runner = self.nodes[to].incarnation;
        let Some(open) = self.nodes[index].calls.get_mut(&call) else { return };
        open.attempt += 1;
        open.sent = now;
        let claim =
            Claim { ticket, id, fingerprint: open.fingerprint, attempt: open.attempt, runner };
        self.send(index, to, &Frame::Run { call, claim });
    }

    fn take(&mut self, index: usize, parcel: Parcel) {
        let now = self.clock(index);
        let from: usize = parcel.from.vm.as_str()[1..].parse().expect("a number");
        let Some(owner) = &mut self.nodes[index].owner else { return };
        match parcel.frame {
            Frame::Peer { message } => {
                let actions = owner.receive(now, &parcel.from, message);
                self.act(index, actions);
            }
            Frame::Run { call, claim } => {
                let result = owner.admit(now, &claim);
                if result.is_ok() {
                    self.count_run(from, call, &claim);
                }
                let attempt = claim.attempt;
                self.send(index, from, &Frame::Ran { call, attempt, result });
            }
            Frame::Ran { call, attempt, result } => {
                self.settle(index, from, call, attempt, result);
            }
        }
    }

    fn count_run(&mut self, from: usize, call: Call, claim: &Claim) {
        let key = self.seen[&claim.id];
        self.runs.entry(key).or_default().push(self.now);
        if let Some(open) = self.nodes[from].calls.get(&call) {
            self.transmissions[open.transmission].runs += 1;
        }
    }

    fn settle(
        &mut self,
        index: usize,
        ran: usize,
        call: Call,
        attempt: u8,
        result: Result<(), Refusal>,
    ) {
        let Some(open) = self.nodes[index].calls.get_mut(&call) else { return };
        if open.attempt != attempt {
            return;
        }
        match result {
            Ok(()) => {
                let report = Report::Answered { ran: vm(ran), size: Bytes(100) };
                self.finish(index, call, report, Told::Answer);
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun && attempt < 3 => {
                self.attempt(index, call);
            }
            Err(refusal) => {
                let is_not_run = refusal.outcome == Outcome::NotRun && !open.may_have_run;
                let report = if is_not_run { Report::NotRun } else { Report::Unknown };
                self.finish(index, call, report, Told::Refused(refusal));
            }
        }
    }

    fn time_out(&mut self, index: usize) {
        let now = self.clock(index);
        let late = |open: &Open| open.attempt > 0 && now - open.sent > RUN * 20;
        let calls = &self.nodes[index].calls;
        let late: Vec<Call> = calls.iter().filter(|(_, o)| late(o)).map(|(c, _)| *c).collect();
        for call in late {
            let refusal = Refusal::unknown(Reason::Broken);
            self.finish(index, call, Report::Unknown, Told::Refused(refusal));
        }
    }

    fn finish(&mut self, index: usize, call: Call, report: Report, told: Told) {
        let now = self.clock(index);
        self.tell(index, call, told);
        if let Some(owner) = &mut self.nodes[index].owner {
            let actions = owner.finished(now, call, report);
            self.act(index, actions);
        }
    }

    /// Returns the keys that a node owns in a roster.
    pub fn owned(&self, index: usize, members: &[usize]) -> Vec<u32> {
        let vms: Vec<Vm> = members.iter().map(|index| vm(*index)).collect();
        let is_owned =
            |key: &u32| Id::of(None, &route(), &key.to_be_bytes()).owner(&vms) == Some(&vm(index));
        (0..255).filter(is_owned).collect()
    }
}
