//! Tests of cancelled runs and of how long their exchanges go on.

use {
    monsoon_lib::{
        mesh::{
            gate::Rank,
            lineage::{ActiveRuns, Lineage},
            linger::{CancelledRuns, Run, decide},
        },
        pressure::Share,
        time::Instant,
    },
    std::time::Duration,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn lineage() -> Lineage {
    let rank = Rank { account: 0, route: 2, is_first_attempt: true, hash_bucket: 0 };
    Lineage { rank, is_repeat: false, admitted: Share::ALL, route: None }
}

/// Calls could be refused for ever, or a new run pay for an earlier one with its id.
#[test]
fn cancelled_run() {
    let mut runs = ActiveRuns::default();
    assert!(!runs.cancel(at(0), "a1"), "no such run");
    runs.start("a1", lineage());
    assert!(!runs.is_cancelled(at(0), "a1"));
    assert!(runs.cancel(at(0), "a1"));
    runs.end("a1");
    assert!(runs.is_cancelled(at(4_999), "a1") && !runs.is_cancelled(at(5_000), "a1"));
    runs.start("a1", lineage());
    assert!(!runs.is_cancelled(at(1), "a1"));
}

/// The calls of one of two runs with the same id could be ended with the other.
#[test]
fn shared_id() {
    let mut runs = ActiveRuns::default();
    runs.start("a1", lineage());
    runs.start("a1", lineage());
    assert!(!runs.cancel(at(0), "a1"));
    runs.end("a1");
    assert!(runs.parent_run(at(0), "a1.1").is_some(), "the other one is active");
    assert!(runs.cancel(at(0), "a1"));
    runs.end("a1");
    assert!(!runs.is_active("a1"));
}

/// Cancelled runs could take memory without limit, or an old entry remove a newer one.
#[test]
fn bounded_memory() {
    let mut runs = CancelledRuns::default();
    runs.insert(at(0), "again");
    for i in 0..4_095 {
        runs.insert(at(1), &format!("r{i}"));
    }
    runs.insert(at(2), "again");
    assert!(runs.contains(at(3), "again") && runs.len() == 4_096);
    runs.insert(at(2), "next");
    assert!(!runs.contains(at(3), "r0") && runs.contains(at(3), "r1"));
    runs.insert(at(5_002), "last");
    assert_eq!(runs.len(), 1);
}

/// A run of 40 ms whose caller left after 10 ms.
const RUN: Run = Run {
    started: Instant::from_millis(1_000),
    cancelled: Instant::from_millis(1_010),
    is_idempotent: true,
    body_bytes: 0,
    makes_calls: false,
    mean_time: Duration::from_millis(40),
    waiting: 0,
    is_leaving: false,
};

fn left_ms(now_ms: u64, run: &Run) -> Option<u128> {
    decide(at(now_ms), run).map(|left| left.as_millis())
}

/// Targets could go on working for callers that left long ago.
#[test]
fn bounded_time() {
    assert_eq!(left_ms(1_010, &RUN), Some(150));
    assert_eq!(left_ms(1_100, &RUN), Some(60), "another call has begun to wait and was refused");
    assert_eq!(left_ms(1_160, &RUN), None);
}

/// A slot could be kept from a call, or a run go on that should not.
#[test]
fn closed_at_once() {
    let closed = [
        Run { waiting: 1, ..RUN },
        Run { is_idempotent: false, ..RUN },
        Run { is_leaving: true, ..RUN },
        Run { body_bytes: (64 << 10) + 1, ..RUN },
    ];
    for run in closed {
        assert_eq!(left_ms(1_010, &run), None, "{run:?}");
    }
}

/// A run that computes for long would hold its slot although its connection is closed in the end;
/// one that waits for its calls ends soon, since these were ended.
#[test]
fn long_run() {
    let run = Run { mean_time: Duration::from_millis(161), ..RUN };
    assert_eq!(left_ms(1_010, &run), None);
    assert_eq!(left_ms(1_010, &Run { makes_calls: true, ..run }), Some(150));
    let run = Run { mean_time: Duration::from_millis(160), ..RUN };
    assert_eq!(left_ms(1_010, &run), Some(150));
    assert_eq!(left_ms(1_159, &run), Some(1), "the time that is left shrinks like the limit");
}
