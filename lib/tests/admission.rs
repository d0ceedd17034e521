//! Admission control bounds the running calls, refuses hopeless calls early and adapts its limit.

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

fn request(class: Class, deadline: Instant) -> Request {
    Request { account: None, weight: 1, class, deadline, depth: 0 }
}

fn warm_controller(slots: u32) -> Controller {
    Controller::new(Settings::default(), slots, false, Instant::ZERO)
}

fn completion(kind: CallResult, millis: u64) -> Completion {
    Completion { latency: ms(millis), kind }
}

/// Runs `rounds` batches of `count` concurrent calls that each take `latency_ms`. Returns the end
/// time in milliseconds.
fn run_rounds(
    controller: &mut Controller,
    start_ms: u64,
    rounds: u64,
    latency_ms: u64,
    count: u64,
) -> u64 {
    let mut now = start_ms;
    for round in 0..rounds {
        let request = request(Class::Browse, Instant::from_millis(now + 10_000));
        let call = |i: u64| id::Call((start_ms + round) * 10_000 + i);
        let at = Instant::from_millis(now);
        let runs = |i: &u64| controller.offer(at, call(*i), &request).decision == Decision::Run;
        let running: Vec<u64> = (0..count).filter(runs).collect();
        now += latency_ms;
        for i in running {
            controller.complete(
                Instant::from_millis(now),
                call(i),
                completion(CallResult::Ok, latency_ms),
            );
        }
        let releases = controller.tick(Instant::from_millis(now));
        assert!(releases.is_empty());
    }
    now
}

#[test]
fn slots_bound() {
    let mut controller = warm_controller(2);
    let request = request(Class::Browse, Instant::from_millis(1000));
    let decide = |controller: &mut Controller, i| {
        controller.offer(Instant::ZERO, id::Call(i), &request).decision
    };
    assert_eq!(decide(&mut controller, 1), Decision::Run);
    assert_eq!(decide(&mut controller, 2), Decision::Run);
    assert_eq!(decide(&mut controller, 3), Decision::Queued);
    let releases =
        controller.complete(Instant::from_millis(5), id::Call(1), completion(CallResult::Ok, 5));
    assert_eq!(releases, [Release::Run(id::Call(3))]);
    assert_eq!(controller.in_flight(), 2);
}

#[test]
fn hopeless_deadline() {
    let mut controller = warm_controller(100);
    let now = run_rounds(&mut controller, 0, 4, 100, 50);
    let now = Instant::from_millis(now);
    let offered = controller.offer(now, id::Call(1), &request(Class::Browse, now + ms(20)));
    let Decision::Refused(refusal) = offered.decision else {
        panic!("a 20 ms deadline is below the service time")
    };
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Deadline, Outcome::NotRun));
    let offered = controller.offer(now, id::Call(2), &request(Class::Browse, now + ms(200)));
    assert_eq!(offered.decision, Decision::Run);
}

#[test]
fn stale_estimate() {
    let mut controller = warm_controller(100);
    let now = run_rounds(&mut controller, 0, 1, 5000, 50);
    let now = Instant::from_millis(now);
    let short = request(Class::Browse, now + ms(500));
    assert!(matches!(controller.offer(now, id::Call(1), &short).decision, Decision::Refused(_)));
    let later = now + ms(1500);
    let short = request(Class::Browse, later + ms(500));
    assert_eq!(controller.offer(later, id::Call(2), &short).decision, Decision::Run);
}

#[test]
fn refused_before_deadline() {
    let mut controller = warm_controller(2);
    let request = request(Class::Booking, Instant::from_millis(60_000));
    for i in 0..3 {
        controller.offer(Instant::ZERO, id::Call(i), &request);
    }
    assert!(controller.tick(Instant::from_millis(90)).is_empty());
    let releases = controller.tick(Instant::from_millis(110));
    let [Release::Refuse(call, refusal)] = releases[..] else {
        panic!("one call must be refused after the maximum wait")
    };
    assert_eq!((call, refusal.outcome), (id::Call(2), Outcome::NotRun));
    assert!(refusal.retry_after.is_some_and(|wait| wait >= ms(100)));
}

#[test]
fn cancelled_wait() {
    let mut controller = warm_controller(2);
    let request = request(Class::Booking, Instant::from_millis(60_000));
    for i in 0..3 {
        controller.offer(Instant::ZERO, id::Call(i), &request);
    }
    assert!(controller.cancel(Instant::ZERO, id::Call(2)));
    assert!(!controller.cancel(Instant::ZERO, id::Call(1)));
    assert!(
        controller
            .complete(Instant::from_millis(1), id::Call(1), completion(CallResult::Ok, 1))
            .is_empty()
    );
}

#[test]
fn shed_reply() {
    let mut controller = warm_controller(100);
    let now = run_rounds(&mut controller, 0, 4, 50, 100);
    let before = controller.dump(Instant::from_millis(now)).limit;
    let at = Instant::from_millis(now);
    for i in 0..10 {
        controller.offer(at, id::Call(i), &request(Class::Browse, at + ms(1000)));
        controller.complete(at, id::Call(i), completion(CallResult::Shed, 1));
    }
    let now = run_rounds(&mut controller, now, 4, 50, 60);
    let dump = controller.dump(Instant::from_millis(now));
    assert!(dump.limit < before, "{} calls after shed replies, {before} before", dump.limit);
    assert_eq!(dump.expected_latency, Some(ms(50)));
}

#[test]
fn cold_ramp() {
    let mut controller = Controller::new(Settings::default(), 100, true, Instant::ZERO);
    assert_eq!(controller.dump(Instant::ZERO).limit, 10);
    let mut start = Instant::ZERO;
    let mut number = 0;
    let mut limits = Vec::new();
    while start < Instant::from_millis(2000) {
        let limit = controller.dump(start).limit;
        let end = start + ms(20);
        for i in 0..u64::from(limit) {
            controller.offer(start, id::Call(number + i), &request(Class::Browse, end + ms(1000)));
        }
        for i in 0..u64::from(limit) {
            controller.complete(end, id::Call(number + i), completion(CallResult::Ok, 20));
        }
        number += u64::from(limit);
        start = end;
        limits.push(limit);
    }
    assert!(limits.is_sorted(), "{limits:?}");
    assert!(limits[9] < 100, "{limits:?}");
    assert_eq!(limits.last(), Some(&100));
    assert_eq!(controller.dump(start).phase, Phase::Steady);
}

proptest! {
    #[test]
    fn each_call_ends_once(steps in prop::collection::vec((0u8..5, 0u64..30, 0usize..5), 1..400)) {
        let mut controller = warm_controller(4);
        let mut now = Instant::ZERO;
        let mut running: BTreeMap<id::Call, Instant> = BTreeMap::new();
        let mut waiting: Vec<id::Call> = Vec::new();
        for (number, (action, gap, class)) in steps.into_iter().enumerate() {
            now += ms(gap);
            let call = id::Call(number as u64);
            let releases = match action {
                0..=2 => {
                    let request = request(Class::ALL[class], now + ms(gap * 20));
                    let offered = controller.offer(now, call, &request);
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
                        controller.complete(
                            now,
                            call,
                            Completion { latency: now - start, kind: CallResult::Ok },
                        )
                    }
                    None => controller.tick(now),
                },
                _ => controller.tick(now),
            };
            for release in releases {
                let (Release::Run(call) | Release::Refuse(call, _)) = release;
                let position = waiting.iter().position(|other| *other == call);
                prop_assert!(position.is_some(), "{call} was released without being queued");
                waiting.swap_remove(position.unwrap());
                if let Release::Run(call) = release {
                    running.insert(call, now);
                }
            }
            prop_assert!(running.len() <= 4);
            prop_assert_eq!(controller.in_flight(), running.len());
            prop_assert_eq!(controller.waiting(), waiting.len());
        }
        let end = controller.tick(now + ms(10_000));
        prop_assert_eq!(end.len(), waiting.len());
    }
}
