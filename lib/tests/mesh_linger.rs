//! Tests of cancelled runs.

use monsoon_lib::{
    mesh::{
        gate::Rank,
        lineage::{ActiveRuns, Lineage},
        linger::CancelledRuns,
    },
    pressure::Share,
    time::Instant,
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
