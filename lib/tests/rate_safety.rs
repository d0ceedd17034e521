//! No account is granted more than its rate and burst in any window, whatever fails.
//!
//! `PROPTEST_CASES` sets the number of cases.

mod rate_fleet;

use {
    monsoon_lib::rate::{Guards, Settings},
    proptest::{
        prelude::*,
        sample::select,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    rate_fleet::{Entry, Event, Fleet, MS, Network, SECOND, Tables},
};

const CASES: u32 = 96;
const LENGTH: u64 = 20 * SECOND;
const NAMES: [&str; 2] = ["amber", "basil"];

#[derive(Clone, Debug)]
enum Fault {
    Pause { node: usize, time: u64 },
    Restart { node: usize },
    Cut { groups: Vec<u8>, time: u64 },
    Absent { node: usize, absent: Vec<usize> },
}

#[derive(Clone, Debug)]
struct Case {
    seed: u64,
    nodes: usize,
    data_centres: usize,
    loss: f64,
    duplicates: f64,
    lateness: f64,
    late: u64,
    accounts: Vec<(u64, u32, u64)>,
    entries: Vec<(usize, bool)>,
    faults: Vec<(u64, Fault)>,
    changes: Vec<(u64, Tables)>,
}

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..nodes, 100..9_000u64).prop_map(|(node, ms)| Fault::Pause { node, time: ms * MS }),
        (0..nodes).prop_map(|node| Fault::Restart { node }),
        (prop::collection::vec(0..2u8, nodes), 200..9_000u64)
            .prop_map(|(groups, ms)| Fault::Cut { groups, time: ms * MS }),
        (0..nodes, prop::collection::vec(0..nodes, 0..4))
            .prop_map(|(node, absent)| Fault::Absent { node, absent }),
    ]
}

fn sold() -> impl Strategy<Value = (u64, u32, u64)> {
    let rate = select(vec![1, 3, 10, 60, 250]);
    let burst = select(vec![1, 2, 5, 12, 40, 150]);
    (rate, burst, 50..400u64)
}

fn tables(nodes: usize) -> impl Strategy<Value = Tables> {
    let lines = prop::collection::vec((sold(), prop::bool::weighted(0.85)), NAMES.len());
    let vms = prop::collection::vec(prop::bool::weighted(0.8), nodes);
    let shares = select(vec!["", ", shares: { dc-0: 3, dc-1: 1 }", ", shares: { dc-1: 1 }"]);
    (lines, vms, shares).prop_map(|(lines, vms, shares)| {
        let named = NAMES.into_iter().zip(lines).filter(|(_, (_, is_sold))| *is_sold);
        let accounts = named.map(|(name, ((rate, burst, _), _))| (name, rate, burst)).collect();
        let mut vms: Vec<usize> = (0..vms.len()).filter(|i| vms[*i]).collect();
        if vms.is_empty() {
            vms.push(0);
        }
        Tables { accounts, vms, shares: shares.into() }
    })
}

fn case() -> impl Strategy<Value = Case> {
    (3..=12usize).prop_flat_map(|nodes| {
        let network = (0.0..0.4f64, 0.0..0.4f64, 0.0..0.4f64, 1..8_000u64);
        let entries = prop::collection::vec((0..nodes, any::<bool>()), NAMES.len());
        let faults = prop::collection::vec((0..20_000u64, fault(nodes)), 0..8);
        let changes = prop::collection::vec((3_000..16_000u64, tables(nodes)), 0..3);
        let accounts = prop::collection::vec(sold(), NAMES.len());
        (any::<u64>(), 1..=3usize, network, accounts, entries, faults, changes).prop_map(
            move |(seed, data_centres, network, accounts, entries, faults, changes)| {
                let (loss, duplicates, lateness, late) = network;
                let late = late * MS;
                let data_centres = data_centres.min(nodes);
                Case {
                    seed,
                    nodes,
                    data_centres,
                    loss,
                    duplicates,
                    lateness,
                    late,
                    accounts,
                    entries,
                    faults,
                    changes,
                }
            },
        )
    })
}

/// Runs a case and returns its worst violation, if any, and what was granted.
fn run(case: &Case, guards: Guards) -> (Option<String>, u64) {
    let lines = NAMES.into_iter().zip(&case.accounts);
    let accounts = lines.map(|(name, (rate, burst, _))| (name, *rate, *burst)).collect();
    let first = Tables { accounts, vms: (0..case.nodes).collect(), shares: String::new() };
    let mut all = vec![first];
    let mut changes = case.changes.clone();
    changes.sort_by_key(|change| change.0);
    all.extend(changes.iter().map(|change| change.1.clone()));
    let settings = Settings::default();
    let mut fleet =
        Fleet::new(case.seed, case.nodes, case.data_centres, 200, settings, guards, &all);
    fleet.network = Network {
        loss: case.loss,
        duplicates: case.duplicates,
        lateness: case.lateness,
        late: case.late,
        delay: MS,
    };
    for (revision, (time, _)) in changes.iter().enumerate() {
        fleet.at(time * MS, Event::Publish { revision: revision + 1 });
    }
    for (time, fault) in &case.faults {
        let event = match fault.clone() {
            Fault::Pause { node, time } => Event::Pause { node, time },
            Fault::Restart { node } => Event::Restart { node },
            Fault::Cut { groups, time } => Event::Cut { groups, time },
            Fault::Absent { node, absent } => Event::Observe { node, absent },
        };
        fleet.at(time * MS, event);
    }
    for (index, name) in NAMES.into_iter().enumerate() {
        let (rate, _, percent) = case.accounts[index];
        let (node, is_one) = case.entries[index];
        let node = if is_one { Entry::One(node) } else { Entry::All };
        let every = SECOND * 100 / (rate * percent);
        fleet.at(MS, Event::Arrive { account: name, node, every, until: LENGTH });
    }
    fleet.run(LENGTH);
    let worst = fleet.violations.iter().max_by(|a, b| a.1.total_cmp(&b.1));
    let granted = fleet.counts.values().map(|count| count.granted).sum();
    let text = worst.map(|(name, over, at)| format!("{name} over by {over:.3} at {at} ns"));
    (text, granted)
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

#[test]
fn every_window() {
    let granted = std::cell::Cell::new(0);
    let outcome = runner(cases()).run(&case(), |case| {
        let (violation, count) = run(&case, Guards::default());
        granted.set(granted.get() + count);
        prop_assert!(violation.is_none(), "{}", violation.unwrap_or_default());
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
    // The property holds trivially where nothing is granted.
    assert!(granted.get() > u64::from(cases()) * 100, "only {} granted", granted.get());
}

/// Counts the cases up to the first that breaks the promise without a guard.
fn caught(guards: Guards) -> Option<u32> {
    const MOST: u32 = 2_000;
    let mut runner = runner(1);
    (1..=MOST).find(|_| {
        let tree = case().new_tree(&mut runner).expect("the strategy makes a case");
        run(&proptest::strategy::ValueTree::current(&tree), guards).0.is_some()
    })
}

fn assert_caught(name: &str, guards: Guards) {
    let case = caught(guards);
    println!("without {name}: caught by case {case:?}");
    assert!(case.is_some(), "no case shows that {name} is needed");
}

#[test]
fn no_restart_wait() {
    assert_caught("restart wait", Guards { has_restart_wait: false, ..Guards::default() });
}

#[test]
fn no_dedup() {
    assert_caught("dedup", Guards { has_dedup: false, ..Guards::default() });
}

#[test]
fn no_transition() {
    assert_caught("transition", Guards { has_transition: false, ..Guards::default() });
}

#[test]
fn no_expiry() {
    assert_caught("expiry", Guards { has_expiry: false, ..Guards::default() });
}

#[test]
fn no_deduction() {
    assert_caught("deduction", Guards { has_deduction: false, ..Guards::default() });
}
