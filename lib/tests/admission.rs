//! The gate bounds what runs, answers what it gives up at once, and learns its limit.

use {
    monsoon_lib::{
        admission::{
            CallResult, Completion, Controller, Decision, Phase, Release, Request, Settings,
        },
        call::{Outcome, Reason},
        id,
        table::Class,
        time::Instant,
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ask(class: Class, deadline: Instant) -> Request {
    Request { account: None, weight: 1, class, deadline, depth: 0 }
}

fn warm(slots: u32) -> Controller {
    Controller::new(Settings::default(), slots, false, Instant::ZERO)
}

fn ended(kind: CallResult, millis: u64) -> Completion {
    Completion { latency: ms(millis), kind }
}

/// Runs `count` calls at a time for `rounds` rounds of `latency_ms`.
fn run_rounds(
    gate: &mut Controller,
    start_ms: u64,
    rounds: u64,
    latency_ms: u64,
    count: u64,
) -> u64 {
    let mut now = start_ms;
    for round in 0..rounds {
        let ask = ask(Class::Browse, Instant::from_millis(now + 10_000));
        let call = |i: u64| id::Call((start_ms + round) * 10_000 + i);
        let at = Instant::from_millis(now);
        let runs = |i: &u64| gate.offer(at, call(*i), &ask).decision == Decision::Run;
        let running: Vec<u64> = (0..count).filter(runs).collect();
        now += latency_ms;
        for i in running {
            gate.complete(Instant::from_millis(now), call(i), ended(CallResult::Ok, latency_ms));
        }
        let releases = gate.tick(Instant::from_millis(now));
        assert!(releases.is_empty());
    }
    now
}

#[test]
fn slots_bound() {
    let mut gate = warm(2);
    let ask = ask(Class::Browse, Instant::from_millis(1000));
    let decide = |gate: &mut Controller, i| gate.offer(Instant::ZERO, id::Call(i), &ask).decision;
    assert_eq!(decide(&mut gate, 1), Decision::Run);
    assert_eq!(decide(&mut gate, 2), Decision::Run);
    assert_eq!(decide(&mut gate, 3), Decision::Queued);
    let releases = gate.complete(Instant::from_millis(5), id::Call(1), ended(CallResult::Ok, 5));
    assert_eq!(releases, [Release::Run(id::Call(3))]);
    assert_eq!(gate.in_flight(), 2);
}

#[test]
fn hopeless_deadline() {
    let mut gate = warm(100);
    let now = run_rounds(&mut gate, 0, 4, 100, 50);
    let now = Instant::from_millis(now);
    let offered = gate.offer(now, id::Call(1), &ask(Class::Browse, now + ms(20)));
    let Decision::Refused(refusal) = offered.decision else { panic!("20 ms are too short") };
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Deadline, Outcome::NotRun));
    let offered = gate.offer(now, id::Call(2), &ask(Class::Browse, now + ms(200)));
    assert_eq!(offered.decision, Decision::Run);
}

#[test]
fn stale_estimate() {
    let mut gate = warm(100);
    let now = run_rounds(&mut gate, 0, 1, 5000, 50);
    let now = Instant::from_millis(now);
    let short = ask(Class::Browse, now + ms(500));
    assert!(matches!(gate.offer(now, id::Call(1), &short).decision, Decision::Refused(_)));
    let later = now + ms(1500);
    let short = ask(Class::Browse, later + ms(500));
    assert_eq!(gate.offer(later, id::Call(2), &short).decision, Decision::Run);
}

#[test]
fn early_answer() {
    let mut gate = warm(2);
    let ask = ask(Class::Booking, Instant::from_millis(60_000));
    for i in 0..3 {
        gate.offer(Instant::ZERO, id::Call(i), &ask);
    }
    assert!(gate.tick(Instant::from_millis(90)).is_empty());
    let releases = gate.tick(Instant::from_millis(110));
    let [Release::Refuse(call, refusal)] = releases[..] else { panic!("the wait is over") };
    assert_eq!((call, refusal.outcome), (id::Call(2), Outcome::NotRun));
    assert!(refusal.retry_after.is_some_and(|wait| wait >= ms(100)));
}

#[test]
fn cancelled_wait() {
    let mut gate = warm(2);
    let ask = ask(Class::Booking, Instant::from_millis(60_000));
    for i in 0..3 {
        gate.offer(Instant::ZERO, id::Call(i), &ask);
    }
    assert!(gate.cancel(Instant::ZERO, id::Call(2)));
    assert!(!gate.cancel(Instant::ZERO, id::Call(1)));
    assert!(
        gate.complete(Instant::from_millis(1), id::Call(1), ended(CallResult::Ok, 1)).is_empty()
    );
}

#[test]
fn shed_reply() {
    let mut gate = warm(100);
    let now = run_rounds(&mut gate, 0, 4, 50, 100);
    let before = gate.dump(Instant::from_millis(now)).limit;
    let at = Instant::from_millis(now);
    for i in 0..10 {
        gate.offer(at, id::Call(i), &ask(Class::Browse, at + ms(1000)));
        gate.complete(at, id::Call(i), ended(CallResult::Shed, 1));
    }
    let now = run_rounds(&mut gate, now, 4, 50, 60);
    let dump = gate.dump(Instant::from_millis(now));
    assert!(dump.limit < before, "{} calls after shed replies, {before} before", dump.limit);
    assert_eq!(dump.expected_latency, Some(ms(50)));
}

#[test]
fn cold_ramp() {
    let mut gate = Controller::new(Settings::default(), 100, true, Instant::ZERO);
    assert_eq!(gate.dump(Instant::ZERO).limit, 10);
    let mut start = Instant::ZERO;
    let mut number = 0;
    let mut limits = Vec::new();
    while start < Instant::from_millis(2000) {
        let limit = gate.dump(start).limit;
        let end = start + ms(20);
        for i in 0..u64::from(limit) {
            gate.offer(start, id::Call(number + i), &ask(Class::Browse, end + ms(1000)));
        }
        for i in 0..u64::from(limit) {
            gate.complete(end, id::Call(number + i), ended(CallResult::Ok, 20));
        }
        number += u64::from(limit);
        start = end;
        limits.push(limit);
    }
    assert!(limits.is_sorted(), "{limits:?}");
    assert!(limits[9] < 100, "{limits:?}");
    assert_eq!(limits.last(), Some(&100));
    assert_eq!(gate.dump(start).phase, Phase::Steady);
}

proptest! {
    #[test]
    fn one_end(steps in prop::collection::vec((0u8..5, 0u64..30, 0usize..5), 1..400)) {
        let mut gate = warm(4);
        let mut now = Instant::ZERO;
        let mut running: BTreeMap<id::Call, Instant> = BTreeMap::new();
        let mut waiting: Vec<id::Call> = Vec::new();
        for (number, (action, gap, class)) in steps.into_iter().enumerate() {
            now += ms(gap);
            let call = id::Call(number as u64);
            let releases = match action {
                0..=2 => {
                    let ask = ask(Class::ALL[class], now + ms(gap * 20));
                    let offered = gate.offer(now, call, &ask);
                    match offered.decision {
                        Decision::Run => { running.insert(call, now); }
                        Decision::Queued => waiting.push(call),
                        Decision::Refused(refusal) => {
                            prop_assert_eq!(refusal.outcome, Outcome::NotRun);
                        }
                    }
                    offered.releases
                }
                3 => match running.pop_first() {
                    Some((call, start)) => {
                        gate.complete(now, call, Completion { latency: now - start, kind: CallResult::Ok })
                    }
                    None => gate.tick(now),
                },
                _ => gate.tick(now),
            };
            for release in releases {
                let (Release::Run(call) | Release::Refuse(call, _)) = release;
                let position = waiting.iter().position(|other| *other == call);
                prop_assert!(position.is_some(), "{call} was not waiting");
                waiting.swap_remove(position.unwrap());
                if let Release::Run(call) = release {
                    running.insert(call, now);
                }
            }
            prop_assert!(running.len() <= 4);
            prop_assert_eq!(gate.in_flight(), running.len());
            prop_assert_eq!(gate.waiting(), waiting.len());
        }
        let end = gate.tick(now + ms(10_000));
        prop_assert_eq!(end.len(), waiting.len());
    }
}
