//! Tests of the concurrency limit of targets that slow down when nearly all slots are used.

mod pool;

use {
    monsoon_lib::time::Instant,
    pool::{Outcome, Pool},
};

/// The fraction of its capacity that a target with a knee does with all slots in use.
const WITH_ALL_SLOTS: f64 = 1.0 / 1.3;

/// Plays one target.
fn play(
    slots: u32,
    load: f64,
    slowdown: fn(f64) -> f64,
    pace: fn(usize, Instant) -> f64,
) -> Outcome {
    let header = |_, percent| format!("1,0,1,{percent}");
    Pool { targets: 1, slots, load, header, reported_latency: true, pace, slowdown }.play()
}

/// The target needs 1.3 times as long if more than 95 % of its slots are used.
fn knee(used: f64) -> f64 {
    if used > 0.95 { 1.3 } else { 1.0 }
}

fn no_knee(_: f64) -> f64 {
    1.0
}

fn usual(_: usize, _: Instant) -> f64 {
    1.0
}

/// The target needs 2.5 times as long for 600 ms of each 4 s.
fn slow_at_times(_: usize, now: Instant) -> f64 {
    if now.as_nanos() / 100_000_000 % 40 < 6 { 2.5 } else { 1.0 }
}

/// A full target would go on finishing a quarter fewer calls than it can.
#[test]
fn slow_when_full() {
    for slots in [16, 65, 245] {
        let outcome = play(slots, 1.2, knee, usual);
        assert!(outcome.throughput > WITH_ALL_SLOTS * 1.15, "{slots} slots: {outcome:?}");
    }
}

/// Load that the target can carry with a few slots less, but not with all, would fill its queue and
/// keep it full.
#[test]
fn drained_queue() {
    let outcome = play(65, 0.85, knee, usual);
    assert!(outcome.throughput > 0.83 && outcome.refused == 0, "{outcome:?}");
    assert!(outcome.mean_ms < 75.0 && outcome.p99_ms < 180.0, "{outcome:?}");
}

/// The slots of a target without a knee would be left unused.
#[test]
fn all_slots() {
    for slots in [16, 65, 245] {
        let outcome = play(slots, 1.2, no_knee, usual);
        assert!(outcome.throughput > 0.985 && outcome.reduced < 0.15, "{slots}: {outcome:?}");
    }
}

/// A change of pace during a trial would be taken for an effect of the limit.
#[test]
fn changing_pace() {
    let outcome = play(148, 1.2, knee, slow_at_times);
    assert!(outcome.throughput > WITH_ALL_SLOTS * 1.15, "{outcome:?}");
    let outcome = play(148, 1.2, no_knee, slow_at_times);
    assert!(outcome.throughput > 0.97 && outcome.reduced < 0.2, "{outcome:?}");
}

/// A limit below the slots would cost a small target much, and one without a queue gains nothing.
#[test]
fn no_trial() {
    assert_eq!(play(15, 1.2, knee, usual).reduced, 0.0);
    assert_eq!(play(65, 0.5, knee, usual).reduced, 0.0);
}
