//! Tests of the bound on the requests per second of cold targets.

use {
    monsoon_lib::{
        id,
        mesh::{
            announcement,
            cold::{Change, Limit, Witness},
            fact::Heartbeat,
            gate::{AdmissionRequest, Decision, Gate, Rank, Release},
        },
        time::Instant,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const RATE: f64 = 11.0;
const DURATION_MS: u64 = 8_000;
const SLOTS: u32 = 60;
const SERVICE_TIME: Duration = Duration::from_millis(30);
const SPAN: Duration = Duration::from_secs(1);
/// What the platform allows in each span of one second.
const BOUND: usize = (RATE * 1.5) as usize + 8;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit() -> Option<Limit> {
    let rate = RATE.try_into().expect("a rate");
    Some(Limit { duration: ms(DURATION_MS), rate })
}

fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat { started_at_ms: 1, sequence }
}

/// A gate of a target in a pool with a bound, under more calls than it can run.
struct Flood {
    gate: Gate,
    now_ms: u64,
    calls_per_ms: u64,
    next_call: u64,
    running: Vec<(Instant, u64)>,
    starts: Vec<(Instant, u64)>,
    refused: usize,
}

impl Flood {
    fn new() -> Self {
        let mut flood = Self {
            gate: Gate::new(SLOTS),
            now_ms: 0,
            calls_per_ms: 1,
            next_call: 0,
            running: Vec::new(),
            starts: Vec::new(),
            refused: 0,
        };
        flood.restart();
        flood
    }

    /// Creates a flood of a target that is known to be warm.
    fn warm() -> Self {
        let mut flood = Self::new();
        flood.gate.cold_mut().record_health(at(0), at(0), Duration::ZERO);
        flood
    }

    /// Replaces the gate as a restart of the node does.
    fn restart(&mut self) {
        self.gate = Gate::new(SLOTS);
        let now = self.now();
        self.gate.record_limit(now, announcement::Limit::None);
        self.gate.cold_mut().set_limit(now, limit());
        self.running.clear();
    }

    fn now(&self) -> Instant {
        at(self.now_ms)
    }

    fn rank(call: u64) -> u32 {
        u32::from(!call.is_multiple_of(200))
    }

    fn entry(&mut self, sequence: u64, remaining_ms: u64) {
        let now = self.now();
        self.gate.cold_mut().record_entry(now, heartbeat(sequence), ms(remaining_ms));
    }

    fn health(&mut self, remaining_ms: u64) {
        let now = self.now();
        self.gate.cold_mut().record_health(now, now, ms(remaining_ms));
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            let now = self.now();
            let mut releases = self.gate.tick(now);
            while let Some(i) = self.running.iter().position(|(end, _)| *end <= now) {
                let (_, call) = self.running.remove(i);
                releases.extend(self.gate.finish(now, id::Call(call), Some(SERVICE_TIME)));
            }
            for _ in 0..self.calls_per_ms {
                self.next_call += 1;
                let call = self.next_call;
                let rank = Rank {
                    account: 0,
                    route: Self::rank(call),
                    is_first_attempt: true,
                    hash_bucket: 0,
                };
                let request =
                    AdmissionRequest { rank, objective: ms(500), deadline: now + ms(5_000) };
                match self.gate.offer(now, id::Call(call), &request) {
                    Decision::Run => releases.push(Release::Run(id::Call(call))),
                    Decision::Refused(_) => self.refused += 1,
                    Decision::Queued(_) => {}
                }
            }
            for release in releases {
                if let Release::Run(call) = release {
                    self.running.push((now + SERVICE_TIME, call.0));
                    self.starts.push((now, call.0));
                }
            }
        }
    }

    /// Returns the number of starts in `from..to`.
    fn started(&self, from_ms: u64, to_ms: u64) -> usize {
        self.starts.iter().filter(|(start, _)| (at(from_ms)..at(to_ms)).contains(start)).count()
    }

    /// Returns the largest number of starts in a span of one second that ends in `from..to`. The span
    /// counts from its very beginning, whether or not the target was known to be cold then.
    fn max_in_span(&self, from_ms: u64, to_ms: u64) -> usize {
        let ends = self.starts.iter().enumerate();
        let ends = ends.filter(|(_, (end, _))| (at(from_ms)..at(to_ms)).contains(end));
        let in_span = |(i, (end, _)): (usize, &(Instant, u64))| {
            self.starts[..=i].iter().rev().take_while(|(start, _)| *end - *start < SPAN).count()
        };
        ends.map(in_span).max().unwrap_or(0)
    }
}

/// A burst after a quiet time, or tokens that are refilled too fast, would crash the target.
#[test]
fn flood_of_calls() {
    let mut flood = Flood::new();
    flood.entry(1, 6_000);
    flood.calls_per_ms = 0;
    flood.run_until(2_000);
    flood.calls_per_ms = 1;
    flood.run_until(6_000);
    assert!(flood.max_in_span(0, 6_000) <= BOUND, "{}", flood.max_in_span(0, 6_000));
    let started = flood.started(2_000, 6_000);
    assert!(started >= (4.0 * RATE) as usize, "{started} in 4 s, the rate is not used");
    assert!(flood.gate.cold().held_back() > 3_000, "{}", flood.gate.cold().held_back());
}

/// A node that has restarted knows nothing of what its target got in the second before.
#[test]
fn node_restarted() {
    let mut flood = Flood::new();
    for restart_ms in [1_000, 1_400, 4_000] {
        flood.run_until(restart_ms);
        flood.restart();
    }
    flood.run_until(7_000);
    assert!(flood.max_in_span(0, 7_000) <= BOUND, "{}", flood.max_in_span(0, 7_000));
}

/// The calls of the second before count, so that a target under full load gets a pause.
#[test]
fn turned_cold_under_load() {
    for turn_ms in [2_000, 2_130, 3_777] {
        let mut flood = Flood::warm();
        flood.run_until(turn_ms);
        assert!(flood.started(1_000, 2_000) > 900, "a warm target is not bound");
        flood.entry(2, 5_000);
        flood.run_until(turn_ms + 5_000);
        let most = flood.max_in_span(turn_ms + 1, turn_ms + 5_000);
        assert!(most <= BOUND, "{most} in 1 s, cold from {turn_ms} ms");
    }
}

/// The remaining time may be changed by hand. A later end is believed at once, an earlier one only
/// from the target itself or from a newer entry.
#[test]
fn remaining_time_jumps() {
    let mut flood = Flood::new();
    flood.entry(5, 1_000);
    flood.health(500);
    flood.run_until(400);
    flood.entry(6, 4_000);
    flood.run_until(600);
    flood.entry(4, 0);
    assert!(flood.gate.cold().is_cold(at(4_300)), "an older entry does not end it");
    flood.entry(7, 9_000);
    flood.run_until(5_000);
    assert!(flood.gate.cold().is_cold(at(9_500)));
    flood.entry(8, 1_000);
    assert!(flood.gate.cold().is_cold(at(5_900)));
    assert!(!flood.gate.cold().is_cold(at(6_100)));
    flood.health(2_000);
    assert!(flood.gate.cold().is_cold(at(6_900)), "the target itself says so");
    assert!(!flood.gate.cold().is_cold(at(7_100)));
    assert!(flood.max_in_span(0, 5_000) <= BOUND);
    flood.entry(9, 0);
    assert!(flood.gate.cold().is_cold(at(6_900)), "an entry does not end what the target says");
}

/// The target is cold for the whole time once it is back, unless it says itself that it is not.
#[test]
fn crashed_and_back() {
    let mut flood = Flood::warm();
    let guard = flood.gate.cold_mut();
    assert_eq!(guard.take_change(at(0)), None);
    guard.record_down(at(1_000));
    let change = Change::Began { witness: Witness::Observation, remaining: None };
    assert_eq!(guard.take_change(at(1_000)), Some(change));
    assert!(guard.is_down() && guard.is_cold(at(60_000)));
    guard.record_health(at(900), at(1_100), Duration::ZERO);
    assert!(guard.is_down(), "the answer is older than the crash");
    guard.record_up(at(3_000));
    assert!(guard.is_check_due(at(3_000)));
    assert!(guard.is_cold(at(3_000 + DURATION_MS - 1)) && !guard.is_cold(at(3_000 + DURATION_MS)));
    guard.record_health(at(3_100), at(3_200), Duration::ZERO);
    assert_eq!(guard.take_change(at(3_200)), Some(Change::Ended));
    assert!(!guard.is_check_due(at(4_000)));
    assert!(guard.is_check_due(at(9_000)), "the entry is not renewed");
}

/// The first entry may have been written before node and target started together.
#[test]
fn first_entry_is_old() {
    let mut flood = Flood::new();
    flood.entry(7, 0);
    assert!(flood.gate.cold().is_cold(at(1_000)));
    flood.entry(8, 0);
    assert!(!flood.gate.cold().is_cold(at(1_000)));
    assert_eq!(flood.gate.rate_limit(at(1)), None, "the target was warm all along");
}

/// The calls that have queued up do not all start at the end of the cold time.
#[test]
fn no_rush_after_end() {
    let mut flood = Flood::new();
    flood.health(3_000);
    flood.run_until(7_000);
    let started = |from_ms| flood.started(from_ms, from_ms + 250);
    // The mean rate of each quarter of a second is twice that of the one before.
    let mut allowed = RATE / 4.0 * 2.0 + RATE / 4.0 + 2.0;
    for from_ms in [3_000, 3_250, 3_500, 3_750] {
        assert!(started(from_ms) as f64 <= allowed, "{} from {from_ms} ms", started(from_ms));
        allowed *= 2.0;
    }
    assert!(flood.started(5_500, 6_500) > 900, "{} in 1 s", flood.started(5_500, 6_500));
}

/// Where no target is warm, the urgent calls run and the others are refused at once or in time.
#[test]
fn whole_pool_cold() {
    let mut flood = Flood::new();
    flood.health(20_000);
    flood.run_until(10_000);
    let urgent = flood.starts.iter().filter(|(_, call)| Flood::rank(*call) == 0).count();
    assert!(urgent >= 48, "{urgent} of 50 urgent calls started");
    assert!(flood.starts.len() >= 105, "{} started, the rate is not used", flood.starts.len());
    assert!(flood.refused > 9_000, "{} refused at once", flood.refused);
}

/// Slots, the limit that the target names and the bound are one capacity.
#[test]
fn smallest_binds() {
    for (named, smallest) in [("4", 4.0), ("40", RATE)] {
        let mut flood = Flood::new();
        flood.health(20_000);
        let named = announcement::Limit::Rate(named.parse().expect("a rate"));
        flood.gate.record_limit(at(0), named);
        flood.run_until(10_000);
        let started = flood.starts.len() as f64;
        assert!((started - smallest * 10.0).abs() <= smallest + 2.0, "{started} in 10 s");
        assert_eq!(flood.gate.report(at(10_000)).limit, 1);
    }
}

/// A deployment without the columns is as before, whatever targets say.
#[test]
fn without_bound() {
    let mut gate = Gate::new(SLOTS);
    gate.cold_mut().record_entry(at(0), heartbeat(1), ms(9_000));
    gate.cold_mut().record_down(at(0));
    gate.cold_mut().set_limit(at(0), None);
    assert!(!gate.cold().is_cold(at(1)) && !gate.cold().is_check_due(at(60_000)));
    assert_eq!(gate.rate_limit(at(1)), None);
}

/// A target that was down while the operator removed the bound counted as down for good, so that its
/// node connected to it without a pause.
#[test]
fn bound_removed_while_down() {
    let mut gate = Gate::new(SLOTS);
    gate.cold_mut().set_limit(at(0), limit());
    gate.cold_mut().record_down(at(1_000));
    assert!(gate.cold().is_down());
    gate.cold_mut().set_limit(at(2_000), None);
    gate.cold_mut().record_up(at(3_000));
    assert!(!gate.cold().is_down());
    gate.cold_mut().set_limit(at(4_000), limit());
    assert!(gate.cold().is_down() && gate.cold().is_cold(at(4_000)));
    gate.cold_mut().record_up(at(4_100));
    assert!(!gate.cold().is_down() && gate.cold().is_cold(at(4_100 + DURATION_MS - 1)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Whatever the witnesses say and whenever the node restarts, each call that starts while the
    /// target counts as cold is within the bound, the calls of the second before included.
    #[test]
    fn within_bound(
        steps in proptest::collection::vec((0..6_u8, 0..3_000_u64, 1..1_500_u64), 1..12),
    ) {
        let mut flood = Flood::warm();
        for (sequence, (step, remaining_ms, wait_ms)) in (1..).zip(steps) {
            let now = flood.now();
            match step {
                0 | 1 => flood.entry(sequence, remaining_ms),
                2 => flood.health(remaining_ms),
                3 => flood.health(0),
                4 => flood.gate.cold_mut().record_down(now),
                _ => flood.gate.cold_mut().record_up(now),
            }
            for _ in 0..wait_ms / 10 {
                let is_cold = flood.gate.cold().is_cold(now);
                let from_ms = flood.now_ms;
                flood.run_until(from_ms + 10);
                if is_cold && flood.gate.cold().is_cold(flood.now()) {
                    let most = flood.max_in_span(from_ms + 1, from_ms + 11);
                    prop_assert!(most <= BOUND, "{} in 1 s until {} ms", most, from_ms + 10);
                }
            }
        }
    }
}
