//! Tests of the order in which clients' requests are admitted while a pool is scarce.

mod deployment;

use {
    monsoon_lib::{
        call::{Outcome, Reason},
        id,
        key::Digest,
        mesh::{
            fact::{Fact, Heartbeat, Key, Value},
            lineage::hash_fraction,
            node::{AttemptResult, Head, Node, Settings},
            position::{Era, Position},
            quota::{RateLimiter, Share, Shares},
            scarcity::{Class, ClassDemand, Load, PoolLoad},
            standing::{Kind, Standing, account_factor, retry_after},
            table::{self, Document, Route, Table, WeightedPool},
        },
        time::Instant,
        unit::{Rate, Revision},
    },
    std::{sync::Arc, time::Duration},
};

const OBJECTIVE: Duration = Duration::from_millis(1_500);
const TIMEOUT: Duration = Duration::from_secs(5);
const NOW: Instant = Instant::from_millis(10_000);
/// The clients in one test.
const CLIENTS: u32 = 3_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn account(i: u8) -> id::Account {
    format!("account-{i}").parse().expect("a name")
}

fn key(i: u8) -> Digest {
    Digest::of(account(i).as_str().as_bytes())
}

/// A table of one route and 8 accounts with a rate of 100, and one without a rate.
fn document() -> Document {
    let account = |i, rate| {
        let keys = vec![key(i)];
        table::Account { name: account(i), rank: 0, rate, burst: 100, keys }
    };
    let route = Route {
        host: "pages.example".into(),
        pools: vec![WeightedPool { pool: "pages".parse().expect("a name"), weight: 1 }],
        timeout: TIMEOUT,
        objective: OBJECTIVE,
        rank: 2,
        is_open: true,
        ..deployment::route("view", "/view/")
    };
    let mut accounts: Vec<_> = (0..8).map(|i| account(i, Some(Rate(100)))).collect();
    accounts.push(account(8, None));
    deployment::document(vec![route], accounts)
}

fn node() -> Node {
    let settings = Settings { is_entry_admission_enabled: true, ..deployment::settings("pages") };
    let mut node = Node::new(settings, 1);
    let position = Position::new(Era(1), Revision(1));
    let document = Fact {
        key: Key::Document,
        position,
        heartbeat: Heartbeat::default(),
        value: Value::Document(Arc::new(document())),
    };
    node.apply_listing(NOW, &[document], position);
    node
}

/// Returns whether a client is served that makes its attempts after these times, each only if the
/// one before was refused.
fn is_served(client: u32, share: f64, attempts: &[Duration]) -> bool {
    let fraction = hash_fraction(&format!("client-{client}"));
    attempts
        .iter()
        .any(|spent| Standing::of(Kind::of(*spent, OBJECTIVE), fraction, 1.0).value() < share)
}

fn served_fraction(clients: std::ops::Range<u32>, share: f64, attempts: &[Duration]) -> f64 {
    let count = clients.len() as f64;
    clients.filter(|client| is_served(*client, share, attempts)).count() as f64 / count
}

/// Guards against callers that gain by repeating faster than they were told, and against callers
/// that wait and are refused as often as if they had not. The load is a third of the clients
/// repeating 3 times at once, while the share is a half.
#[test]
fn repeating_and_waiting() {
    let at_once = [ms(0), ms(30), ms(75), ms(140)];
    let as_told = [ms(0), ms(300), ms(700)];
    let repeating = served_fraction(0..CLIENTS / 3, 0.5, &at_once);
    let waiting = served_fraction(CLIENTS / 3..CLIENTS, 0.5, &as_told);
    assert!((0.45..0.55).contains(&repeating), "{repeating} of those that repeat at once");
    assert!(waiting > 0.65, "{waiting} of those that wait");
}

/// Guards against work for answers that come too late while others could still come in time.
#[test]
fn late_callers() {
    let late = served_fraction(0..CLIENTS, 0.4, &[OBJECTIVE]);
    let first = served_fraction(0..CLIENTS, 0.4, &[ms(0)]);
    assert!(late < first / 2.0, "{late} of the late callers, {first} of the first attempts");
    assert!(late > 0.1, "{late}: late callers are not shut out");
}

#[test]
fn kinds() {
    use Kind::{First, Immediate, Late, Returned};
    let expected = [
        (0, First),
        (59, First),
        (60, Immediate),
        (249, Immediate),
        (250, Returned),
        (1_499, Returned),
        (1_500, Late),
    ];
    for (spent, kind) in expected {
        assert_eq!(Kind::of(ms(spent), OBJECTIVE), kind, "{spent} ms");
    }
    assert_eq!(Kind::of(ms(50), ms(40)), First, "the difference is too small to tell a repeat");
}

fn head(request: &str, caller_timeout: Duration) -> Head {
    Head {
        request: request.into(),
        host: "pages.example".into(),
        path: "/view/x".into(),
        key: None,
        caller_timeout: Some(caller_timeout),
        content_hash: 0,
    }
}

/// Records that the pool has this demand and a capacity of 100.
fn report(node: &mut Node, now: Instant, demand: f32) {
    let class = Class { account: 0, route: 2 };
    let demands = Arc::new(vec![ClassDemand { class, demand }]);
    let load = Load { capacity: 100.0, demands, is_contended: true };
    let loads = [PoolLoad { pool: "pages".parse().expect("a name"), load }];
    // Before the first report, and a second after the last one, its share is large enough.
    let call = node.admit(now, &head("reported", TIMEOUT)).expect("the request is admitted");
    let answered = AttemptResult::Answered { has_failed: false };
    node.record_reported_loads(now, &call, answered, &loads);
}

/// Guards against a queue at a gate in which callers that repeat at once or are late overtake first
/// attempts.
#[test]
fn admitted_by_node() {
    let mut node = node();
    for is_scarce in [false, true] {
        for (spent, is_first_attempt) in [(0, true), (100, true), (300, false), (1_500, true)] {
            let head = head("client-1", TIMEOUT - ms(spent));
            let call = node.admit(NOW, &head).expect("the request is admitted");
            assert_eq!(call.rank.is_first_attempt, is_first_attempt, "{spent} ms spent");
            let kind = Kind::of(ms(spent), OBJECTIVE);
            let standing = Standing::of(kind, hash_fraction("client-1"), 1.0);
            // It is only needed while a pool is scarce.
            assert_eq!(call.standing, is_scarce.then_some(standing));
            // Resends of clients' requests go before those of calls, also while no pool is scarce.
            assert!(call.is_direct);
        }
        // The share is 0.999, so that all are admitted.
        report(&mut node, NOW, 95.1);
    }
}

/// The demand of each of the accounts with a rate, of which the first one sends 7.5 times as much
/// as usual.
fn demands(usual: f32) -> [f32; 8] {
    let mut demands = [usual; 8];
    demands[0] *= 7.5;
    demands
}

fn limiter(demands: &[f32]) -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter.set_table(NOW, &Table::new(document()));
    limiter.set_node_count(NOW, 1);
    let share = |demand| Share { fraction: 1.0, demand };
    let by_account =
        demands.iter().zip(0..).map(|(demand, i)| (account(i), share(*demand))).collect();
    limiter.set_shares(NOW, Shares { by_account, default_fraction: 1.0 });
    limiter
}

/// Returns the requests per second that each account gets at a share.
fn admitted(limiter: &RateLimiter, demands: &[f32], share: f64) -> Vec<f64> {
    let admitted_of = |(demand, i): (&f32, u8)| {
        let factor = account_factor(limiter.usage(&account(i)), limiter.mean_usage());
        let is_admitted = |client: &u32| {
            let fraction = f64::from(*client) / f64::from(CLIENTS);
            Standing::of(Kind::First, fraction, factor).value() < share
        };
        let count = (0..CLIENTS).filter(is_admitted).count();
        f64::from(*demand) * count as f64 / f64::from(CLIENTS)
    };
    demands.iter().zip(0..).map(admitted_of).collect()
}

/// Guards against one account that takes the room of the others. The pool carries the usual demand
/// of all 8 accounts, and the share is the largest one at which it is not oversold.
#[test]
fn hot_account() {
    let demands = demands(80.0);
    let limiter = limiter(&demands);
    let capacity = 8.0 * 80.0;
    let shares = (1..100).rev().map(|percent| f64::from(percent) / 100.0);
    let mut admitted = shares.map(|share| admitted(&limiter, &demands, share));
    let admitted = admitted.find(|rates| rates.iter().sum::<f64>() <= capacity);
    let admitted = admitted.expect("a small share oversells nothing");
    assert!(admitted[1..].iter().all(|rate| *rate > 0.88 * 80.0), "{admitted:?}");
    assert!(admitted[0] > 80.0, "{admitted:?}: what the others leave is lent to the hot account");
}

/// Guards against a refusal while there is room: a share of 1 admits all, also of a hot account.
#[test]
fn whole_share() {
    let demands = demands(80.0);
    let admitted = admitted(&limiter(&demands), &demands, 1.0);
    assert!((admitted[0] - 600.0).abs() < 1.0, "{admitted:?}");
    assert!(Standing::of(Kind::Late, 1.0, 100.0).value() < 1.0);
    assert!((Standing::of(Kind::First, 1.0, 1.0).value() as f32) < 1.0);
}

#[test]
fn account_factors() {
    let limiter = limiter(&demands(80.0));
    let factor = |i| account_factor(limiter.usage(&account(i)), limiter.mean_usage());
    // 6 times its rate, while all together ask for 1,160 of 800.
    assert!((factor(0) - 6.0 / 1.45).abs() < 0.001, "{}", factor(0));
    assert_eq!(factor(1), 1.0);
    assert_eq!(factor(8), 1.0, "an account without a rate");
    assert_eq!(account_factor(None, None), 1.0, "no coordinator has answered");
}

/// Guards against a hot account that seems to ask for little since it is refused before it is
/// charged.
#[test]
fn refused_at_entry() {
    let mut node = node();
    node.confirm(NOW);
    let since = NOW - ms(2_000);
    for at in [since, NOW] {
        report(&mut node, at, 1e6);
    }
    let above_share = |id: &String| hash_fraction(id) > 0.02;
    let ids: Vec<String> = (0..20).map(|i| format!("client-{i}")).filter(above_share).collect();
    assert!(ids.len() > 11, "{ids:?}");
    for id in &ids[..10] {
        let head = Head { key: Some(key(0)), ..head(id, TIMEOUT) };
        let refusal = node.admit(NOW, &head).expect_err("the pool is scarce");
        assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, Reason::Overload));
        assert_eq!(refusal.retry_after, Some(retry_after(ms(2_000), hash_fraction(id))));
        assert_eq!(node.take_refusing_pool(), Some("pages".parse().expect("a name")));
    }
    node.admit(NOW, &head(&ids[10], TIMEOUT - OBJECTIVE)).expect_err("the pool is scarce");
    let refusals = node.dump(NOW).entry_refusals;
    assert_eq!(Kind::ALL.map(|kind| refusals.count(kind)), [10, 0, 0, 1]);
    let dumped = serde_json::to_string(&refusals).expect("it is JSON");
    assert_eq!(dumped, r#"{"first":10,"returned":0,"immediate":0,"late":1}"#);
    let demand = node.rate_limiter().demand(ms(500));
    assert!(demand.0[&account(0)] > 5.0, "{demand:?}");
}

/// Guards against callers of a short spike that return late, and against those of a long one that
/// return soon or all together.
#[test]
fn retry_delays() {
    assert_eq!(retry_after(ms(0), 0.5), ms(250));
    assert_eq!(retry_after(ms(400), 0.99), ms(250));
    assert_eq!(retry_after(ms(1_000), 0.0), ms(400));
    assert_eq!(retry_after(ms(1_000), 1.0), ms(600));
    assert_eq!(retry_after(ms(60_000), 0.0), ms(1_500));
}

/// Returns whether a caller with this timeout is taken to return after a delay.
fn has_returned(node: &mut Node, now: Instant, caller_timeout: Duration) -> bool {
    !node
        .admit(now, &head("client-1", caller_timeout))
        .expect("the request is admitted")
        .rank
        .is_first_attempt
}

/// Guards against one caller with a long timeout that makes all others on the route look late for as
/// long as the node runs.
#[test]
fn long_timeout_forgotten() {
    let mut node = node();
    let usual = TIMEOUT - ms(1_000);
    assert!(!has_returned(&mut node, NOW, TIMEOUT));
    assert!(has_returned(&mut node, NOW + ms(10_000), usual), "the usual timeout is shorter");
    assert!(!has_returned(&mut node, NOW + ms(20_000), TIMEOUT), "the long one is seen again");
    assert!(has_returned(&mut node, NOW + ms(25_000), TIMEOUT - ms(500)));
    assert!(has_returned(&mut node, NOW + ms(50_000), usual), "30 s after it was last seen");
    let before = NOW + ms(53_000);
    assert!(has_returned(&mut node, before, usual), "the longest of the last 30 s applies");
    assert!(!has_returned(&mut node, NOW + ms(57_000), usual), "none was longer for 30 s");
}
