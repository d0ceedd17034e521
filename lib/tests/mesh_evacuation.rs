//! Evacuations of data centres: where requests go, and which nodes learn of them.

use {
    monsoon_lib::{
        call::{Outcome, Reason},
        id,
        mesh::{
            fact::{Fact, Heartbeat, Key, Target, Update, Value},
            gate::{AdmissionRequest, Decision, Rank, Release},
            node::{Head, Node, Settings},
            position::{Era, Position},
            table::{Bounds, Document, Kind, Route, WeightedPool},
        },
        time::Instant,
        unit::{Bytes, Revision},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::IpAddr,
        sync::Arc,
        time::Duration,
    },
};

const NOW: Instant = Instant::from_millis(10_000);
/// Longer than tombstones are kept.
const LATER: Instant = Instant::from_millis(200_000);

fn at(era: u64, revision: u64) -> Position {
    Position::new(Era(era), Revision(revision))
}

fn fact(key: Key, position: Position, value: Value) -> Fact {
    Fact { key, position, heartbeat: Heartbeat::default(), value }
}

fn evacuation(data_centre: &str, position: Position) -> Fact {
    let key = Key::Evacuation(data_centre.parse().expect("a name"));
    fact(key, position, Value::Evacuated)
}

fn taken_back(data_centre: &str, position: Position) -> Fact {
    Fact { value: Value::Removed, ..evacuation(data_centre, position) }
}

fn host(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// Targets 1 and 2 are in the data centre of the node, the first beside it.
fn target(number: u8) -> Target {
    let data_centre = ["za", "za", "zb", "zb", "zc", "zc"][usize::from(number) - 1];
    Target {
        cold_remaining: Duration::ZERO,
        name: format!("t{number}").parse().expect("a name"),
        pool: "desk".parse().expect("a name"),
        address: (host(number), 80).into(),
        data_centre: data_centre.parse().expect("a name"),
        slots: 1,
        is_leaving: false,
        started_at_ms: 1,
    }
}

fn document() -> Fact {
    let route = Route {
        name: "read".parse().expect("a name"),
        host: "shop.example".into(),
        prefix: "/".into(),
        pools: vec![WeightedPool { pool: "desk".parse().expect("a name"), weight: 1 }],
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        rank: 0,
        attempts: 2,
        is_open: true,
    };
    let bounds = Bounds {
        head: Bytes(1 << 14),
        body: Bytes(1 << 20),
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let document = Document {
        cold: BTreeMap::new(),
        revision: Revision(1),
        routes: vec![route],
        accounts: Vec::new(),
        health: BTreeMap::new(),
        bounds,
    };
    fact(Key::Document, at(1, 1), Value::Document(Arc::new(document)))
}

/// Returns the document and all targets, as a listing without evacuations has them.
fn listing() -> Vec<Fact> {
    let targets = (1..=6).map(|number| {
        let target = target(number);
        let key = Key::Target(target.name.clone());
        fact(key, at(1, u64::from(number)), Value::Target(target))
    });
    [document()].into_iter().chain(targets).collect()
}

fn new_node() -> Node {
    let settings = Settings {
        vm: "m1".parse().expect("a name"),
        host: host(1),
        data_centre: "za".parse().expect("a name"),
        pool: "desk".parse().expect("a name"),
        target: (host(1), 80).into(),
        withdrawal: Duration::from_secs(5),
        drain: Duration::from_secs(2),
        resend_permille: 140,
        resend_window: Duration::from_secs(10),
        is_entry_admission_enabled: false,
        is_linger_enabled: false,
    };
    Node::new(settings, 1)
}

fn node() -> Node {
    let mut node = new_node();
    node.apply_listing(NOW, &listing(), at(1, 9));
    node
}

/// Sends requests with as many attempts as possible and returns the data centres that they went to.
fn destinations(node: &mut Node) -> BTreeSet<id::DataCentre> {
    let head = Head {
        request: "r1".into(),
        host: "shop.example".into(),
        path: "/x".into(),
        key: None,
        caller_timeout: None,
        content_hash: 0,
    };
    let mut found = BTreeSet::new();
    for _ in 0..20 {
        let mut call = node.admit(NOW, &head).expect("the request is admitted");
        let refusal = loop {
            match node.next_attempt(NOW, &mut call, &BTreeSet::new()) {
                Ok(attempt) => {
                    let target = node.fleet().get(&attempt.target).expect("a target");
                    found.insert(target.data_centre.clone());
                }
                Err(refusal) => break refusal,
            }
        };
        assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, Reason::NoTarget));
        assert!(refusal.retry_after.is_some());
    }
    found
}

fn assert_destinations(node: &mut Node, expected: &[&str]) {
    let names: BTreeSet<id::DataCentre> =
        expected.iter().map(|name| name.parse().expect("a name")).collect();
    assert_eq!(destinations(node), names);
}

/// Neither first sends nor resends go to an evacuated data centre, also if it is the node's own.
#[test]
fn begin_and_end() {
    let mut node = node();
    assert_destinations(&mut node, &["za", "zb", "zc"]);
    let changes = node.apply(NOW, &[evacuation("za", at(1, 10))], at(1, 10));
    assert!(changes.has_evacuation_changes);
    assert_destinations(&mut node, &["zb", "zc"]);
    let again = node.apply(NOW, &[evacuation("za", at(1, 11))], at(1, 11));
    assert!(!again.has_evacuation_changes, "it is evacuated already");
    assert!(node.apply(NOW, &[taken_back("za", at(1, 12))], at(1, 12)).has_evacuation_changes);
    assert_destinations(&mut node, &["za", "zb", "zc"]);
}

/// The end of one evacuation does not end another; without any data centre, nothing is sent.
#[test]
fn several_evacuations() {
    let mut node = node();
    let both = [evacuation("za", at(1, 10)), evacuation("zb", at(1, 11))];
    node.apply(NOW, &both, at(1, 11));
    assert_destinations(&mut node, &["zc"]);
    node.apply(NOW, &[evacuation("zc", at(1, 12))], at(1, 12));
    assert_destinations(&mut node, &[]);
    node.apply(NOW, &[taken_back("zb", at(1, 13))], at(1, 13));
    assert_destinations(&mut node, &["zb"]);
}

/// The gate refuses what nodes that do not know of the evacuation send, and what waits in its queue,
/// but the call in flight ends as usual.
#[test]
fn closed_gate() {
    let mut node = node();
    let request = AdmissionRequest {
        rank: Rank { account: 0, route: 0, is_first_attempt: true, hash_bucket: 0 },
        objective: Duration::from_secs(1),
        deadline: NOW + Duration::from_secs(5),
    };
    assert_eq!(node.gate().offer(NOW, id::Call(1), &request), Decision::Run);
    assert!(matches!(node.gate().offer(NOW, id::Call(2), &request), Decision::Queued(_)));
    node.apply(NOW, &[evacuation("za", at(1, 10))], at(1, 10));
    let releases = node.gate().tick(NOW);
    assert!(matches!(releases.as_slice(), [Release::Refuse(id::Call(2), _)]), "{releases:?}");
    assert!(matches!(node.gate().offer(NOW, id::Call(3), &request), Decision::Refused(_)));
    assert_eq!(node.gate().in_flight(), 1);
    node.gate().finish(NOW, id::Call(1), Some(Duration::from_millis(50)));
    assert!(matches!(node.gate().offer(NOW, id::Call(4), &request), Decision::Refused(_)));
    node.apply(NOW, &[taken_back("za", at(1, 11))], at(1, 11));
    assert_eq!(node.gate().offer(NOW, id::Call(5), &request), Decision::Run);
}

/// A complete listing without the key takes the evacuation back, unless it was made before.
#[test]
fn missing_from_listing() {
    let mut node = node();
    node.apply(NOW, &[evacuation("zb", at(1, 10))], at(1, 10));
    node.apply_listing(NOW, &listing(), at(1, 9));
    assert_destinations(&mut node, &["za", "zc"]);
    node.apply_listing(NOW, &listing(), at(1, 12));
    assert_destinations(&mut node, &["za", "zb", "zc"]);
}

/// What the copy of a restored store holds counts, whether an evacuation was lost or came back.
#[test]
fn restored_store() {
    let mut lost = node();
    lost.apply(NOW, &[evacuation("zb", at(1, 10))], at(1, 10));
    lost.apply_listing(NOW, &listing(), at(2, 9));
    assert_destinations(&mut lost, &["za", "zb", "zc"]);
    let mut back = node();
    back.apply(NOW, &[evacuation("zb", at(1, 10))], at(1, 10));
    back.apply(NOW, &[taken_back("zb", at(1, 20))], at(1, 20));
    let copy = [listing(), vec![evacuation("zb", at(2, 10))]].concat();
    back.apply_listing(NOW, &copy, at(2, 15));
    assert_destinations(&mut back, &["za", "zc"]);
    back.apply(NOW, &[taken_back("zb", at(2, 16))], at(2, 16));
    assert_destinations(&mut back, &["za", "zb", "zc"]);
}

fn update(from: &Node, to: &Node) -> Update {
    from.facts().update_after(to.facts().position(), Revision(1))
}

/// A node that starts is not ready before it knows of the evacuation.
#[test]
fn restarted_node() {
    let mut reader = node();
    reader.apply(NOW, &[evacuation("zb", at(1, 10))], at(1, 10));
    let mut started = new_node();
    assert!(started.readiness(NOW).is_err());
    started.apply_update(NOW, &reader.facts().update_after(Position::default(), Revision(0)));
    assert!(started.readiness(NOW).is_ok());
    assert_destinations(&mut started, &["za", "zc"]);
}

/// A node that missed the begin or the end learns it from any update, also if its position is past
/// the change and the tombstone is gone.
#[test]
fn missed_change() {
    let mut reader = node();
    let mut follower = node();
    reader.apply(NOW, &[evacuation("zb", at(1, 10))], at(1, 11));
    follower.apply(NOW, &[], at(1, 11));
    follower.apply_update(NOW, &update(&reader, &follower));
    assert_destinations(&mut follower, &["za", "zc"]);
    let outdated = update(&follower, &new_node());
    reader.apply(NOW, &[taken_back("zb", at(1, 12))], at(1, 12));
    reader.tick(LATER);
    follower.apply_update(LATER, &update(&reader, &follower));
    assert_destinations(&mut follower, &["za", "zb", "zc"]);
    reader.apply_update(LATER, &outdated);
    assert_destinations(&mut reader, &["za", "zb", "zc"]);
}

/// A node of an earlier version sends no evacuations, which does not mean that they are taken back.
/// What is passed on of its facts does not mean it either.
#[test]
fn earlier_version() {
    let mut node = node();
    node.apply(NOW, &[evacuation("zb", at(1, 10))], at(1, 10));
    let (facts, position) = (listing(), at(1, 20));
    let earlier = Update { facts, position, is_complete: true, has_evacuations: false };
    node.apply_update(NOW, &earlier);
    assert_destinations(&mut node, &["za", "zc"]);
    assert!(!node.facts().update_after(at(1, 9), Revision(1)).has_evacuations);
    node.apply_listing(NOW, &[listing(), vec![evacuation("zb", at(1, 10))]].concat(), at(1, 21));
    assert!(node.facts().update_after(at(1, 9), Revision(1)).has_evacuations);
}

/// A reader that got later facts from a node of an earlier version watched on from there. It missed
/// the evacuations up to there, and passed none on any more.
#[test]
fn reader_lacks_evacuations() {
    let mut reader = node();
    reader.apply_listing(NOW, &listing(), at(1, 10));
    assert!(reader.facts().has_evacuations());
    let (facts, position) = (listing(), at(1, 20));
    let earlier = Update { facts, position, is_complete: false, has_evacuations: false };
    reader.apply_update(NOW, &earlier);
    reader.apply(NOW, &[], at(1, 21));
    assert!(!reader.facts().has_evacuations());
    let listed = [listing(), vec![evacuation("zb", at(1, 15))]].concat();
    reader.apply_listing(NOW, &listed, at(1, 22));
    assert!(reader.facts().has_evacuations());
    assert_destinations(&mut reader, &["za", "zc"]);
}
