//! Tests of the resend budget by class. The load is a pool that declines 55 % of its calls, while
//! urgent requests make 4 calls in turn and the others 8.

use {
    monsoon_lib::{
        mesh::{
            lineage::hash_fraction,
            resend::{Denied, Need, ResendBudget},
            scarcity::Class,
        },
        retry::Window,
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

const PERMILLE: u32 = 140;
const WINDOW: Duration = Duration::from_secs(10);
/// The largest number of sends of one call.
const SENDS: usize = 5;
const DECLINED: f64 = 0.55;
const URGENT: Class = Class { account: 0, route: 0 };
const OTHER: Class = Class { account: 0, route: 2 };
/// The time before targets begin to decline. It is longer than the window.
const CALM_MS: u64 = 12_000;
const END_MS: u64 = 42_000;

fn calls_of(class: Class) -> usize {
    if class == URGENT { 4 } else { 8 }
}

/// What became of the requests of one class while targets declined calls.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u32,
    served: u32,
    resends: u32,
    /// The resends for requests that failed all the same.
    wasted: u32,
}

impl Tally {
    fn served_fraction(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests)
    }
}

/// Decides on a resend for a request with this class and hash fraction.
type Resend = fn(&mut ResendBudget, Instant, Class, f64) -> bool;

/// Plays one request per millisecond, of which `urgent_permille` are urgent. Returns what
/// became of the urgent ones and of the others, in all and by second.
fn play(urgent_permille: u64, resend: Resend) -> ([Tally; 2], Vec<[Tally; 2]>) {
    let mut budget = budget();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut by_second = Vec::new();
    for ms in 0..END_MS {
        let now = Instant::from_millis(ms);
        let is_urgent = ms * 7_919 % 1_000 < urgent_permille;
        let class = if is_urgent { URGENT } else { OTHER };
        let fraction = hash_fraction(&ms.to_string());
        let declined = if ms < CALM_MS { 0.0 } else { DECLINED };
        let (mut resends, mut is_served) = (0, true);
        for _ in 0..calls_of(class) {
            budget.record_first_send(now, false);
            let mut sends = 1;
            is_served = !random.random_bool(declined);
            while !is_served && sends < SENDS && resend(&mut budget, now, class, fraction) {
                (sends, resends) = (sends + 1, resends + 1);
                is_served = !random.random_bool(declined);
            }
            if !is_served {
                break;
            }
        }
        if ms < CALM_MS {
            continue;
        }
        let second = ((ms - CALM_MS) / 1_000) as usize;
        by_second.resize(second + 1, [Tally::default(); 2]);
        let tally = &mut by_second[second][usize::from(!is_urgent)];
        tally.requests += 1;
        tally.served += u32::from(is_served);
        tally.resends += resends;
        tally.wasted += if is_served { 0 } else { resends };
    }
    let sum = |class: usize| {
        by_second.iter().fold(Tally::default(), |sum, tallies| Tally {
            requests: sum.requests + tallies[class].requests,
            served: sum.served + tallies[class].served,
            resends: sum.resends + tallies[class].resends,
            wasted: sum.wasted + tallies[class].wasted,
        })
    };
    ([sum(0), sum(1)], by_second)
}

fn budget() -> ResendBudget {
    ResendBudget::new(Instant::ZERO, PERMILLE, WINDOW)
}

fn by_class(budget: &mut ResendBudget, now: Instant, class: Class, fraction: f64) -> bool {
    let need = Need { class, is_direct: false, hash_fraction: fraction, share: 1.0 };
    budget.try_acquire(now, need).is_ok()
}

/// Guards against urgent requests that fail since the budget went to others, also in the seconds
/// after the sliding window has forgotten the calm time that covered the first resends.
#[test]
fn urgent_class_first() {
    for urgent_permille in [20, 50] {
        let ([unlimited, _], _) = play(urgent_permille, |_, _, _, _| true);
        let ([urgent, _], by_second) = play(urgent_permille, by_class);
        let ratio = urgent.served_fraction() / unlimited.served_fraction();
        assert!(ratio > 0.95, "{urgent_permille}: {urgent:?}, without a limit {unlimited:?}");
        for (second, [urgent, _]) in by_second.iter().enumerate() {
            assert!(urgent.served_fraction() > 0.55, "{urgent_permille}, {second}: {urgent:?}");
        }
    }
}

/// Guards against a rest of the budget that is spread over more requests than it can complete, and
/// against one that is left unused.
#[test]
fn whole_requests_from_the_rest() {
    let ([_, others], by_second) = play(20, by_class);
    let ([_, spread], _) = play(20, |budget, now, class, _| by_class(budget, now, class, 0.0));
    assert!(others.served > spread.served * 3 / 2, "{others:?}, without hash fractions {spread:?}");
    // A whole request of 8 calls takes 13 resends on average, including those of the requests that
    // fail after the largest number of sends.
    assert!(others.resends < 20 * others.served, "{others:?}");
    // The first sends of a second allow about 260 resends, of which the urgent class takes 85.
    let rest: u32 = by_second[1..].iter().map(|[_, others]| others.resends).sum();
    let mean = rest as usize / (by_second.len() - 1);
    assert!((130..200).contains(&mean), "{mean} resends a second");
}

/// Guards against resends for others while the urgent class alone needs more than the budget.
#[test]
fn urgent_class_beyond_budget() {
    let ([urgent, _], by_second) = play(150, by_class);
    let ([equal, _], _) =
        play(150, |budget, now, _, fraction| by_class(budget, now, OTHER, fraction));
    assert!(urgent.served > equal.served * 3, "{urgent:?}, as one class {equal:?}");
    let sum = |class: usize| by_second[1..].iter().map(|tallies| tallies[class].resends).sum();
    let (urgent, others): (u32, u32) = (sum(0), sum(1));
    assert!(others * 10 < urgent, "{others} resends for others, {urgent} for urgent requests");
}

/// Guards against a change for deployments with one class: each decision is the same as that of the
/// rule without classes.
#[test]
fn single_class() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let (mut budget, mut window) = (budget(), Window::new(Instant::ZERO, PERMILLE, WINDOW));
    let (mut eligible, mut adjusted_ms, mut is_exhausted) = (1.0_f64, 0, false);
    for ms in 0..40_000 {
        let now = Instant::from_millis(ms);
        budget.record_first_send(now, false);
        window.record_first_send(now);
        // The need rises and falls, and there is none at times.
        let need = if ms % 9_000 < 2_000 { 0.0 } else { 0.05 + (ms % 7_000) as f64 / 14_000.0 };
        if !random.random_bool(need) {
            continue;
        }
        if ms - adjusted_ms >= 250 {
            adjusted_ms = ms;
            eligible = match std::mem::take(&mut is_exhausted) {
                true => (eligible * 0.8).max(0.04),
                false => (eligible + 0.05).min(1.0),
            };
        }
        let fraction = random.random();
        let is_allowed = fraction <= eligible && {
            let is_taken = window.left(now) >= 1.0;
            if is_taken {
                window.record_resend(now);
            }
            is_exhausted |= !is_taken;
            is_taken
        };
        assert_eq!(by_class(&mut budget, now, OTHER, fraction), is_allowed, "{ms} ms");
    }
}

/// The requests at one of 57 nodes in a burst, by class, whether they are direct, rate per second,
/// chains side by side and calls of a chain. From all nodes, 13,000 calls per second reach the pool.
const KINDS: [(Class, bool, f64, u32, u32); 3] =
    [(URGENT, false, 9.7, 1, 4), (OTHER, true, 2.5, 1, 1), (OTHER, false, 24.5, 2, 4)];

fn by_need(budget: &mut ResendBudget, now: Instant, need: Need) -> bool {
    budget.try_acquire(now, need).is_ok()
}

/// Plays a decline of 8.5 s at some nodes, with 10 sends and a budget of 0.9 of 0.2. Returns what
/// became of the requests of each kind, and the resends that were denied.
fn play_nodes(
    declined: f64,
    resend: fn(&mut ResendBudget, Instant, Need) -> bool,
) -> ([Tally; 3], u64) {
    let (mut tallies, mut denied) = ([Tally::default(); 3], 0);
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = ResendBudget::new(Instant::ZERO, 180, WINDOW);
        for ms in 0..33_500 {
            let (now, is_declining) = (Instant::from_millis(ms), ms >= 25_000);
            for (kind, tally) in KINDS.into_iter().zip(&mut tallies) {
                let (class, is_direct, rate, chains, calls) = kind;
                if !random.random_bool(rate / 1_000.0) {
                    continue;
                }
                let need = Need { class, is_direct, hash_fraction: random.random(), share: 1.0 };
                let mut is_accepted = |_| {
                    budget.record_first_send(now, false);
                    (0..10).any(|sends| {
                        let is_sent = sends == 0 || resend(&mut budget, now, need);
                        tally.resends += u32::from(is_sent && sends > 0);
                        is_sent && !(is_declining && random.random_bool(declined))
                    })
                };
                let served = (0..chains).filter(|_| (0..calls).all(&mut is_accepted)).count();
                tally.requests += u32::from(is_declining);
                tally.served += u32::from(is_declining && served == chains as usize);
            }
        }
        denied += Denied::ALL.iter().map(|cause| budget.counts().denied(*cause)).sum::<u64>();
    }
    (tallies, denied)
}

/// Guards against urgent requests that fail while others are resent, although they alone need more
/// than the whole budget.
#[test]
fn declining_pool() {
    let ([urgent, direct, calls], _) = play_nodes(DECLINED, by_need);
    let ([equal, ..], _) = play_nodes(DECLINED, |budget, now, need| {
        by_need(budget, now, Need { class: OTHER, is_direct: false, ..need })
    });
    let others = direct.resends + calls.resends;
    assert!(urgent.resends > others * 9, "{urgent:?}, {direct:?}, {calls:?}");
    assert!(urgent.served > equal.served * 2, "{urgent:?}, as one class {equal:?}");
}

/// Guards against direct requests that fail while chains of the same class are resent.
#[test]
fn direct_requests_first() {
    let ([_, direct, _], _) = play_nodes(DECLINED, |budget, now, need| {
        need.class != URGENT && by_need(budget, now, need)
    });
    let ([_, equal, _], _) = play_nodes(DECLINED, |budget, now, need| {
        need.class != URGENT && by_need(budget, now, Need { is_direct: false, ..need })
    });
    assert!(direct.served_fraction() > 0.8, "{direct:?}");
    assert!(direct.served * 10 > equal.served * 13, "{direct:?}, as calls {equal:?}");
}

/// Guards against resends that are denied although the budget is sufficient for all. One target of
/// 15 declines 39 % of its calls.
#[test]
fn light_declines() {
    let (tallies, denied) = play_nodes(0.39 / 15.0, by_need);
    assert_eq!(denied, 0, "{tallies:?}");
    assert!(tallies.iter().all(|tally| tally.served == tally.requests), "{tallies:?}");
}

/// Guards against requests that are not resent when a decline has ended, since fewer were eligible
/// while the rest of the budget was reserved.
#[test]
fn end_of_decline() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut budget = ResendBudget::new(Instant::ZERO, 180, WINDOW);
    for ms in 0..30_000 {
        let now = Instant::from_millis(ms);
        budget.record_first_send(now, false);
        let (is_declining, is_over) = ((10_000..18_500).contains(&ms), ms >= 19_500);
        if is_declining && ms % 16 == 0 {
            assert!(by_class(&mut budget, now, URGENT, random.random()), "urgent at {ms} ms");
        }
        if is_declining && ms % 2 == 0 || is_over && ms % 100 == 0 {
            let is_resent = by_class(&mut budget, now, OTHER, random.random());
            assert!(is_resent || is_declining, "{ms} ms");
        }
    }
    assert!(budget.counts().denied(Denied::Reserved) > 0, "nothing was reserved");
}
