//! When failed reads of the platform mean that it is down.

use {
    monsoon_lib::{
        mesh::outage::{DOWN_AFTER, Detector},
        time::Instant,
    },
    std::time::Duration,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Guards against single failed calls, of whatever length, that are taken for an outage.
#[test]
fn failures_between_responses() {
    let mut detector = Detector::default();
    for second in 0..60 {
        let start = second * 1_000;
        detector.record_response(at(start));
        for delay in [0, 4, 900] {
            assert!(!detector.record_failure(at(start + delay)), "second {second}, {delay} ms");
        }
    }
    assert!(!detector.is_down());
}

/// A read that times out is repeated; two in a row are an outage for a node that reads once a second.
#[test]
fn repeated_timeouts() {
    let mut detector = Detector::default();
    detector.record_response(at(0));
    assert!(!detector.record_failure(at(1_900)));
    assert!(detector.record_failure(at(2_800)));
    assert!(!detector.record_failure(at(4_300)), "it has begun before");
    assert!(!detector.record_response(at(4_200)), "requested before the last failure");
    assert!(detector.is_down());
    assert!(detector.record_response(at(4_400)));
    assert!(!detector.is_down());
}

/// Guards against an outage that a node misses because its turn to read comes once in a long time.
#[test]
fn single_late_failure() {
    let mut detector = Detector::default();
    detector.record_response(at(0));
    assert!(detector.record_failure(at(8_000)));
}

/// Guards against a node that is turned away alone and takes that for an outage.
#[test]
fn confirmed_by_peers() {
    let mut detector = Detector::default();
    for ms in (0..20_000).step_by(500) {
        assert!(!detector.record_failure(at(ms)), "after {ms} ms");
        detector.record_response(at(ms) - Duration::from_millis(1_000));
    }
}

/// A node that starts during an outage has had no response yet.
#[test]
fn started_in_outage() {
    let mut detector = Detector::default();
    assert!(!detector.record_failure(at(5_000)));
    assert!(!detector.record_failure(at(5_000) + DOWN_AFTER - Duration::from_millis(1)));
    assert!(detector.record_failure(at(5_000) + DOWN_AFTER));
}
