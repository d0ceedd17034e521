//! Tests of call attribution to runs, and of the resend budget by hash fraction.

use {
    monsoon_lib::{
        mesh::{
            gate::Rank,
            lineage::{ActiveRuns, Lineage, hash_fraction},
            resend::{Need, ResendBudget},
            scarcity::Class,
        },
        pressure::Share,
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// The resends allowed per thousand first sends, and the window.
const PERMILLE: u32 = 140;
const WINDOW: Duration = Duration::from_secs(10);
/// The calls of one request, and the largest number of sends of one call.
const CALLS: usize = 5;
const SENDS: usize = 5;
const CLASS: Class = Class { account: 0, route: 0 };

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn need(hash_fraction: f64) -> Need {
    Need { class: CLASS, is_direct: false, hash_fraction, share: 1.0 }
}

fn lineage() -> Lineage {
    Lineage {
        rank: Rank { account: 3, route: 2, is_first_attempt: true, hash_bucket: 7 },
        is_repeat: true,
        admitted: Share(51),
        route: Some("views".parse().expect("a name")),
    }
}

#[test]
fn traced_call() {
    let mut runs = ActiveRuns::default();
    runs.start("a1.b2", lineage());
    assert!(!runs.is_traceable(at(0)));
    assert_eq!(runs.parent_run(at(1), "a1.b2.c3"), Some(lineage()));
    assert!(runs.is_traceable(at(2)) && runs.has_traced_locally(at(2)));
    runs.end("a1.b2");
    assert_eq!(runs.parent_run(at(3), "a1.b2.c3"), None);
    assert!(!runs.is_traceable(at(20_000)), "no call was traced within the TTL");
}

#[test]
fn untraced_call() {
    let mut runs = ActiveRuns::default();
    runs.start("a1", lineage());
    for id in ["", ".", "a1", "a1b2", "b1.a1", ".a1", "a1..b"] {
        assert_eq!(runs.parent_run(at(0), id), None, "{id}");
    }
    assert!(!runs.is_traceable(at(0)));
    runs.record_remote_trace(at(0));
    assert!(runs.is_traceable(at(1)) && !runs.has_traced_locally(at(1)));
}

#[test]
fn one_hash_fraction_per_request() {
    assert_eq!(hash_fraction("a1"), hash_fraction("a1.b2.c3"));
    assert!(hash_fraction("a1") != hash_fraction("a2"));
    let fractions: Vec<f64> = (0..1_000).map(|i| hash_fraction(&format!("{i:x}"))).collect();
    assert!(fractions.iter().all(|fraction| (0.0..=1.0).contains(fraction)));
    let low = fractions.iter().filter(|fraction| **fraction < 0.25).count();
    assert!((200..300).contains(&low), "{low} of 1,000 in the lowest quarter");
}

/// Simulates requests of several calls each while targets decline a fraction of the sends. Returns
/// the fraction of requests that succeed and the ratio of resends to first sends.
fn simulate(declined: f64, fraction_of: impl Fn(u64) -> f64) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut budget = ResendBudget::new(at(0), PERMILLE, WINDOW);
    let (mut succeeded, mut first_sends, mut resent) = (0, 0, 0);
    const REQUESTS: u64 = 20_000;
    for request in 0..REQUESTS {
        let now = at(request);
        let mut has_succeeded = true;
        for _ in 0..CALLS {
            budget.record_first_send(now, false);
            first_sends += 1;
            let mut sends = 1;
            let mut is_served = !random.random_bool(declined);
            while !is_served
                && sends < SENDS
                && budget.try_acquire(now, need(fraction_of(request))).is_ok()
            {
                (sends, resent) = (sends + 1, resent + 1);
                is_served = !random.random_bool(declined);
            }
            has_succeeded &= is_served;
            if !has_succeeded {
                break;
            }
        }
        succeeded += u64::from(has_succeeded);
    }
    (succeeded as f64 / REQUESTS as f64, f64::from(resent) / f64::from(first_sends))
}

#[test]
fn resends_concentrated_on_some_requests() {
    let (succeeded, resent) = simulate(0.55, |request| hash_fraction(&request.to_string()));
    let (baseline, _) = simulate(0.55, |_| 0.0);
    assert!(succeeded > baseline * 1.15, "{succeeded} succeed by hash, {baseline} without");
    assert!(resent <= f64::from(PERMILLE) / 1_000.0, "{resent} resends per first send");
}

#[test]
fn few_failures() {
    let (succeeded, _) = simulate(0.05, |request| hash_fraction(&request.to_string()));
    assert!(succeeded > 0.99, "{succeeded} succeed although the budget suffices for all");
}

#[test]
fn inherited_repeats() {
    let mut budget = ResendBudget::new(at(0), PERMILLE, WINDOW);
    for _ in 0..1_000 {
        budget.record_first_send(at(0), false);
    }
    for _ in 0..100 {
        budget.record_first_send(at(0), true);
    }
    let acquired = (0..1_000).filter(|_| budget.try_acquire(at(1), need(0.0)).is_ok()).count();
    assert_eq!(acquired, 40, "140 per 1,000 first sends, less 100 that are repeats already");
}
