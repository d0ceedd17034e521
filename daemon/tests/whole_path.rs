//! End-to-end test: a caller's request passes through two nodes to a target, and the answer back.

use monsoon_testutils::{
    client::{Client, Request, Verdict},
    fleet::{self, Fleet},
};

const SCALE: f64 = 0.1;

#[actix_rt::test]
async fn nested_booking() {
    let fleet = Fleet::start(fleet::association(SCALE)).await.expect("the fleet serves");
    let client = Client::default();
    let key = fleet.key("chonburi");
    let booking = Request::post("/bench/bookings/7", "bench 7").key(&key);
    for callers in fleet.all_callers() {
        let reply = client.send(&booking, callers).await;
        assert_eq!(reply.verdict, Verdict::Correct, "{reply:?}");
    }
    let runs = fleet.runs();
    let bookings: Vec<_> = runs.iter().filter(|found| found.run.method == "POST").collect();
    assert_eq!(bookings.len(), fleet.all_callers().len());
    for booking in bookings {
        assert!(booking.vm.starts_with("bench"), "{booking:?}");
        assert_eq!(booking.run.account.as_deref(), Some("chonburi"));
        let is_child = |found: &&fleet::VmRun| {
            found.run.request == booking.run.request && found.vm.starts_with("specification")
        };
        assert_eq!(runs.iter().filter(is_child).count(), 1, "one nested look-up for each booking");
    }
}

#[actix_rt::test]
async fn wrong_key() {
    let fleet = Fleet::start(fleet::matbakh(SCALE)).await.expect("the fleet serves");
    let client = Client::default();
    let request = Request::get("/availability/1");
    let before = fleet.runs().len();
    for request in [request.clone(), request.key("no key of the fleet")] {
        let reply = client.send(&request, fleet.all_callers()[0]).await;
        assert_eq!(reply.verdict.reason(), Some(monsoon_lib::call::Reason::Key));
        assert!(reply.verdict.is_not_run());
    }
    assert_eq!(fleet.runs().len(), before);
}
