//! The event loop of the simulation, and the state that clients and hops share.

mod client;
mod hop;

use {
    super::{
        case::{BASE_DEMAND, Case, Control, END, SOLD_RATES, SURGE_END, SURGE_START, Variant},
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

/// The interval between two ticks of a node.
const TICK: Duration = Duration::from_millis(10);
/// The one-way network delay between two VMs.
const NETWORK_DELAY: Duration = Duration::from_micros(250);

/// A simulated event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A client sends a new request.
    Arrive { account: usize, class: Class },
    /// A client retries a request.
    Retry { request: usize },
    /// A client stops waiting for an attempt.
    ClientTimeout { attempt: u64 },
    /// A call arrives at the node of the chosen target.
    ReachNode { call: u64 },
    /// The target has finished a call's own work, without its nested calls.
    WorkDone { call: u64 },
    /// All nodes tick.
    Tick,
    /// Some targets restart cold.
    Restart,
}

/// Counters of a run. `runs` and `roots` are by pool: all runs, and attempts that ran there.
#[derive(Debug, Default)]
struct Counts {
    runs: Vec<u64>,
    roots: Vec<u64>,
    refusals: u64,
    wrongful: u64,
    work_s: f64,
    useful_work_s: f64,
}

/// The simulation of one case.
struct Sim<'a> {
    case: &'a Case,
    variant: &'a Variant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    last_id: u64,
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

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("{text} is a valid name"),
    }
}

/// Simulates a case with a variant of overload control and returns its results.
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
            (0..case.pools.len()).map(|i| parse_name(&format!("pool-{i}"))).collect();
        let route = |class: Class, hop: usize| parse_name(&format!("{class}-{hop}"));
        let routes = |class: &Class| (0..pools.len()).map(|hop| route(*class, hop)).collect();
        let routes = Class::ALL.iter().map(routes).collect();
        let pool_of_node: Vec<usize> =
            (0..pools.len()).flat_map(|i| vec![i; case.pools[i].targets]).collect();
        let node =
            |(i, pool): (usize, &usize)| Node::new(case, variant, &pool_of_node, i, *pool, seed);
        Self {
            case,
            variant,
            now: Instant::ZERO,
            events: BinaryHeap::new(),
            last_id: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            accounts: (0..SOLD_RATES.len()).map(|i| parse_name(&format!("account-{i}"))).collect(),
            nodes: pool_of_node.iter().enumerate().map(node).collect(),
            targets: pool_of_node.iter().map(|pool| Target::new(&case.pools[*pool])).collect(),
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
        for account in 0..SOLD_RATES.len() {
            for class in Class::ALL {
                self.schedule_arrival(account, class);
            }
        }
        self.schedule(Instant::ZERO + TICK, Event::Tick);
        self.schedule(Instant::ZERO + SURGE_START, Event::Restart);
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        let event_id = self.next_id();
        self.events.push(Reverse((at, event_id, event)));
    }

    /// Returns a new identifier of an event, an attempt or a call.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn is_in_surge(&self) -> bool {
        let since = self.now - Instant::ZERO;
        (SURGE_START..SURGE_END).contains(&since)
    }

    fn slowdown(&self, pool: usize) -> f64 {
        let slow = self.case.slow.filter(|slow| slow.pool == pool && self.is_in_surge());
        slow.map_or(1.0, |slow| slow.factor)
    }

    fn rate_per_s(&self, account: usize, class: Class) -> f64 {
        if self.is_in_surge() {
            self.case.surge_per_s(account, class)
        } else {
            self.case.rate_per_s(account, class, BASE_DEMAND)
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { account, class } => self.arrive(account, class),
            Event::Retry { request } => self.start_attempt(request),
            Event::ClientTimeout { attempt } => self.time_out(attempt),
            Event::ReachNode { call } => self.reach_node(call),
            Event::WorkDone { call } => self.finish_work(call),
            Event::Tick => self.tick(),
            Event::Restart => self.restart(),
        }
    }

    fn tick(&mut self) {
        if self.variant.control == Control::Full {
            for node in 0..self.nodes.len() {
                let releases = self.nodes[node].controller.tick(self.now);
                self.apply_releases(node, releases);
            }
        }
        self.schedule(self.now + TICK, Event::Tick);
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

    /// Returns whether every pool has a target with at least a tenth of its slots idle.
    fn has_idle_slots(&self) -> bool {
        const MAX_LOAD: f64 = 0.9;
        let pool_has_idle_slots = |pool: usize| {
            let nodes = (0..self.nodes.len()).filter(|i| self.nodes[*i].pool == pool);
            nodes.map(|i| self.targets[i].load()).any(|load| load <= MAX_LOAD)
        };
        (0..self.pools.len()).all(pool_has_idle_slots)
    }

    fn report(self) -> Report {
        let counts = self.counts;
        let ratio = |(runs, roots): (&u64, &u64)| *runs as f64 / (*roots).max(1) as f64;
        let amplification = counts.runs.iter().zip(&counts.roots).map(ratio).fold(0.0, f64::max);
        Report::new(self.case, self.variant.name, &self.requests)
            .with_work(1.0 - counts.useful_work_s / counts.work_s.max(1e-9), amplification)
            .with_refusals(counts.refusals, counts.wrongful)
    }
}
