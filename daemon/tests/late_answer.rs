//! An answer that arrives late or out of order is never delivered to another caller.
//!
//! The risk is in connections that are reused after a caller timed out.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet},
        load::{Generator, Plan},
        target::Faults,
    },
    std::time::Duration,
};

#[actix_web::test]
async fn swapped_answers() {
    let mut description = fleet::small(2);
    for pool in &mut description.pools {
        *pool = pool.clone().service(20_000);
    }
    let fleet = Fleet::start(description).await.expect("the fleet starts");
    let mut accounts = fleet.description().load(1.0);
    for account in &mut accounts {
        account.rate = 200.0;
    }
    let plan = Plan {
        accounts,
        duration: Duration::from_secs(3),
        surges: Vec::new(),
        // Some callers time out before their answer arrives, and their connections are reused.
        timeout: Duration::from_millis(60),
        seed: 3,
    };
    let total = Generator::new(plan, fleet.all_callers()).run().await.total();
    assert_eq!(total.wrong, 0);
    let (whole, sent) = (total.correct, total.sent);
    assert!(whole * 2 > sent, "only {whole} of {sent} are whole: {total:?}");
    assert!(total.incomplete > 0, "no caller timed out");
}

#[actix_web::test]
async fn expired_deadline() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    for vm in fleet.vms().iter().filter(|vm| vm.placement.pool == "bench") {
        vm.target.set_faults(Faults { delay_ms: 300, ..Faults::default() });
    }
    let audit = Audit::default();
    for address in fleet.all_callers() {
        let path = format!("/bookings/late-{}", address.port());
        let request = Request::post(&path, "").key(&fleet.key("chonburi"));
        let verdict = audit.send(Request { deadline_ms: Some(100), ..request }, address).await;
        assert!(!verdict.is_not_run() && verdict != Verdict::Correct, "{verdict:?}");
        // The late answer must not be delivered as the answer to the next request.
        let path = format!("/notices/next-{}", address.port());
        let next = Request::get(&path).key(&fleet.key("chonburi"));
        assert_eq!(audit.send(next, address).await, Verdict::Correct);
    }
    assert_eq!(audit.check(&fleet), []);
}
