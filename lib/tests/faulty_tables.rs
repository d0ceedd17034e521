//! Documents of which a part is invalid.

mod deployment;

use {
    deployment::{document, route, settings},
    monsoon_lib::{
        call::Reason,
        key::Digest,
        mesh::{
            fact::{Fact, Heartbeat, Key, Value},
            node::{Head, Node, Settings},
            position::{Era, Position},
            table::{ANY_HOST, Account, Document, Error, Kind, Route, Table, WeightedPool},
        },
        time::Instant,
        unit::{Rate, Revision},
    },
    std::{sync::Arc, time::Duration},
};

const NOW: Instant = Instant::from_millis(1_000);
const HOST: &str = "shop.example";

fn account(name: &str, keys: &[&str]) -> Account {
    let name = name.parse().expect("a name");
    let keys = keys.iter().map(|key| Digest::of(key.as_bytes())).collect();
    Account { name, rank: 0, rate: None, burst: 0, keys }
}

fn table(routes: Vec<Route>, accounts: Vec<Account>) -> Table {
    Table::new(document(routes, accounts))
}

fn kind(table: &Table, host: &str, path: &str) -> Option<Kind> {
    table.route(host, path).map(|route| route.kind)
}

/// Faulty routes for requests below `/a/b/`.
fn faulty_routes() -> Vec<Vec<Route>> {
    let below = route("r2", "/a/b/");
    let weightless = vec![WeightedPool { pool: "desk".parse().expect("a name"), weight: 0 }];
    let with_prefix = |prefix: &str| vec![Route { prefix: prefix.into(), ..below.clone() }];
    vec![
        with_prefix("/a/b"),
        with_prefix("a/b/"),
        with_prefix("a/b"),
        vec![Route { pools: Vec::new(), ..below.clone() }],
        vec![Route { pools: weightless, ..below.clone() }],
        vec![Route { host: ANY_HOST.into(), ..below.clone() }],
        vec![below.clone(), Route { kind: Kind::NonIdempotent, ..below }],
    ]
}

/// Guards against requests of an invalid route that a route with a shorter prefix takes, and against
/// valid routes that are not in force beside it.
#[test]
fn faulty_route() {
    for faulty in faulty_routes() {
        let what = format!("{faulty:?}");
        let routes = [vec![route("r1", "/a/")], faulty].concat();
        let table = table(routes, Vec::new());
        assert_eq!(table.errors().len(), 1, "{what}");
        assert_eq!(kind(&table, HOST, "/a/b/x"), Some(Kind::Unsupported), "{what}");
        assert_eq!(kind(&table, HOST, "/a/x"), Some(Kind::Idempotent), "{what}");
        assert_eq!(kind(&table, HOST, "/x"), None, "{what}");
    }
}

#[test]
fn reported_errors() {
    let error = |routes| table(routes, Vec::new()).errors()[0].clone();
    assert!(matches!(error(vec![route("r1", "/a")]), Error::Prefix { .. }));
    let mut other = route("r2", "/a/");
    other.rank = 7;
    assert!(matches!(error(vec![route("r1", "/a/"), other]), Error::Ambiguous { .. }));
    let no_pool = Route { pools: Vec::new(), ..route("r1", "/a/") };
    assert!(matches!(error(vec![no_pool]), Error::NoWeightedPool(_)));
    let no_host = Route { host: ANY_HOST.into(), ..route("r1", "/a/") };
    assert!(matches!(error(vec![no_host]), Error::NoHost(_)));
    let shared = table(Vec::new(), vec![account("a", &["key"]), account("b", &["key"])]);
    assert!(matches!(shared.errors(), [Error::SharedKey { .. }]));
}

/// Guards against a repeated row that takes a route out of service.
#[test]
fn same_route_twice() {
    let table = table(vec![route("r1", "/a/"), route("r2", "/a/")], Vec::new());
    assert_eq!(table.errors().len(), 1);
    assert_eq!(kind(&table, HOST, "/a/x"), Some(Kind::Idempotent));
}

/// Guards against requests of a route with an unknown prefix that another route of the host takes.
#[test]
fn unknown_prefix() {
    let unknown = Route { prefix: String::new(), ..route("r2", "/a/b/") };
    let other = Route { host: "other.example".into(), ..route("r3", "/a/") };
    let table = table(vec![route("r1", "/a/"), unknown, other], Vec::new());
    for path in ["/a/x", "/a/b/x", "/x"] {
        assert_eq!(kind(&table, HOST, path), Some(Kind::Unsupported), "{path}");
    }
    assert_eq!(kind(&table, "other.example", "/a/x"), Some(Kind::Idempotent));
}

#[test]
fn unknown_host() {
    let unknown = Route { host: ANY_HOST.into(), ..route("r2", "/a/b/") };
    let routes = vec![route("r1", "/a/"), unknown, route("r3", "/a/b/"), route("r4", "/c/")];
    let table = table(routes, Vec::new());
    assert_eq!(kind(&table, HOST, "/a/b/x"), Some(Kind::Idempotent), "the host has this route");
    assert_eq!(kind(&table, HOST, "/c/x"), Some(Kind::Idempotent));
    assert_eq!(kind(&table, "other.example", "/a/b/x"), Some(Kind::Unsupported));
    assert_eq!(kind(&table, "other.example", "/a/x"), None);
}

/// Guards against an account that escapes its limit since a second row of it has none.
#[test]
fn repeated_account() {
    let limited = Account { rate: Some(Rate(10)), burst: 5, ..account("a", &["k1"]) };
    let other = Account { rank: 2, burst: 9, ..account("a", &["k2"]) };
    for accounts in [vec![limited.clone(), other.clone()], vec![other, limited]] {
        let table = table(Vec::new(), accounts);
        assert!(matches!(table.errors(), [Error::RepeatedAccount(_)]));
        for key in ["k1", "k2"] {
            let account = table.account_of(&Digest::of(key.as_bytes())).expect("an account");
            assert_eq!((account.rate, account.burst, account.rank), (Some(Rate(10)), 5, 2));
        }
        assert_eq!(table.accounts().len(), 1);
    }
}

fn apply(node: &mut Node, position: u64, document: Document) {
    let position = Position::new(Era(1), Revision(position));
    let fact = Fact {
        key: Key::Document,
        position,
        heartbeat: Heartbeat::default(),
        value: Value::Document(Arc::new(document)),
    };
    node.apply(NOW, &[fact], position);
}

/// Returns a node with a document of two accounts, confirmed by a read.
fn node() -> Node {
    let mut node = Node::new(settings("desk"), 1);
    let accounts = vec![account("a", &["k1"]), account("b", &["k2"])];
    apply(&mut node, 1, document(vec![route("r1", "/a/")], accounts));
    assert!(node.confirm_read(NOW, Era(1), Revision(1)));
    assert_eq!(admit(&mut node, "k1"), Ok(()));
    node
}

fn admit(node: &mut Node, key: &str) -> Result<(), Reason> {
    let head = Head {
        request: "id".into(),
        host: HOST.into(),
        path: "/a/x".into(),
        key: Some(Digest::of(key.as_bytes())),
        caller_timeout: Some(Duration::from_secs(1)),
        content_hash: 1,
    };
    node.admit(NOW, &head).map(|_| ()).map_err(|refusal| refusal.reason)
}

/// Guards against keys that go on working since the document that withdraws them is void for a fault
/// of another part.
#[test]
fn withdrawn_beside_fault() {
    let shared = vec![account("b", &["k2", "k3"]), account("c", &["k3"])];
    for (routes, accounts) in faulty_routes()
        .into_iter()
        .map(|routes| (routes, vec![account("b", &["k2"])]))
        .chain([(Vec::new(), shared)])
    {
        let what = format!("{routes:?} {accounts:?}");
        let mut node = node();
        let routes = [vec![route("r1", "/a/")], routes].concat();
        apply(&mut node, 2, Document { revision: Revision(2), ..document(routes, accounts) });
        assert!(node.confirm_read(NOW, Era(1), Revision(2)), "{what}");
        assert_eq!(admit(&mut node, "k1"), Err(Reason::Key), "{what}");
        assert_eq!(admit(&mut node, "k2"), Ok(()), "{what}");
    }
}

/// Guards against requests that are charged to one of two accounts with the same key.
#[test]
fn shared_key() {
    let mut node = node();
    let accounts = vec![account("a", &["k1", "k3"]), account("b", &["k2", "k3"])];
    let routes = vec![route("r1", "/a/")];
    apply(&mut node, 2, Document { revision: Revision(2), ..document(routes, accounts) });
    assert_eq!(admit(&mut node, "k1"), Ok(()));
    assert_eq!(admit(&mut node, "k2"), Ok(()));
    assert_eq!(admit(&mut node, "k3"), Err(Reason::NoTables));
}

/// Guards against keys that go on working since they were withdrawn without a new revision number.
#[test]
fn changed_in_place() {
    let mut node = node();
    apply(&mut node, 2, document(vec![route("r1", "/a/")], vec![account("b", &["k2"])]));
    assert_eq!(admit(&mut node, "k1"), Err(Reason::Key));
    assert_eq!(admit(&mut node, "k2"), Ok(()));
}

/// Guards against a read that confirms the document in force although it found another one.
#[test]
fn unconfirmed_by_other() {
    for found in [0, 2] {
        assert!(!node().confirm_read(NOW, Era(1), Revision(found)), "{found}");
    }
}

/// Guards against requests without a key where settings ask for keys and no account is published.
#[test]
fn required_by_settings() {
    let mut node = Node::new(Settings { requires_key: true, ..settings("desk") }, 1);
    apply(&mut node, 1, document(vec![route("r1", "/a/")], Vec::new()));
    assert!(node.readiness(NOW).is_err());
    assert!(node.confirm_read(NOW, Era(1), Revision(1)));
    assert_eq!(admit(&mut node, "k1"), Err(Reason::Key));
}
