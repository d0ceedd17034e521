//! A request that crashes the targets that run it is refused after the second crash.

use {
    monsoon_lib::call::Reason,
    monsoon_testutils::{
        client::{Client, Request, Verdict},
        fleet::{self, Fleet, POLL},
        target::Faults,
    },
    std::time::{Duration, Instant},
};

#[actix_web::test]
async fn resent_crashing_request() {
    const TIMEOUT: Duration = Duration::from_secs(10);
    let fleet = Fleet::start(fleet::small(3)).await.expect("the fleet starts");
    for vm in fleet.vms() {
        let crash_on = Some("/bookings/poison".to_owned());
        vm.target.set_faults(Faults { crash_on, ..Faults::default() });
    }
    let key = fleet.key("chonburi");
    let crashing = Request::post("/bookings/poison", "the same").key(&key);
    let client = Client::default();
    let entry = fleet.callers("notice-1");
    let started = Instant::now();
    loop {
        let verdict = client.send(&crashing, entry).await.verdict;
        if verdict.reason() == Some(Reason::Crasher) {
            assert!(verdict.is_not_run());
            break;
        }
        assert!(started.elapsed() < TIMEOUT, "never refused: {verdict:?}");
        tokio::time::sleep(POLL).await;
    }
    let runs = fleet.runs();
    let crashes = runs.iter().filter(|found| found.run.path == "/bookings/poison").count();
    assert!(crashes <= 2, "{crashes} targets crashed");
    let other = Request::post("/bookings/other", "another").key(&key);
    let verdict = client.send(&other, entry).await.verdict;
    assert!(verdict.reason() != Some(Reason::Crasher), "{verdict:?}");
    assert_ne!(verdict, Verdict::Wrong);
}
