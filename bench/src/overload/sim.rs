//! The event loop: clients, and the state that all hops share.

mod client;
mod hop;

use {
    super::{
        case::{CALM_DEMAND, Case, Control, END, SOLD, SURGE_END, SURGE_START, Variant},
        fake::Target,
        report::{Report, Request},
    },
    client::Attempt,
    hop::{Call, Node},
    monsoon_lib::{id, table::Class, time::Instant},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        time::Duration,
    },
};

/// The time between two ticks of a node.
const TICK: Duration = Duration::from_millis(10);
/// One way between two VMs.
const WIRE: Duration = Duration::from_micros(250);

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A new request of an account and a class.
    Arrive { account: usize, class: Class },
    /// A client makes an attempt.
    Try { request: usize },
    /// A client's patience ends.
    GiveUp { attempt: u64 },
    /// A call reaches the node of the chosen target.
    Reach { call: u64 },
    /// The target has done a call's own work.
    Worked { call: u64 },
    /// All nodes tick.
    Tick,
    /// Targets restart cold.
    Restart,
}

/// Counts kept while a case runs.
#[derive(Debug, Default)]
struct Counts {
    runs: Vec<u64>,
    roots: Vec<u64>,
    refusals: u64,
    wrongful: u64,
    worked_s: f64,
    useful_s: f64,
}

/// One run of a case.
struct Sim<'a> {
    case: &'a Case,
    variant: &'a Variant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    next_number: u64,
    rng: ChaCha8Rng,
    accounts: Vec<id::Account>,
    pools: Vec<id::Pool>,
    routes: Vec<Vec<id::Route>>,
    nodes: Vec<Node>,
    targets: Vec<Target>,
    calls: HashMap<u64, Call>,
    attempts: HashMap<u64, Attempt>,
    requests: Vec<Request>,
    counts: Counts,
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("{text} is a good name"),
    }
}

/// Runs a case under a control and returns what it measured.
pub fn run(case: &Case, variant: &Variant, seed: u64) -> Report {
    let mut sim = Sim::new(case, variant, seed);
    sim.start();
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        if now > Instant::ZERO + END {
            break;
        }
        sim.now = now;
        sim.handle(event);
    }
    sim.report()
}

impl<'a> Sim<'a> {
    fn new(case: &'a Case, variant: &'a Variant, seed: u64) -> Self {
        let pools: Vec<id::Pool> =
            (0..case.pools.len()).map(|i| name(&format!("pool-{i}"))).collect();
        let route = |class: Class, hop: usize| name(&format!("{class}-{hop}"));
        let routes = |class: &Class| (0..pools.len()).map(|hop| route(*class, hop)).collect();
        let routes = Class::ALL.iter().map(routes).collect();
        let places: Vec<usize> =
            (0..pools.len()).flat_map(|i| vec![i; case.pools[i].targets]).collect();
        let node = |(i, pool): (usize, &usize)| Node::new(case, variant, &places, i, *pool, seed);
        Self {
            case,
            variant,
            now: Instant::ZERO,
            events: BinaryHeap::new(),
            next_number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            accounts: (0..SOLD.len()).map(|i| name(&format!("account-{i}"))).collect(),
            nodes: places.iter().enumerate().map(node).collect(),
            targets: places.iter().map(|pool| Target::new(&case.pools[*pool])).collect(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            requests: Vec::new(),
            counts: Counts {
                runs: vec![0; pools.len()],
                roots: vec![0; pools.len()],
                ..Counts::default()
            },
            pools,
            routes,
        }
    }

    fn start(&mut self) {
        for account in 0..SOLD.len() {
            for class in Class::ALL {
                self.plan_arrival(account, class);
            }
        }
        self.plan(Instant::ZERO + TICK, Event::Tick);
        self.plan(Instant::ZERO + SURGE_START, Event::Restart);
    }

    fn plan(&mut self, at: Instant, event: Event) {
        let number = self.number();
        self.events.push(Reverse((at, number, event)));
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn is_surge(&self) -> bool {
        let since = self.now - Instant::ZERO;
        (SURGE_START..SURGE_END).contains(&since)
    }

    fn slowness(&self, pool: usize) -> f64 {
        let slow = self.case.slow.filter(|slow| slow.pool == pool && self.is_surge());
        slow.map_or(1.0, |slow| slow.factor)
    }

    fn rate_per_s(&self, account: usize, class: Class) -> f64 {
        if self.is_surge() {
            self.case.surge_per_s(account, class)
        } else {
            self.case.rate_per_s(account, class, CALM_DEMAND)
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { account, class } => self.arrive(account, class),
            Event::Try { request } => self.attempt(request),
            Event::GiveUp { attempt } => self.give_up(attempt),
            Event::Reach { call } => self.reach(call),
            Event::Worked { call } => self.worked(call),
            Event::Tick => self.tick(),
            Event::Restart => self.restart(),
        }
    }

    fn tick(&mut self) {
        if self.variant.control == Control::Full {
            for node in 0..self.nodes.len() {
                let releases = self.nodes[node].gate.tick(self.now);
                self.apply(node, releases);
            }
        }
        self.plan(self.now + TICK, Event::Tick);
    }

    fn restart(&mut self) {
        let last = self.pools.len() - 1;
        let targets = self.case.pools[last].targets;
        let cold = (targets as f64 * self.case.cold_share).round() as usize;
        let first = self.nodes.len() - targets;
        for node in first..first + cold {
            self.targets[node].restart();
        }
        self.restart_nodes(first..first + cold);
    }

    /// Tells whether every pool has a target with a tenth of its slots idle.
    fn has_room(&self) -> bool {
        const BUSY: f64 = 0.9;
        let has_room = |pool: usize| {
            let nodes = (0..self.nodes.len()).filter(|i| self.nodes[*i].pool == pool);
            nodes.map(|i| self.targets[i].load()).any(|load| load <= BUSY)
        };
        (0..self.pools.len()).all(has_room)
    }

    fn report(self) -> Report {
        let counts = self.counts;
        let ratio = |(runs, roots): (&u64, &u64)| *runs as f64 / (*roots).max(1) as f64;
        let amplification = counts.runs.iter().zip(&counts.roots).map(ratio).fold(0.0, f64::max);
        Report::new(self.case, self.variant.name, &self.requests)
            .with_work(1.0 - counts.useful_s / counts.worked_s.max(1e-9), amplification)
            .with_refusals(counts.refusals, counts.wrongful)
    }
}
