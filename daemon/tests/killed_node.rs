//! A request that may run only once is not run twice when a node is killed and replaced, or when
//! the caller resends it.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet},
        target::Faults,
    },
    std::{rc::Rc, time::Duration},
};

#[actix_web::test]
async fn kill_and_replace() {
    const BOOKINGS: usize = 300;
    const PAUSE: Duration = Duration::from_millis(10);
    let mut fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    for vm in fleet.vms() {
        vm.target.set_faults(Faults { delay_ms: 50, ..Faults::default() });
    }
    let key = fleet.key("chonburi");
    let audit = Rc::new(Audit::default());
    let mut sends = Vec::new();
    for number in 0..BOOKINGS {
        let address = fleet.callers(["notice-1", "notice-2", "bench-2"][number % 3]);
        let path = format!("/bookings/{number}");
        let request = Request::post(&path, "").key(&key).idempotency_key(&path);
        let audit = audit.clone();
        sends.push(actix_web::rt::spawn(async move { audit.send(request, address).await }));
        if number == BOOKINGS / 3 {
            fleet.vm_mut("bench-1").node.kill().expect("the node runs");
        }
        if number == BOOKINGS * 2 / 3 {
            fleet.replace("bench-1").await.expect("the new node starts");
        }
        tokio::time::sleep(PAUSE).await;
    }
    futures::future::join_all(sends).await;
    assert_eq!(audit.check(&fleet), []);
    let whole = audit.count(|verdict| *verdict == Verdict::Correct);
    assert!(whole * 10 >= BOOKINGS * 8, "{whole} of {BOOKINGS}: {:?}", audit.verdicts());
}

#[actix_web::test]
async fn resent_booking() {
    const RESENDS: usize = 4;
    let fleet = Fleet::start(fleet::small(2)).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let request = Request::post("/bookings/again", "").key(&key).idempotency_key("again");
    let client = monsoon_testutils::client::Client::default();
    // The caller resends its booking through all nodes, concurrently and in later rounds.
    for _ in 0..RESENDS {
        let sends = fleet.all_callers().into_iter().map(|address| client.send(&request, address));
        futures::future::join_all(sends).await;
    }
    let runs = fleet.runs();
    let booked = runs.iter().filter(|found| found.run.path == "/bookings/again").count();
    assert_eq!(booked, 1);
    let address = fleet.callers("notice-1");
    assert_eq!(client.send(&request, address).await.verdict, Verdict::Correct);
    let reused = Request { body: b"another".to_vec(), ..request };
    assert!(client.send(&reused, address).await.verdict.is_not_run());
}
