//! Calls are refused early only where a pool on their way has no room for them.

use {
    monsoon_lib::{
        call::{Outcome, Reason},
        id,
        pressure::{RelayedReport, Report, Settings, Share, Slice, Tracker},
        table::Class,
        time::Instant,
    },
    std::time::Duration,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a good name")
}

fn account(text: &str) -> Option<id::Account> {
    Some(name(text))
}

/// A report that wants a part of what account `a` browses.
fn pressed(pool: &str, vm: &str, admit: f64) -> RelayedReport {
    let slice =
        Slice { class: Class::Browse, account: account("a"), admit: Share::from_f64(admit) };
    let report = Report { retry_after: ms(300), slices: vec![slice], ..Default::default() };
    RelayedReport { pool: name(pool), vm: name(vm), age: ms(0), report }
}

fn board() -> Tracker {
    Tracker::new(Settings::default(), 3)
}

/// Counts early refusals among 1000 calls to pool `front`.
fn refusals(board: &mut Tracker, now: Instant, class: Class, of: &str) -> usize {
    let refused =
        |_: &usize| board.check(now, &name("look"), &name("front"), class, &account(of)).is_some();
    (0..1000).filter(refused).count()
}

#[test]
fn own_pool() {
    let mut board = board();
    board.record_report(Instant::ZERO, pressed("front", "front-1", 0.25));
    let refused = refusals(&mut board, Instant::ZERO, Class::Browse, "a");
    assert!((700..800).contains(&refused), "{refused}");
    assert_eq!(refusals(&mut board, Instant::ZERO, Class::Booking, "a"), 0);
    assert_eq!(refusals(&mut board, Instant::ZERO, Class::Browse, "b"), 0);
}

#[test]
fn typed_refusal() {
    let mut board = board();
    board.record_report(Instant::ZERO, pressed("front", "front-1", 0.0));
    let check =
        board.check(Instant::ZERO, &name("look"), &name("front"), Class::Browse, &account("a"));
    let refusal = check.expect("nothing is wanted");
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Overload, Outcome::NotRun));
    assert_eq!(refusal.retry_after, Some(ms(300)));
}

#[test]
fn deeper_pool() {
    let mut board = board();
    board.record_report(Instant::ZERO, pressed("deep", "deep-1", 0.25));
    assert_eq!(refusals(&mut board, Instant::ZERO, Class::Browse, "a"), 0);
    board.record_reached_pools(&name("look"), &[name("deep")]);
    let refused = refusals(&mut board, Instant::ZERO, Class::Browse, "a");
    assert!((700..800).contains(&refused), "{refused}");
}

#[test]
fn rare_pool() {
    let mut board = board();
    board.record_report(Instant::ZERO, pressed("deep", "deep-1", 0.0));
    for i in 0..500 {
        let reached: Vec<id::Pool> = if i % 2 == 0 { vec![name("deep")] } else { vec![] };
        board.record_reached_pools(&name("look"), &reached);
    }
    assert_eq!(refusals(&mut board, Instant::ZERO, Class::Browse, "a"), 0);
}

#[test]
fn room_elsewhere() {
    let mut board = board();
    board.record_report(Instant::ZERO, pressed("front", "front-1", 0.0));
    board.record_report(Instant::ZERO, pressed("front", "front-2", 1.0));
    assert_eq!(refusals(&mut board, Instant::ZERO, Class::Browse, "a"), 0);
}

#[test]
fn old_report() {
    let mut board = board();
    board.record_report(Instant::ZERO, pressed("front", "front-1", 0.0));
    assert_eq!(refusals(&mut board, Instant::from_millis(501), Class::Browse, "a"), 0);
}

#[test]
fn late_report() {
    let mut board = board();
    let now = Instant::from_millis(1000);
    board.record_report(now, pressed("front", "front-1", 1.0));
    board.record_report(now, RelayedReport { age: ms(200), ..pressed("front", "front-1", 0.0) });
    assert_eq!(refusals(&mut board, now, Class::Browse, "a"), 0);
}

#[test]
fn relayed_reports() {
    let mut middle = board();
    middle.record_reached_pools(&name("look"), &[name("deep")]);
    middle.record_report(Instant::from_millis(9000), pressed("deep", "deep-1", 0.0));
    let relayed = middle.relayed_reports(Instant::from_millis(9300), &name("look"));
    assert_eq!(relayed.len(), 1);
    assert_eq!(relayed[0].age, ms(300));
    let mut first = board();
    first.record_reached_pools(&name("look"), &[name("middle"), name("deep")]);
    first.record_report(Instant::from_millis(40), relayed[0].clone());
    assert_eq!(refusals(&mut first, Instant::from_millis(200), Class::Browse, "a"), 1000);
    assert_eq!(refusals(&mut first, Instant::from_millis(300), Class::Browse, "a"), 0);
}

#[test]
fn bounded_state() {
    let mut board = board();
    for i in 0..5000 {
        board.record_report(Instant::ZERO, pressed("front", &format!("vm-{i}"), 0.0));
        board.record_report(Instant::ZERO, pressed(&format!("pool-{i}"), "vm", 0.0));
        board.record_reached_pools(&name(&format!("route-{i}")), &[name("deep")]);
    }
    let dump = board.dump(Instant::ZERO);
    assert!(dump.routes.len() <= 1024);
    assert!(dump.pools.len() <= 256);
    assert!(dump.pools.values().all(|targets| targets.len() <= 256));
    board.retain(Instant::ZERO, |pool| pool.as_str() == "front", |_| false);
    let dump = board.dump(Instant::ZERO);
    assert_eq!((dump.routes.len(), dump.pools.len()), (0, 1));
}
