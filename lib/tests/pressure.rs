//! Calls are refused early only if a pool on their path limits them.

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
    text.parse().ok().expect("a valid name")
}

fn account(text: &str) -> Option<id::Account> {
    Some(name(text))
}

/// A report that admits the given fraction of the browse calls of account `a`.
fn limiting_report(pool: &str, vm: &str, admit: f64) -> RelayedReport {
    let slice =
        Slice { class: Class::Browse, account: account("a"), admit: Share::from_f64(admit) };
    let report = Report { retry_after: ms(300), slices: vec![slice], ..Default::default() };
    RelayedReport { pool: name(pool), vm: name(vm), age: ms(0), report }
}

fn tracker() -> Tracker {
    Tracker::new(Settings::default(), 3)
}

/// Counts the early refusals among 1000 calls to pool `front`.
fn refusals(tracker: &mut Tracker, now: Instant, class: Class, account_name: &str) -> usize {
    let refused = |_: &usize| {
        tracker.check(now, &name("look"), &name("front"), class, &account(account_name)).is_some()
    };
    (0..1000).filter(refused).count()
}

#[test]
fn own_pool() {
    let mut tracker = tracker();
    tracker.record_report(Instant::ZERO, limiting_report("front", "front-1", 0.25));
    let refused = refusals(&mut tracker, Instant::ZERO, Class::Browse, "a");
    assert!((700..800).contains(&refused), "{refused}");
    assert_eq!(refusals(&mut tracker, Instant::ZERO, Class::Booking, "a"), 0);
    assert_eq!(refusals(&mut tracker, Instant::ZERO, Class::Browse, "b"), 0);
}

#[test]
fn typed_refusal() {
    let mut tracker = tracker();
    tracker.record_report(Instant::ZERO, limiting_report("front", "front-1", 0.0));
    let check =
        tracker.check(Instant::ZERO, &name("look"), &name("front"), Class::Browse, &account("a"));
    let refusal = check.expect("no call is admitted");
    assert_eq!((refusal.reason, refusal.outcome), (Reason::Overload, Outcome::NotRun));
    assert_eq!(refusal.retry_after, Some(ms(300)));
}

#[test]
fn downstream_pool() {
    let mut tracker = tracker();
    tracker.record_report(Instant::ZERO, limiting_report("deep", "deep-1", 0.25));
    assert_eq!(refusals(&mut tracker, Instant::ZERO, Class::Browse, "a"), 0);
    tracker.record_reached_pools(&name("look"), &[name("deep")]);
    let refused = refusals(&mut tracker, Instant::ZERO, Class::Browse, "a");
    assert!((700..800).contains(&refused), "{refused}");
}

#[test]
fn rarely_reached_pool() {
    let mut tracker = tracker();
    tracker.record_report(Instant::ZERO, limiting_report("deep", "deep-1", 0.0));
    for i in 0..500 {
        let reached: Vec<id::Pool> = if i % 2 == 0 { vec![name("deep")] } else { vec![] };
        tracker.record_reached_pools(&name("look"), &reached);
    }
    assert_eq!(refusals(&mut tracker, Instant::ZERO, Class::Browse, "a"), 0);
}

#[test]
fn other_target_unlimited() {
    let mut tracker = tracker();
    tracker.record_report(Instant::ZERO, limiting_report("front", "front-1", 0.0));
    tracker.record_report(Instant::ZERO, limiting_report("front", "front-2", 1.0));
    assert_eq!(refusals(&mut tracker, Instant::ZERO, Class::Browse, "a"), 0);
}

#[test]
fn old_report() {
    let mut tracker = tracker();
    tracker.record_report(Instant::ZERO, limiting_report("front", "front-1", 0.0));
    assert_eq!(refusals(&mut tracker, Instant::from_millis(501), Class::Browse, "a"), 0);
}

#[test]
fn late_report() {
    let mut tracker = tracker();
    let now = Instant::from_millis(1000);
    tracker.record_report(now, limiting_report("front", "front-1", 1.0));
    tracker.record_report(
        now,
        RelayedReport { age: ms(200), ..limiting_report("front", "front-1", 0.0) },
    );
    assert_eq!(refusals(&mut tracker, now, Class::Browse, "a"), 0);
}

#[test]
fn relayed_reports() {
    let mut middle = tracker();
    middle.record_reached_pools(&name("look"), &[name("deep")]);
    middle.record_report(Instant::from_millis(9000), limiting_report("deep", "deep-1", 0.0));
    let relayed = middle.relayed_reports(Instant::from_millis(9300), &name("look"));
    assert_eq!(relayed.len(), 1);
    assert_eq!(relayed[0].age, ms(300));
    let mut first = tracker();
    first.record_reached_pools(&name("look"), &[name("middle"), name("deep")]);
    first.record_report(Instant::from_millis(40), relayed[0].clone());
    assert_eq!(refusals(&mut first, Instant::from_millis(200), Class::Browse, "a"), 1000);
    assert_eq!(refusals(&mut first, Instant::from_millis(300), Class::Browse, "a"), 0);
}

#[test]
fn bounded_state() {
    let mut tracker = tracker();
    for i in 0..5000 {
        tracker.record_report(Instant::ZERO, limiting_report("front", &format!("vm-{i}"), 0.0));
        tracker.record_report(Instant::ZERO, limiting_report(&format!("pool-{i}"), "vm", 0.0));
        tracker.record_reached_pools(&name(&format!("route-{i}")), &[name("deep")]);
    }
    let dump = tracker.dump(Instant::ZERO);
    assert!(dump.routes.len() <= 1024);
    assert!(dump.pools.len() <= 256);
    assert!(dump.pools.values().all(|targets| targets.len() <= 256));
    tracker.retain(Instant::ZERO, |pool| pool.as_str() == "front", |_| false);
    let dump = tracker.dump(Instant::ZERO);
    assert_eq!((dump.routes.len(), dump.pools.len()), (0, 1));
}
