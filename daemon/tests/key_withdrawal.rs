//! A withdrawn key is refused within seconds, also on connections that are already open.

use {
    monsoon_lib::call::Reason,
    monsoon_testutils::{
        client::{Client, Request, Verdict},
        fleet::{self, Fleet, POLL, grant},
    },
    std::time::{Duration, Instant},
};

/// Time limit for a withdrawal to take effect on all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

#[actix_web::test]
async fn connected_callers() {
    let fleet = Fleet::start(fleet::small(2)).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let request = Request::get("/slots/mine").key(&key);
    // One connection per node, which stays open during the withdrawal.
    let clients: Vec<_> = fleet.all_callers().into_iter().map(|a| (Client::default(), a)).collect();
    for (client, address) in &clients {
        assert_eq!(client.send(&request, *address).await.verdict, Verdict::Correct);
    }
    fleet.withdraw(&key);
    let start = Instant::now();
    for (client, address) in &clients {
        loop {
            let verdict = client.send(&request, *address).await.verdict;
            if verdict.reason() == Some(Reason::Key) {
                break;
            }
            assert!(start.elapsed() < PROPAGATION_LIMIT, "{address} still accepts the key");
            tokio::time::sleep(POLL).await;
        }
    }
    for (client, address) in &clients {
        assert_eq!(client.send(&request, *address).await.verdict.reason(), Some(Reason::Key));
        let other = Request::get("/slots/other").key(&fleet.key("rayong"));
        assert_eq!(client.send(&other, *address).await.verdict, Verdict::Correct);
    }
}

#[actix_web::test]
async fn new_key() {
    const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
    let fleet = Fleet::start(fleet::small(2)).await.expect("the fleet starts");
    let (name, value) = grant("a second key of the account", "chonburi");
    fleet.publish_value(&name, Some(value.to_string()));
    let request = Request::get("/slots/mine").key("a second key of the account");
    let client = Client::default();
    let start = Instant::now();
    for address in fleet.all_callers() {
        while client.send(&request, address).await.verdict != Verdict::Correct {
            assert!(start.elapsed() < PROPAGATION_LIMIT, "{address} does not accept the new key");
            tokio::time::sleep(POLL).await;
        }
    }
}
