//! The load generator follows its plan regardless of how the system responds, and tables of the
//! described fleets are valid.

use {
    monsoon_lib::{
        table::{Builder, Class},
        unit::Revision,
    },
    monsoon_testutils::{
        fleet::{self, Description},
        load::{Account, Generator, Plan, Report, Request, Surge},
        target::{Faults, ServiceTime, Settings, Target},
    },
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

fn plan() -> Plan {
    let request = Request {
        weight: 1,
        method: "POST".into(),
        path: "/bookings".into(),
        class: Class::Booking,
        body_bytes: 100,
        has_idempotency_key: true,
    };
    let account = Account {
        name: "ruwi".into(),
        key: Some("a key".into()),
        rate: 500.0,
        rate_limit: 500,
        burst_limit: 50,
        requests: vec![request],
        retries: 0,
    };
    let surge = Surge { account: None, from: SECOND / 2, to: SECOND, factor: 2.0 };
    Plan {
        accounts: vec![account],
        duration: SECOND,
        surges: vec![surge],
        timeout: SECOND,
        seed: 7,
    }
}

async fn run(plan: Plan, target: &Target) -> Report {
    Generator::new(plan, vec![target.address()]).run().await
}

#[actix_web::test]
async fn correct_answers() {
    let target = Target::start(Settings::default()).expect("a port is free");
    let report = run(plan(), &target).await;
    let total = report.total();
    // 250 arrivals are expected before the surge and 500 within it, plus or minus six standard
    // deviations.
    assert!((585..=915).contains(&total.sent), "{} arrivals", total.sent);
    assert_eq!(total.correct, total.sent);
    assert_eq!(target.counts().finished, total.sent);
    assert!(total.within_rate < total.sent);
    assert!(target.runs().iter().all(|run| run.saw_authorization));
    let correct: u64 = report.timeline().iter().map(|interval| interval.correct).sum();
    assert_eq!(correct, total.correct);
}

#[actix_web::test]
async fn stalled_target() {
    let service = ServiceTime { mean_us: 100_000, exponential: false };
    let settings = Settings { slots: 1, queue: 10_000, service, ..Settings::default() };
    let target = Target::start(settings).expect("a port is free");
    let total =
        run(Plan { duration: SECOND / 10, surges: vec![], ..plan() }, &target).await.total();
    assert!(total.correct < total.sent);
    assert!(total.latency(1.0) > SECOND / 2, "the latency does not include the time in the queue");
    assert_eq!(total.correct + total.incomplete, total.sent);
}

#[actix_web::test]
async fn retried_shedding() {
    let target = Target::start(Settings::default()).expect("a port is free");
    target.set_faults(Faults { drain: true, ..Faults::default() });
    let mut plan = plan();
    plan.accounts[0].retries = 2;
    let total = run(plan, &target).await.total();
    assert_eq!(total.attempts, 3 * total.sent);
    assert_eq!(total.statuses.get(&503), Some(&total.sent));
    assert_eq!(target.counts().shed, total.attempts);
}

#[test]
fn valid_tables() {
    for description in [fleet::association(0.1), fleet::matbakh(0.1)] {
        let Description { accounts, pools, .. } = &description;
        let mut builder = Builder::new();
        for (name, text) in description.tables().changes {
            builder.add_value(&name, &text.expect("nothing is deleted"));
        }
        let set = builder.finish(Revision(1)).expect("the tables are valid");
        assert_eq!((set.accounts().len(), set.key_count()), (accounts.len(), 8));
        assert_eq!(set.pools().len(), pools.len());
    }
}
