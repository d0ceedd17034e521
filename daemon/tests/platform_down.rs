//! The fleet continues to serve during a platform outage and applies changes after it.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet, POLL},
        platform::Faults,
    },
    std::time::{Duration, Instant},
};

#[actix_web::test]
async fn outage_and_return() {
    const OUTAGE: Duration = Duration::from_secs(3);
    const PROPAGATION_LIMIT: Duration = Duration::from_secs(10);
    let fleet = Fleet::start(fleet::small(2)).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let audit = Audit::default();
    fleet.set_platform_faults(Faults { down: true, ..Faults::default() });
    let start = Instant::now();
    for number in 0.. {
        if start.elapsed() > OUTAGE {
            break;
        }
        for address in fleet.all_callers() {
            let path = format!("/bookings/{number}-{}", address.port());
            let verdict = audit.send(Request::post(&path, "").key(&key), address).await;
            assert_eq!(verdict, Verdict::Correct);
        }
        tokio::time::sleep(POLL).await;
    }
    assert_eq!(audit.check(&fleet), []);
    fleet.withdraw(&key);
    fleet.set_platform_faults(Faults::default());
    let start = Instant::now();
    for address in fleet.all_callers() {
        let request = Request::get("/slots/after").key(&key);
        while audit.send(request.clone(), address).await == Verdict::Correct {
            assert!(start.elapsed() < PROPAGATION_LIMIT, "{address} does not follow the platform");
            tokio::time::sleep(POLL).await;
        }
    }
}

#[actix_web::test]
async fn bounded_platform_reads() {
    const OBSERVATION: Duration = Duration::from_secs(3);
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let total = || fleet.platforms().map(|platform| platform.calls().total).sum::<u64>();
    let before = total();
    tokio::time::sleep(OBSERVATION).await;
    // A platform that takes about 2000 reads per second from 780 nodes leaves 2.5 for each node.
    let allowed = fleet.vms().len() as u64 * OBSERVATION.as_secs() * 5 / 2;
    assert!(total() - before <= allowed, "{} reads", total() - before);
}
