//! What a starting node gets from its peers.

mod deployment;

use {
    deployment::{host, settings, target},
    monsoon_lib::{
        id,
        mesh::{
            announcement::{Announcement, Limit},
            fact::{Fact, Heartbeat, Key, Target, Value},
            node::Node,
            position::{Era, Position},
            transfer::{CatchUp, Query},
        },
        time::Instant,
        unit::Revision,
    },
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns a node that has taken part in the crashes of these requests.
fn node_with_crashes(seed: u64, fingerprints: &[u64]) -> Node {
    let mut node = Node::new(settings("desk"), seed);
    for (i, fingerprint) in fingerprints.iter().enumerate() {
        node.crash_tracker().call_started(id::Call(i as u64), *fingerprint);
        node.crash_tracker().target_crashed(at(1_000 + i as u64));
    }
    node
}

fn put(node: &mut Node, target: Target) {
    let position = Position::new(Era::default(), Revision(1));
    let key = Key::Target(target.name.clone());
    let heartbeat = Heartbeat { started_at_ms: target.started_at_ms, sequence: 1 };
    let fact = Fact { key, position, heartbeat, value: Value::Target(target) };
    node.apply(at(500), &[fact], position);
}

fn pull(from: &Node, to: &mut Node, now: Instant) -> usize {
    let snapshot = from.transfer_snapshot(now, &to.transfer_query(now));
    let received = snapshot.crashes.len() + snapshot.departures.len();
    to.apply_transfer(now, snapshot);
    received
}

/// Guards against crashes that are forgotten when processes are replaced one after the other.
#[test]
fn passed_on_in_turn() {
    const FINGERPRINT: u64 = 7;
    let mut last = node_with_crashes(1, &[FINGERPRINT, FINGERPRINT]);
    for seed in 2..50 {
        let mut next = Node::new(settings("desk"), seed);
        let now = at(2_000 + seed * 1_000);
        assert!(next.crash_tracker().check(FINGERPRINT).is_ok());
        assert_eq!(pull(&last, &mut next, now), 2);
        assert!(next.crash_tracker().check(FINGERPRINT).is_err(), "node {seed}");
        assert_eq!(pull(&last, &mut next, now), 0, "nothing is sent twice");
        assert!(next.crash_tracker().next_message(now, 50).is_none(), "it is not spread further");
        last = next;
    }
    // The crashes keep their age, so that the request may run again in the end.
    last.tick(at(620_000));
    assert!(last.crash_tracker().check(FINGERPRINT).is_ok());
}

/// Guards against requests that stay refused at a node which has missed that they were cleared.
#[test]
fn cleared_request() {
    let mut first = node_with_crashes(1, &[7, 7]);
    let mut second = Node::new(settings("desk"), 2);
    pull(&first, &mut second, at(2_000));
    first.crash_tracker().request_completed(at(3_000), 7);
    assert!(second.crash_tracker().check(7).is_err());
    assert_eq!(pull(&first, &mut second, at(4_000)), 2);
    assert!(second.crash_tracker().check(7).is_ok());
    assert_eq!(pull(&second, &mut first, at(4_000)), 0, "both know the same");
}

/// Knowledge of several peers adds up, in any order.
#[test]
fn union_of_peers() {
    for order in [[0, 1], [1, 0]] {
        let nodes = [node_with_crashes(1, &[7, 8]), node_with_crashes(2, &[7])];
        let mut started = Node::new(settings("desk"), 3);
        order.into_iter().for_each(|i| _ = pull(&nodes[i], &mut started, at(2_000)));
        assert!(started.crash_tracker().check(7).is_err());
        assert!(started.crash_tracker().check(8).is_ok());
    }
}

/// A node that has not caught up says so, since it may know less than others.
#[test]
fn not_caught_up() {
    let mut node = Node::new(settings("desk"), 1);
    let is_caught_up = |node: &Node| node.transfer_snapshot(at(1), &Query::default()).is_caught_up;
    assert!(is_caught_up(&node));
    node.begin_catch_up();
    assert!(!is_caught_up(&node));
    node.finish_catch_up();
    assert!(is_caught_up(&node));
}

/// Each peer is asked once, three and then six of them.
#[test]
fn batches() {
    let hosts: Vec<_> = (1..=20).map(host).collect();
    let mut catch_up = CatchUp::default();
    assert!(catch_up.next_batch(&[]).is_empty());
    assert!(!catch_up.is_exhausted(), "peers may become known later");
    assert_eq!(catch_up.next_batch(&hosts), hosts[..3]);
    assert_eq!(catch_up.next_batch(&hosts), hosts[3..9]);
    assert!(catch_up.is_exhausted());
    assert!(catch_up.next_batch(&hosts).is_empty());
    let mut catch_up = CatchUp::default();
    assert_eq!(catch_up.next_batch(&hosts[..2]), hosts[..2]);
    assert!(catch_up.next_batch(&hosts[..2]).is_empty());
}

/// An announced departure holds for the incarnation that announced it, wherever it is learned.
#[test]
fn departure() {
    let mut first = Node::new(settings("desk"), 1);
    let mut second = Node::new(settings("desk"), 2);
    let mut third = Node::new(settings("desk"), 3);
    let entry = |started_at_ms| target("t1", "10.0.0.1:80", started_at_ms);
    for (node, started_at_ms) in [(&mut first, 10), (&mut second, 10), (&mut third, 11)] {
        put(node, entry(started_at_ms));
    }
    let leaving = Announcement { is_leaving: true, limit: Limit::None, load: None };
    first.record_announcement(at(1_000), &entry(10).name, &leaving);
    let is_leaving = |node: &Node| node.fleet().iter().any(|target| target.is_leaving);
    pull(&first, &mut second, at(2_000));
    assert!(is_leaving(&second));
    assert!(second.is_closed(at(2_000), &entry(10).name), "since it was announced");
    pull(&second, &mut third, at(3_000));
    assert!(!is_leaving(&third), "it has started again");
    // The departure is also known before the entry.
    let mut fourth = Node::new(settings("desk"), 4);
    pull(&second, &mut fourth, at(3_000));
    put(&mut fourth, entry(10));
    assert!(is_leaving(&fourth));
}
