//! Compares the rate limiter with cheaper ways to split a rate, which must refuse at least as many
//! requests of an account within its rate.

mod rate_fleet;

use {
    monsoon_lib::rate::{Guards, Settings},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rate_fleet::{Event, Fleet, Ingress, SECOND, Tables},
};

const VMS: usize = 13;
const DATA_CENTRES: usize = 3;
const START: u64 = 4 * SECOND;
const STEADY: u64 = 8 * SECOND;
const END: u64 = 40 * SECOND;
const SIZES: [(&str, u64, u32); 4] =
    [("large", 2_000, 400), ("mid", 200, 50), ("small", 20, 20), ("tiny", 1, 2)];

/// An ideal bucket without faults or message delays, which favours each baseline.
#[derive(Clone)]
struct Bucket {
    rate: f64,
    cap: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    fn new(rate: f64, cap: f64) -> Self {
        Self { rate, cap, level: cap, at: 0 }
    }

    fn fill(&mut self, now: u64) {
        let seconds = (now - self.at) as f64 / SECOND as f64;
        self.level = (self.level + seconds * self.rate).min(self.cap);
        self.at = now;
    }

    fn take(&mut self, now: u64) -> bool {
        self.fill(now);
        let is_granted = self.level >= 1.0;
        if is_granted {
            self.level -= 1.0;
        }
        is_granted
    }
}

trait Baseline {
    const NAME: &'static str;

    fn new(rate: f64, burst: f64) -> Self;

    fn take(&mut self, now: u64, vm: usize) -> bool;
}

/// Each VM permanently has an equal part of the rate and burst.
struct StaticSplit(Vec<Bucket>);

impl Baseline for StaticSplit {
    const NAME: &'static str = "static split";

    fn new(rate: f64, burst: f64) -> Self {
        Self(vec![Bucket::new(rate / VMS as f64, burst / VMS as f64); VMS])
    }

    fn take(&mut self, now: u64, vm: usize) -> bool {
        self.0[vm].take(now)
    }
}

/// One home VM in each data centre has an equal part, and every request in that data centre uses
/// its bucket.
struct HomePerDataCentre(Vec<Bucket>);

impl Baseline for HomePerDataCentre {
    const NAME: &'static str = "one home VM per data centre";

    fn new(rate: f64, burst: f64) -> Self {
        let part = DATA_CENTRES as f64;
        Self(vec![Bucket::new(rate / part, burst / part); DATA_CENTRES])
    }

    fn take(&mut self, now: u64, vm: usize) -> bool {
        self.0[vm % DATA_CENTRES].take(now)
    }
}

/// The VMs' parts follow the demand of the last second, as if all VMs knew it immediately.
struct Proportional {
    buckets: Vec<Bucket>,
    counts: Vec<u32>,
    second: u64,
    rate: f64,
    burst: f64,
}

impl Baseline for Proportional {
    const NAME: &'static str = "demand-proportional";

    fn new(rate: f64, burst: f64) -> Self {
        let StaticSplit(buckets) = StaticSplit::new(rate, burst);
        Self { buckets, counts: vec![0; VMS], second: 0, rate, burst }
    }

    fn take(&mut self, now: u64, vm: usize) -> bool {
        if now / SECOND > self.second {
            self.second = now / SECOND;
            self.redistribute(now);
        }
        self.counts[vm] += 1;
        self.buckets[vm].take(now)
    }
}

impl Proportional {
    fn redistribute(&mut self, now: u64) {
        let sum: u32 = self.counts.iter().sum();
        for (bucket, count) in self.buckets.iter_mut().zip(&mut self.counts) {
            bucket.fill(now);
            let part = f64::from(std::mem::take(count)) / f64::from(sum.max(1));
            bucket.rate = self.rate * part;
            bucket.cap = self.burst * part;
            bucket.level = bucket.level.min(bucket.cap);
        }
    }
}

#[derive(Clone, Copy)]
enum TrafficPattern {
    OneVm,
    AllVms,
    OneDataCentre,
    Wandering,
}

const TRAFFIC_PATTERNS: [(&str, TrafficPattern); 4] = [
    ("one VM", TrafficPattern::OneVm),
    ("all VMs", TrafficPattern::AllVms),
    ("one data centre", TrafficPattern::OneDataCentre),
    ("wandering", TrafficPattern::Wandering),
];

impl TrafficPattern {
    fn ingress(self, now: u64) -> Ingress {
        match self {
            Self::OneVm => Ingress::One(4),
            Self::AllVms => Ingress::All,
            Self::OneDataCentre => Ingress::Some(vec![0, 3, 6, 9, 12]),
            Self::Wandering => {
                let moves = usize::try_from(now / (4 * SECOND)).expect("a small number");
                Ingress::One((4 + 7 * moves) % VMS)
            }
        }
    }
}

/// Returns the refused requests per 10,000 sent in the steady state.
fn refused<B: Baseline>(spec: (&str, u64, u32), pattern: TrafficPattern) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut baseline = B::new(spec.1 as f64, f64::from(spec.2));
    let interval = SECOND * 100 / (spec.1 * 95);
    let (mut refused, mut sent) = (0, 0);
    for now in (START..END).step_by(usize::try_from(interval).expect("a small number")) {
        let vm = match pattern.ingress(now) {
            Ingress::One(vm) => vm,
            Ingress::All => rng.random_range(0..VMS),
            Ingress::Some(vms) => vms[rng.random_range(0..vms.len())],
        };
        let is_granted = baseline.take(now, vm);
        if now >= STEADY {
            sent += 1;
            refused += u64::from(!is_granted);
        }
    }
    refused * 10_000 / sent
}

fn limiter_refusals(spec: (&'static str, u64, u32), pattern: TrafficPattern) -> u64 {
    let tables = Tables { accounts: vec![spec], vms: (0..VMS).collect(), shares: String::new() };
    let settings = Settings::default();
    let mut fleet = Fleet::new(5, VMS, DATA_CENTRES, 200, settings, Guards::default(), &[tables]);
    let interval = SECOND * 100 / (spec.1 * 95);
    for second in (4..40).step_by(4) {
        let (from, until) = (second * SECOND, (second + 4) * SECOND - 1);
        let node = pattern.ingress(from);
        fleet.at(from, Event::Arrive { account: spec.0, node, interval, until });
    }
    fleet.run(END);
    let count = &fleet.counts[spec.0];
    let refused = count.refused_at.iter().filter(|at| **at >= STEADY).count() as u64;
    refused * 10_000 / count.arrived
}

#[test]
fn wrongful_refusals() {
    println!("refused requests per 10,000 at 95 % of the rate");
    for spec in SIZES {
        for (name, pattern) in TRAFFIC_PATTERNS {
            let limiter_refusals = limiter_refusals(spec, pattern);
            let baselines = [
                (StaticSplit::NAME, refused::<StaticSplit>(spec, pattern)),
                (HomePerDataCentre::NAME, refused::<HomePerDataCentre>(spec, pattern)),
                (Proportional::NAME, refused::<Proportional>(spec, pattern)),
            ];
            println!(
                "{}, {name}: loans and token requests {limiter_refusals}, {baselines:?}",
                spec.0
            );
            for (baseline, refused) in baselines {
                assert!(
                    limiter_refusals <= refused,
                    "{}, {name}: {baseline} refuses fewer",
                    spec.0
                );
            }
        }
    }
}
