//! Tests of the placement of calls by the time that they take at present.

mod pool;

use {
    monsoon_lib::{
        mesh::{
            announcement::{Announcement, Load, Pace},
            fact::{Fact, Heartbeat, Key, Target, Value},
            gate::Gate,
            node::{Node, Settings},
            pace::Tracker,
            position::{Era, Position},
        },
        pressure,
        time::Instant,
        unit::Revision,
    },
    pool::Pool,
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

const TARGETS: usize = 15;

fn at(ms: u64) -> Instant {
    Instant::from_millis(10_000 + ms)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pace(percent: u32) -> Pace {
    percent.try_into().expect("a pace within range")
}

/// A pool whose senders use their own measurements.
fn pool(load: f64, pace: fn(usize, Instant) -> f64) -> Pool {
    let header = |_, _| String::from("1,0,24");
    let reported_latency = false;
    Pool { targets: TARGETS, slots: 24, load, header, reported_latency, pace, slowdown: |_| 1.0 }
}

/// The same pool, whose targets name their pace.
fn with_pace(pool: Pool) -> Pool {
    let header = |_, percent| format!("1,0,24,{percent}");
    Pool { header, reported_latency: true, ..pool }
}

/// 15 % of the targets need 2.5 times as long for 600 ms at a time.
fn slow_at_times(target: usize, now: Instant) -> f64 {
    let period = now.as_nanos() / 600_000_000;
    let mut random = ChaCha8Rng::seed_from_u64(period * 100 + target as u64);
    if random.random::<f64>() < 0.15 { 2.5 } else { 1.0 }
}

/// The speeds of the targets are between 0.5 and 1.6.
fn different_speeds(target: usize, _: Instant) -> f64 {
    1.0 / (0.5 + 1.1 * target as f64 / (TARGETS - 1) as f64)
}

/// Senders that measure targets themselves go on calling one that has become slow, and avoid it long
/// after.
#[test]
fn slow_episodes() {
    let measured = pool(0.7, slow_at_times);
    let reported = with_pace(measured).play();
    let measured = measured.play();
    assert!(reported.p99_ms < measured.p99_ms * 0.85, "{reported:?}, {measured:?}");
    assert!(reported.mean_ms < measured.mean_ms, "{reported:?}, {measured:?}");
    assert!(reported.throughput > measured.throughput * 0.99, "{reported:?}, {measured:?}");
    assert_eq!(reported.refused, 0);
}

/// The slowest targets would be overfull if all got the same number of calls.
#[test]
fn unequal_speeds() {
    let outcome = with_pace(pool(0.9, different_speeds)).play();
    assert!(outcome.throughput > 0.88 && outcome.refused == 0, "{outcome:?}");
    assert!(outcome.mean_ms < 65.0 && outcome.p99_ms < 170.0, "{outcome:?}");
    assert!(outcome.reduced < 0.05, "the queues of slow targets are short: {outcome:?}");
}

/// Targets that name no pace, or a malformed one, would be taken for fast or slow.
#[test]
fn silent_targets() {
    let measured = pool(0.7, slow_at_times);
    let header = |target, percent| match target % 2 {
        0 => format!("1,0,24,{percent}"),
        _ => String::from("1,0,24,fast"),
    };
    let mixed = Pool { header, reported_latency: true, ..measured }.play();
    let measured = measured.play();
    assert!(mixed.p99_ms < measured.p99_ms * 1.03, "{mixed:?}, {measured:?}");
    assert!(mixed.mean_ms < measured.mean_ms * 1.02, "{mixed:?}, {measured:?}");
    assert_eq!(mixed.refused, 0);
}

#[test]
fn malformed_header() {
    let load = |text: &str| text.parse::<Load>().ok();
    let full = Load { running: 3, waiting: 1, slots: 16, pace: Some(pace(250)) };
    assert_eq!(load("3,1,16,250"), Some(full));
    assert_eq!(load(" 3, 1, 16, 250 "), Some(full));
    assert_eq!(load(&full.to_string()), Some(full));
    for text in ["3,1,16", "3,1,16,0", "3,1,16,10001"] {
        assert_eq!(load(text), Some(Load { pace: None, ..full }), "{text}");
    }
    for text in ["", "3,1", "3,1,-1", "3,1,x", "3,1,16,", "3,1,16,slow", "3,1,16,250,1"] {
        assert_eq!(load(text), None, "{text}");
    }
    assert_eq!("120%".parse(), Ok(pace(120)));
}

/// The time follows the pace without waiting for calls, and not longer than the pace is known.
#[test]
fn age_of_pace() {
    let mut tracker = Tracker::default();
    (0..200).for_each(|i| _ = tracker.record_call(at(i), ms(80)));
    let is_near = |latency_s: f64, ms: f64| (latency_s * 1e3 - ms).abs() < 1.0;
    assert!(is_near(tracker.latency_s(at(200)), 80.0), "the mean latency without a pace");
    tracker.record_pace(at(200), pace(250));
    assert!(is_near(tracker.latency_s(at(800)), 200.0));
    assert_eq!(tracker.pace(at(801)), None);
    assert!(is_near(tracker.latency_s(at(801)), 80.0));
}

/// Other nodes learn the time of a call by the report, without a change of its layout.
#[test]
fn reported_by_gate() {
    let mut gate = Gate::new(4);
    let usual = gate.report(at(0)).latency;
    gate.record_pace(at(0), pace(250));
    assert_eq!(gate.report(at(1)).latency, usual.mul_f64(2.5));
    gate.forget_target();
    assert_eq!(gate.report(at(1)).latency, usual);
}

/// Calls that were in flight when the pace changed would be taken for fast ones.
#[test]
fn change_of_pace() {
    let mut tracker = Tracker::default();
    tracker.record_pace(at(0), pace(100));
    tracker.record_pace(at(500), pace(250));
    (0..50).for_each(|i| _ = tracker.record_call(at(501 + i), ms(80)));
    let latency_s = tracker.latency_s(at(551));
    assert!(latency_s > 0.1, "{latency_s}");
}

/// Senders use reported latencies only while targets of the pool name their pace.
#[test]
fn pools_with_pace() {
    let (pool, name): (monsoon_lib::id::Pool, monsoon_lib::id::Vm) =
        ("desk".parse().expect("a name"), "t1".parse().expect("a name"));
    let target = Target {
        name: name.clone(),
        pool: pool.clone(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "za".parse().expect("a name"),
        slots: 4,
        is_leaving: false,
        started_at_ms: 1,
        cold_remaining: Duration::ZERO,
    };
    let settings = Settings {
        vm: "m1".parse().expect("a name"),
        host: [10, 0, 0, 1].into(),
        data_centre: "za".parse().expect("a name"),
        pool: pool.clone(),
        target: target.address,
        withdrawal: Duration::from_secs(5),
        drain: Duration::from_secs(2),
        resend_permille: 140,
        resend_window: Duration::from_secs(10),
        is_entry_admission_enabled: false,
        is_linger_enabled: false,
    };
    let mut node = Node::new(settings, 1);
    let position = Position::new(Era(0), Revision(1));
    let fact = Fact {
        key: Key::Target(name.clone()),
        position,
        heartbeat: Heartbeat::default(),
        value: Value::Target(target),
    };
    node.apply(at(0), &[fact], position);
    let says = |text: &str| Announcement { load: text.parse().ok(), ..Announcement::default() };
    let mut cost_after = |now: Instant, text: &str| {
        node.record_announcement(now, &name, &says(text));
        node.tick(now);
        let report = pressure::Report { latency: ms(200), limit: 4, ..Default::default() };
        node.record_load(now, &name, &report);
        let dump = node.dump(now);
        (dump.target_pace, dump.pools[&pool].members[&name].cost > 0.1)
    };
    assert_eq!(cost_after(at(0), "1,0,4"), (None, false));
    assert_eq!(cost_after(at(100), "1,0,4,250"), (Some(250), true));
    assert_eq!(cost_after(at(5_000), "1,0,4"), (None, true));
    assert_eq!(cost_after(at(10_200), "1,0,4,0"), (None, false));
}
