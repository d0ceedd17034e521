//! Generated schedules of faults: revisions never fall, withdrawn keys stay out, all converge.
//!
//! `MONSOON_CASES` and `MONSOON_SEED` choose how many schedules are run and which.

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
/// The bound for a withdrawn key.
const WITHDRAWN: Duration = Duration::from_secs(2);
/// How long no fault may have touched a node for a bound to hold for it.
const QUIET: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
enum Fault {
    Pause { node: usize, ms: u64 },
    Restart { node: usize },
    Cut { sides: u16 },
    CutCentre { number: usize },
    Join,
    CutPlatform { nodes: u16 },
    Down,
    Stale { behind: u64 },
    Limit { reads: u64 },
    Compact,
    Good,
    Rate { rate: u64 },
    Grant { key: u64 },
    Withdraw { key: u64 },
    Bad,
    Mend,
    Quiet,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..12usize, 500..8_000u64).prop_map(|(node, ms)| Fault::Pause { node, ms }),
        (0..12usize).prop_map(|node| Fault::Restart { node }),
        any::<u16>().prop_map(|sides| Fault::Cut { sides }),
        (0..3usize).prop_map(|number| Fault::CutCentre { number }),
        Just(Fault::Join),
        any::<u16>().prop_map(|nodes| Fault::CutPlatform { nodes }),
        Just(Fault::Down),
        (0..4u64).prop_map(|behind| Fault::Stale { behind }),
        (0..3u64).prop_map(|reads| Fault::Limit { reads }),
        Just(Fault::Compact),
        Just(Fault::Good),
        (1..1_000u64).prop_map(|rate| Fault::Rate { rate }),
        (0..10u64).prop_map(|key| Fault::Grant { key }),
        (0..10u64).prop_map(|key| Fault::Withdraw { key }),
        Just(Fault::Bad),
        Just(Fault::Mend),
        Just(Fault::Quiet),
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
    let faults = prop::collection::vec((0..4_000u64, fault()), 1..16);
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

/// A node that started and what its peers knew then.
struct Restart {
    node: usize,
    life: u64,
    at: Instant,
    peers: Vec<(usize, u64, Revision)>,
}

struct Withdrawn {
    key: u64,
    at: Instant,
}

#[derive(Default)]
struct Checks {
    restarts: Vec<Restart>,
    withdrawn: Vec<Withdrawn>,
    restarts_checked: usize,
    withdrawals_checked: usize,
}

impl Checks {
    fn restart(&mut self, fleet: &mut Fleet, node: usize) {
        fleet.start(node);
        let quiet = fleet.now - QUIET;
        let peers = fleet.nodes.iter().enumerate().filter(|(i, peer)| {
            *i != node && peer.side == fleet.nodes[node].side && peer.touched_at < quiet
        });
        let peers = peers.map(|(i, peer)| (i, peer.life, peer.store.known())).collect();
        self.restarts.push(Restart { node, life: fleet.nodes[node].life, at: fleet.now, peers });
    }

    fn withdraw(&mut self, fleet: &mut Fleet, key: u64) {
        fleet.platform.publish(&[tables::no_key(key)]);
        self.withdrawn.push(Withdrawn { key, at: fleet.now });
    }

    fn check(&mut self, fleet: &Fleet) {
        let mut restarts = std::mem::take(&mut self.restarts);
        restarts.retain(|restart| !self.is_checked(fleet, restart));
        self.restarts = restarts;
        let mut withdrawn = std::mem::take(&mut self.withdrawn);
        withdrawn.retain(|withdrawn| !self.is_out(fleet, withdrawn));
        self.withdrawn = withdrawn;
    }

    /// A restarted node admits no key before it knows what reachable peers knew.
    fn is_checked(&mut self, fleet: &Fleet, restart: &Restart) -> bool {
        let node = &fleet.nodes[restart.node];
        if node.life != restart.life || node.touched_at > restart.at {
            return true;
        }
        if node.store.keys_usable(fleet.clock_of(node)).is_err() {
            return false;
        }
        let stayed = restart.peers.iter().filter(|(peer, life, _)| {
            let peer = &fleet.nodes[*peer];
            peer.life == *life && peer.touched_at < restart.at - QUIET
        });
        let highest = stayed.map(|(_, _, known)| *known).max().unwrap_or_default();
        assert!(
            node.store.known() >= highest,
            "{} admits keys at {} while a peer knew {highest}",
            node.vm,
            node.store.known()
        );
        self.restarts_checked += 1;
        true
    }

    /// Every node that no fault touched refuses a withdrawn key in time.
    fn is_out(&mut self, fleet: &Fleet, withdrawn: &Withdrawn) -> bool {
        if fleet.now < withdrawn.at + WITHDRAWN {
            return false;
        }
        let quiet = withdrawn.at - QUIET;
        let is_quiet = |at: Instant| at < quiet || quiet == Instant::ZERO;
        let is_well = |node: &fleet::Node| {
            is_quiet(node.touched_at) && node.has_platform && node.side == fleet.nodes[0].side
        };
        let is_platform_well = fleet.platform.is_well() && fleet.platform.touched_at < quiet;
        if !is_platform_well || !fleet.nodes.iter().all(is_well) {
            return true;
        }
        assert_refused(fleet, withdrawn.key);
        self.withdrawals_checked += 1;
        true
    }
}

fn assert_refused(fleet: &Fleet, key: u64) {
    for node in fleet.awake() {
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
        Fault::CutCentre { number } => {
            let name = format!("dc-{number}");
            fleet.cut(|_, node| u8::from(node.data_centre.as_str() == name));
        }
        Fault::Join => fleet.cut(|_, _| 0),
        Fault::CutPlatform { nodes } => {
            fleet.platform.touched_at = fleet.now;
            for (i, node) in fleet.nodes.iter_mut().enumerate() {
                node.has_platform = nodes >> i & 1 == 0;
            }
        }
        Fault::Down => {
            fleet.platform.is_down = true;
            fleet.platform.touched_at = fleet.now;
        }
        Fault::Stale { behind } => {
            let revision = fleet.platform.revision().0.saturating_sub(behind);
            fleet.platform.stale_at = Some(Revision(revision));
            fleet.platform.touched_at = fleet.now;
        }
        Fault::Limit { reads } => {
            fleet.platform.limit = Some(reads);
            fleet.platform.touched_at = fleet.now;
        }
        Fault::Compact => fleet.platform.kept_after = fleet.platform.revision(),
        Fault::Good => {
            fleet.platform.heal(fleet.now);
            fleet.nodes.iter_mut().for_each(|node| node.has_platform = true);
        }
        Fault::Rate { rate } => _ = fleet.platform.publish(&[tables::account("acme", rate)]),
        Fault::Grant { key } => {
            checks.withdrawn.retain(|withdrawn| withdrawn.key != key);
            fleet.platform.publish(&[tables::key(key, "acme")]);
        }
        Fault::Withdraw { key } => checks.withdraw(fleet, key),
        Fault::Bad => _ = fleet.platform.publish(&[tables::bad_route()]),
        Fault::Mend => _ = fleet.platform.publish(&[tables::no_route()]),
        Fault::Quiet => pass(fleet, checks, QUIET + SECOND),
    }
}

fn pass(fleet: &mut Fleet, checks: &mut Checks, time: Duration) {
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
    // Small pages make most exchanges take several.
    let settings = config::Settings { page_bytes: 300, ..Default::default() };
    let (nodes, data_centres) = (schedule.nodes, schedule.data_centres);
    let mut fleet = Fleet::with(nodes, data_centres, schedule.seed, Default::default(), settings);
    let mut checks = Checks::default();
    fleet.platform.publish(&tables::first());
    fleet.network = Network {
        loss: schedule.loss,
        duplicates: schedule.duplicates,
        delay_ms: (1, schedule.delay_ms),
    };
    pass(&mut fleet, &mut checks, QUIET + 5 * SECOND);
    for (wait, fault) in &schedule.faults {
        apply(&mut fleet, &mut checks, fault);
        pass(&mut fleet, &mut checks, Duration::from_millis(*wait));
    }
    fleet.heal();
    let time = fleet.run_until(5 * SECOND, is_converged);
    if time.is_none() {
        for node in &fleet.nodes {
            eprintln!("{:?}", node.store.dump(fleet.clock_of(node)));
        }
    }
    assert!(time.is_some(), "not all nodes agree 5 s after the last fault");
    // A withdrawal counts even where the whole does not validate.
    fleet.run(5 * SECOND);
    fleet.platform.publish(&[tables::key(11, "acme"), tables::no_route()]);
    let mended = fleet.platform.revision();
    let time = fleet.run_until(5 * SECOND, |fleet| fleet.is_in_force(mended));
    assert!(time.is_some(), "the mended tables are not in force everywhere within 5 s");
    fleet.platform.publish(&[tables::no_key(11), tables::bad_route()]);
    fleet.run(WITHDRAWN);
    assert_refused(&fleet, 11);
    assert!(fleet.is_in_force(mended), "tables that do not validate are in force");
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

/// Schedules that once failed.
#[test]
fn found_schedules() {
    // A restarted node put pages of two peers at different revisions together.
    run(&Schedule {
        nodes: 11,
        data_centres: 2,
        seed: 17338704111196421149,
        loss: 0.08232707135869635,
        duplicates: 0.03146137513494151,
        delay_ms: 172,
        faults: vec![(16, Fault::Restart { node: 1 }), (90, Fault::Grant { key: 7 })],
    });
    // A node that was cut off took silence for lies and did not ask after the heal.
    run(&Schedule {
        nodes: 3,
        data_centres: 2,
        seed: 11862761869616075036,
        loss: 0.07598644091530835,
        duplicates: 0.008343269506246134,
        delay_ms: 179,
        faults: vec![
            (55, Fault::CutCentre { number: 2 }),
            (0, Fault::Join),
            (1_535, Fault::Limit { reads: 1 }),
            (237, Fault::Good),
            (2_843, Fault::Grant { key: 6 }),
            (2_789, Fault::Bad),
            (1_802, Fault::Restart { node: 6 }),
            (3_770, Fault::Cut { sides: 48_689 }),
            (712, Fault::Quiet),
        ],
    });
}

/// The generated schedules do reach the conditional checks.
#[test]
fn checks_reached() {
    let withdraw = Fault::Withdraw { key: 3 };
    let faults = vec![
        (1_000, Fault::Quiet),
        (4_000, withdraw),
        (4_000, Fault::Restart { node: 2 }),
        (8_000, Fault::Rate { rate: 7 }),
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
