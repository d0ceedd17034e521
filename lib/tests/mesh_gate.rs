//! Tests of admission control by published slots.

use {
    monsoon_lib::{
        id,
        mesh::{
            announcement::Limit,
            gate::{AdmissionRequest, Decision, Gate, Rank, Release},
        },
        time::Instant,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const OBJECTIVE: Duration = Duration::from_millis(1_000);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn request(now: Instant, account: u32, route: u32, is_first_attempt: bool) -> AdmissionRequest {
    AdmissionRequest {
        rank: Rank { account, route, is_first_attempt, hash_bucket: 0 },
        objective: OBJECTIVE,
        deadline: now + Duration::from_secs(5),
    }
}

fn full_gate(slots: u32) -> Gate {
    let mut gate = Gate::new(slots);
    for call in 0..slots {
        let decision = gate.offer(at(0), id::Call(u64::from(call)), &request(at(0), 1, 1, true));
        assert_eq!(decision, Decision::Run);
    }
    gate
}

fn started(releases: &[Release]) -> Vec<u64> {
    let started_call = |release: &Release| match release {
        Release::Run(call) => Some(call.0),
        Release::Refuse(..) => None,
    };
    releases.iter().filter_map(started_call).collect()
}

/// Among calls of equal rank the hash bucket decides, so that all calls of one request run before
/// those of another.
#[test]
fn ordered_by_hash_bucket() {
    let mut gate = full_gate(1);
    for (call, bucket) in [(10, 9), (11, 3), (12, 9), (13, 3)] {
        let request = request(at(1), 1, 2, true);
        let request =
            AdmissionRequest { rank: Rank { hash_bucket: bucket, ..request.rank }, ..request };
        assert!(matches!(gate.offer(at(1), id::Call(call), &request), Decision::Queued(_)));
    }
    let mut order = Vec::new();
    let mut running = vec![0];
    while let Some(call) = running.pop() {
        let released = started(&gate.finish(at(2), id::Call(call), None));
        running.extend(&released);
        order.extend(released);
    }
    assert_eq!(order, [11, 13, 10, 12]);
}

#[test]
fn ordered_by_rank() {
    let mut gate = full_gate(2);
    for (call, account, route, is_first_attempt) in
        [(10, 2, 0, true), (11, 1, 2, true), (12, 1, 0, true), (13, 1, 0, false), (14, 0, 9, true)]
    {
        let decision =
            gate.offer(at(1), id::Call(call), &request(at(1), account, route, is_first_attempt));
        assert!(matches!(decision, Decision::Queued(_)));
    }
    let mut order = Vec::new();
    let mut running = vec![0, 1];
    while let Some(call) = running.pop() {
        let released = started(&gate.finish(at(2), id::Call(call), None));
        running.extend(&released);
        order.extend(released);
    }
    assert_eq!(order, [14, 13, 12, 11, 10]);
}

#[test]
fn long_expected_wait_refused() {
    let mut gate = full_gate(1);
    let slow = Duration::from_secs(2);
    for _ in 0..100 {
        gate.finish(at(10), id::Call(0), Some(slow));
        assert_eq!(gate.offer(at(10), id::Call(0), &request(at(10), 1, 1, true)), Decision::Run);
    }
    let decision = gate.offer(at(10), id::Call(1), &request(at(10), 1, 1, true));
    assert!(matches!(decision, Decision::Refused(wait) if !wait.is_zero()), "{decision:?}");
}

#[test]
fn long_wait_refused() {
    let mut gate = full_gate(1);
    let decision = gate.offer(at(0), id::Call(1), &request(at(0), 1, 1, true));
    let Decision::Queued(until) = decision else { panic!("{decision:?}") };
    assert!(until - at(0) < OBJECTIVE);
    assert!(gate.tick(until - Duration::from_millis(1)).is_empty());
    assert!(matches!(gate.tick(until)[..], [Release::Refuse(id::Call(1), _)]));
    assert_eq!(gate.waiting(), 0);
}

#[test]
fn cancelled_wait() {
    let mut gate = full_gate(1);
    gate.offer(at(0), id::Call(1), &request(at(0), 1, 1, true));
    assert!(gate.cancel(id::Call(1)));
    assert!(!gate.cancel(id::Call(1)));
    assert!(gate.finish(at(1), id::Call(0), None).is_empty());
    assert_eq!(gate.in_flight(), 0);
}

fn limit(text: &str) -> Limit {
    Limit::Rate(text.parse().expect("a rate"))
}

/// Offers a call of the given rank each 10 ms for a time and ends each run after 30 ms. Returns the
/// times at which calls started, and their numbers.
fn play(gate: &mut Gate, seconds: u64, rank_of: impl Fn(u64) -> u32) -> Vec<(Instant, u64)> {
    let mut starts: Vec<(Instant, u64)> = Vec::new();
    let mut running: Vec<(Instant, u64)> = Vec::new();
    for ms in 0..seconds * 1_000 {
        let now = at(ms);
        let mut started_now = started(&gate.tick(now));
        if ms.is_multiple_of(10) {
            let decision = gate.offer(now, id::Call(ms), &request(now, 1, rank_of(ms), true));
            started_now.extend((decision == Decision::Run).then_some(ms));
        }
        while let Some(i) = running.iter().position(|(end, _)| *end <= now) {
            let (_, call) = running.remove(i);
            let released = gate.finish(now, id::Call(call), Some(Duration::from_millis(30)));
            started_now.extend(started(&released));
        }
        running.extend(started_now.iter().map(|call| (now + Duration::from_millis(30), *call)));
        starts.extend(started_now.iter().map(|call| (now, *call)));
    }
    starts
}

#[test]
fn starts_within_limit() {
    let mut gate = Gate::new(50);
    gate.record_limit(at(0), limit("20.5"));
    let starts = play(&mut gate, 10, |_| 1);
    assert!((200..=211).contains(&starts.len()), "{} starts in 10 s", starts.len());
}

/// What the limit does not admit is refused by rank.
#[test]
fn limit_by_rank() {
    let mut gate = Gate::new(50);
    gate.record_limit(at(0), limit("25"));
    // A fifth of 100 calls per second is of the higher rank.
    let rank_of = |call: u64| if call.is_multiple_of(50) { 0 } else { 2 };
    let starts = play(&mut gate, 10, rank_of);
    let urgent = starts.iter().filter(|(_, call)| rank_of(*call) == 0).count();
    assert!(urgent >= 195, "{urgent} of 200 urgent calls started");
}

#[test]
fn limit_lifted() {
    let mut gate = Gate::new(50);
    assert!(gate.record_limit(at(0), limit("1")));
    assert!(!gate.record_limit(at(0), limit("1.5")));
    assert_eq!(gate.offer(at(0), id::Call(1), &request(at(0), 1, 1, true)), Decision::Run);
    assert!(matches!(
        gate.offer(at(0), id::Call(2), &request(at(0), 1, 1, true)),
        Decision::Refused(_) | Decision::Queued(_)
    ));
    assert!(!gate.record_limit(at(1), Limit::Malformed), "what was known holds");
    assert!(gate.limit().is_some());
    assert!(gate.record_limit(at(1), Limit::None));
    gate.tick(at(1));
    assert_eq!(gate.offer(at(1), id::Call(3), &request(at(1), 1, 1, true)), Decision::Run);
    assert_eq!(gate.next_start(at(1)), None);
}

/// Calls start at the times that the gate announces, without the end of another call.
#[test]
fn queued_for_limit() {
    let mut gate = Gate::new(50);
    gate.record_limit(at(0), limit("10"));
    assert_eq!(gate.offer(at(0), id::Call(1), &request(at(0), 1, 1, true)), Decision::Run);
    assert!(matches!(
        gate.offer(at(0), id::Call(2), &request(at(0), 1, 1, true)),
        Decision::Queued(_)
    ));
    let next = gate.next_start(at(0)).expect("a call waits");
    assert!(started(&gate.tick(next - Duration::from_millis(5))).is_empty());
    assert_eq!(started(&gate.tick(next)), [2]);
}

/// A target that may have named a limit to an earlier process gets few calls until it responds.
#[test]
fn before_first_response() {
    let mut gate = Gate::new(100);
    let run = |gate: &mut Gate, calls: std::ops::Range<u64>| {
        let decisions =
            calls.map(|call| gate.offer(at(0), id::Call(call), &request(at(0), 1, 1, true)));
        decisions.filter(|decision| *decision == Decision::Run).count()
    };
    assert!(run(&mut gate, 0..50) <= 10);
    gate.record_limit(at(1), Limit::None);
    gate.tick(at(1));
    assert_eq!(run(&mut gate, 50..90), 40);
    gate.forget_target();
    assert_eq!(run(&mut gate, 90..100), 0, "another instance may have a limit");
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u32, u32),
    Done(usize),
    Cancel(u64),
    Tick(u64),
    Resize(u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u32, 0..3_u32).prop_map(|(account, route)| Step::Offer(account, route)),
        4 => (0..8_usize).prop_map(Step::Done),
        1 => (0..200_u64).prop_map(Step::Cancel),
        2 => (0..400_u64).prop_map(Step::Tick),
        1 => (1..6_u32).prop_map(Step::Resize),
    ]
}

proptest! {
    /// The number of running calls never exceeds the number of slots when they started, and each
    /// call is decided once.
    #[test]
    fn within_slots(steps in proptest::collection::vec(any_step(), 1..200)) {
        let mut gate = Gate::new(4);
        let (mut now, mut next_call, mut slots) = (at(0), 0_u64, 4_usize);
        let mut running: Vec<u64> = Vec::new();
        let mut waiting: Vec<u64> = Vec::new();
        let apply = |releases: Vec<Release>, running: &mut Vec<u64>, waiting: &mut Vec<u64>| {
            for release in releases {
                let (Release::Run(call) | Release::Refuse(call, _)) = release;
                let index = waiting.iter().position(|waiting_call| *waiting_call == call.0);
                waiting.remove(index.expect("only a waiting call is released"));
                if let Release::Run(call) = release {
                    running.push(call.0);
                }
            }
        };
        for step in steps {
            match step {
                Step::Offer(account, route) => {
                    let call = id::Call(next_call);
                    next_call += 1;
                    match gate.offer(now, call, &request(now, account, route, true)) {
                        Decision::Run => {
                            running.push(call.0);
                            prop_assert!(running.len() <= slots);
                        }
                        Decision::Queued(until) => {
                            prop_assert!(until > now);
                            waiting.push(call.0);
                        }
                        Decision::Refused(_) => {}
                    }
                }
                Step::Done(i) if !running.is_empty() => {
                    let call = running.remove(i % running.len());
                    let latency = Some(Duration::from_millis(50));
                    let releases = gate.finish(now, id::Call(call), latency);
                    apply(releases, &mut running, &mut waiting);
                }
                Step::Done(_) => {}
                Step::Cancel(call) => {
                    let was_waiting = waiting.contains(&call);
                    prop_assert_eq!(gate.cancel(id::Call(call)), was_waiting);
                    waiting.retain(|waiting_call| *waiting_call != call);
                }
                Step::Tick(ms) => {
                    now += Duration::from_millis(ms);
                    apply(gate.tick(now), &mut running, &mut waiting);
                }
                Step::Resize(new_slots) => {
                    gate.resize(new_slots);
                    slots = slots.max(new_slots as usize);
                }
            }
            prop_assert_eq!(gate.in_flight(), running.len());
            prop_assert_eq!(gate.waiting(), waiting.len());
        }
    }
}
