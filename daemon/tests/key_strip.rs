//! API keys never appear in requests to targets, in state dumps or in logs.

use {
    monsoon_lib::key::Digest,
    monsoon_testutils::{
        client::Verdict,
        fleet::{self, Fleet},
        raw,
    },
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);

#[actix_web::test]
async fn all_spellings() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let fields = [
        format!("Authorization: Bearer {key}\r\n"),
        format!("aUTHORIZATION:bearer  {key}\r\n"),
        format!("Authorization: Bearer {key}\r\nConnection: close, authorization\r\n"),
        format!("Authorization: Bearer {key}\r\nAuthorization: Bearer {key}\r\n"),
        format!("Authorization: Bearer {key}\r\nProxy-Authorization: Bearer {key}\r\n"),
    ];
    let mut whole = 0;
    for (number, field) in fields.iter().enumerate() {
        for address in fleet.all_callers() {
            let port = address.port();
            let head =
                format!("GET /slots/{port}-{number} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n");
            let text = format!("{head}{field}\r\n");
            let answer = raw::exchange(address, text.as_bytes(), TIMEOUT).await;
            let answer = answer.expect("the node accepts connections");
            whole += usize::from(answer.starts_with(b"HTTP/1.1 200"));
        }
    }
    assert!(whole >= 4, "the standard spelling must be accepted by every node");
    let runs = fleet.runs();
    assert!(runs.iter().any(|found| found.run.path.starts_with("/slots/")));
    let seen = runs.iter().filter(|found| found.run.saw_key || found.run.saw_authorization);
    assert_eq!(seen.count(), 0);
}

#[actix_web::test]
async fn dumps_and_logs() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let digest = Digest::of(key.as_bytes()).to_hex();
    let client = monsoon_testutils::client::Client::default();
    for vm in fleet.vms() {
        let request = monsoon_testutils::client::Request::post("/bookings/dumped", "").key(&key);
        let verdict = client.send(&request, vm.node.listen().callers).await.verdict;
        assert_eq!(verdict, Verdict::Correct);
        let dump = vm.node.dump().await.expect("the node dumps its state").to_string();
        assert!(dump.contains("chonburi"), "the dump shows the accounts");
        for text in [&dump, &vm.node.log()] {
            assert!(!text.contains(&key) && !text.contains(&digest));
        }
    }
}
