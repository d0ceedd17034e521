//! Tests of the sliding window that limits resends.

use {
    monsoon_lib::{retry::Window, time::Instant},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
};

const PERMILLE: u32 = 180;
const WINDOW_MS: usize = 10_000;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against windows in which more is resent than the platform allows, wherever they begin.
    /// In each phase, first sends and requested resends arrive at fixed rates per millisecond.
    #[test]
    fn every_window(phases in prop::collection::vec(
        (50..6_000, 0.0..3.0, prop_oneof![Just(0.0), 0.0..2.0]), 1..30,
    )) {
        let length = Duration::from_millis(WINDOW_MS as u64);
        let mut window = Window::new(Instant::ZERO, PERMILLE, length);
        // The sums before each millisecond, with two windows before the first.
        let (mut first, mut resent) = (vec![0_u32; 2 * WINDOW_MS], vec![0_u32; 2 * WINDOW_MS]);
        let (mut due, mut asked) = (0.0, 0.0);
        for (duration_ms, first_rate, asked_rate) in phases {
            for _ in 0..duration_ms {
                let now = Instant::from_millis(first.len() as u64);
                (due, asked) = (due % 1.0 + first_rate, asked % 1.0 + asked_rate);
                (0..due as u32).for_each(|_| window.record_first_send(now));
                let is_allowed = |_: &u32| {
                    let is_allowed = window.left(now) >= 1.0;
                    (0..u32::from(is_allowed)).for_each(|_| window.record_resend(now));
                    is_allowed
                };
                let allowed = (0..asked as u32).filter(is_allowed).count() as u32;
                first.push(first[first.len() - 1] + due as u32);
                resent.push(resent[resent.len() - 1] + allowed);
            }
        }
        for start in 2 * WINDOW_MS - 1..first.len() - 1 {
            let end = |start: usize| (start + WINDOW_MS).min(first.len() - 1);
            let sum = |sums: &[u32], start: usize| f64::from(sums[end(start)] - sums[start]);
            let counts = [0, WINDOW_MS / 2, WINDOW_MS].map(|earlier| sum(&first, start - earlier));
            let limit = counts.into_iter().fold(0.0, f64::max) * f64::from(PERMILLE) / 1_000.0;
            prop_assert!(sum(&resent, start) <= limit + 1.0, "window from {} ms", start);
        }
    }
}
