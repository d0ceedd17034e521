//! The guard of a node in front of its own target once the target is leaving.

use {
    monsoon_lib::{
        mesh::{
            announcement::{Announcement, Limit},
            fact::{Fact, Heartbeat, Key, Target, Value},
            node::{Node, Settings},
            position::{Era, Position},
        },
        time::Instant,
        unit::Revision,
    },
    std::time::Duration,
};

/// The longest allowed time from a target's notice to its last request.
const DRAIN: Duration = Duration::from_secs(2);

const LEAVING: Announcement = Announcement { is_leaving: true, limit: Limit::None, load: None };

fn at(ms: u64) -> Instant {
    Instant::from_millis(10_000 + ms)
}

fn target(is_leaving: bool, started_at_ms: u64) -> Target {
    Target {
        name: "t1".parse().expect("a name"),
        pool: "desk".parse().expect("a name"),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "za".parse().expect("a name"),
        slots: 4,
        is_leaving,
        started_at_ms,
        cold_remaining: Duration::ZERO,
    }
}

fn apply(node: &mut Node, now: Instant, target: Target, revision: u64) {
    let position = Position::new(Era(0), Revision(revision));
    let fact = Fact {
        key: Key::Target(target.name.clone()),
        position,
        heartbeat: Heartbeat { started_at_ms: target.started_at_ms, sequence: revision },
        value: Value::Target(target),
    };
    node.apply(now, &[fact], position);
}

fn node() -> Node {
    let settings = Settings {
        vm: "m1".parse().expect("a name"),
        host: [10, 0, 0, 1].into(),
        data_centre: "za".parse().expect("a name"),
        pool: "desk".parse().expect("a name"),
        target: ([10, 0, 0, 1], 80).into(),
        withdrawal: Duration::from_secs(5),
        drain: DRAIN,
        resend_permille: 140,
        resend_window: Duration::from_secs(10),
        is_entry_admission_enabled: false,
        is_linger_enabled: false,
        requires_key: false,
    };
    let mut node = Node::new(settings, 1);
    apply(&mut node, at(0), target(false, 1), 1);
    node
}

#[test]
fn said_by_entry() {
    let mut node = node();
    let name = target(true, 1).name;
    apply(&mut node, at(100), target(true, 1), 2);
    assert!(!node.is_closed(at(100), &name), "other nodes may not know yet");
    assert!(node.is_closed(at(100) + DRAIN / 2, &name));
    // Heartbeats do not move the time.
    apply(&mut node, at(900), target(true, 1), 3);
    assert!(node.is_closed(at(100) + DRAIN / 2, &name));
}

#[test]
fn said_in_response() {
    let mut node = node();
    let name = target(true, 1).name;
    assert!(node.record_announcement(at(100), &name, &LEAVING).is_leaving);
    assert!(!node.record_announcement(at(200), &name, &Announcement::default()).is_leaving);
    apply(&mut node, at(300), target(false, 1), 2);
    assert!(node.is_closed(at(100) + DRAIN / 2, &name));
}

#[test]
fn started_again() {
    let mut node = node();
    let name = target(true, 1).name;
    node.record_announcement(at(100), &name, &LEAVING);
    apply(&mut node, at(5_000), target(false, 2), 2);
    assert!(!node.is_closed(at(60_000), &name));
}
