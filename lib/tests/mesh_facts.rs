//! Tests of the fact store, the fleet of targets, the key lease and the routing table.

mod deployment;

use {
    deployment::{document, route, target},
    monsoon_lib::{
        id,
        mesh::{
            cold::Limit,
            fact::{Fact, FactStore, Heartbeat, Key, Target, Value},
            fleet::Fleet,
            lease::Lease,
            position::{Era, Position},
            table::{Document, Table},
        },
        time::Instant,
        unit::Revision,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn in_first_era(revision: u64) -> Position {
    Position::new(Era(1), Revision(revision))
}

fn fact(target: &Target, revision: u64) -> Fact {
    Fact {
        key: Key::Target(target.name.clone()),
        position: in_first_era(revision),
        heartbeat: Heartbeat { started_at_ms: target.started_at_ms, sequence: revision },
        value: Value::Target(target.clone()),
    }
}

#[test]
fn older_fact_ignored() {
    let mut facts = FactStore::default();
    let old = target("t1", "10.0.0.1:80", 1);
    let new = Target { is_leaving: true, ..old.clone() };
    assert!(facts.insert(at(0), &fact(&new, 7)));
    assert!(!facts.insert(at(1), &fact(&old, 6)));
    facts.advance_position(in_first_era(7));
    assert_eq!(facts.update_after(in_first_era(0), Revision(0)).facts, [fact(&new, 7)]);
    assert!(facts.update_after(in_first_era(7), Revision(0)).facts.is_empty());
}

/// Each entry of a cold target differs in the remaining time, and must not count as a change of the
/// targets. Peers still get it.
#[test]
fn remaining_cold_time() {
    let mut facts = FactStore::default();
    let old = target("t1", "10.0.0.1:80", 1);
    let new = Target { cold_remaining: Duration::from_secs(4), ..old.clone() };
    assert!(facts.insert(at(0), &fact(&old, 6)));
    assert!(!facts.insert(at(1), &fact(&new, 7)));
    facts.advance_position(in_first_era(7));
    assert_eq!(facts.update_after(in_first_era(6), Revision(0)).facts, [fact(&new, 7)]);
}

/// Nodes of earlier versions pass documents on without their bounds on cold targets.
#[test]
fn document_without_bounds() {
    let mut facts = FactStore::default();
    let without = Document { cold: None, ..document(Vec::new(), Vec::new()) };
    let limit = Limit { duration: Duration::from_secs(8), rate: "11/s".parse().expect("a rate") };
    let cold = BTreeMap::from([("desk".parse().expect("a name"), limit)]);
    let complete = Document { cold: Some(cold), ..without.clone() };
    for (document, is_new) in [(&without, true), (&complete, true), (&without, false)] {
        let value = Value::Document(Arc::new(document.clone()));
        let (position, heartbeat) = (in_first_era(3), Heartbeat::default());
        let fact = Fact { key: Key::Document, position, heartbeat, value };
        assert_eq!(facts.insert(at(0), &fact), is_new);
    }
}

#[test]
fn missing_from_a_listing() {
    let mut facts = FactStore::default();
    let (listed, removed) = (target("t1", "10.0.0.1:80", 1), target("t2", "10.0.0.2:80", 1));
    let later = target("t3", "10.0.0.3:80", 1);
    for stored in [fact(&listed, 3), fact(&removed, 4), fact(&later, 9)] {
        facts.insert(at(0), &stored);
    }
    let missing = facts.missing_from(&BTreeSet::from([&Key::Target(listed.name)]), in_first_era(8));
    let names: Vec<_> = missing.iter().map(|fact| &fact.key).collect();
    // The third target was added after the listing was made.
    assert_eq!(names, [&Key::Target(removed.name)]);
}

#[test]
fn reused_address() {
    let mut fleet = Fleet::default();
    fleet.put(at(0), target("t1", "10.0.0.1:80", 10));
    fleet.put(at(0), target("t2", "10.0.0.1:80", 20));
    assert_eq!(fleet.iter().count(), 1);
    let current = fleet.by_address("10.0.0.1:80".parse().expect("an address")).expect("a target");
    assert_eq!(current.name.as_str(), "t2");
}

/// Guards against an entry of another writer that takes the address of a target, before or after the
/// configuration is known.
#[test]
fn unknown_pool() {
    let entry = target("t1", "10.0.0.1:80", 10);
    let foreign =
        Target { pool: "nobody".parse().expect("a name"), ..target("odd", "10.0.0.1:80", 20) };
    let names = |fleet: &Fleet| -> Vec<String> {
        fleet.iter().map(|target| target.name.as_str().to_owned()).collect()
    };
    let entries = [entry.clone(), foreign.clone()];
    for order in [[0, 1], [1, 0]] {
        let pools = BTreeSet::from([entry.pool.clone()]);
        let mut fleet = Fleet::default();
        order.into_iter().for_each(|index| fleet.put(at(0), entries[index].clone()));
        fleet.set_pools(at(1), pools.clone(), entries.to_vec());
        fleet.put(at(2), foreign.clone());
        assert_eq!(names(&fleet), ["t1"], "configuration last, {order:?}");
        let mut fleet = Fleet::default();
        fleet.set_pools(at(0), pools, Vec::new());
        order.into_iter().for_each(|index| fleet.put(at(1), entries[index].clone()));
        assert_eq!(names(&fleet), ["t1"], "configuration first, {order:?}");
        // The address belongs to a target of another pool once the operator lists that.
        let pools = BTreeSet::from([entry.pool.clone(), foreign.pool.clone()]);
        fleet.set_pools(at(2), pools, entries.to_vec());
        fleet.put(at(3), foreign.clone());
        assert_eq!(names(&fleet), ["odd"], "both known, {order:?}");
    }
}

#[test]
fn removal_during_outage() {
    let mut fleet = Fleet::default();
    let entry = target("t1", "10.0.0.1:80", 10);
    fleet.put(at(0), entry.clone());
    fleet.record_outage(at(10_000));
    fleet.remove(at(11_000), &entry.name);
    assert!(fleet.get(&entry.name).is_some(), "it may still be alive");
    fleet.put(at(0), entry.clone());
    fleet.tick(at(20_000));
    assert!(fleet.get(&entry.name).is_some(), "its entry was published again");
    fleet.record_outage(at(30_000));
    fleet.remove(at(31_000), &entry.name);
    assert!(!fleet.tick(at(32_000)));
    assert!(fleet.tick(at(32_500)), "the grace period is over");
}

#[test]
fn removal_without_outage() {
    let mut fleet = Fleet::default();
    let entry = target("t1", "10.0.0.1:80", 10);
    fleet.put(at(0), entry.clone());
    fleet.remove(at(1), &entry.name);
    assert!(fleet.get(&entry.name).is_some(), "it is kept until its node is asked");
    assert_eq!(fleet.missing().count(), 1);
    fleet.record_vouch(at(10), &entry.name, false);
    assert!(fleet.tick(at(10)));
    assert!(fleet.get(&entry.name).is_none());
}

#[test]
fn unreachable_node_of_removed_target() {
    let mut fleet = Fleet::default();
    let entry = target("t1", "10.0.0.1:80", 10);
    fleet.put(at(0), entry.clone());
    fleet.remove(at(1), &entry.name);
    fleet.tick(at(1_000));
    assert!(
        fleet.get(&entry.name).is_none(),
        "it is dropped within a second, half of the time that the target goes on serving"
    );
}

#[test]
fn vouched_target() {
    let mut fleet = Fleet::default();
    let entry = target("t1", "10.0.0.1:80", 10);
    fleet.put(at(0), entry.clone());
    fleet.remove(at(1), &entry.name);
    for second in 0..10 {
        fleet.record_vouch(at(10 + second * 1_000), &entry.name, true);
        fleet.tick(at(500 + second * 1_000));
        assert!(fleet.get(&entry.name).is_some(), "second {second}");
    }
    fleet.put(at(0), entry.clone());
    assert_eq!(fleet.missing().count(), 0, "its entry was published again");
    fleet.remove(at(20_000), &entry.name);
    fleet.record_vouch(at(20_010), &entry.name, true);
    fleet.tick(at(23_000));
    assert!(fleet.get(&entry.name).is_none(), "the vouch has expired");
}

#[test]
fn lease_expires() {
    const DURATION: Duration = Duration::from_secs(5);
    let mut lease = Lease::new(DURATION);
    assert!(!lease.is_valid(at(0)));
    lease.confirm(at(1_000));
    lease.confirm(at(500));
    assert!(lease.is_valid(at(5_000)));
    assert!(!lease.is_valid(at(1_000) + DURATION));
}

#[test]
fn longest_prefix() {
    let table = Table::new(document(vec![route("r1", "/a/"), route("r2", "/a/b/")], Vec::new()));
    assert_eq!(table.errors(), []);
    let name = |path: &str| table.route("shop.example", path).map(|route| route.name.to_string());
    assert_eq!(name("/a/b/c").as_deref(), Some("r2"));
    assert_eq!(name("/a/bc").as_deref(), Some("r1"));
    assert_eq!(name("/a"), None);
    assert!(table.route("other.example", "/a/").is_none());
}

/// An entry of an earlier instance does not replace the current entry at the same address.
#[test]
fn stale_instance() {
    let mut fleet = Fleet::default();
    fleet.put(at(0), target("new", "10.0.0.1:80", 20));
    fleet.put(at(0), target("old", "10.0.0.1:80", 10));
    let address = "10.0.0.1:80".parse().expect("an address");
    assert_eq!(fleet.by_address(address).map(|target| target.name.as_str()), Some("new"));
    let _: id::Vm = "new".parse().expect("a name");
}

#[test]
fn departure_said_in_response() {
    let mut fleet = Fleet::default();
    let entry = target("t1", "10.0.0.1:80", 10);
    let name = &entry.name;
    fleet.put(at(0), entry.clone());
    assert!(fleet.record_departure(at(1_000), name));
    assert!(!fleet.record_departure(at(2_000), name), "it is known already");
    fleet.put(at(3_000), entry.clone());
    assert!(fleet.get(name).expect("a target").is_leaving, "its entry is older than the response");
    assert_eq!(fleet.leaving_since(name), Some(at(1_000)));
}

#[test]
fn entry_lost_after_departure() {
    let mut fleet = Fleet::default();
    let entry = target("t1", "10.0.0.1:80", 10);
    let name = &entry.name;
    fleet.put(at(0), entry.clone());
    fleet.record_departure(at(1_000), name);
    fleet.remove(at(2_000), name);
    assert!(fleet.tick(at(4_000)));
    // A copy of the store may bring the entry back.
    fleet.put(at(5_000), entry.clone());
    assert!(fleet.get(name).expect("a target").is_leaving);
    assert_eq!(fleet.leaving_since(name), Some(at(1_000)));
}

#[test]
fn restarted_after_departure() {
    let mut fleet = Fleet::default();
    let entry = target("t1", "10.0.0.1:80", 10);
    let name = &entry.name;
    fleet.put(at(0), entry.clone());
    fleet.record_departure(at(1_000), name);
    fleet.put(at(9_000), Target { started_at_ms: 9_000, ..entry.clone() });
    assert!(!fleet.get(name).expect("a target").is_leaving, "this is another incarnation");
    assert_eq!(fleet.leaving_since(name), None);
}
