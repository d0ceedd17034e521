//! The cost of the protocols in a large fleet: time, platform reads, messages and bytes.

mod fleet;

use {
    fleet::{Cost, Fleet, Network, tables, vm},
    monsoon_lib::{member::State, table::Builder, unit::Revision},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
/// The interval between table changes at 1,500 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(57_600);
/// The most platform reads that the whole fleet may make in any second.
const MAX_READS: u64 = 500;

/// Makes tables for a fleet of the given size with 23 services, accounts and keys.
fn large_tables(nodes: usize) -> Vec<tables::Line> {
    const SERVICES: usize = 23;
    const ACCOUNTS: usize = 100;
    const KEYS: u64 = 200;
    let mut lines = Vec::new();
    for service in 0..SERVICES.min(nodes) {
        let vms = (service..nodes).step_by(SERVICES.min(nodes));
        let target = |i: usize| {
            format!(
                "  - {{ vm: {}, data_centre: dc-{}, slots: 120, connections: 400 }}\n",
                vm(i),
                i % 7
            )
        };
        let targets: String = vms.map(target).collect();
        let text = format!("name: pool-{service}\ntargets:\n{targets}");
        lines.push((format!("pools/pool-{service}"), Some(text)));
        let route = format!(
            "{{ name: route-{service}, match: {{ path: /service-{service} }}, pool: pool-{service}, \
             class: browse, idempotent: true }}"
        );
        lines.push((format!("routes/route-{service}"), Some(route)));
    }
    lines.extend((0..ACCOUNTS).map(|i| tables::account(&format!("account-{i}"), 100)));
    lines.extend((0..KEYS).map(|i| tables::key(i, &format!("account-{}", i % 100))));
    lines
}

fn started(nodes: usize, seed: u64, lines: &[tables::Line]) -> (Fleet, Duration) {
    let mut fleet = Fleet::new(nodes, 7.min(nodes), seed);
    fleet.measures_bytes = true;
    fleet.platform.publish(lines);
    let time = fleet.run_until(60 * SECOND, |fleet| fleet.is_in_force(Revision(1)));
    let time = time.expect("the first tables are in force everywhere within 60 s");
    (fleet, time)
}

fn leave(fleet: &mut Fleet, node: usize) -> Option<Duration> {
    fleet.leave(node);
    fleet.run_until(10 * SECOND, |fleet| {
        let others = fleet.active_nodes().filter(|other| other.vm != vm(node));
        let mut states = others.map(|other| other.view.state_of(&vm(node)));
        states.all(|state| state == Some(State::Leaving))
    })
}

#[test]
fn two_hundred_nodes() {
    let (mut fleet, start) = started(200, 1, &tables::initial_values());
    assert!(start <= 18 * SECOND, "the first tables took {start:?}");
    fleet.run(20 * SECOND);
    fleet.network = Network { loss: 0.02, duplicates: 0.0, delay_ms: (1, 40) };
    let time = leave(&mut fleet, 17).expect("the leaving node is known everywhere");
    assert!(time <= 2 * SECOND, "a leaving node was known everywhere after {time:?}");
    fleet.platform.publish(&[tables::account("acme", 7)]);
    let time = fleet.run_until(18 * SECOND, |fleet| fleet.is_in_force(Revision(2)));
    assert!(time.is_some(), "a change is not in force everywhere within 18 s");
    fleet.platform.publish(&[tables::deleted_key(3)]);
    fleet.run(2 * SECOND);
    let admits = |node: &&fleet::Node| node.store.account_of(&tables::digest(3)).is_some();
    assert_eq!(
        fleet.active_nodes().filter(admits).count(),
        0,
        "a withdrawn key is admitted after 2 s"
    );
    assert!(fleet.platform.worst_second() <= MAX_READS);
}

fn total(fleet: &Fleet) -> Cost {
    fleet.nodes.iter().fold(Cost::default(), |sum, node| Cost {
        member_messages: sum.member_messages + node.cost.member_messages,
        member_bytes: sum.member_bytes + node.cost.member_bytes,
        config_messages: sum.config_messages + node.cost.config_messages,
        config_bytes: sum.config_bytes + node.cost.config_bytes,
    })
}

/// Returns the messages and bytes sent per node and second since an earlier total.
fn rates(fleet: &Fleet, before: &Cost, time: Duration) -> [f64; 4] {
    let now = total(fleet);
    let per = |now: u64, before: u64| {
        (now - before) as f64 / fleet.nodes.len() as f64 / time.as_secs_f64()
    };
    [
        per(now.member_messages, before.member_messages),
        per(now.member_bytes, before.member_bytes),
        per(now.config_messages, before.config_messages),
        per(now.config_bytes, before.config_bytes),
    ]
}

fn show(nodes: usize, what: &str, rates: [f64; 4], reads: f64) {
    let [mm, mb, cm, cb] = rates;
    println!(
        "| {nodes} | {what} | {mm:.1} | {mb:.0} | {cm:.1} | {cb:.0} | {:.0} | {reads:.1} |",
        mb + cb
    );
}

fn measure(nodes: usize) {
    let begin = std::time::Instant::now();
    let (mut fleet, start) = started(nodes, 1, &large_tables(nodes));
    let start_rates = rates(&fleet, &Cost::default(), start);
    fleet.run(120 * SECOND - start);
    show(nodes, "start", start_rates, fleet.platform.worst_second() as f64);
    let (before, reads) = (total(&fleet), fleet.platform.total_reads());
    fleet.run(60 * SECOND);
    let read_rate = (fleet.platform.total_reads() - reads) as f64 / 60.0;
    show(nodes, "steady", rates(&fleet, &before, 60 * SECOND), read_rate);
    let (before, reads) = (total(&fleet), fleet.platform.total_reads());
    let mut worst = Duration::ZERO;
    for change in 0..3 {
        fleet.platform.publish(&[tables::account(&format!("account-{change}"), 50)]);
        let revision = fleet.platform.revision();
        let time = fleet.run_until(30 * SECOND, |fleet| fleet.is_in_force(revision));
        let time = time.expect("the change is in force everywhere");
        worst = worst.max(time);
        fleet.run(CHANGE_INTERVAL - time);
    }
    let read_rate = (fleet.platform.total_reads() - reads) as f64 / (3.0 * 57.6);
    show(nodes, "changes", rates(&fleet, &before, 3 * CHANGE_INTERVAL), read_rate);
    let left = leave(&mut fleet, nodes / 2);
    let per_node = begin.elapsed().as_secs_f64() / nodes as f64 / fleet.now.as_nanos() as f64 * 1e9;
    println!(
        "{nodes} nodes: start {start:?}, worst second {} reads, change {worst:?}, leaving {left:?}, \
         {:.2}% of a core a node with the harness, tables checked in {:?}",
        fleet.platform.worst_second(),
        per_node * 100.0,
        check_time(nodes)
    );
}

/// Returns how long it takes to validate all tables once.
fn check_time(nodes: usize) -> Duration {
    let lines = large_tables(nodes);
    let begin = std::time::Instant::now();
    let mut builder = Builder::new();
    for (name, text) in &lines {
        builder.add_value(name, text.as_ref().expect("it has a text"));
    }
    builder.finish(Revision(1)).expect("the tables are valid");
    begin.elapsed()
}

/// Prints the table in docs/design/configuration.md. `MONSOON_NODES` sets the fleet sizes.
#[test]
#[ignore = "a measurement of some minutes"]
fn cost_table() {
    let sizes = std::env::var("MONSOON_NODES").unwrap_or("6,13,50,200".into());
    println!("| nodes | phase | member msg/s | B/s | config msg/s | B/s | sum B/s | reads/s |");
    for size in sizes.split(',') {
        measure(size.parse().expect("a size is a number"));
    }
}
