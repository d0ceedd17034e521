//! Bookings succeed again within seconds after a node is stopped with SIGSTOP, and after it is
//! resumed.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet, POLL},
    },
    nix::sys::signal::Signal,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time limit for bookings to succeed again.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends bookings until a number of consecutive ones get complete answers.
async fn wait_for_successes(audit: &Audit, fleet: &Fleet, addresses: &[SocketAddr], name: &str) {
    const CONSECUTIVE: usize = 20;
    let start = Instant::now();
    let mut successes = 0;
    let mut number = 0;
    while successes < CONSECUTIVE {
        let address = addresses[number % addresses.len()];
        let path = format!("/bookings/{name}-{number}");
        let request = Request::post(&path, "").key(&fleet.key("chonburi"));
        let verdict = audit.send(request, address).await;
        successes = if verdict == Verdict::Correct { successes + 1 } else { 0 };
        assert!(
            start.elapsed() < TIMEOUT,
            "{name}: last verdict {verdict:?} after {number} bookings"
        );
        number += 1;
        tokio::time::sleep(POLL / 4).await;
    }
}

#[actix_web::test]
async fn stop_and_continue() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let frozen = &fleet.vm("bench-1").node;
    let is_running = |address: &SocketAddr| *address != frozen.listen().callers;
    let others: Vec<_> = fleet.all_callers().into_iter().filter(is_running).collect();
    let audit = Audit::default();
    wait_for_successes(&audit, &fleet, &others, "before").await;
    frozen.signal(Signal::SIGSTOP).expect("the node runs");
    wait_for_successes(&audit, &fleet, &others, "frozen").await;
    frozen.signal(Signal::SIGCONT).expect("the node is stopped");
    wait_for_successes(&audit, &fleet, &fleet.all_callers(), "woken").await;
    assert_eq!(audit.check(&fleet), []);
}
