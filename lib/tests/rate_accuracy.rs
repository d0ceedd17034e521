//! Checks that no request of an account within its rate is refused, wherever its requests arrive.

mod rate_fleet;

use {
    monsoon_lib::rate::{Guards, Settings},
    rate_fleet::{Event, Fleet, Ingress, SECOND, Tables},
};

fn fleet(seed: u64, count: usize, accounts: &[(&'static str, u64, u32)]) -> Fleet {
    let tables =
        Tables { accounts: accounts.to_vec(), vms: (0..count).collect(), shares: String::new() };
    Fleet::new(seed, count, 3, 200, Settings::default(), Guards::default(), &[tables])
}

/// Sends evenly spaced requests of an account at a percentage of its rate.
fn load(fleet: &mut Fleet, name: &'static str, percent: u64, from: u64, until: u64, node: Ingress) {
    let tables = &fleet.tables[0].0.accounts;
    let rate = tables.iter().find(|spec| spec.0 == name).expect("the account is in the tables").1;
    let interval = SECOND * 100 / (rate * percent);
    fleet.at(from, Event::Arrive { account: name, node, interval, until });
}

fn refused(fleet: &Fleet, name: &str, from: u64, until: u64) -> usize {
    let refused = &fleet.counts[name].refused_at;
    refused.iter().filter(|at| (from..until).contains(*at)).count()
}

const SIZES: [(&str, u64, u32); 4] =
    [("large", 2_000, 400), ("mid", 200, 50), ("small", 20, 20), ("tiny", 1, 2)];

/// Runs each account size with several seeds and checks that no request is refused between the two
/// times.
fn sweep(name: &str, from: u64, until: u64, set_up: impl Fn(&mut Fleet, &'static str)) {
    let mut worst = (0, "", 0);
    for spec in SIZES {
        for seed in 0..SEEDS {
            let mut fleet = fleet(seed, 13, &[spec]);
            set_up(&mut fleet, spec.0);
            fleet.run(until);
            let refused = refused(&fleet, spec.0, from, until);
            let count = &fleet.counts[spec.0];
            let bytes = fleet.bytes * SECOND / until / fleet.nodes.len() as u64;
            println!(
                "{name}, {}, seed {seed}: {refused} of {} refused, {} waited, {bytes} B/s per node",
                spec.0, count.arrived, count.waited
            );
            worst = worst.max((refused, spec.0, seed));
            assert!(fleet.violations.is_empty(), "{:?}", fleet.violations.first());
        }
    }
    assert_eq!(worst.0, 0, "{name}: most refusals (count, account, seed): {worst:?}");
}

const SEEDS: u64 = 5;
const START: u64 = 4 * SECOND;
const STEADY: u64 = 8 * SECOND;
const END: u64 = 40 * SECOND;

#[test]
fn one_vm() {
    sweep("one VM", STEADY, END, |fleet, name| load(fleet, name, 95, START, END, Ingress::One(4)));
}

#[test]
fn all_vms() {
    sweep("all VMs", STEADY, END, |fleet, name| load(fleet, name, 95, START, END, Ingress::All));
}

#[test]
fn one_data_centre() {
    let nodes = [0, 3, 6, 9, 12];
    sweep("one data centre", STEADY, END, |fleet, name| {
        load(fleet, name, 95, START, END, Ingress::Some(nodes.to_vec()));
    });
}

/// The ingress moves from one data centre to the next every four seconds.
#[test]
fn wandering() {
    sweep("wandering", STEADY, END, |fleet, name| {
        for (index, from) in (4..40).step_by(4).enumerate() {
            let until = (from + 4) * SECOND - 1;
            load(fleet, name, 95, from * SECOND, until, Ingress::One((4 + 7 * index) % 13));
        }
    });
}

/// The ingress changes once from one data centre to another. From one second after the change, no
/// request may be refused.
#[test]
fn entry_change() {
    const CHANGE: u64 = 20 * SECOND;
    sweep("entry change", CHANGE + SECOND, END, |fleet, name| {
        load(fleet, name, 95, START, CHANGE, Ingress::One(4));
        load(fleet, name, 95, CHANGE + 1, END, Ingress::One(12));
    });
}

/// An account that sends ten times its rate is granted its full rate, and another account is not
/// affected.
#[test]
fn tenfold() {
    let specs = [("greedy", 200, 50), ("quiet", 200, 50)];
    let mut fleet = fleet(5, 13, &specs);
    load(&mut fleet, "greedy", 1_000, START, END, Ingress::All);
    load(&mut fleet, "quiet", 95, START, END, Ingress::All);
    fleet.run(END);
    assert!(fleet.violations.is_empty());
    assert_eq!(refused(&fleet, "quiet", STEADY, END), 0);
    let seconds = (END - STEADY) / SECOND;
    let granted = fleet.counts["greedy"].granted_at.iter().filter(|(at, _)| *at > STEADY).count();
    let bytes = fleet.bytes * SECOND / END / 13;
    println!("tenfold: {granted} granted of {} in the rate, {bytes} B/s per node", 200 * seconds);
    // The difference covers the clock drift margin and tokens in flight.
    assert!(granted as u64 >= 200 * seconds * 97 / 100, "{granted} granted in {seconds} s");
}

/// During a network partition, each data centre can still use at least its published share.
#[test]
fn partition() {
    const CUT: u64 = 12 * SECOND;
    const SETTLED: u64 = 3 * SECOND;
    let mut fleet = fleet(5, 12, &[("mid", 300, 60)]);
    load(&mut fleet, "mid", 285, START, END, Ingress::All);
    let groups = (0..12).map(|vm| (vm % 3) as u8).collect();
    fleet.at(CUT, Event::Partition { groups, time: 10 * SECOND });
    fleet.run(CUT + 10 * SECOND);
    assert!(fleet.violations.is_empty());
    for data_centre in 0..3 {
        let granted = fleet.counts["mid"].granted_at.iter();
        let granted = granted.filter(|(at, vm)| *at > CUT + SETTLED && vm % 3 == data_centre);
        let (granted, share) = (granted.count(), 7 * 100);
        println!("partition, data centre {data_centre}: {granted} of {share}");
        assert!(granted * 100 >= share * 97, "data centre {data_centre}: {granted} of {share}");
    }
}

/// Runs a tiny and a large account on 780 VMs in 7 data centres, where no request may be refused.
fn many_vms(ingress: &Ingress) {
    const VMS: usize = 780;
    const UNTIL: u64 = 16 * SECOND;
    let specs = [("tiny", 1, 2), ("large", 20_000, 2_000)];
    let tables =
        Tables { accounts: specs.to_vec(), vms: (0..VMS).collect(), shares: String::new() };
    let settings = Settings::default();
    let mut fleet = Fleet::new(3, VMS, 7, 200, settings, Guards::default(), &[tables]);
    fleet.bandwidth_from = STEADY;
    load(&mut fleet, "tiny", 95, START, UNTIL, ingress.clone());
    load(&mut fleet, "large", 95, START, UNTIL, ingress.clone());
    fleet.run(UNTIL);
    assert!(fleet.violations.is_empty());
    let seconds = (UNTIL - STEADY) / SECOND;
    let mean = fleet.bytes / seconds / VMS as u64;
    let most = fleet.sent_bytes.iter().max().expect("some node sent") / seconds;
    let count = &fleet.counts["large"];
    println!(
        "780 VMs, {ingress:?}: {} of {} waited, {mean} B/s per node, {most} B/s at the busiest node",
        count.waited, count.arrived
    );
    assert_eq!(refused(&fleet, "tiny", STEADY, UNTIL), 0);
    assert_eq!(refused(&fleet, "large", STEADY, UNTIL), 0);
    // The part of the control traffic budget of 4 KB/s that is reserved for rate limiting.
    assert!(mean <= 1_500, "{mean} B/s per node");
}

#[test]
fn many_vms_all() {
    many_vms(&Ingress::All);
}

#[test]
fn many_vms_one() {
    many_vms(&Ingress::One(77));
}

/// Returns the first minter of the only account.
fn first_minter(fleet: &Fleet) -> usize {
    let dump = fleet.nodes[0].limiter.dump(fleet.clock(0));
    let spec = dump.accounts.values().next().expect("the tables contain one account");
    let vm = spec.split.minters.keys().next().expect("the account has minters");
    let index = vm.as_str().strip_prefix("vm-").and_then(|index| index.parse().ok());
    index.expect("the VM name ends with the node's index")
}

/// After a minter restarts and has waited for one term, no request is refused.
#[test]
fn minter_restart() {
    const RESTART: u64 = 15 * SECOND;
    sweep("restart", RESTART + 5 * SECOND, END, |fleet, name| {
        let node = first_minter(fleet);
        fleet.at(RESTART, Event::Restart { node });
        load(fleet, name, 95, START, END, Ingress::All);
    });
}

/// After a minter dies, no more requests are refused than its share covers.
#[test]
fn dead_minter() {
    const DEATH: u64 = 15 * SECOND;
    for spec in SIZES.into_iter().take(2) {
        let mut fleet = fleet(5, 13, &[spec]);
        let dead = first_minter(&fleet);
        let rest: Vec<usize> = (0..13).filter(|vm| *vm != dead).collect();
        fleet.at(DEATH, Event::Stop { node: dead });
        for node in rest.clone() {
            fleet.at(DEATH + 3 * SECOND, Event::SetAbsent { node, absent: vec![dead] });
        }
        load(&mut fleet, spec.0, 95, START, END, Ingress::Some(rest));
        fleet.run(END);
        let from = DEATH + 5 * SECOND;
        let refused = refused(&fleet, spec.0, from, END) as u64;
        let sent = spec.1 * 95 * (END - from) / SECOND / 100;
        println!("dead minter, {}: {refused} of {sent} refused", spec.0);
        assert!(fleet.violations.is_empty());
        // One of six minters is gone. The load uses 95 % of the rate, so the surviving minters'
        // spare capacity covers part of the loss.
        let lost = spec.1 * (END - from) / SECOND / 6;
        assert!(refused <= lost, "{refused} refused, but the lost share is only {lost}");
    }
}
