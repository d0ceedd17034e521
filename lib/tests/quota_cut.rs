//! Sold rates while one data centre is partitioned from the others, in virtual time.

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

const STEP: Duration = Duration::from_millis(5);
const DATA_CENTRES: usize = 3;
/// The longest time until a node notices that it does not reach another one. Coordinators behind a
/// cut may be found unreachable one after the other.
const MAX_DETECTION_MS: u64 = 3_000;

fn account() -> id::Account {
    "alpha".parse().expect("a name")
}

fn host(node: usize) -> IpAddr {
    IpAddr::from([10, 0, (node >> 8) as u8, node as u8])
}

struct Node {
    limiter: RateLimiter,
    coordinator: Coordinator,
    data_centre: usize,
    next_report: Instant,
    /// How long it takes this node to notice the begin or the end of a cut.
    detection: Duration,
}

struct Simulation {
    now: Instant,
    nodes: Vec<Node>,
    /// The data centre that is cut off, or was last.
    cut: usize,
    is_cut: bool,
    changed_at: Instant,
    random: ChaCha8Rng,
    admitted: Vec<Instant>,
    offered: u64,
}

impl Simulation {
    /// Creates a deployment whose nodes notice cuts after random times.
    fn new(nodes: usize, rate: u64, seed: u64) -> Self {
        let now = Instant::from_millis(1_000);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let node = |i| {
            let mut limiter = RateLimiter::default();
            limiter.set_table(now, &table_with_rate("alpha", rate));
            limiter.set_node_count(now, nodes);
            Node {
                limiter,
                coordinator: Coordinator::default(),
                data_centre: i % DATA_CENTRES,
                next_report: now + Duration::from_millis(random.random_range(0..500)),
                detection: Duration::from_millis(random.random_range(500..=MAX_DETECTION_MS)),
            }
        };
        let nodes = (0..nodes).map(node).collect();
        let (cut, is_cut, changed_at) = (0, false, Instant::ZERO);
        let (admitted, offered) = (Vec::new(), 0);
        Self { now, nodes, cut, is_cut, changed_at, random, admitted, offered }
    }

    fn set_cut(&mut self, data_centre: usize, is_cut: bool) {
        (self.cut, self.is_cut, self.changed_at) = (data_centre, is_cut, self.now);
    }

    fn is_separated(&self, a: usize, b: usize) -> bool {
        let is_inside = |node: usize| self.nodes[node].data_centre == self.cut;
        is_inside(a) != is_inside(b)
    }

    /// Returns whether a node takes another one for reachable.
    fn is_believed_reachable(&self, node: usize, other: usize) -> bool {
        let has_noticed = self.now - self.changed_at >= self.nodes[node].detection;
        !self.is_separated(node, other) || (self.is_cut != has_noticed)
    }

    /// Simulates a period in which the nodes of each data centre together get this many requests per
    /// second on average.
    fn run(&mut self, period: Duration, requests_per_s: [f64; DATA_CENTRES]) {
        let end = self.now + period;
        let count = |data_centre| {
            self.nodes.iter().filter(|node| node.data_centre == data_centre).count() as f64
        };
        let chances: Vec<f64> = (0..DATA_CENTRES)
            .map(|i| (requests_per_s[i] / count(i) * STEP.as_secs_f64()).min(1.0))
            .collect();
        while self.now < end {
            self.report();
            for node in &mut self.nodes {
                if self.random.random_bool(chances[node.data_centre]) {
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

    fn report(&mut self) {
        let count = self.nodes.len();
        for i in 0..count {
            if self.nodes[i].next_report > self.now {
                continue;
            }
            self.nodes[i].next_report = self.now + PERIOD;
            let coordinator = (0..count).find(|other| self.is_believed_reachable(i, *other));
            let coordinator = coordinator.unwrap_or(i);
            let report = self.nodes[i].limiter.demand(PERIOD);
            if self.is_cut && self.is_separated(i, coordinator) {
                continue;
            }
            let shares =
                self.nodes[coordinator].coordinator.update(self.now, host(i), report, count);
            if let Some(shares) = shares {
                self.nodes[i].limiter.set_shares(self.now, shares);
            }
        }
    }

    fn worst_window(&self) -> u64 {
        worst_window(&self.admitted)
    }
}

/// An account sends many times its rate from all data centres a second after one of them is cut off,
/// again and again. Guards against two coordinators that together hand out more than the rate.
#[test]
fn rise_after_cut() {
    for (nodes, rate, rise) in [(13, 197, 7.5), (13, 197, 3.0), (13, 60, 7.5), (62, 197, 7.5)] {
        for seed in 0..6 {
            for cut in 0..DATA_CENTRES {
                let calm = [0.6 * rate as f64 / 3.0; DATA_CENTRES];
                let mut simulation = Simulation::new(nodes, rate, seed);
                simulation.run(Duration::from_secs(8), calm);
                for _ in 0..4 {
                    simulation.set_cut(cut, true);
                    simulation.run(Duration::from_secs(1), calm);
                    simulation.run(Duration::from_millis(4_500), calm.map(|rate| rise * rate));
                    simulation.set_cut(cut, false);
                    simulation.run(Duration::from_secs(2), calm.map(|rate| rise * rate));
                    simulation.run(Duration::from_secs(3), calm);
                }
                let (worst, max) = (simulation.worst_window(), max_per_window(rate));
                assert!(
                    worst <= max,
                    "{nodes} nodes, rate {rate}, rise {rise}, cut {cut}, seed {seed}: \
                     {worst} in a window, at most {max}"
                );
            }
        }
    }
}

/// The account sends more than its rate before, during and after the cut, mostly from one data
/// centre. Guards against a side that gets more than its members had when its coordinator changes.
#[test]
fn uneven_overload() {
    const RATE: u64 = 197;
    for seed in 0..6 {
        for (cut, busy) in [(0, 0), (0, 1), (1, 0), (1, 1), (2, 0)] {
            let mut demand = [0.4 * RATE as f64; DATA_CENTRES];
            demand[busy] = 4.0 * RATE as f64;
            let mut simulation = Simulation::new(13, RATE, seed);
            simulation.run(Duration::from_secs(8), demand);
            simulation.set_cut(cut, true);
            simulation.run(Duration::from_secs(12), demand);
            // The other data centre becomes the busy one while the cut lasts.
            demand.rotate_left(1);
            simulation.run(Duration::from_secs(12), demand);
            simulation.set_cut(cut, false);
            simulation.run(Duration::from_secs(8), demand);
            let (worst, max) = (simulation.worst_window(), max_per_window(RATE));
            assert!(worst <= max, "cut {cut}, busy {busy}, seed {seed}: {worst}, at most {max}");
        }
    }
}

/// An account below its rate loses nothing by a cut, whichever side its requests come from.
#[test]
fn calm_account() {
    const RATE: u64 = 197;
    for (cut, parts) in
        [(0, [1.0, 1.0, 1.0]), (1, [1.0, 1.0, 1.0]), (0, [2.0, 0.5, 0.5]), (1, [2.0, 0.5, 0.5])]
    {
        let demand = parts.map(|part| 0.75 * RATE as f64 * part / 3.0);
        let mut simulation = Simulation::new(13, RATE, 1);
        simulation.run(Duration::from_secs(8), demand);
        let (offered, admitted) = (simulation.offered, simulation.admitted.len() as u64);
        for _ in 0..3 {
            simulation.set_cut(cut, true);
            simulation.run(Duration::from_secs(12), demand);
            simulation.set_cut(cut, false);
            simulation.run(Duration::from_secs(8), demand);
        }
        let offered = simulation.offered - offered;
        let refused = offered - (simulation.admitted.len() as u64 - admitted);
        assert!(refused * 100 <= offered, "cut {cut}, {parts:?}: {refused} of {offered} refused");
    }
}
