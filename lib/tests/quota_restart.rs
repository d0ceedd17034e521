//! Sold rates while most nodes of a large deployment restart, in virtual time.

mod deployment;

use {
    deployment::{max_per_window, table_with_rate, worst_window},
    monsoon_lib::{
        id,
        mesh::quota::{Coordinator, PERIOD, RateLimiter},
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{net::IpAddr, time::Duration},
};

const STEP: Duration = Duration::from_millis(10);

fn account() -> id::Account {
    "alpha".parse().expect("a name")
}

/// The time from the start of a node until it knows how many others there are.
const DISCOVERY: Duration = Duration::from_millis(100);

/// A node that may be down. The lowest one that is up coordinates the rates.
struct Node {
    limiter: RateLimiter,
    coordinator: Coordinator,
    starts_at: Instant,
    /// When it learns how many nodes there are, unless it has.
    discovers_at: Option<Instant>,
    next_report: Instant,
}

struct Simulation {
    rate: u64,
    now: Instant,
    nodes: Vec<Node>,
    random: ChaCha8Rng,
    admitted: Vec<Instant>,
    offered: u64,
}

impl Simulation {
    fn new(nodes: usize, rate: u64, seed: u64) -> Self {
        let now = Instant::from_millis(1_000);
        let mut simulation = Self {
            rate,
            now,
            nodes: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            admitted: Vec::new(),
            offered: 0,
        };
        for _ in 0..nodes {
            let node = simulation.started(now);
            simulation.nodes.push(node);
        }
        simulation
    }

    fn started(&mut self, at: Instant) -> Node {
        let mut limiter = RateLimiter::default();
        limiter.set_table(at, &table_with_rate("alpha", self.rate));
        let offset = Duration::from_millis(self.random.random_range(0..PERIOD.as_millis() as u64));
        Node {
            limiter,
            coordinator: Coordinator::default(),
            starts_at: at,
            discovers_at: Some(at + DISCOVERY),
            next_report: at + offset,
        }
    }

    /// Kills each node with the given probability. Each starts again after a second or two.
    fn kill(&mut self, share: f64) {
        let count = self.nodes.len();
        for i in 0..count {
            if self.random.random_bool(share) {
                let pause = Duration::from_millis(self.random.random_range(1_000..2_000));
                self.nodes[i] = self.started(self.now + pause);
            }
        }
    }

    fn run(&mut self, period: Duration, requests_per_s: f64) {
        let end = self.now + period;
        let per_node = requests_per_s / self.nodes.len() as f64 * STEP.as_secs_f64();
        while self.now < end {
            self.discover();
            self.report();
            for node in self.nodes.iter_mut().filter(|node| node.starts_at <= self.now) {
                if self.random.random_bool(per_node.min(1.0)) {
                    self.offered += 1;
                    let fraction = self.random.random();
                    if node.limiter.try_acquire(self.now, &account(), fraction).is_ok() {
                        self.admitted.push(self.now);
                    }
                }
            }
            self.now += STEP;
        }
    }

    fn discover(&mut self) {
        let (now, count) = (self.now, self.nodes.len());
        for node in &mut self.nodes {
            if node.discovers_at.take_if(|at| *at <= now).is_some() {
                node.limiter.set_node_count(now, count);
            }
        }
    }

    fn report(&mut self) {
        let now = self.now;
        let count = self.nodes.len();
        let Some(lowest) = self.nodes.iter().position(|node| node.starts_at <= now) else { return };
        for i in 0..count {
            if self.nodes[i].starts_at > now || self.nodes[i].next_report > now {
                continue;
            }
            self.nodes[i].next_report = now + PERIOD;
            let demand = self.nodes[i].limiter.demand(PERIOD);
            let host = IpAddr::from([10, 0, (i >> 8) as u8, i as u8]);
            let coordinator = &mut self.nodes[lowest].coordinator;
            if let Some(shares) = coordinator.update(now, host, demand, count) {
                self.nodes[i].limiter.set_shares(now, shares);
            }
        }
    }

    fn worst_window(&self) -> u64 {
        worst_window(&self.admitted)
    }
}

/// All nodes are killed while an account sends four times its rate. The nodes that start first must
/// not share the whole rate among themselves while the others still use an even part of it.
#[test]
fn killed_at_once() {
    for (nodes, rate) in [(13, 106), (195, 106), (195, 300), (780, 300)] {
        for seed in 0..5 {
            let demand = 4.0 * rate as f64;
            let mut simulation = Simulation::new(nodes, rate, seed);
            simulation.run(Duration::from_secs(8), demand);
            simulation.kill(1.0);
            simulation.run(Duration::from_secs(8), demand);
            let (worst, max) = (simulation.worst_window(), max_per_window(rate));
            assert!(worst <= max, "{nodes} nodes, seed {seed}: {worst} in a window, at most {max}");
        }
    }
}

#[test]
fn third_killed() {
    for (nodes, rate) in [(13, 106), (195, 106), (780, 300)] {
        for seed in 0..5 {
            let demand = 4.0 * rate as f64;
            let mut simulation = Simulation::new(nodes, rate, seed);
            simulation.run(Duration::from_secs(8), demand);
            simulation.kill(0.33);
            simulation.run(Duration::from_secs(8), demand);
            let (worst, max) = (simulation.worst_window(), max_per_window(rate));
            assert!(worst <= max, "{nodes} nodes, seed {seed}: {worst} in a window, at most {max}");
        }
    }
}

/// An account below its rate whose calls go to all nodes is hardly ever refused.
#[test]
fn below_the_rate() {
    for (nodes, rate) in [(13, 106), (195, 106), (780, 300)] {
        let mut simulation = Simulation::new(nodes, rate, 1);
        simulation.run(Duration::from_secs(8), 0.8 * rate as f64);
        let (offered, admitted) = (simulation.offered, simulation.admitted.len() as u64);
        simulation.run(Duration::from_secs(30), 0.8 * rate as f64);
        let offered = simulation.offered - offered;
        let refused = offered - (simulation.admitted.len() as u64 - admitted);
        assert!(refused * 200 <= offered, "{nodes} nodes: {refused} of {offered} refused");
    }
}
