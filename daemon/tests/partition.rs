//! During a network partition between data centres, both sides serve requests and rate limits hold.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Account, Description, Fleet, POLL},
        load::{Generator, Plan},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time limit for bookings to succeed again.
const TIMEOUT: Duration = Duration::from_secs(10);

fn description() -> Description {
    Description { has_proxies: true, ..fleet::small(2) }
}

/// Sends bookings to a node until a number of consecutive ones get complete answers.
async fn wait_for_successes(audit: &Audit, key: &str, address: SocketAddr, name: &str) {
    const CONSECUTIVE: usize = 10;
    let start = Instant::now();
    let mut successes = 0;
    let mut number = 0;
    while successes < CONSECUTIVE {
        let path = format!("/bookings/{name}-{}-{number}", address.port());
        let verdict = audit.send(Request::post(&path, "").key(key), address).await;
        successes = if verdict == Verdict::Correct { successes + 1 } else { 0 };
        assert!(start.elapsed() < TIMEOUT, "{name}: last verdict of {address} is {verdict:?}");
        number += 1;
        tokio::time::sleep(POLL / 4).await;
    }
}

#[actix_web::test]
async fn both_sides_serve() {
    let fleet = Fleet::start(description()).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let audit = Audit::default();
    for address in fleet.all_callers() {
        wait_for_successes(&audit, &key, address, "before").await;
    }
    fleet.partition(&["dc-1"]);
    let held = || fleet.proxies().map(|proxy| proxy.counts().freeze_waits).sum::<u64>();
    for address in fleet.all_callers() {
        wait_for_successes(&audit, &key, address, "apart").await;
    }
    assert!(held() > 0, "no link was cut");
    fleet.heal();
    for address in fleet.all_callers() {
        wait_for_successes(&audit, &key, address, "healed").await;
    }
    assert_eq!(audit.check(&fleet), []);
}

#[actix_web::test]
async fn rate_limit_holds() {
    const RATE: u64 = 50;
    const BURST: u32 = 50;
    const DURATION: Duration = Duration::from_secs(4);
    let accounts = vec![Account::new("chonburi", RATE, BURST), Account::new("rayong", 10_000, 1)];
    let description = Description { accounts, ..description() };
    let fleet = Fleet::start(description).await.expect("the fleet starts");
    let mut accounts = fleet.description().load(8.0);
    accounts.truncate(1);
    let seed = 5;
    let surges = Vec::new();
    let plan = Plan { accounts, duration: DURATION, surges, timeout: TIMEOUT, seed };
    let start = Instant::now();
    let generator = Generator::new(plan, fleet.all_callers());
    let cut = async {
        tokio::time::sleep(DURATION / 4).await;
        fleet.partition(&["dc-1"]);
        tokio::time::sleep(DURATION / 2).await;
        fleet.heal();
    };
    let (report, ()) = futures::join!(generator.run(), cut);
    let total = report.total();
    let allowed = RATE as f64 * start.elapsed().as_secs_f64() + f64::from(BURST);
    let is_root = |found: &&fleet::VmRun| found.run.path.contains("/chonburi-");
    let admitted = fleet.runs().iter().filter(is_root).count();
    assert!(
        admitted as f64 <= allowed,
        "{admitted} requests ran, but the rate and burst allow {allowed}"
    );
    assert!(total.correct > 0 && total.wrong == 0);
}
