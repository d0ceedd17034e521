//! Retries stay bounded for one root request through the chain and for one pool in overload.

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
        route: "book".parse().expect("a name"),
        pool: "bench".parse().expect("a name"),
        class: Class::Booking,
        idempotent,
        remaining,
        retries: 3,
        depth: 0,
        fingerprint: 7,
        claim: None,
    }
}

/// What becomes of one attempt, and of the part of the budget that went with it.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Works,
    Fails,
    LosesPart,
}

fn any_fate() -> impl Strategy<Value = Fate> {
    prop_oneof![1 => Just(Fate::Works), 4 => Just(Fate::Fails), 1 => Just(Fate::LosesPart)]
}

/// A chain of calls in which every call has the same number of concurrent nested calls.
struct Chain {
    fates: Vec<Fate>,
    next: usize,
    fan_out: usize,
    depth: usize,
    retries: u64,
    runs: Vec<u64>,
}

impl Chain {
    fn new(fates: Vec<Fate>, fan_out: usize, depth: usize) -> Self {
        Self { fates, next: 0, fan_out, depth, retries: 0, runs: vec![0; depth] }
    }

    fn fate(&mut self) -> Fate {
        self.next += 1;
        self.fates[self.next % self.fates.len()]
    }

    /// Runs one call with all calls below it, and tells whether it worked.
    fn call(&mut self, level: usize, budget: &mut Budget) -> bool {
        loop {
            let part = budget.split();
            let mut below = Budget::new(part.size());
            self.runs[level] += 1;
            let works = self.nested(level + 1, &mut below);
            let fate = self.fate();
            match fate {
                Fate::LosesPart => drop(part),
                Fate::Works | Fate::Fails => budget.reclaim(part, below.remaining()),
            }
            if works && matches!(fate, Fate::Works) {
                return true;
            }
            if !budget.spend() {
                return false;
            }
            self.retries += 1;
        }
    }

    /// Runs concurrent nested calls: all parts are out before the first comes back.
    fn nested(&mut self, level: usize, budget: &mut Budget) -> bool {
        if level == self.depth {
            return true;
        }
        let parts: Vec<_> = (0..self.fan_out).map(|_| budget.split()).collect();
        let mut works = true;
        for part in parts {
            let mut below = Budget::new(part.size());
            works &= self.call(level, &mut below);
            budget.reclaim(part, below.remaining());
        }
        works
    }
}

proptest! {
    #[test]
    fn deep_chain(
        fates in prop::collection::vec(any_fate(), 1..64),
        retries in 0_u8..=3,
    ) {
        let mut chain = Chain::new(fates, 1, DEPTH);
        chain.call(0, &mut Budget::new(retries));
        prop_assert!(chain.retries <= u64::from(retries));
        for (level, runs) in chain.runs.iter().enumerate() {
            prop_assert!(*runs <= 1 + u64::from(retries), "{runs} runs at level {level}");
        }
    }

    #[test]
    fn wide_chain(
        fates in prop::collection::vec(any_fate(), 1..64),
        retries in 0_u8..=3,
        fan_out in 2_usize..=3,
    ) {
        let mut chain = Chain::new(fates, fan_out, 5);
        chain.call(0, &mut Budget::new(retries));
        prop_assert!(chain.retries <= u64::from(retries));
        for (level, runs) in chain.runs.iter().enumerate() {
            let once = (fan_out as u64).pow(level as u32);
            prop_assert!(*runs <= once * (1 + u64::from(retries)), "{runs} runs at level {level}");
        }
    }

    #[test]
    fn conserved_parts(
        retries in any::<u8>(),
        unspent in prop::collection::vec(prop::option::of(any::<u8>()), 0..12),
    ) {
        let mut budget = Budget::new(retries);
        let mut out = Vec::new();
        let mut taken = 0;
        for unspent in &unspent {
            let part = budget.split();
            taken += u32::from(part.size());
            prop_assert_eq!(u32::from(budget.remaining()) + taken, u32::from(retries));
            out.push((part, unspent));
        }
        for (part, unspent) in out {
            let Some(unspent) = unspent else { continue };
            budget.reclaim(part, *unspent);
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
    fn fitting_wait(seed in any::<u64>(), remaining_ms in 0_u64..300, number in 1_u8..=4) {
        let settings = Settings { floor_per_second: 1_000, ..Settings::default() };
        let mut policy = Policy::new(settings.clone(), seed);
        let remaining = Duration::from_millis(remaining_ms);
        let attempt = Attempt { number, is_pool_overloaded: false };
        let refusal = Refusal::not_run(Reason::Leaving);
        let mut budget = Budget::new(1);
        let offer = offer(true, remaining);
        let wait = policy.decide(Instant::ZERO, &offer, &mut budget, &refusal, attempt);
        let least = Duration::from_millis(settings.run_least_ms);
        prop_assert_eq!(wait.is_some(), remaining > least);
        prop_assert_eq!(budget.remaining() == 0, wait.is_some());
        if let Some(wait) = wait {
            prop_assert!(wait + least <= remaining);
        }
    }
}

/// Tells whether a failed attempt is repeated where budget and ratio have room.
fn is_repeated(idempotent: bool, refusal: &Refusal, is_pool_overloaded: bool) -> bool {
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
        assert!(is_repeated(false, &Refusal::not_run(reason), false), "{reason}");
        assert!(is_repeated(true, &Refusal::unknown(reason), false), "{reason}");
        assert!(!is_repeated(false, &Refusal::unknown(reason), false), "{reason}");
    }
    for reason in [Crasher, Deadline, Duplicate, Rate] {
        for outcome in [Outcome::NotRun, Outcome::Unknown] {
            let refusal = Refusal { reason, outcome, retry_after: None };
            assert!(!is_repeated(true, &refusal, false), "{reason}");
        }
    }
    assert!(!is_repeated(true, &Refusal::not_run(Overload), true));
    assert!(is_repeated(true, &Refusal::not_run(Leaving), true));
}

#[test]
fn quiet_pool() {
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
