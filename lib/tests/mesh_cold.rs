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
const SERVICE_TIME: Duration = Duration::from_millis(30);
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

/// A gate of a target that is known to be warm, in a pool with a bound, and more calls than it can run.
struct Flood {
    gate: Gate,
    now_ms: u64,
    running: Vec<(Instant, u64)>,
    starts: Vec<(Instant, u64)>,
}

impl Flood {
    fn new() -> Self {
        let (running, starts) = (Vec::new(), Vec::new());
        let mut flood = Self { gate: Gate::new(60), now_ms: 0, running, starts };
        flood.restart();
        flood.health(0);
        flood
    }

    /// Replaces the gate as a restart of the node does.
    fn restart(&mut self) {
        let now = at(self.now_ms);
        self.gate = Gate::new(60);
        self.gate.record_limit(now, announcement::Limit::None);
        self.gate.cold_mut().set_limit(now, limit());
        self.running.clear();
    }

    fn is_cold(&self, now_ms: u64) -> bool {
        self.gate.cold().is_cold(at(now_ms))
    }

    fn entry(&mut self, sequence: u64, remaining_ms: u64) {
        let guard = self.gate.cold_mut();
        guard.record_entry(at(self.now_ms), heartbeat(sequence), ms(remaining_ms));
    }

    fn health(&mut self, remaining_ms: u64) {
        let now = at(self.now_ms);
        self.gate.cold_mut().record_health(now, now, ms(remaining_ms));
    }

    /// Every 200th call is urgent.
    fn rank(call: u64) -> Rank {
        let route = u32::from(!call.is_multiple_of(200));
        Rank { account: 0, route, is_first_attempt: true, hash_bucket: 0 }
    }

    /// Offers a call each millisecond until `end_ms`.
    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            let (now, call) = (at(self.now_ms), id::Call(self.now_ms));
            let mut releases = self.gate.tick(now);
            while let Some(i) = self.running.iter().position(|(end, _)| *end <= now) {
                let (_, ended) = self.running.remove(i);
                releases.extend(self.gate.finish(now, id::Call(ended), Some(SERVICE_TIME)));
            }
            let rank = Self::rank(call.0);
            let deadline = now + ms(5_000);
            let request = AdmissionRequest { rank, objective: ms(500), deadline };
            if self.gate.offer(now, call, &request) == Decision::Run {
                releases.push(Release::Run(call));
            }
            for release in releases {
                if let Release::Run(call) = release {
                    self.running.push((now + SERVICE_TIME, call.0));
                    self.starts.push((now, call.0));
                }
            }
        }
    }

    /// Returns the number of starts in `from_ms..to_ms`.
    fn started(&self, from_ms: u64, to_ms: u64) -> usize {
        self.starts.iter().filter(|(start, _)| (at(from_ms)..at(to_ms)).contains(start)).count()
    }

    /// Returns the largest number of starts in a span of one second that ends with a start in
    /// `from_ms..to_ms`.
    fn max_in_span(&self, from_ms: u64, to_ms: u64) -> usize {
        let ends = (from_ms..to_ms).filter(|end| self.started(*end, end + 1) > 0);
        let in_span = |end: u64| self.started((end + 1).saturating_sub(1_000), end + 1);
        ends.map(in_span).max().unwrap_or(0)
    }
}

/// Urgent calls run as far as the bound carries where no target is warm, and a quiet time does not
/// save up a burst that would crash the target.
#[test]
fn whole_pool_cold() {
    let mut flood = Flood::new();
    flood.health(14_000);
    flood.now_ms = 4_000;
    flood.run_until(14_000);
    let urgent = flood.starts.iter().filter(|(_, call)| Flood::rank(*call).route == 0).count();
    assert!(urgent >= 48, "{urgent} of 50 urgent calls started");
    assert!(flood.starts.len() >= 105, "{} started, the rate is not used", flood.starts.len());
    assert!(flood.max_in_span(4_000, 14_000) <= BOUND, "{}", flood.max_in_span(4_000, 14_000));
    assert!(flood.gate.cold().held_back() > 9_000, "{}", flood.gate.cold().held_back());
}

/// A target under full load that turns cold gets a pause, since the calls of the second before count.
#[test]
fn turned_cold_under_load() {
    let mut flood = Flood::new();
    flood.run_until(2_130);
    assert!(flood.started(1_000, 2_000) > 900, "a warm target is not bound");
    flood.entry(2, 5_000);
    flood.run_until(7_000);
    assert_eq!(flood.started(2_131, 3_130), 0);
    assert!(flood.max_in_span(3_130, 7_000) <= BOUND, "{}", flood.max_in_span(3_130, 7_000));
}

/// The remaining time may be changed by hand. A later end is believed at once, an earlier one only
/// from the target itself or from a newer entry.
#[test]
fn remaining_time_jumps() {
    let mut flood = Flood::new();
    flood.entry(6, 4_000);
    flood.entry(4, 0);
    assert!(flood.is_cold(3_900), "an older entry does not end it");
    flood.entry(7, 9_000);
    assert!(flood.is_cold(8_900));
    flood.entry(8, 1_000);
    assert!(flood.is_cold(900) && !flood.is_cold(1_100));
    flood.health(2_000);
    flood.entry(9, 0);
    assert!(flood.is_cold(1_900) && !flood.is_cold(2_100), "an entry does not end it");
    flood.health(0);
    assert!(!flood.is_cold(1));
}

/// The target is cold for the whole time once it is back, unless it says itself that it is not.
#[test]
fn crashed_and_back() {
    let mut flood = Flood::new();
    let guard = flood.gate.cold_mut();
    assert_eq!(guard.take_change(at(0)), None);
    guard.record_down(at(1_000));
    let change = Change::Began { witness: Witness::Observation, remaining: None };
    assert_eq!(guard.take_change(at(1_000)), Some(change));
    guard.record_health(at(900), at(1_100), Duration::ZERO);
    assert!(guard.is_down() && guard.is_cold(at(60_000)), "the answer is older than the crash");
    guard.record_up(at(3_000));
    assert!(guard.is_check_due(at(3_000)));
    assert!(guard.is_cold(at(3_000 + DURATION_MS - 1)) && !guard.is_cold(at(3_000 + DURATION_MS)));
    guard.record_health(at(3_100), at(3_200), Duration::ZERO);
    assert_eq!(guard.take_change(at(3_200)), Some(Change::Ended));
    assert!(!guard.is_check_due(at(6_100)));
    assert!(guard.is_check_due(at(6_200)), "the entry is not renewed");
}

/// The first entry may have been written before node and target started together.
#[test]
fn first_entry_is_old() {
    let mut flood = Flood::new();
    flood.restart();
    flood.entry(7, 0);
    assert!(flood.is_cold(1_000));
    flood.entry(8, 0);
    assert_eq!(flood.gate.rate_limit(at(1)), None, "the target was warm all along");
}

/// The calls that have queued up do not all start at the end of the cold time.
#[test]
fn no_rush_after_end() {
    let mut flood = Flood::new();
    flood.health(3_000);
    flood.run_until(6_500);
    // The mean rate of each quarter of a second is at most twice that of the one before.
    let mut allowed = RATE / 4.0 * 3.0 + 2.0;
    for from_ms in [3_000, 3_250, 3_500, 3_750] {
        let started = flood.started(from_ms, from_ms + 250) as f64;
        assert!(started <= allowed, "{started} from {from_ms} ms, {allowed} are allowed");
        allowed *= 2.0;
    }
    assert!(flood.started(5_500, 6_500) > 900, "{} in 1 s", flood.started(5_500, 6_500));
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
    let mut gate = Gate::new(60);
    gate.cold_mut().record_entry(at(0), heartbeat(1), ms(9_000));
    gate.cold_mut().record_down(at(0));
    assert!(!gate.cold().is_cold(at(1)) && !gate.cold().is_check_due(at(60_000)));
    assert_eq!(gate.rate_limit(at(1)), None);
}

/// A target that was down while the operator removed the bound counted as down for good, so that its
/// node connected to it without a pause.
#[test]
fn bound_removed_while_down() {
    let mut gate = Gate::new(60);
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
        steps in proptest::collection::vec((0..7_u8, 0..3_000_u64, 1..1_500_u64), 1..12),
    ) {
        let mut flood = Flood::new();
        let mut cold_since_ms = 0;
        for (sequence, (step, remaining_ms, wait_ms)) in (1..).zip(steps) {
            let now_ms = flood.now_ms;
            match step {
                0 | 1 => flood.entry(sequence, remaining_ms),
                2 => flood.health(remaining_ms),
                3 => flood.health(0),
                4 => flood.gate.cold_mut().record_down(at(now_ms)),
                5 => flood.gate.cold_mut().record_up(at(now_ms)),
                // What a warm target got before the restart of its node does not count.
                _ if now_ms - cold_since_ms > 1_000 => flood.restart(),
                _ => {}
            }
            for from_ms in (now_ms..now_ms + wait_ms).step_by(10) {
                flood.run_until(from_ms + 10);
                if !flood.is_cold(from_ms) || !flood.is_cold(from_ms + 10) {
                    cold_since_ms = from_ms + 10;
                } else {
                    let most = flood.max_in_span(from_ms + 1, from_ms + 11);
                    prop_assert!(most <= BOUND, "{} in 1 s until {} ms", most, from_ms + 10);
                }
            }
        }
    }
}

/// Guards against a target that states a remaining time by mistake, such as one in another unit, and
/// is kept at the rate of a cold one for minutes.
#[test]
fn excessive_remaining_time() {
    const HOUR_MS: u64 = 3_600_000;
    let mut by_entry = Flood::new();
    by_entry.entry(2, HOUR_MS);
    let mut by_health = Flood::new();
    by_health.health(HOUR_MS);
    // The entry of a node that starts may arrive before the configuration.
    let mut before_limit = Flood::new();
    before_limit.gate = Gate::new(60);
    before_limit.entry(2, HOUR_MS);
    before_limit.gate.cold_mut().set_limit(at(0), limit());
    for mut flood in [by_entry, by_health, before_limit] {
        assert!(flood.is_cold(2 * DURATION_MS - 1));
        assert!(!flood.is_cold(2 * DURATION_MS), "it counts for at most twice the cold time");
        assert_eq!(flood.gate.cold_mut().take_excess(), Some(ms(HOUR_MS)));
        flood.entry(3, HOUR_MS);
        assert_eq!(flood.gate.cold_mut().take_excess(), None, "the log told of this target");
    }
}
