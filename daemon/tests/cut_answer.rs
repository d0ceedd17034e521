//! A truncated answer reaches the caller as a failure, never as a shorter complete answer.
//!
//! The target truncates the answer, the target crashes, or the link between two nodes is cut.

use {
    monsoon_lib::call::Outcome,
    monsoon_testutils::{
        audit::Audit,
        client::{Refused, Request, Verdict},
        fleet::{self, Description, Fleet},
        proxy,
        target::Faults,
    },
    std::time::Duration,
};

async fn assert_not_whole(faults: Faults) {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    for vm in fleet.vms().iter().filter(|vm| vm.placement.pool == "bench") {
        vm.target.set_faults(faults.clone());
    }
    let audit = Audit::default();
    for address in fleet.all_callers() {
        let path = format!("/bookings/{}", address.port());
        let request = Request::post(&path, "").key(&fleet.key("chonburi"));
        let verdict = audit.send(request, address).await;
        // The target ran the booking, so "unknown" is the only correct outcome.
        let is_unknown =
            matches!(verdict, Verdict::Refused(Refused { outcome: Outcome::Unknown, .. }));
        assert!(is_unknown || verdict == Verdict::Incomplete, "{verdict:?} for {faults:?}");
    }
    assert_eq!(audit.check(&fleet), []);
}

#[actix_web::test]
async fn truncated_content_length() {
    assert_not_whole(Faults { cut_after: Some(10), ..Faults::default() }).await;
}

#[actix_web::test]
async fn truncated_chunked_encoding() {
    assert_not_whole(Faults { cut_after: Some(10), chunked: true, ..Faults::default() }).await;
}

#[actix_web::test]
async fn crashed_target() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    for vm in fleet.vms().iter().filter(|vm| vm.placement.pool == "bench") {
        let crash_on = Some("/bookings".into());
        vm.target.set_faults(Faults { crash_on, ..Faults::default() });
    }
    let audit = Audit::default();
    for address in fleet.all_callers() {
        let path = format!("/bookings/{}", address.port());
        let request = Request::post(&path, "").key(&fleet.key("chonburi"));
        assert_ne!(audit.send(request, address).await, Verdict::Correct);
    }
    assert_eq!(audit.check(&fleet), []);
}

#[actix_web::test]
async fn complete_chunked_encoding() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let audit = Audit::default();
    for vm in fleet.vms() {
        vm.target.set_faults(Faults { chunked: true, ..Faults::default() });
    }
    for address in fleet.all_callers() {
        let request = Request::get(&format!("/slots/{}", address.port()));
        let verdict = audit.send(request.key(&fleet.key("chonburi")), address).await;
        assert_eq!(verdict, Verdict::Correct);
    }
}

#[actix_web::test]
async fn truncated_peer_link() {
    const ANSWER_BYTES: usize = 100_000;
    let mut description = Description { has_proxies: true, ..fleet::small(2) };
    description.pools[0].answer_bytes = ANSWER_BYTES;
    // The only target for bookings is in another data centre than some of the callers.
    description.pools[0].targets = 1;
    let fleet = Fleet::start(description).await.expect("the fleet starts");
    let audit = Audit::default();
    let key = fleet.key("chonburi");
    for round in 0..20 {
        let cut_after = Some(ANSWER_BYTES as u64 / 2);
        fleet.set_link_faults(proxy::Faults { cut_after, ..proxy::Faults::default() });
        let sends = fleet.all_callers().into_iter().map(|address| {
            let path = format!("/bookings/{round}-{}", address.port());
            audit.send(Request::post(&path, "").key(&key), address)
        });
        futures::future::join_all(sends).await;
    }
    assert_eq!(audit.check(&fleet), []);
    fleet.heal();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(audit.count(|verdict| *verdict == Verdict::Correct) > 0);
    assert!(audit.count(|verdict| *verdict != Verdict::Correct) > 0, "no link was cut");
}
