//! Data centres that are cut off from each other serve what they can.

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

const PATIENCE: Duration = Duration::from_secs(10);

fn description() -> Description {
    Description { has_proxies: true, ..fleet::small(2) }
}

async fn settle(audit: &Audit, key: &str, address: SocketAddr, name: &str) {
    const IN_A_ROW: usize = 10;
    let start = Instant::now();
    let mut row = 0;
    let mut number = 0;
    while row < IN_A_ROW {
        let path = format!("/bookings/{name}-{}-{number}", address.port());
        let verdict = audit.send(Request::post(&path, "").key(key), address).await;
        row = if verdict == Verdict::Correct { row + 1 } else { 0 };
        assert!(start.elapsed() < PATIENCE, "{name}: {address} still says {verdict:?}");
        number += 1;
        tokio::time::sleep(POLL / 4).await;
    }
}

#[actix_web::test]
async fn both_parts_serve() {
    let fleet = Fleet::start(description()).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let audit = Audit::default();
    for address in fleet.all_callers() {
        settle(&audit, &key, address, "before").await;
    }
    fleet.partition(&["dc-1"]);
    let across = || fleet.proxies().map(|proxy| proxy.counts().freeze_waits).sum::<u64>();
    for address in fleet.all_callers() {
        settle(&audit, &key, address, "apart").await;
    }
    assert!(across() > 0, "no link was cut");
    fleet.heal();
    for address in fleet.all_callers() {
        settle(&audit, &key, address, "healed").await;
    }
    assert_eq!(audit.check(&fleet), []);
}

#[actix_web::test]
async fn rate_holds() {
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
    let plan = Plan { accounts, duration: DURATION, surges, timeout: PATIENCE, seed };
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
    let sold = RATE as f64 * start.elapsed().as_secs_f64() + f64::from(BURST);
    let is_root = |found: &&fleet::VmRun| found.run.path.contains("/chonburi-");
    let admitted = fleet.runs().iter().filter(is_root).count();
    assert!(admitted as f64 <= sold, "{admitted} ran of {sold} sold");
    assert!(total.correct > 0 && total.wrong == 0);
}
