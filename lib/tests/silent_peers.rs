//! Requests whose targets are beside peers that do not answer.

use {
    monsoon_lib::{
        call::{Outcome, Reason},
        id,
        mesh::{
            fact::{Fact, Heartbeat, Key, Target, Value},
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

fn host(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn route(name: &str, kind: Kind) -> Route {
    Route {
        name: name.parse().expect("a name"),
        host: "shop.example".into(),
        prefix: format!("/{name}/"),
        pools: vec![WeightedPool { pool: "desk".parse().expect("a name"), weight: 1 }],
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        rank: 0,
        attempts: 2,
        is_open: true,
    }
}

fn document() -> Document {
    Document {
        revision: Revision(1),
        routes: vec![
            route("read", Kind::Idempotent),
            route("claim", Kind::NonIdempotent),
            route("photo", Kind::Upload),
            route("new", Kind::Unsupported),
        ],
        accounts: Vec::new(),
        requires_key: false,
        health: BTreeMap::new(),
        bounds: Bounds {
            head: Bytes(1 << 14),
            body: Bytes(1 << 20),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        cold: Some(BTreeMap::new()),
    }
}

/// Targets 2 and 3 are in the data centre of the node, 4 to 6 in another one.
fn target(number: u8) -> Target {
    let data_centre = if number < 4 { "za" } else { "zb" };
    Target {
        name: format!("t{number}").parse().expect("a name"),
        pool: "desk".parse().expect("a name"),
        address: (host(number), 80).into(),
        data_centre: data_centre.parse().expect("a name"),
        slots: 4,
        is_leaving: false,
        started_at_ms: 1,
        cold_remaining: Duration::ZERO,
    }
}

/// Creates a node without a target of the pool, and the given targets beside peers.
fn node(targets: &[u8]) -> Node {
    let settings = Settings {
        vm: "m1".parse().expect("a name"),
        host: host(1),
        data_centre: "za".parse().expect("a name"),
        pool: "front".parse().expect("a name"),
        target: (host(1), 80).into(),
        withdrawal: Duration::from_secs(5),
        drain: Duration::from_secs(2),
        resend_permille: 140,
        resend_window: Duration::from_secs(10),
        is_entry_admission_enabled: false,
        is_linger_enabled: false,
        requires_key: false,
    };
    let mut node = Node::new(settings, 1);
    let position = |revision| Position::new(Era(1), Revision(revision));
    let mut facts = vec![Fact {
        key: Key::Document,
        position: position(1),
        heartbeat: Heartbeat::default(),
        value: Value::Document(Arc::new(document())),
    }];
    facts.extend(targets.iter().map(|number| Fact {
        key: Key::Target(target(*number).name),
        position: position(u64::from(*number)),
        heartbeat: Heartbeat { started_at_ms: 1, sequence: 1 },
        value: Value::Target(target(*number)),
    }));
    node.apply_listing(NOW, &facts, position(9));
    node
}

fn head(path: &str) -> Head {
    Head {
        request: "r1".into(),
        host: "shop.example".into(),
        path: path.into(),
        key: None,
        caller_timeout: None,
        content_hash: 0,
    }
}

fn attempted(path: &str, unresponsive: &[u8]) -> Result<id::Vm, (Outcome, Reason)> {
    attempted_by(&mut node(&[2, 3]), path, unresponsive)
}

fn attempted_by(
    node: &mut Node,
    path: &str,
    unresponsive: &[u8],
) -> Result<id::Vm, (Outcome, Reason)> {
    let unresponsive: BTreeSet<IpAddr> = unresponsive.iter().map(|number| host(*number)).collect();
    let mut call =
        node.admit(NOW, &head(path)).map_err(|refusal| (refusal.outcome, refusal.reason))?;
    let attempt = node.next_attempt(NOW, &mut call, &unresponsive);
    attempt.map(|attempt| attempt.target).map_err(|refusal| (refusal.outcome, refusal.reason))
}

#[test]
fn responsive_peer_preferred() {
    for path in ["/read/x", "/claim/x", "/photo/x"] {
        assert_eq!(attempted(path, &[2]), Ok(target(3).name), "{path}");
    }
}

/// The peers may be behind a partition, and then nobody could say whether the request ran.
#[test]
fn no_claim_sent() {
    for path in ["/claim/x", "/photo/x"] {
        assert_eq!(attempted(path, &[2, 3]), Err((Outcome::NotRun, Reason::NoTarget)), "{path}");
    }
    assert!(attempted("/read/x", &[2, 3]).is_ok(), "a read may run again elsewhere");
}

/// A route that can't be understood neither runs nor falls to another route.
#[test]
fn unsupported_route() {
    assert_eq!(attempted("/new/x", &[]), Err((Outcome::NotRun, Reason::NoTables)));
}

/// Behind a partition all peers of a data centre are silent, but only those that were asked lately
/// are known to be.
#[test]
fn silent_data_centre() {
    let mut node = node(&[4, 5, 6]);
    assert!(attempted_by(&mut node, "/claim/x", &[4]).is_ok(), "one silent peer");
    let refused = Err((Outcome::NotRun, Reason::NoTarget));
    assert_eq!(attempted_by(&mut node, "/claim/x", &[4, 5]), refused);
    assert!(attempted_by(&mut node, "/read/x", &[4, 5]).is_ok(), "a read may run again");
    node.peers_mut().record_contact(NOW, host(5), None);
    assert!(attempted_by(&mut node, "/claim/x", &[4, 5]).is_ok(), "one of its peers has answered");
}
