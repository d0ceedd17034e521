//! Targets in an evacuated data centre receive no new requests, and no request is refused because of
//! that while there are others.

use {
    monsoon_lib::call::Reason,
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet},
    },
    std::time::Duration,
};

/// The time in which new tables are in force at all nodes.
const PROPAGATION: Duration = Duration::from_secs(2);

/// Sends bookings, which call another pool, through all nodes and returns their results.
async fn send_bookings(fleet: &Fleet, audit: &Audit, round: &str) -> Vec<Verdict> {
    const ROUNDS: usize = 10;
    let mut verdicts = Vec::new();
    for number in 0..ROUNDS {
        for vm in fleet.vms() {
            let path = format!("/bookings/{}-{round}-{number}", vm.placement.vm);
            let request = Request::post(&path, "").key(&fleet.key("chonburi"));
            verdicts.push(audit.send(request, vm.node.listen().callers).await);
        }
    }
    verdicts
}

fn runs_in(fleet: &Fleet, data_centre: &str) -> usize {
    let vms = fleet.vms().iter().filter(|vm| vm.placement.data_centre == data_centre);
    vms.map(|vm| vm.target.runs().len()).sum()
}

#[actix_web::test]
async fn begin_and_end() {
    let fleet = Fleet::start(fleet::small(2)).await.expect("the fleet starts");
    let [first, second] = ["bench-1", "bench-2"].map(|vm| &fleet.vm(vm).placement.data_centre);
    let publish = |data_centre: &String, is_evacuated: bool| {
        let name = format!("evacuated/{data_centre}");
        fleet.publish_value(&name, is_evacuated.then(|| data_centre.clone()));
    };
    let audit = Audit::default();
    publish(first, true);
    tokio::time::sleep(PROPAGATION).await;
    let before = runs_in(&fleet, first);
    let verdicts = send_bookings(&fleet, &audit, "one").await;
    assert!(verdicts.iter().all(|verdict| *verdict == Verdict::Correct), "{verdicts:?}");
    assert_eq!(runs_in(&fleet, first), before);
    publish(second, true);
    tokio::time::sleep(PROPAGATION).await;
    let before = runs_in(&fleet, first) + runs_in(&fleet, second);
    for verdict in send_bookings(&fleet, &audit, "both").await {
        assert_eq!((verdict.reason(), verdict.is_not_run()), (Some(Reason::NoTarget), true));
    }
    assert_eq!(runs_in(&fleet, first) + runs_in(&fleet, second), before);
    publish(first, false);
    tokio::time::sleep(PROPAGATION).await;
    let before = runs_in(&fleet, first);
    let verdicts = send_bookings(&fleet, &audit, "back").await;
    assert!(verdicts.iter().all(|verdict| *verdict == Verdict::Correct), "{verdicts:?}");
    assert!(runs_in(&fleet, first) > before);
    assert_eq!(audit.check(&fleet), []);
}
