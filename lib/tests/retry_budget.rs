//! Retries are bounded per root request across its call chain, and per pool during overload.

use {
    monsoon_lib::{
        call::{Offer, Outcome, Reason, Refusal},
        id,
        retry::{Attempt, Budget, Policy, Settings},
        table::Class,
        time::Instant,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const DEPTH: usize = 9;

fn offer(idempotent: bool, remaining: Duration) -> Offer {
    Offer {
        request: id::Request(1),
        account: None,
        route: "book".parse().expect("a valid name"),
        pool: "bench".parse().expect("a valid name"),
        class: Class::Booking,
        idempotent,
        remaining,
        retries: 3,
        depth: 0,
        fingerprint: 7,
        claim: None,
    }
}

/// The reply to one attempt, and whether the quota sent with it is lost.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Succeeds,
    Fails,
    LosesQuota,
}

fn any_reply() -> impl Strategy<Value = Reply> {
    prop_oneof![1 => Just(Reply::Succeeds), 4 => Just(Reply::Fails), 1 => Just(Reply::LosesQuota)]
}

/// A call chain in which every call has the same number of concurrent nested calls.
struct Chain {
    replies: Vec<Reply>,
    next: usize,
    fan_out: usize,
    depth: usize,
    retries: u64,
    runs: Vec<u64>,
}

impl Chain {
    fn new(replies: Vec<Reply>, fan_out: usize, depth: usize) -> Self {
        Self { replies, next: 0, fan_out, depth, retries: 0, runs: vec![0; depth] }
    }

    fn reply(&mut self) -> Reply {
        self.next += 1;
        self.replies[self.next % self.replies.len()]
    }

    /// Runs one call with all its nested calls. Returns whether it succeeded.
    fn call(&mut self, level: usize, budget: &mut Budget) -> bool {
        loop {
            let quota = budget.split();
            let mut nested_budget = Budget::new(quota.size());
            self.runs[level] += 1;
            let succeeds = self.nested(level + 1, &mut nested_budget);
            let reply = self.reply();
            match reply {
                Reply::LosesQuota => drop(quota),
                Reply::Succeeds | Reply::Fails => budget.reclaim(quota, nested_budget.remaining()),
            }
            if succeeds && matches!(reply, Reply::Succeeds) {
                return true;
            }
            if !budget.spend() {
                return false;
            }
            self.retries += 1;
        }
    }

    /// Runs concurrent nested calls: all quotas are taken before the first is reclaimed.
    fn nested(&mut self, level: usize, budget: &mut Budget) -> bool {
        if level == self.depth {
            return true;
        }
        let quotas: Vec<_> = (0..self.fan_out).map(|_| budget.split()).collect();
        let mut succeeds = true;
        for quota in quotas {
            let mut nested_budget = Budget::new(quota.size());
            succeeds &= self.call(level, &mut nested_budget);
            budget.reclaim(quota, nested_budget.remaining());
        }
        succeeds
    }
}

proptest! {
    #[test]
    fn deep_chain(
        replies in prop::collection::vec(any_reply(), 1..64),
        retries in 0_u8..=3,
    ) {
        let mut chain = Chain::new(replies, 1, DEPTH);
        chain.call(0, &mut Budget::new(retries));
        prop_assert!(chain.retries <= u64::from(retries));
        for (level, runs) in chain.runs.iter().enumerate() {
            prop_assert!(*runs <= 1 + u64::from(retries), "{runs} runs at level {level}");
        }
    }

    #[test]
    fn wide_chain(
        replies in prop::collection::vec(any_reply(), 1..64),
        retries in 0_u8..=3,
        fan_out in 2_usize..=3,
    ) {
        let mut chain = Chain::new(replies, fan_out, 5);
        chain.call(0, &mut Budget::new(retries));
        prop_assert!(chain.retries <= u64::from(retries));
        for (level, runs) in chain.runs.iter().enumerate() {
            let once = (fan_out as u64).pow(level as u32);
            prop_assert!(*runs <= once * (1 + u64::from(retries)), "{runs} runs at level {level}");
        }
    }

    #[test]
    fn conserved_quotas(
        retries in any::<u8>(),
        unspent in prop::collection::vec(prop::option::of(any::<u8>()), 0..12),
    ) {
        let mut budget = Budget::new(retries);
        let mut out = Vec::new();
        let mut taken = 0;
        for unspent in &unspent {
            let quota = budget.split();
            taken += u32::from(quota.size());
            prop_assert_eq!(u32::from(budget.remaining()) + taken, u32::from(retries));
            out.push((quota, unspent));
        }
        for (quota, unspent) in out {
            let Some(unspent) = unspent else { continue };
            budget.reclaim(quota, *unspent);
            prop_assert!(budget.remaining() <= retries);
        }
    }

    #[test]
    fn overloaded_pool(
        seed in any::<u64>(),
        gaps_us in prop::collection::vec(0_u64..20_000, 200..600),
        failing_percent in 0_u32..=100,
    ) {
        let mut policy = Policy::new(Settings::default(), seed);
        let offer = offer(true, Duration::from_secs(1));
        let (mut now, mut retries) = (Instant::ZERO, 0_u64);
        for (index, gap) in gaps_us.iter().enumerate() {
            now += Duration::from_micros(*gap);
            policy.record_first_send(now, &offer.pool);
            let mut budget = Budget::new(3);
            let refusal = Refusal::not_run(Reason::Overload);
            for number in 1..=4 {
                if (index as u32 * 37 + u32::from(number)) % 100 >= failing_percent {
                    break;
                }
                let attempt = Attempt { number, is_pool_overloaded: false };
                match policy.decide(now, &offer, &mut budget, &refusal, attempt) {
                    Some(_) => retries += 1,
                    None => break,
                }
            }
        }
        prop_assert!(retries * 10 <= gaps_us.len() as u64, "{retries} retries");
    }

    #[test]
    fn backoff_in_time(seed in any::<u64>(), remaining_ms in 0_u64..300, number in 1_u8..=4) {
        let settings = Settings { floor_per_second: 1_000, ..Settings::default() };
        let mut policy = Policy::new(settings.clone(), seed);
        let remaining = Duration::from_millis(remaining_ms);
        let attempt = Attempt { number, is_pool_overloaded: false };
        let refusal = Refusal::not_run(Reason::Leaving);
        let mut budget = Budget::new(1);
        let offer = offer(true, remaining);
        let backoff = policy.decide(Instant::ZERO, &offer, &mut budget, &refusal, attempt);
        let min_run = Duration::from_millis(settings.run_least_ms);
        prop_assert_eq!(backoff.is_some(), remaining > min_run);
        prop_assert_eq!(budget.remaining() == 0, backoff.is_some());
        if let Some(backoff) = backoff {
            prop_assert!(backoff + min_run <= remaining);
        }
    }
}

/// Returns whether a failed attempt is retried if budget and ratio allow it.
fn is_retried(idempotent: bool, refusal: &Refusal, is_pool_overloaded: bool) -> bool {
    let mut policy = Policy::new(Settings::default(), 1);
    let offer = offer(idempotent, Duration::from_secs(1));
    for _ in 0..10 {
        policy.record_first_send(Instant::ZERO, &offer.pool);
    }
    let attempt = Attempt { number: 1, is_pool_overloaded };
    policy.decide(Instant::ZERO, &offer, &mut Budget::new(1), refusal, attempt).is_some()
}

#[test]
fn outcome_rules() {
    use Reason::{Broken, Crasher, Deadline, Duplicate, Leaving, NoTarget, Overload, Rate};
    for reason in [Broken, Leaving, NoTarget, Overload] {
        assert!(is_retried(false, &Refusal::not_run(reason), false), "{reason}");
        assert!(is_retried(true, &Refusal::unknown(reason), false), "{reason}");
        assert!(!is_retried(false, &Refusal::unknown(reason), false), "{reason}");
    }
    for reason in [Crasher, Deadline, Duplicate, Rate] {
        for outcome in [Outcome::NotRun, Outcome::Unknown] {
            let refusal = Refusal { reason, outcome, retry_after: None };
            assert!(!is_retried(true, &refusal, false), "{reason}");
        }
    }
    assert!(!is_retried(true, &Refusal::not_run(Overload), true));
    assert!(is_retried(true, &Refusal::not_run(Leaving), true));
}

#[test]
fn pool_without_traffic() {
    let mut policy = Policy::new(Settings::default(), 1);
    let offer = offer(false, Duration::from_secs(1));
    let attempt = Attempt { number: 1, is_pool_overloaded: false };
    let mut decide = |now, reason| {
        let refusal = Refusal::not_run(reason);
        policy.decide(now, &offer, &mut Budget::new(1), &refusal, attempt).is_some()
    };
    assert!(!decide(Instant::ZERO, Reason::Overload));
    assert!(decide(Instant::ZERO, Reason::Leaving));
    assert!(!decide(Instant::ZERO, Reason::Leaving));
    assert!(decide(Instant::from_millis(1_000), Reason::Leaving));
}

#[test]
fn sliding_window() {
    let mut policy = Policy::new(Settings::default(), 1);
    let offer = offer(true, Duration::from_secs(1));
    for _ in 0..100 {
        policy.record_first_send(Instant::ZERO, &offer.pool);
    }
    let attempt = Attempt { number: 1, is_pool_overloaded: false };
    let refusal = Refusal::not_run(Reason::Overload);
    let mut taken = |now| {
        let mut decide = || policy.decide(now, &offer, &mut Budget::new(1), &refusal, attempt);
        (0..20).filter(|_| decide().is_some()).count()
    };
    assert_eq!(taken(Instant::from_millis(1)), 10);
    assert_eq!(taken(Instant::from_millis(11_000)), 0);
}
