//! A request that crashes its targets is refused after its second crash; innocent requests are not.

use {
    monsoon_lib::{
        call::{Outcome, Reason},
        crash::{CrashTracker, Settings},
        id::{Call, Incarnation, Vm},
        time::Instant,
    },
    proptest::prelude::*,
    rand::SeedableRng as _,
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

const CRASHER: u64 = 1;
const NODES: usize = 5;
/// The number of distinct look-up requests that callers repeat, some often and some rarely.
const LOOK_UPS: u64 = 200;
const WARM_UP_MS: u64 = 2_000;
const GOSSIP_MS: u64 = 100;
const FAN_OUT: usize = 2;

fn vm(index: usize) -> Vm {
    format!("v{index}").parse().expect("a valid name")
}

fn tracker(index: usize) -> CrashTracker {
    CrashTracker::new(vm(index), Incarnation(1), Settings::default())
}

struct Running {
    node: usize,
    call: Call,
    fingerprint: u64,
    until_ms: u64,
}

/// Simulates nodes with one target each, and requests that run for some milliseconds.
struct Simulation {
    nodes: Vec<CrashTracker>,
    running: Vec<Running>,
    random: ChaCha8Rng,
    now_ms: u64,
    next: u64,
    crashes: u32,
    sent: u64,
    refused: Vec<u64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            nodes: (0..NODES).map(tracker).collect(),
            running: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000_000,
            next: 0,
            crashes: 0,
            sent: 0,
            refused: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn send(&mut self, fingerprint: u64, run_ms: u64) {
        let node = self.random.random_range(0..NODES);
        self.sent += 1;
        if self.nodes[node].check(fingerprint).is_err() {
            self.refused.push(fingerprint);
            return;
        }
        self.next += 1;
        let call = Call(self.next);
        self.nodes[node].call_started(call, fingerprint);
        self.running.push(Running { node, call, fingerprint, until_ms: self.now_ms + run_ms });
    }

    fn crash(&mut self, node: usize) {
        self.crashes += 1;
        let now = self.now();
        self.nodes[node].target_crashed(now);
        let (dead, alive): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.node == node);
        self.running = alive;
        // Look-ups are idempotent, so their nodes retry them on other targets immediately.
        for run in dead {
            if run.fingerprint != CRASHER && run.fingerprint < 1_000 {
                self.send(run.fingerprint, 10);
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.now();
        for index in 0..NODES {
            let Some(message) = self.nodes[index].next_message(now, NODES) else { continue };
            for _ in 0..FAN_OUT {
                let to = self.random.random_range(0..NODES);
                self.nodes[to].receive(now, message.clone());
            }
        }
    }

    /// Advances the time by `time_ms` with `load` new requests per millisecond, about half of which
    /// are repeated look-ups.
    fn run_for(&mut self, time_ms: u64, load: u64) {
        for _ in 0..time_ms {
            self.now_ms += 1;
            for _ in 0..load {
                let run_ms = self.random.random_range(1..40);
                let fingerprint = if self.random.random() {
                    let position: f64 = self.random.random();
                    2 + (position.powi(3) * LOOK_UPS as f64) as u64
                } else {
                    self.next + 1_000
                };
                self.send(fingerprint, run_ms);
            }
            self.end_runs();
            if self.now_ms.is_multiple_of(GOSSIP_MS) {
                self.gossip();
            }
            let now = self.now();
            self.nodes.iter_mut().for_each(|node| node.tick(now));
        }
    }

    fn end_runs(&mut self) {
        let now = self.now();
        let (finished, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.until_ms <= self.now_ms);
        self.running = running;
        for run in finished {
            if run.fingerprint == CRASHER {
                self.crash(run.node);
            } else {
                self.nodes[run.node].call_ended(now, run.call, true);
                let receiver = self.random.random_range(0..NODES);
                self.nodes[receiver].request_completed(now, run.fingerprint);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn crashing_request(
        seed in any::<u64>(),
        load in 0_u64..8,
        resend_ms in 1_000_u64..3_000,
        crash_after_ms in 1_u64..30,
    ) {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(WARM_UP_MS, load);
        for _ in 0..6 {
            simulation.send(CRASHER, crash_after_ms);
            simulation.run_for(resend_ms, load);
        }
        prop_assert_eq!(simulation.crashes, 2);
        prop_assert_eq!(simulation.refused, vec![CRASHER; 4]);
    }

    #[test]
    fn crashes_without_cause(
        seed in any::<u64>(),
        load in 1_u64..8,
        gaps_ms in prop::collection::vec(5_u64..200, 30),
    ) {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(WARM_UP_MS, load);
        for gap_ms in gaps_ms {
            let node = simulation.random.random_range(0..NODES);
            simulation.crash(node);
            simulation.run_for(gap_ms, load);
        }
        println!("{} of {} innocent requests refused", simulation.refused.len(), simulation.sent);
        prop_assert!(
            simulation.refused.len() as u64 * 1_000 <= simulation.sent,
            "{:?}",
            simulation.refused
        );
        simulation.run_for(1_000, load);
        simulation.refused.clear();
        simulation.run_for(1_000, load);
        prop_assert!(
            simulation.refused.is_empty(),
            "{:?} refused after the crashes ended",
            simulation.refused
        );
    }
}

/// Crashes a target with the given requests in flight.
fn crash(node: &mut CrashTracker, now: Instant, fingerprints: &[u64]) {
    for (call, fingerprint) in fingerprints.iter().enumerate() {
        node.call_started(Call(call as u64), *fingerprint);
    }
    node.target_crashed(now);
}

fn is_refused(node: &CrashTracker, fingerprint: u64) -> bool {
    node.check(fingerprint).is_err()
}

#[test]
fn second_crash() {
    let mut node = tracker(0);
    crash(&mut node, Instant::from_millis(1), &[CRASHER, 8, 9]);
    assert!(!is_refused(&node, CRASHER));
    crash(&mut node, Instant::from_millis(2), &[CRASHER, 6, 7]);
    let refusal = node.check(CRASHER).expect_err("it crashed two targets");
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Crasher, Outcome::NotRun));
    assert!([6, 7, 8, 9].iter().all(|innocent| !is_refused(&node, *innocent)));
}

#[test]
fn two_suspects() {
    let mut node = tracker(0);
    crash(&mut node, Instant::from_millis(1), &[CRASHER, 8]);
    crash(&mut node, Instant::from_millis(2), &[CRASHER, 8]);
    assert!(!is_refused(&node, CRASHER) && !is_refused(&node, 8));
    crash(&mut node, Instant::from_millis(3), &[CRASHER]);
    assert!(is_refused(&node, CRASHER) && !is_refused(&node, 8));
}

#[test]
fn cleared_innocent() {
    let mut node = tracker(0);
    crash(&mut node, Instant::from_millis(1), &[CRASHER, 8]);
    node.call_started(Call(9), 8);
    node.call_ended(Instant::from_millis(2), Call(9), true);
    crash(&mut node, Instant::from_millis(3), &[CRASHER, 8]);
    assert!(is_refused(&node, CRASHER) && !is_refused(&node, 8));
}

#[test]
fn repeated_message() {
    let (mut here, mut there) = (tracker(0), tracker(1));
    let now = Instant::from_millis(1);
    crash(&mut here, now, &[CRASHER]);
    let message = here.next_message(now, NODES).expect("a new crash is sent");
    for _ in 0..3 {
        there.receive(now, message.clone());
    }
    assert!(!is_refused(&there, CRASHER));
    crash(&mut there, now, &[CRASHER]);
    assert!(is_refused(&there, CRASHER));
}

#[test]
fn expired_crash() {
    let mut node = tracker(0);
    crash(&mut node, Instant::from_millis(1), &[CRASHER]);
    crash(&mut node, Instant::from_millis(2), &[CRASHER]);
    assert!(is_refused(&node, CRASHER));
    node.tick(Instant::from_millis(2) + Duration::from_millis(Settings::default().keep_ms));
    assert!(!is_refused(&node, CRASHER));
}

#[test]
fn bounded_memory() {
    let mut node = tracker(0);
    for round in 0..1_000 {
        let fingerprints: Vec<u64> =
            (0..600).map(|fingerprint| round * 1_000 + fingerprint).collect();
        crash(&mut node, Instant::from_millis(round), &fingerprints);
    }
    let dump = node.dump(Instant::from_millis(1_000));
    let settings = Settings::default();
    assert_eq!(dump.crashes, settings.crashes_max);
    assert!(dump.suspects <= settings.crashes_max * settings.suspects_max);
}
