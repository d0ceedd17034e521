//! Generated schedules of faults: revisions never decrease, withdrawn keys are refused, and all
//! nodes converge.
//!
//! `MONSOON_CASES` and `MONSOON_SEED` set the number of schedules and the seed.

mod fleet;

use {
    fleet::{Fleet, Network, tables},
    monsoon_lib::{config, time::Instant, unit::Revision},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(200);
const SECOND: Duration = Duration::from_secs(1);
/// The time within which every node must refuse a withdrawn key.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(2);
/// How long a node must have been free of faults before a bound is checked on it.
const FAULT_FREE: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
enum Fault {
    Pause { node: usize, ms: u64 },
    Restart { node: usize },
    Cut { sides: u16 },
    CutDataCentre { number: usize },
    Join,
    CutPlatform { nodes: u16 },
    PlatformDown,
    PlatformStale { behind: u64 },
    LimitReads { reads: u64 },
    CompactHistory,
    HealPlatform,
    SetRate { rate: u64 },
    Grant { key: u64 },
    Withdraw { key: u64 },
    PublishInvalid,
    PublishFix,
    Wait,
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..12usize, 500..8_000u64).prop_map(|(node, ms)| Fault::Pause { node, ms }),
        (0..12usize).prop_map(|node| Fault::Restart { node }),
        any::<u16>().prop_map(|sides| Fault::Cut { sides }),
        (0..3usize).prop_map(|number| Fault::CutDataCentre { number }),
        Just(Fault::Join),
        any::<u16>().prop_map(|nodes| Fault::CutPlatform { nodes }),
        Just(Fault::PlatformDown),
        (0..4u64).prop_map(|behind| Fault::PlatformStale { behind }),
        (0..3u64).prop_map(|reads| Fault::LimitReads { reads }),
        Just(Fault::CompactHistory),
        Just(Fault::HealPlatform),
        (1..1_000u64).prop_map(|rate| Fault::SetRate { rate }),
        (0..10u64).prop_map(|key| Fault::Grant { key }),
        (0..10u64).prop_map(|key| Fault::Withdraw { key }),
        Just(Fault::PublishInvalid),
        Just(Fault::PublishFix),
        Just(Fault::Wait),
    ]
}

#[derive(Clone, Debug)]
struct Schedule {
    nodes: usize,
    data_centres: usize,
    seed: u64,
    loss: f64,
    duplicates: f64,
    delay_ms: u64,
    faults: Vec<(u64, Fault)>,
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let faults = prop::collection::vec((0..4_000u64, any_fault()), 1..16);
    let network = (0.0..0.1f64, 0.0..0.1f64, 5..200u64);
    (3..=12usize, 1..=3usize, any::<u64>(), network, faults).prop_map(
        |(nodes, data_centres, seed, (loss, duplicates, delay_ms), faults)| Schedule {
            nodes,
            data_centres,
            seed,
            loss,
            duplicates,
            delay_ms,
            faults,
        },
    )
}

/// A restarted node and the revisions that its peers knew at that time.
struct Restart {
    node: usize,
    generation: u64,
    at: Instant,
    peers: Vec<(usize, u64, Revision)>,
}

struct Withdrawal {
    key: u64,
    at: Instant,
}

#[derive(Default)]
struct Checks {
    restarts: Vec<Restart>,
    withdrawals: Vec<Withdrawal>,
    restarts_checked: usize,
    withdrawals_checked: usize,
}

impl Checks {
    fn restart(&mut self, fleet: &mut Fleet, node: usize) {
        fleet.start(node);
        let fault_free_from = fleet.now - FAULT_FREE;
        let peers = fleet.nodes.iter().enumerate().filter(|(i, peer)| {
            *i != node
                && peer.side == fleet.nodes[node].side
                && peer.last_fault_at < fault_free_from
        });
        let peers = peers.map(|(i, peer)| (i, peer.generation, peer.store.known())).collect();
        self.restarts.push(Restart {
            node,
            generation: fleet.nodes[node].generation,
            at: fleet.now,
            peers,
        });
    }

    fn withdraw(&mut self, fleet: &mut Fleet, key: u64) {
        fleet.platform.publish(&[tables::deleted_key(key)]);
        self.withdrawals.push(Withdrawal { key, at: fleet.now });
    }

    fn check(&mut self, fleet: &Fleet) {
        let mut restarts = std::mem::take(&mut self.restarts);
        restarts.retain(|restart| !self.check_restart(fleet, restart));
        self.restarts = restarts;
        let mut withdrawals = std::mem::take(&mut self.withdrawals);
        withdrawals.retain(|withdrawal| !self.check_withdrawal(fleet, withdrawal));
        self.withdrawals = withdrawals;
    }

    /// A restarted node admits no key before it has caught up with its reachable peers.
    fn check_restart(&mut self, fleet: &Fleet, restart: &Restart) -> bool {
        let node = &fleet.nodes[restart.node];
        if node.generation != restart.generation || node.last_fault_at > restart.at {
            return true;
        }
        if node.store.keys_usable(fleet.clock_of(node)).is_err() {
            return false;
        }
        let unaffected = restart.peers.iter().filter(|(peer, generation, _)| {
            let peer = &fleet.nodes[*peer];
            peer.generation == *generation && peer.last_fault_at < restart.at - FAULT_FREE
        });
        let highest = unaffected.map(|(_, _, known)| *known).max().unwrap_or_default();
        assert!(
            node.store.known() >= highest,
            "{} admits keys at {} while a peer knew {highest}",
            node.vm,
            node.store.known()
        );
        self.restarts_checked += 1;
        true
    }

    /// Every node without a recent fault refuses a withdrawn key within the bound.
    fn check_withdrawal(&mut self, fleet: &Fleet, withdrawal: &Withdrawal) -> bool {
        if fleet.now < withdrawal.at + WITHDRAWAL_BOUND {
            return false;
        }
        let fault_free_from = withdrawal.at - FAULT_FREE;
        let is_fault_free = |at: Instant| at < fault_free_from || fault_free_from == Instant::ZERO;
        let is_healthy = |node: &fleet::Node| {
            is_fault_free(node.last_fault_at)
                && node.has_platform
                && node.side == fleet.nodes[0].side
        };
        let is_platform_healthy =
            fleet.platform.is_healthy() && fleet.platform.last_fault_at < fault_free_from;
        if !is_platform_healthy || !fleet.nodes.iter().all(is_healthy) {
            return true;
        }
        assert_refused(fleet, withdrawal.key);
        self.withdrawals_checked += 1;
        true
    }
}

fn assert_refused(fleet: &Fleet, key: u64) {
    for node in fleet.active_nodes() {
        let is_usable = node.store.keys_usable(fleet.clock_of(node)).is_ok();
        let account = node.store.account_of(&tables::digest(key));
        assert!(!is_usable || account.is_none(), "{} admits withdrawn key {key}", node.vm);
    }
}

fn apply(fleet: &mut Fleet, checks: &mut Checks, fault: &Fault) {
    let nodes = fleet.nodes.len();
    match *fault {
        Fault::Pause { node, ms } => fleet.pause(node % nodes, Duration::from_millis(ms)),
        Fault::Restart { node } => checks.restart(fleet, node % nodes),
        Fault::Cut { sides } => {
            fleet.cut(|i, _| (sides >> i & 1) as u8);
        }
        Fault::CutDataCentre { number } => {
            let name = format!("dc-{number}");
            fleet.cut(|_, node| u8::from(node.data_centre.as_str() == name));
        }
        Fault::Join => fleet.cut(|_, _| 0),
        Fault::CutPlatform { nodes } => {
            fleet.platform.last_fault_at = fleet.now;
            for (i, node) in fleet.nodes.iter_mut().enumerate() {
                node.has_platform = nodes >> i & 1 == 0;
            }
        }
        Fault::PlatformDown => {
            fleet.platform.is_down = true;
            fleet.platform.last_fault_at = fleet.now;
        }
        Fault::PlatformStale { behind } => {
            let revision = fleet.platform.revision().0.saturating_sub(behind);
            fleet.platform.stale_at = Some(Revision(revision));
            fleet.platform.last_fault_at = fleet.now;
        }
        Fault::LimitReads { reads } => {
            fleet.platform.limit = Some(reads);
            fleet.platform.last_fault_at = fleet.now;
        }
        Fault::CompactHistory => fleet.platform.compacted_to = fleet.platform.revision(),
        Fault::HealPlatform => {
            fleet.platform.heal(fleet.now);
            fleet.nodes.iter_mut().for_each(|node| node.has_platform = true);
        }
        Fault::SetRate { rate } => _ = fleet.platform.publish(&[tables::account("acme", rate)]),
        Fault::Grant { key } => {
            checks.withdrawals.retain(|withdrawal| withdrawal.key != key);
            fleet.platform.publish(&[tables::key(key, "acme")]);
        }
        Fault::Withdraw { key } => checks.withdraw(fleet, key),
        Fault::PublishInvalid => _ = fleet.platform.publish(&[tables::invalid_route()]),
        Fault::PublishFix => _ = fleet.platform.publish(&[tables::deleted_route()]),
        Fault::Wait => run_checked(fleet, checks, FAULT_FREE + SECOND),
    }
}

fn run_checked(fleet: &mut Fleet, checks: &mut Checks, time: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        let left = end.since(fleet.now);
        fleet.run(left.min(STEP));
        checks.check(fleet);
    }
}

fn is_converged(fleet: &Fleet) -> bool {
    let revision = fleet.platform.revision();
    let in_force = |node: &fleet::Node| node.store.set().map(|set| set.revision());
    let first = in_force(&fleet.nodes[0]);
    fleet.nodes.iter().all(|node| node.store.known() == revision && in_force(node) == first)
}

fn run(schedule: &Schedule) -> Checks {
    // With small pages, most transfers take several pages.
    let settings = config::Settings { page_bytes: 300, ..Default::default() };
    let (nodes, data_centres) = (schedule.nodes, schedule.data_centres);
    let mut fleet = Fleet::with(nodes, data_centres, schedule.seed, Default::default(), settings);
    let mut checks = Checks::default();
    fleet.platform.publish(&tables::initial_values());
    fleet.network = Network {
        loss: schedule.loss,
        duplicates: schedule.duplicates,
        delay_ms: (1, schedule.delay_ms),
    };
    run_checked(&mut fleet, &mut checks, FAULT_FREE + 5 * SECOND);
    for (wait, fault) in &schedule.faults {
        apply(&mut fleet, &mut checks, fault);
        run_checked(&mut fleet, &mut checks, Duration::from_millis(*wait));
    }
    fleet.heal();
    let time = fleet.run_until(5 * SECOND, is_converged);
    if time.is_none() {
        for node in &fleet.nodes {
            eprintln!("{:?}", node.store.dump(fleet.clock_of(node)));
        }
    }
    assert!(time.is_some(), "the nodes have not converged 5 s after the last fault");
    // A withdrawal takes effect even if the values of its revision do not validate.
    fleet.run(5 * SECOND);
    fleet.platform.publish(&[tables::key(11, "acme"), tables::deleted_route()]);
    let fixed = fleet.platform.revision();
    let time = fleet.run_until(5 * SECOND, |fleet| fleet.is_in_force(fixed));
    assert!(time.is_some(), "the fixed tables are not in force on all nodes within 5 s");
    fleet.platform.publish(&[tables::deleted_key(11), tables::invalid_route()]);
    fleet.run(WITHDRAWAL_BOUND);
    assert_refused(&fleet, 11);
    assert!(fleet.is_in_force(fixed), "tables that do not validate are in force");
    checks
}

fn cases() -> Config {
    let number = |name: &str, or: u64| {
        std::env::var(name).map_or(or, |text| text.parse().expect("the variable is a number"))
    };
    Config {
        cases: u32::try_from(number("MONSOON_CASES", 24)).expect("the number is small"),
        rng_seed: RngSeed::Fixed(number("MONSOON_SEED", 1)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn fault_schedules(schedule in schedule()) {
        run(&schedule);
    }
}

/// Schedules that failed before.
#[test]
fn regression_schedules() {
    // A restarted node combined pages of two peers at different revisions.
    run(&Schedule {
        nodes: 11,
        data_centres: 2,
        seed: 17338704111196421149,
        loss: 0.08232707135869635,
        duplicates: 0.03146137513494151,
        delay_ms: 172,
        faults: vec![(16, Fault::Restart { node: 1 }), (90, Fault::Grant { key: 7 })],
    });
    // A node that was cut off muted its silent peers as false claimants and did not fetch after the
    // network recovered.
    run(&Schedule {
        nodes: 3,
        data_centres: 2,
        seed: 11862761869616075036,
        loss: 0.07598644091530835,
        duplicates: 0.008343269506246134,
        delay_ms: 179,
        faults: vec![
            (55, Fault::CutDataCentre { number: 2 }),
            (0, Fault::Join),
            (1_535, Fault::LimitReads { reads: 1 }),
            (237, Fault::HealPlatform),
            (2_843, Fault::Grant { key: 6 }),
            (2_789, Fault::PublishInvalid),
            (1_802, Fault::Restart { node: 6 }),
            (3_770, Fault::Cut { sides: 48_689 }),
            (712, Fault::Wait),
        ],
    });
}

/// The conditional checks are reached: each of them runs once in this schedule.
#[test]
fn checks_reached() {
    let withdraw = Fault::Withdraw { key: 3 };
    let faults = vec![
        (1_000, Fault::Wait),
        (4_000, withdraw),
        (4_000, Fault::Restart { node: 2 }),
        (8_000, Fault::SetRate { rate: 7 }),
    ];
    let schedule = Schedule {
        nodes: 5,
        data_centres: 2,
        seed: 1,
        loss: 0.05,
        duplicates: 0.05,
        delay_ms: 50,
        faults,
    };
    let checks = run(&schedule);
    assert_eq!((checks.restarts_checked, checks.withdrawals_checked), (1, 1));
}
