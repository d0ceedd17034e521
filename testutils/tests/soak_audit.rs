//! The audits of the soak find what breaks a bound, and nothing else.

use {
    monsoon_testutils::mesh::soak::audit::{
        cold::{self, Witness},
        disturbance::{Cause, Log},
        evacuation, resends,
    },
    std::time::{Duration, Instant},
};

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Returns the number of violations for a server that is cold for 6 s and gets this many requests
/// within a second from the given time.
fn cold_violations(witness: Witness, log: &Log, start: Instant, from_ms: u64, count: u64) -> usize {
    let mut audit = cold::Audit::default();
    audit.record(1, witness, start, after(start, 6_000));
    let arrivals = |machine: usize| match machine {
        1 => (0..count).map(|i| after(start, from_ms + i * 900 / count)).collect(),
        _ => Vec::new(),
    };
    audit.check(log, arrivals).len()
}

/// The bound is 1.5 times 4 a second, and 8 more.
#[test]
fn cold_servers() {
    let start = Instant::now();
    let log = Log::default();
    for (from_ms, count, violations) in [(100, 14, 0), (100, 15, 1), (5_500, 15, 0), (6_000, 99, 0)]
    {
        let found = cold_violations(Witness::Restart, &log, start, from_ms, count);
        assert_eq!(found, violations, "{count} requests from {from_ms} ms");
    }
}

/// A node that learns only from the entry needs time, and the store.
#[test]
fn cold_by_entry() {
    let start = Instant::now();
    let mut log = Log::default();
    assert_eq!(cold_violations(Witness::Entry, &log, start, 100, 99), 0);
    assert_eq!(cold_violations(Witness::Entry, &log, start, 2_100, 99), 1);
    log.begin(after(start, 500), Cause::Cut(0));
    log.begin(after(start, 500), Cause::Cut(1));
    log.end(after(start, 1_500), Cause::Cut(1));
    assert_eq!(cold_violations(Witness::Entry, &log, start, 2_100, 99), 0);
    assert_eq!(cold_violations(Witness::Entry, &log, start, 3_600, 99), 1);
    assert_eq!(cold_violations(Witness::Restart, &log, start, 100, 99), 1);
}

/// Resends of one window may exceed a fifth of its requests only by 48. Requests of the window before, or
/// of the one that begins 5 s earlier, count as well, but not earlier ones.
#[test]
fn resends_in_window() {
    let start = Instant::now();
    for (resends_ms, allowed) in
        [(10_000, 148), (15_000, 148), (20_000, 148), (25_000, 98), (31_000, 48)]
    {
        for (resends, is_violation) in [(allowed, false), (allowed + 1, true)] {
            let mut audit = resends::Audit::default();
            let resent = (0..resends).map(|n| after(start, resends_ms + n));
            audit.record(start, std::iter::once(start).chain(resent).collect());
            for i in 0..500 {
                let sent_at = after(start, 10_000 + i * 20);
                audit.record(sent_at, vec![sent_at]);
            }
            let found = audit.check("desk");
            assert_eq!(found.is_some(), is_violation, "{resends} at {resends_ms} ms: {found:?}");
        }
    }
}

#[test]
fn evacuated_zones() {
    let start = Instant::now();
    let mut audit = evacuation::Audit::default();
    audit.begin(start, "zb");
    let mut log = Log::default();
    let violations = |audit: &evacuation::Audit, log: &Log, ms: u64| {
        let arrivals = vec![after(start, ms)];
        audit.check(log, &[("za".into(), arrivals.clone()), ("zb".into(), arrivals)]).len()
    };
    assert_eq!(violations(&audit, &log, 4_900), 0);
    assert_eq!(violations(&audit, &log, 5_100), 1);
    let mut later = log.clone();
    later.begin(after(start, 6_000), Cause::Store);
    assert_eq!(violations(&audit, &later, 6_100), 1, "nodes knew before the outage");
    log.begin(after(start, 4_000), Cause::Pause(1));
    assert_eq!(violations(&audit, &log, 9_000), 0, "a node that does not run learns nothing");
    log.end(after(start, 4_500), Cause::Pause(1));
    log.begin(after(start, 6_000), Cause::Store);
    log.end(after(start, 7_000), Cause::Store);
    assert_eq!(violations(&audit, &log, 11_900), 0);
    assert_eq!(violations(&audit, &log, 12_100), 1);
    audit.end(after(start, 12_000), "zb");
    assert_eq!(violations(&audit, &log, 12_100), 0);
}
