//! Checks that no account is granted more than its rate and burst in any time window, whatever
//! fails.
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
    rate_fleet::{Event, Fleet, Ingress, MS, Network, SECOND, Tables},
};

const CASES: u32 = 96;
const DURATION: u64 = 20 * SECOND;
const ACCOUNTS: [&str; 2] = ["amber", "basil"];

#[derive(Clone, Debug)]
enum Fault {
    Pause { node: usize, time: u64 },
    Restart { node: usize },
    Stop { node: usize },
    Partition { groups: Vec<u8>, time: u64 },
    Absent { node: usize, absent: Vec<usize> },
}

#[derive(Clone, Debug)]
struct Case {
    seed: u64,
    nodes: usize,
    data_centres: usize,
    loss: f64,
    duplicates: f64,
    late_share: f64,
    max_extra_delay: u64,
    accounts: Vec<(u64, u32, u64)>,
    ingresses: Vec<(usize, bool)>,
    faults: Vec<(u64, Fault)>,
    changes: Vec<(u64, Tables)>,
    retire_ms: u64,
}

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..nodes, 100..9_000u64).prop_map(|(node, ms)| Fault::Pause { node, time: ms * MS }),
        (0..nodes).prop_map(|node| Fault::Restart { node }),
        (0..nodes).prop_map(|node| Fault::Stop { node }),
        (prop::collection::vec(0..2u8, nodes), 200..9_000u64)
            .prop_map(|(groups, ms)| Fault::Partition { groups, time: ms * MS }),
        (0..nodes, prop::collection::vec(0..nodes, 0..4))
            .prop_map(|(node, absent)| Fault::Absent { node, absent }),
    ]
}

fn account_spec() -> impl Strategy<Value = (u64, u32, u64)> {
    let rate = select(vec![1, 3, 10, 60, 250]);
    let burst = select(vec![1, 2, 5, 12, 40, 150]);
    (rate, burst, 50..400u64)
}

fn tables(nodes: usize) -> impl Strategy<Value = Tables> {
    let specs = prop::collection::vec((account_spec(), prop::bool::weighted(0.85)), ACCOUNTS.len());
    let vms = prop::collection::vec(prop::bool::weighted(0.8), nodes);
    let shares = select(vec!["", ", shares: { dc-0: 3, dc-1: 1 }", ", shares: { dc-1: 1 }"]);
    (specs, vms, shares).prop_map(|(specs, vms, shares)| {
        let named = ACCOUNTS.into_iter().zip(specs).filter(|(_, (_, is_sold))| *is_sold);
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
        let ingresses = prop::collection::vec((0..nodes, any::<bool>()), ACCOUNTS.len());
        let faults = prop::collection::vec((0..20_000u64, fault(nodes)), 0..8);
        let changes = prop::collection::vec((3_000..16_000u64, tables(nodes)), 0..3);
        let accounts = prop::collection::vec(account_spec(), ACCOUNTS.len());
        let retire_ms = select(vec![1_500, 3_600_000]);
        let numbers = (any::<u64>(), 1..=3usize, retire_ms);
        (numbers, network, accounts, ingresses, faults, changes).prop_map(
            move |(numbers, network, accounts, ingresses, faults, changes)| {
                let (seed, data_centres, retire_ms) = numbers;
                let (loss, duplicates, late_share, max_extra_delay) = network;
                let max_extra_delay = max_extra_delay * MS;
                let data_centres = data_centres.min(nodes);
                Case {
                    seed,
                    nodes,
                    data_centres,
                    loss,
                    duplicates,
                    late_share,
                    max_extra_delay,
                    accounts,
                    ingresses,
                    faults,
                    changes,
                    retire_ms,
                }
            },
        )
    })
}

/// Runs a case and returns its worst violation, if any, and the number of granted requests.
fn run(case: &Case, guards: Guards) -> (Option<String>, u64) {
    let specs = ACCOUNTS.into_iter().zip(&case.accounts);
    let accounts = specs.map(|(name, (rate, burst, _))| (name, *rate, *burst)).collect();
    let first = Tables { accounts, vms: (0..case.nodes).collect(), shares: String::new() };
    let mut all = vec![first];
    let mut changes = case.changes.clone();
    changes.sort_by_key(|change| change.0);
    all.extend(changes.iter().map(|change| change.1.clone()));
    let settings = Settings { retire_ms: case.retire_ms, ..Settings::default() };
    let mut fleet =
        Fleet::new(case.seed, case.nodes, case.data_centres, 200, settings, guards, &all);
    fleet.network = Network {
        loss: case.loss,
        duplicates: case.duplicates,
        late_share: case.late_share,
        max_extra_delay: case.max_extra_delay,
        delay: MS,
    };
    for (revision, (time, _)) in changes.iter().enumerate() {
        fleet.at(time * MS, Event::Publish { revision: revision + 1 });
    }
    for (time, fault) in &case.faults {
        let event = match fault.clone() {
            Fault::Pause { node, time } => Event::Pause { node, time },
            Fault::Restart { node } => Event::Restart { node },
            Fault::Stop { node } => Event::Stop { node },
            Fault::Partition { groups, time } => Event::Partition { groups, time },
            Fault::Absent { node, absent } => Event::SetAbsent { node, absent },
        };
        fleet.at(time * MS, event);
    }
    for (index, name) in ACCOUNTS.into_iter().enumerate() {
        let (rate, _, percent) = case.accounts[index];
        let (node, is_one) = case.ingresses[index];
        let node = if is_one { Ingress::One(node) } else { Ingress::All };
        let interval = SECOND * 100 / (rate * percent);
        fleet.at(MS, Event::Arrive { account: name, node, interval, until: DURATION });
    }
    fleet.run(DURATION);
    let worst = fleet.violations.iter().max_by(|a, b| a.1.total_cmp(&b.1));
    let granted = fleet.counts.values().map(|count| count.granted).sum();
    let text = worst
        .map(|(name, over, at)| format!("{name} exceeds its limit by {over:.3} tokens at {at} ns"));
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
    // The property holds trivially if nothing is granted.
    assert!(granted.get() > u64::from(cases()) * 100, "only {} requests granted", granted.get());
}

/// Returns the number of the first case that exceeds the limits with these guards, if any does.
fn first_failing_case(guards: Guards) -> Option<u32> {
    const MOST: u32 = 2_000;
    let mut runner = runner(1);
    (1..=MOST).find(|_| {
        let tree = case().new_tree(&mut runner).expect("the strategy makes a case");
        run(&proptest::strategy::ValueTree::current(&tree), guards).0.is_some()
    })
}

fn assert_guard_needed(name: &str, guards: Guards) {
    let case = first_failing_case(guards);
    println!("without {name}: first violation in case {case:?}");
    assert!(case.is_some(), "no case violates the limits without {name}");
}

#[test]
fn no_restart_wait() {
    assert_guard_needed("restart wait", Guards { has_restart_wait: false, ..Guards::default() });
}

#[test]
fn no_dedup() {
    assert_guard_needed("dedup", Guards { has_dedup: false, ..Guards::default() });
}

#[test]
fn no_transition() {
    assert_guard_needed("transition", Guards { has_transition: false, ..Guards::default() });
}

#[test]
fn no_expiry() {
    assert_guard_needed("expiry", Guards { has_expiry: false, ..Guards::default() });
}

/// A minter is partitioned from the others, the tables drop it, and the others recover its share
/// after its retirement.
fn retired_minter(guards: Guards) -> Fleet {
    const NODES: usize = 6;
    const DROPPED: usize = 1;
    let accounts = vec![("amber", 100, 40)];
    let all: Vec<usize> = (0..NODES).collect();
    let rest: Vec<usize> = all.iter().copied().filter(|vm| *vm != DROPPED).collect();
    let tables = [all.clone(), rest.clone()].map(|vms| Tables {
        accounts: accounts.clone(),
        vms,
        shares: String::new(),
    });
    let settings = Settings { retire_ms: 2_000, ..Settings::default() };
    let mut fleet = Fleet::new(3, NODES, 3, 200, settings, guards, &tables);
    let interval = SECOND / 150;
    for node in [Ingress::One(DROPPED), Ingress::Some(rest)] {
        fleet.at(MS, Event::Arrive { account: "amber", node, interval, until: 2 * DURATION });
    }
    let groups = all.iter().map(|vm| u8::from(*vm == DROPPED)).collect();
    fleet.at(5 * SECOND, Event::Partition { groups, time: 2 * DURATION });
    for node in all.into_iter().filter(|vm| *vm != DROPPED) {
        fleet.at(6 * SECOND, Event::Configure { node, revision: 1 });
    }
    fleet.run(DURATION);
    fleet
}

#[test]
fn retired_share() {
    let fleet = retired_minter(Guards::default());
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations.first());
    // The share is recovered: nine tenths of the rate is granted although a minter is gone.
    let recent_grants =
        fleet.counts["amber"].granted_at.iter().filter(|(at, _)| *at > DURATION - 5 * SECOND);
    let granted = recent_grants.count();
    assert!(granted >= 450, "only {granted} of 500 granted in the last 5 s");
}

#[test]
fn no_retirement() {
    let fleet = retired_minter(Guards { has_retirement: false, ..Guards::default() });
    println!("without retirement: {} violations", fleet.violations.len());
    assert!(!fleet.violations.is_empty());
}

/// All clocks run 200 ppm fast for 32 seconds of traffic.
fn fast_clocks(guards: Guards) -> Fleet {
    let accounts = vec![("amber", 2_000, 4)];
    let tables = Tables { accounts, vms: vec![0, 1, 2], shares: String::new() };
    let mut fleet = Fleet::new(3, 3, 3, 0, Settings::default(), guards, &[tables]);
    for node in &mut fleet.nodes {
        node.clock_drift_ppm = 200;
    }
    let until = 36 * SECOND;
    for vm in 0..3 {
        let interval = SECOND / 3_000;
        let node = Ingress::One(vm);
        fleet.at(4 * SECOND, Event::Arrive { account: "amber", node, interval, until });
    }
    fleet.run(until);
    fleet
}

#[test]
fn no_margin() {
    assert!(fast_clocks(Guards::default()).violations.is_empty());
    let fleet = fast_clocks(Guards { has_margin: false, ..Guards::default() });
    println!("without margin: {} violations", fleet.violations.len());
    assert!(!fleet.violations.is_empty());
}

#[test]
fn no_deduction() {
    assert_guard_needed("deduction", Guards { has_deduction: false, ..Guards::default() });
}
