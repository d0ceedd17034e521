//! Calls traced to the runs that make them, and resends by lot.

use {
    monsoon_lib::{
        mesh::{
            gate::Rank,
            lineage::{ActiveRuns, Lineage, hash_fraction},
            resend::ResendBudget,
        },
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Resends for a thousand first sends, and the window.
const PERMILLE: u32 = 140;
const WINDOW: Duration = Duration::from_secs(10);
/// The calls of one request, and the sends of one call.
const CALLS: usize = 5;
const SENDS: usize = 5;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn lineage() -> Lineage {
    Lineage {
        rank: Rank { account: 3, route: 2, is_first_attempt: true, hash_bucket: 7 },
        is_repeat: true,
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
    assert!(!runs.is_traceable(at(20_000)), "no call was traced for a while");
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
fn one_lot_per_request() {
    assert_eq!(hash_fraction("a1"), hash_fraction("a1.b2.c3"));
    assert!(hash_fraction("a1") != hash_fraction("a2"));
    let lots: Vec<f64> = (0..1_000).map(|i| hash_fraction(&format!("{i:x}"))).collect();
    assert!(lots.iter().all(|lot| (0.0..=1.0).contains(lot)));
    let low = lots.iter().filter(|lot| **lot < 0.25).count();
    assert!((200..300).contains(&low), "{low} of 1,000 in the lowest quarter");
}

/// Plays requests of several calls each while targets decline a part of the sends. Returns the parts
/// of the requests that succeed and of the sends that are resends.
fn play(declined: f64, lot_of: impl Fn(u64) -> f64) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut resends = ResendBudget::new(at(0), PERMILLE, WINDOW);
    let (mut whole, mut first_sends, mut repeats) = (0, 0, 0);
    const REQUESTS: u64 = 20_000;
    for request in 0..REQUESTS {
        let now = at(request);
        let mut is_whole = true;
        for _ in 0..CALLS {
            resends.record_first_send(now, false);
            first_sends += 1;
            let mut sends = 1;
            let mut is_served = !random.random_bool(declined);
            while !is_served && sends < SENDS && resends.try_acquire(now, lot_of(request), 1.0) {
                (sends, repeats) = (sends + 1, repeats + 1);
                is_served = !random.random_bool(declined);
            }
            is_whole &= is_served;
            if !is_whole {
                break;
            }
        }
        whole += u64::from(is_whole);
    }
    (whole as f64 / REQUESTS as f64, f64::from(repeats) / f64::from(first_sends))
}

#[test]
fn whole_requests() {
    let (whole, repeats) = play(0.55, |request| hash_fraction(&request.to_string()));
    let (blind, _) = play(0.55, |_| 0.0);
    assert!(whole > blind * 1.15, "{whole} succeed by lot, {blind} without");
    assert!(repeats <= f64::from(PERMILLE) / 1_000.0, "{repeats} of the sends are resends");
}

#[test]
fn few_failures() {
    let (whole, _) = play(0.05, |request| hash_fraction(&request.to_string()));
    assert!(whole > 0.99, "{whole} succeed, the bound suffices for all");
}

#[test]
fn inherited_repeats() {
    let mut resends = ResendBudget::new(at(0), PERMILLE, WINDOW);
    for _ in 0..1_000 {
        resends.record_first_send(at(0), false);
    }
    for _ in 0..100 {
        resends.record_first_send(at(0), true);
    }
    let taken = (0..1_000).filter(|_| resends.try_acquire(at(1), 0.0, 1.0)).count();
    assert_eq!(taken, 40, "140 of 1,000, less 100 that are repeats already");
}
