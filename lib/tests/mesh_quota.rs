//! Sold rates over nodes, in virtual time.

use {
    monsoon_lib::{
        id,
        mesh::{
            quota::{Coordinator, Demand, PERIOD, RateLimiter},
            table::{Account, Bounds, Document, Table},
        },
        time::Instant,
        unit::{Bytes, Rate, Revision},
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::IpAddr, time::Duration},
};

const RATE: u64 = 100;
const STEP: Duration = Duration::from_millis(5);
/// The window in which the platform counts, and its tolerance.
const WINDOW_S: u64 = 5;
const BOUND: u64 = bound(RATE);

const fn bound(rate: u64) -> u64 {
    (rate * WINDOW_S + rate) * 5 / 4 + 20
}

fn account() -> id::Account {
    "alpha".parse().expect("a name")
}

fn table(rate: u64) -> Table {
    let account =
        Account { name: account(), rank: 1, rate: Some(Rate(rate)), burst: rate, keys: Vec::new() };
    let bounds = Bounds {
        head: Bytes(1),
        body: Bytes(1),
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let document = Document {
        revision: Revision(1),
        routes: Vec::new(),
        accounts: vec![account],
        health: BTreeMap::new(),
        bounds,
    };
    Table::new(document).expect("a valid table")
}

struct World {
    now: Instant,
    rate: u64,
    nodes: Vec<RateLimiter>,
    coordinator: Coordinator,
    random: ChaCha8Rng,
    passed: Vec<Instant>,
    offered: u64,
}

impl World {
    fn new(nodes: usize, seed: u64) -> Self {
        Self::of(nodes, seed, RATE)
    }

    fn of(nodes: usize, seed: u64, rate: u64) -> Self {
        let mut world = Self {
            rate,
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            coordinator: Coordinator::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            passed: Vec::new(),
            offered: 0,
        };
        world.nodes = (0..nodes).map(|_| world.meters(nodes)).collect();
        world
    }

    fn meters(&self, nodes: usize) -> RateLimiter {
        let mut meters = RateLimiter::default();
        meters.set_table(self.now, &table(self.rate));
        meters.set_node_count(self.now, nodes);
        meters
    }

    /// Plays a time in which node `i` is asked for `per_s(i)` requests a second.
    fn play(&mut self, time: Duration, per_s: impl Fn(usize) -> f64) {
        let end = self.now + time;
        let mut tick = self.now;
        while self.now < end {
            if self.now >= tick {
                tick += PERIOD;
                self.exchange();
            }
            for i in 0..self.nodes.len() {
                if self.random.random_bool((per_s(i) * STEP.as_secs_f64()).min(1.0)) {
                    self.offered += 1;
                    if self.nodes[i].try_acquire(self.now, &account()).is_ok() {
                        self.passed.push(self.now);
                    }
                }
            }
            self.now += STEP;
        }
    }

    fn exchange(&mut self) {
        for (i, node) in self.nodes.iter_mut().enumerate() {
            let demand = node.demand(PERIOD);
            let host = IpAddr::from([10, 0, 0, i as u8]);
            if let Some(shares) = self.coordinator.update(self.now, host, demand) {
                node.set_shares(self.now, shares);
            }
        }
    }

    fn worst_window(&self) -> u64 {
        let window = Duration::from_secs(WINDOW_S);
        let ends = self.passed.iter().enumerate().map(|(first, start)| {
            self.passed[first..].iter().take_while(|at| **at - *start < window).count() as u64
        });
        ends.max().unwrap_or(0)
    }
}

#[test]
fn over_the_rate() {
    for seed in 0..10 {
        let mut world = World::new(13, seed);
        world.play(Duration::from_secs(10), |i| if i == 3 { 400.0 } else { 20.0 });
        world.play(Duration::from_secs(10), |i| if i == 7 { 400.0 } else { 20.0 });
        let worst = world.worst_window();
        assert!(worst <= BOUND, "seed {seed}: {worst} in a window, at most {BOUND}");
        let least = 20 * RATE;
        let passed = world.passed.len() as u64;
        assert!(passed >= least, "seed {seed}: {passed} passed, {least} were due");
    }
}

#[test]
fn under_the_rate() {
    for seed in 0..10 {
        let mut world = World::new(13, seed);
        world.play(Duration::from_secs(5), |_| 5.0);
        let (offered, passed) = (world.offered, world.passed.len() as u64);
        world.play(Duration::from_secs(20), |_| 5.0);
        let offered = world.offered - offered;
        let refused = offered - (world.passed.len() as u64 - passed);
        // Nobody is over its rate, so this is the part that is refused without need.
        assert!(refused * 100 <= offered, "seed {seed}: {refused} of {offered} refused");
    }
}

/// An account that was idle sends many times its rate soon after its first requests.
#[test]
fn sudden_rise() {
    const LARGE: u64 = 600;
    for seed in 0..20 {
        let mut world = World::of(12, seed, LARGE);
        world.play(Duration::from_secs(8), |_| 0.0);
        world.play(Duration::from_millis(700), |i| if i < 6 { 45.0 } else { 35.0 });
        world.play(Duration::from_secs(8), |i| if i < 6 { 190.0 } else { 150.0 });
        let (worst, bound) = (world.worst_window(), bound(LARGE));
        assert!(worst <= bound, "seed {seed}: {worst} in a window, at most {bound}");
    }
}

/// An account with a small rate uses all of many nodes.
#[test]
fn small_account_on_many_nodes() {
    const SMALL: u64 = 18;
    for seed in 0..10 {
        let mut world = World::of(80, seed, SMALL);
        world.play(Duration::from_secs(6), |_| 0.1);
        world.play(Duration::from_secs(12), |_| 1.0);
        let (worst, bound) = (world.worst_window(), bound(SMALL));
        assert!(worst <= bound, "seed {seed}: {worst} in a window, at most {bound}");
    }
}

/// An account below a small rate meets each of many nodes now and then.
#[test]
fn rare_requests_on_many_nodes() {
    const SMALL: u64 = 18;
    let mut world = World::of(80, 1, SMALL);
    world.play(Duration::from_secs(10), |_| 0.14);
    let (offered, passed) = (world.offered, world.passed.len() as u64);
    world.play(Duration::from_secs(60), |_| 0.14);
    let offered = world.offered - offered;
    let refused = offered - (world.passed.len() as u64 - passed);
    assert!(refused * 50 <= offered, "{refused} of {offered} refused");
}

#[test]
fn restarted_nodes() {
    let mut world = World::new(13, 1);
    world.play(Duration::from_secs(6), |_| 60.0);
    for i in 0..11 {
        world.nodes[i] = world.meters(13);
    }
    world.coordinator = Coordinator::default();
    world.play(Duration::from_secs(6), |_| 60.0);
    let worst = world.worst_window();
    assert!(worst <= BOUND, "{worst} in a window, at most {BOUND}");
}

#[test]
fn new_coordinator() {
    let mut coordinator = Coordinator::default();
    let demand = || Demand([(account(), 50.0)].into());
    let host = |i: u8| IpAddr::from([10, 0, 0, i]);
    let mut now = Instant::from_millis(1);
    assert_eq!(coordinator.update(now, host(1), demand()), None);
    now += Duration::from_millis(600);
    assert_eq!(coordinator.update(now, host(2), demand()), None);
    now += Duration::from_millis(700);
    let shares = coordinator.update(now, host(1), demand()).expect("shares");
    let part = shares.by_account[&account()].fraction;
    assert!((part - 0.5).abs() < 0.01, "{part}");
}
