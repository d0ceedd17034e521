//! Tests of distributed rate limits in virtual time.

mod deployment;

use {
    deployment::table_with_rate,
    monsoon_lib::{
        id,
        mesh::quota::{Coordinator, Demand, PERIOD, RateLimiter},
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{net::IpAddr, time::Duration},
};

const RATE: u64 = 100;
const STEP: Duration = Duration::from_millis(5);
/// The window over which the platform counts requests, and the most that it tolerates in one.
const WINDOW_S: u64 = 5;
const MAX_PER_WINDOW: u64 = max_per_window(RATE);

const fn max_per_window(rate: u64) -> u64 {
    (rate * WINDOW_S + rate) * 5 / 4 + 20
}

fn account() -> id::Account {
    "alpha".parse().expect("a name")
}

struct Simulation {
    now: Instant,
    rate: u64,
    nodes: Vec<RateLimiter>,
    coordinator: Coordinator,
    random: ChaCha8Rng,
    admitted: Vec<Instant>,
    offered: u64,
}

impl Simulation {
    fn new(nodes: usize, seed: u64) -> Self {
        Self::of(nodes, seed, RATE)
    }

    fn of(nodes: usize, seed: u64, rate: u64) -> Self {
        let mut simulation = Self {
            rate,
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            coordinator: Coordinator::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            admitted: Vec::new(),
            offered: 0,
        };
        simulation.nodes = (0..nodes).map(|_| simulation.limiter(nodes)).collect();
        simulation
    }

    fn limiter(&self, nodes: usize) -> RateLimiter {
        let mut limiter = RateLimiter::default();
        limiter.set_table(self.now, &table_with_rate("alpha", self.rate));
        limiter.set_node_count(self.now, nodes);
        limiter
    }

    /// Simulates a period in which node `i` gets `requests_per_s(i)` requests per second on
    /// average.
    fn simulate(&mut self, period: Duration, requests_per_s: impl Fn(usize) -> f64) {
        let end = self.now + period;
        let mut next_exchange = self.now;
        while self.now < end {
            if self.now >= next_exchange {
                next_exchange += PERIOD;
                self.exchange();
            }
            for i in 0..self.nodes.len() {
                if self.random.random_bool((requests_per_s(i) * STEP.as_secs_f64()).min(1.0)) {
                    self.offered += 1;
                    let fraction = self.random.random();
                    if self.nodes[i].try_acquire(self.now, &account(), fraction).is_ok() {
                        self.admitted.push(self.now);
                    }
                }
            }
            self.now += STEP;
        }
    }

    fn exchange(&mut self) {
        let count = self.nodes.len();
        for (i, node) in self.nodes.iter_mut().enumerate() {
            let demand = node.demand(PERIOD);
            let host = IpAddr::from([10, 0, 0, i as u8]);
            if let Some(shares) = self.coordinator.update(self.now, host, demand, count) {
                node.set_shares(self.now, shares);
            }
        }
    }

    fn worst_window(&self) -> u64 {
        let window = Duration::from_secs(WINDOW_S);
        let ends = self.admitted.iter().enumerate().map(|(first, start)| {
            self.admitted[first..].iter().take_while(|at| **at - *start < window).count() as u64
        });
        ends.max().unwrap_or(0)
    }
}

#[test]
fn over_the_rate() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(13, seed);
        simulation.simulate(Duration::from_secs(10), |i| if i == 3 { 400.0 } else { 20.0 });
        simulation.simulate(Duration::from_secs(10), |i| if i == 7 { 400.0 } else { 20.0 });
        let worst = simulation.worst_window();
        assert!(
            worst <= MAX_PER_WINDOW,
            "seed {seed}: {worst} in a window, at most {MAX_PER_WINDOW}"
        );
        let expected = 20 * RATE;
        let admitted = simulation.admitted.len() as u64;
        assert!(
            admitted >= expected,
            "seed {seed}: {admitted} admitted, expected at least {expected}"
        );
    }
}

#[test]
fn under_the_rate() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(13, seed);
        simulation.simulate(Duration::from_secs(5), |_| 5.0);
        let (offered, admitted) = (simulation.offered, simulation.admitted.len() as u64);
        simulation.simulate(Duration::from_secs(20), |_| 5.0);
        let offered = simulation.offered - offered;
        let refused = offered - (simulation.admitted.len() as u64 - admitted);
        // The account stays below its rate, so all refusals are wrongful.
        assert!(refused * 100 <= offered, "seed {seed}: {refused} of {offered} refused");
    }
}

/// A formerly idle account sends many times its rate soon after its first requests.
#[test]
fn sudden_rise() {
    const LARGE: u64 = 600;
    for seed in 0..20 {
        let mut simulation = Simulation::of(12, seed, LARGE);
        simulation.simulate(Duration::from_secs(8), |_| 0.0);
        simulation.simulate(Duration::from_millis(700), |i| if i < 6 { 45.0 } else { 35.0 });
        simulation.simulate(Duration::from_secs(8), |i| if i < 6 { 190.0 } else { 150.0 });
        let (worst, max) = (simulation.worst_window(), max_per_window(LARGE));
        assert!(worst <= max, "seed {seed}: {worst} in a window, at most {max}");
    }
}

/// An account with a small rate sends more than its rate through many nodes. The minimum capacities
/// of the buckets must not add up to more than the platform tolerates.
#[test]
fn small_account_on_many_nodes() {
    const SMALL: u64 = 18;
    for seed in 0..10 {
        let mut simulation = Simulation::of(80, seed, SMALL);
        simulation.simulate(Duration::from_secs(6), |_| 0.1);
        simulation.simulate(Duration::from_secs(12), |_| 1.0);
        let (worst, max) = (simulation.worst_window(), max_per_window(SMALL));
        assert!(worst <= max, "seed {seed}: {worst} in a window, at most {max}");
    }
}

/// The demand of a small account is close to its rate at many nodes. Guards against shares of less
/// than a request per second that refuse most requests which arrive close together: callers get what
/// the rate allows, less 5 in 100, and the platform's limit holds.
#[test]
fn near_the_rate() {
    const SMALL: u64 = 28;
    const NODES: usize = 62;
    for load in [0.9, 1.06, 1.2] {
        let (mut offered, mut admitted) = (0, 0);
        for seed in 0..4 {
            let per_node = load * SMALL as f64 / NODES as f64;
            let mut simulation = Simulation::of(NODES, seed, SMALL);
            simulation.simulate(Duration::from_secs(10), |_| 0.6 * per_node);
            let before = (simulation.offered, simulation.admitted.len() as u64);
            simulation.simulate(Duration::from_secs(18), |_| per_node);
            offered += simulation.offered - before.0;
            admitted += simulation.admitted.len() as u64 - before.1;
            let (worst, max) = (simulation.worst_window(), max_per_window(SMALL));
            assert!(worst <= max, "load {load}, seed {seed}: {worst} in a window, at most {max}");
        }
        let served = admitted as f64 / offered as f64;
        let allowed = (1.0 / load).min(1.0);
        assert!(served >= allowed - 0.05, "load {load}: {served:.3} served, {allowed:.3} allowed");
    }
}

/// The demand of a small account rises from below its rate to many times it. Guards against buckets
/// of idle nodes that together hold more than the platform tolerates.
#[test]
fn rise_on_many_nodes() {
    const SMALL: u64 = 28;
    const NODES: usize = 62;
    for seed in 0..6 {
        let per_node = SMALL as f64 / NODES as f64;
        let mut simulation = Simulation::of(NODES, seed, SMALL);
        simulation.simulate(Duration::from_secs(10), |_| 0.6 * per_node);
        simulation.simulate(Duration::from_secs(8), |_| 7.5 * per_node);
        let (worst, max) = (simulation.worst_window(), max_per_window(SMALL));
        assert!(worst <= max, "seed {seed}: {worst} in a window, at most {max}");
    }
}

/// An account stays below a small rate and sends to each of many nodes only rarely. The small
/// shares of the nodes must not lead to wrongful refusals.
#[test]
fn rare_requests_on_many_nodes() {
    const SMALL: u64 = 18;
    let mut simulation = Simulation::of(80, 1, SMALL);
    simulation.simulate(Duration::from_secs(10), |_| 0.14);
    let (offered, admitted) = (simulation.offered, simulation.admitted.len() as u64);
    simulation.simulate(Duration::from_secs(60), |_| 0.14);
    let offered = simulation.offered - offered;
    let refused = offered - (simulation.admitted.len() as u64 - admitted);
    assert!(refused * 50 <= offered, "{refused} of {offered} refused");
}

#[test]
fn restarted_nodes() {
    let mut simulation = Simulation::new(13, 1);
    simulation.simulate(Duration::from_secs(6), |_| 60.0);
    for i in 0..11 {
        simulation.nodes[i] = simulation.limiter(13);
    }
    simulation.coordinator = Coordinator::default();
    simulation.simulate(Duration::from_secs(6), |_| 60.0);
    let worst = simulation.worst_window();
    assert!(worst <= MAX_PER_WINDOW, "{worst} in a window, at most {MAX_PER_WINDOW}");
}

#[test]
fn coordinator_warm_up() {
    let mut coordinator = Coordinator::default();
    let demand = || Demand([(account(), 50.0)].into());
    let host = |i: u8| IpAddr::from([10, 0, 0, i]);
    let mut now = Instant::from_millis(1);
    assert_eq!(coordinator.update(now, host(1), demand(), 2), None);
    now += Duration::from_millis(600);
    assert_eq!(coordinator.update(now, host(2), demand(), 2), None);
    now += Duration::from_millis(700);
    let shares = coordinator.update(now, host(1), demand(), 2).expect("shares");
    let fraction = shares.by_account[&account()].fraction;
    assert!((fraction - 0.5).abs() < 0.01, "{fraction}");
}

/// An account whose record can't be understood has the rate 0 so that it is refused, but nodes that
/// started let one request through, and others up to three.
#[test]
fn zero_rate() {
    let now = Instant::from_millis(1_000);
    let mut limiter = RateLimiter::default();
    limiter.set_node_count(now, 3);
    limiter.set_table(now, &table_with_rate("alpha", 0));
    for second in 0..5 {
        let now = now + Duration::from_secs(second);
        assert!(limiter.try_acquire(now, &account(), 0.0).is_err(), "after {second} s");
    }
}
