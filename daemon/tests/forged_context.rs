//! A nested call is refused unless its call context was issued by the same node for a call that is
//! still in flight.

use {
    monsoon_lib::call::Reason,
    monsoon_testutils::{
        client::{Client, Request, Verdict},
        fleet::{self, Fleet, POLL},
        raw,
        target::Faults,
    },
    std::{net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);

async fn send_nested(egress: SocketAddr, fields: &str) -> String {
    let text =
        format!("GET /notices/forged HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{fields}\r\n");
    let answer = raw::exchange(egress, text.as_bytes(), TIMEOUT).await;
    String::from_utf8_lossy(&answer.expect("the node accepts connections")).into_owned()
}

fn assert_refused(answer: &str) {
    assert!(answer.contains(&format!("\"{}\"", Reason::Context)), "{answer}");
    assert!(answer.contains("\"not-run\""), "{answer}");
}

fn last_context(fleet: &Fleet, vm: &str) -> Option<String> {
    fleet.vm(vm).target.runs().last()?.context.clone()
}

#[actix_web::test]
async fn foreign_and_expired_context() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    for vm in fleet.vms() {
        vm.target.set_faults(Faults { delay_ms: 1_000, ..Faults::default() });
    }
    let key = fleet.key("chonburi");
    let address = fleet.callers("notice-1");
    let before = fleet.runs().len();
    let open = actix_web::rt::spawn(async move {
        Client::default().send(&Request::get("/notices/open").key(&key), address).await.verdict
    });
    while fleet.runs().len() == before {
        tokio::time::sleep(POLL).await;
    }
    for vm in fleet.vms() {
        vm.target.set_faults(Faults::default());
    }
    let is_running = |vm: &&str| {
        let runs = fleet.vm(vm).target.runs();
        runs.last().is_some_and(|run| run.path == "/notices/open")
    };
    let vm = ["notice-1", "notice-2"].into_iter().find(is_running).expect("the run is recorded");
    let token = last_context(&fleet, vm).expect("the node sends a context");
    let field = format!("Monsoon-Context: {token}\r\n");
    for other in fleet.vms().iter().filter(|other| other.placement.vm != vm) {
        assert_refused(&send_nested(other.node.listen().egress, &field).await);
    }
    let egress = fleet.vm(vm).node.listen().egress;
    assert!(send_nested(egress, &field).await.starts_with("HTTP/1.1 200"));
    assert_eq!(open.await.expect("the task ends"), Verdict::Correct);
    assert_refused(&send_nested(egress, &field).await);
}

#[actix_web::test]
async fn fabricated_context() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let before = fleet.runs().len();
    let key = fleet.key("chonburi");
    let fields = [
        String::new(),
        format!("Authorization: Bearer {key}\r\n"),
        "Monsoon-Context: \r\n".into(),
        "Monsoon-Context: 0\r\n".into(),
        format!("Monsoon-Context: {}\r\n", "0".repeat(64)),
        format!("Monsoon-Context: {}\r\n", "f".repeat(5_000)),
        "Monsoon-Context: \u{e4}\u{f6}\r\n".into(),
    ];
    for field in &fields {
        let answer = send_nested(fleet.vm("bench-1").node.listen().egress, field).await;
        assert!(answer.starts_with("HTTP/1.1 4"), "{field} gave {answer}");
        // The listener for callers doesn't accept a context in place of an API key either.
        if !field.starts_with("Authorization") {
            let answer = send_nested(fleet.callers("bench-1"), field).await;
            assert!(answer.starts_with("HTTP/1.1 4"), "{field} gave {answer}");
        }
    }
    assert_eq!(fleet.runs().len(), before);
}
