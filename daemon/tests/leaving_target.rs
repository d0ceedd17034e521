//! A target that is leaving receives no new requests after a few seconds, and no request is refused
//! because of it.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet},
        platform::Phase,
        target::Faults,
    },
    nix::sys::signal::Signal,
    std::time::{Duration, Instant},
};

/// Time for the other nodes to learn that a target is leaving.
const PROPAGATION: Duration = Duration::from_secs(2);

/// Sends a booking through each node except the leaving one.
async fn send_bookings(fleet: &Fleet, leaving: &str, audit: &Audit, round: &str) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for vm in fleet.vms().iter().filter(|vm| vm.placement.vm != leaving) {
        let path = format!("/bookings/{}-{round}", vm.placement.vm);
        let request = Request::post(&path, "").key(&fleet.key("chonburi"));
        verdicts.push(audit.send(request, vm.node.listen().callers).await);
    }
    verdicts
}

/// Sends bookings through all nodes except the leaving one and returns how many of them the leaving
/// target ran.
async fn bookings_run_by_leaving(fleet: &Fleet, leaving: &str, audit: &Audit) -> usize {
    const ROUNDS: usize = 20;
    let before = fleet.vm(leaving).target.runs().len();
    for round in 0..ROUNDS {
        let verdicts = send_bookings(fleet, leaving, audit, &round.to_string()).await;
        assert!(verdicts.iter().all(|verdict| *verdict == Verdict::Correct), "{verdicts:?}");
    }
    fleet.vm(leaving).target.runs().len() - before
}

#[actix_web::test]
async fn said_by_platform() {
    // Nodes read the VM list less often than they exchange messages.
    const PROPAGATION: Duration = Duration::from_secs(5);
    let mut fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    fleet.set_phase("bench-1", Phase::Leaving);
    tokio::time::sleep(PROPAGATION).await;
    let audit = Audit::default();
    assert_eq!(bookings_run_by_leaving(&fleet, "bench-1", &audit).await, 0);
    assert_eq!(audit.check(&fleet), []);
}

#[actix_web::test]
async fn said_by_node() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    // The node does not exit while this call is in flight.
    let delay_ms = u64::try_from(PROPAGATION.as_millis()).expect("two seconds") * 2;
    let leaving = fleet.vm("bench-1");
    leaving.target.set_faults(Faults { delay_ms, ..Faults::default() });
    let request = Request::get("/slots/held").key(&fleet.key("chonburi"));
    let callers = leaving.node.listen().callers;
    let held = actix_web::rt::spawn(async move {
        monsoon_testutils::client::Client::default().send(&request, callers).await.verdict
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    leaving.target.set_faults(Faults::default());
    leaving.node.signal(Signal::SIGTERM).expect("the node runs");
    tokio::time::sleep(PROPAGATION).await;
    let audit = Audit::default();
    assert_eq!(bookings_run_by_leaving(&fleet, "bench-1", &audit).await, 0);
    assert_eq!(audit.check(&fleet), []);
    held.abort();
}

#[actix_web::test]
async fn said_by_target() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    fleet.vm("bench-1").target.set_faults(Faults { drain: true, ..Faults::default() });
    let audit = Audit::default();
    let start = Instant::now();
    for number in 0.. {
        if start.elapsed() > PROPAGATION {
            break;
        }
        send_bookings(&fleet, "bench-1", &audit, &format!("early-{number}")).await;
    }
    assert_eq!(bookings_run_by_leaving(&fleet, "bench-1", &audit).await, 0);
    assert_eq!(audit.check(&fleet), []);
}
