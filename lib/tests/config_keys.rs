//! Which keys are admitted during withdrawals, restarts, network partitions and platform outages.

mod fleet;

use {
    fleet::{Fleet, tables},
    monsoon_lib::{
        config::{KeyState, Message, Settings, Withdrawal},
        unit::Revision,
    },
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
/// How long the platform holds a watch open.
const WATCH: Duration = Duration::from_secs(10);

fn keys(fleet: &Fleet, node: usize) -> Result<(), KeyState> {
    let node = &fleet.nodes[node];
    node.store.keys_usable(fleet.clock_of(node))
}

fn admits(fleet: &Fleet, node: usize, key: u64) -> bool {
    let account = fleet.nodes[node].store.account_of(&tables::digest(key));
    keys(fleet, node).is_ok() && account.is_some()
}

fn admitting(fleet: &Fleet, key: u64) -> usize {
    (0..fleet.nodes.len()).filter(|node| admits(fleet, *node, key)).count()
}

fn settled(nodes: usize, settings: Settings) -> Fleet {
    let mut fleet = Fleet::with(nodes, 3, 1, Default::default(), settings);
    fleet.platform.publish(&tables::initial_values());
    fleet.run(20 * SECOND);
    assert_eq!(admitting(&fleet, 3), nodes);
    fleet
}

#[test]
fn withdrawn_key() {
    let mut fleet = settled(13, Settings::default());
    fleet.platform.publish(&[tables::deleted_key(3)]);
    fleet.run(2 * SECOND);
    assert_eq!((admitting(&fleet, 3), admitting(&fleet, 4)), (0, 13));
}

#[test]
fn withdrawn_in_bad_tables() {
    let mut fleet = settled(13, Settings::default());
    fleet.platform.publish(&[
        tables::invalid_route(),
        tables::deleted_key(3),
        tables::key(12, "acme"),
    ]);
    fleet.run(2 * SECOND);
    assert_eq!((admitting(&fleet, 3), admitting(&fleet, 4)), (0, 13));
    assert_eq!(admitting(&fleet, 12), 0, "a grant in bad tables is in force");
    assert!(fleet.is_in_force(Revision(1)));
    let dump = fleet.nodes[0].store.dump(fleet.clock_of(&fleet.nodes[0]));
    assert_eq!(dump.faults.len(), 1);
    assert!(dump.faults[0].to_string().contains("no pools line is named \"none\""));
}

#[test]
fn cut_off_node() {
    let settings = Settings { max_key_age_ms: 60_000, ..Settings::default() };
    let mut fleet = settled(6, settings);
    fleet.cut(|i, _| u8::from(i == 2));
    fleet.nodes[2].has_platform = false;
    // The age counts from the start of a watch, and the last watch may have started well before the
    // cut.
    fleet.run(60 * SECOND - 3 * WATCH);
    assert_eq!(admitting(&fleet, 3), 6);
    fleet.run(3 * WATCH);
    assert!(matches!(keys(&fleet, 2), Err(KeyState::Stale { .. })));
    assert_eq!(admitting(&fleet, 3), 5);
    fleet.heal();
    fleet.run(5 * SECOND);
    assert_eq!(admitting(&fleet, 3), 6);
}

#[test]
fn confirmed_by_peers() {
    let settings = Settings { max_key_age_ms: 60_000, ..Settings::default() };
    let mut fleet = settled(6, settings);
    for (i, node) in fleet.nodes.iter_mut().enumerate() {
        node.has_platform = i == 0;
    }
    fleet.run(600 * SECOND);
    assert_eq!(admitting(&fleet, 3), 6);
}

#[test]
fn outage_restart() {
    let mut fleet = settled(6, Settings::default());
    fleet.platform.publish(&[tables::deleted_key(3)]);
    fleet.run(5 * SECOND);
    fleet.platform.is_down = true;
    fleet.run(1_800 * SECOND);
    fleet.start(4);
    let time = fleet.run_until(10 * SECOND, |fleet| admits(fleet, 4, 5));
    assert!(time.is_some(), "a node restarted during an outage admits no key within 10 s");
    fleet.run(1_800 * SECOND);
    assert_eq!((admitting(&fleet, 3), admitting(&fleet, 5)), (0, 6));
}

#[test]
fn stale_restart() {
    let mut fleet = settled(6, Settings::default());
    fleet.platform.publish(&[tables::deleted_key(3)]);
    fleet.run(5 * SECOND);
    fleet.platform.stale_at = Some(Revision(1));
    fleet.start(4);
    for _ in 0..1_000 {
        fleet.run(Duration::from_millis(20));
        assert!(!admits(&fleet, 4, 3), "a restarted node trusted the stale platform");
    }
    assert!(admits(&fleet, 4, 5));
}

#[test]
fn slow_catch_up() {
    let settings = Settings { page_bytes: 100, ..Settings::default() };
    let mut fleet = settled(6, settings);
    fleet.platform.publish(&[
        tables::deleted_key(3),
        tables::key(20, "acme"),
        tables::key(21, "acme"),
    ]);
    fleet.run(5 * SECOND);
    fleet.platform.stale_at = Some(Revision(1));
    fleet.network.delay_ms = (250, 300);
    fleet.start(4);
    for _ in 0..1_000 {
        fleet.run(Duration::from_millis(20));
        assert!(!admits(&fleet, 4, 3), "a node admits keys before it has caught up");
    }
    assert!(admits(&fleet, 4, 5));
}

#[test]
fn stale_platform() {
    let settings = Settings { max_key_age_ms: 60_000, ..Settings::default() };
    let mut fleet = settled(6, settings);
    fleet.platform.publish(&[tables::deleted_key(3)]);
    fleet.run(5 * SECOND);
    fleet.platform.stale_at = Some(Revision(1));
    fleet.run(70 * SECOND);
    assert_eq!(admitting(&fleet, 5), 0, "a stale answer counts as a confirmation");
    fleet.platform.stale_at = None;
    fleet.run(5 * SECOND);
    assert_eq!(admitting(&fleet, 5), 6);
}

#[test]
fn lone_node() {
    let mut fleet = Fleet::new(1, 1, 1);
    fleet.platform.publish(&tables::initial_values());
    let time = fleet.run_until(10 * SECOND, |fleet| admits(fleet, 0, 3));
    let time = time.expect("a node without peers admits keys after a bounded wait");
    assert!(time >= Duration::from_millis(Settings::default().ask_wait_ms));
}

#[test]
fn forged_withdrawal() {
    let mut fleet = settled(13, Settings::default());
    let withdrawal = Withdrawal { digest: tables::digest(3), revision: Revision(500) };
    fleet.inject(1, 0, Message::Withdraw { withdrawals: vec![withdrawal] });
    fleet.run(2 * SECOND);
    assert_eq!(
        admitting(&fleet, 3),
        0,
        "a reported withdrawal has no effect before its value arrives"
    );
    fleet.run(90 * SECOND);
    fleet.start(5);
    fleet.run(90 * SECOND);
    assert_eq!(admitting(&fleet, 3), 13, "a withdrawal without a confirming value does not expire");
}

#[test]
fn no_digest_shown() {
    let mut fleet = settled(3, Settings::default());
    let (name, _) = tables::key(3, "acme");
    let hex = name.trim_start_matches("keys/").to_owned();
    let text = format!("{{ digest: {hex}, account: acme, colour: {hex} }}");
    fleet.platform.publish(&[(name, Some(text)), tables::key(20, "nobody")]);
    fleet.run(5 * SECOND);
    let dump = fleet.nodes[0].store.dump(fleet.clock_of(&fleet.nodes[0]));
    let shown = format!("{dump:?}{:?}", serde_json::to_string(&dump).expect("it is plain data"));
    assert_eq!(dump.faults.len(), 2);
    assert!(!shown.contains(&hex[..8]), "a digest is shown: {shown}");
    assert!(!shown.contains(&tables::digest(20).to_hex()[..8]), "a digest is shown: {shown}");
}
