//! A platform that serves an older revision does not roll back the values that nodes have applied.
//!
//! The older revision contains a key that has been withdrawn since.

use {
    monsoon_lib::call::Reason,
    monsoon_testutils::{
        client::{Client, Request, Verdict},
        fleet::{self, Fleet, POLL},
        platform::Faults,
    },
    std::time::{Duration, Instant},
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Withdraws a key, waits until all nodes refuse it, and makes the platform serve the revision
/// before the withdrawal. Returns a request with the withdrawn key.
async fn withdraw_and_rewind(fleet: &Fleet, client: &Client) -> Request {
    let key = fleet.key("chonburi");
    let request = Request::get("/slots/mine").key(&key);
    let revision = fleet.withdraw(&key);
    let start = Instant::now();
    for address in fleet.all_callers() {
        while client.send(&request, address).await.verdict.reason() != Some(Reason::Key) {
            assert!(start.elapsed() < TIMEOUT, "{address} still accepts the key");
            tokio::time::sleep(POLL).await;
        }
    }
    fleet.set_platform_faults(Faults { stale_at: Some(revision - 1), ..Faults::default() });
    request
}

#[actix_web::test]
async fn withdrawal_persists() {
    const OBSERVATION: Duration = Duration::from_secs(2);
    let fleet = Fleet::start(fleet::small(2)).await.expect("the fleet starts");
    let client = Client::default();
    let request = withdraw_and_rewind(&fleet, &client).await;
    let start = Instant::now();
    while start.elapsed() < OBSERVATION {
        for address in fleet.all_callers() {
            let verdict = client.send(&request, address).await.verdict;
            assert_eq!(verdict.reason(), Some(Reason::Key));
        }
        tokio::time::sleep(POLL).await;
    }
}

#[actix_web::test]
async fn replaced_node() {
    let mut fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let client = Client::default();
    let request = withdraw_and_rewind(&fleet, &client).await;
    fleet.replace("bench-1").await.expect("the new node starts");
    let address = fleet.callers("bench-1");
    let other = Request::get("/slots/other").key(&fleet.key("rayong"));
    let start = Instant::now();
    while client.send(&other, address).await.verdict != Verdict::Correct {
        assert_ne!(client.send(&request, address).await.verdict, Verdict::Correct);
        assert!(start.elapsed() < TIMEOUT, "the new node does not serve");
        tokio::time::sleep(POLL).await;
    }
    assert_ne!(client.send(&request, address).await.verdict, Verdict::Correct);
}
