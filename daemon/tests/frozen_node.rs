//! A node that pauses and wakes up late harms nobody for long.

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

const PATIENCE: Duration = Duration::from_secs(10);

/// Sends bookings until a number of them in a row have whole answers.
async fn settle(audit: &Audit, fleet: &Fleet, addresses: &[SocketAddr], name: &str) {
    const IN_A_ROW: usize = 20;
    let start = Instant::now();
    let mut row = 0;
    let mut number = 0;
    while row < IN_A_ROW {
        let address = addresses[number % addresses.len()];
        let path = format!("/bookings/{name}-{number}");
        let request = Request::post(&path, "").key(&fleet.key("chonburi"));
        let verdict = audit.send(request, address).await;
        row = if verdict == Verdict::Correct { row + 1 } else { 0 };
        assert!(start.elapsed() < PATIENCE, "{name}: still {verdict:?} after {number} bookings");
        number += 1;
        tokio::time::sleep(POLL / 4).await;
    }
}

#[actix_web::test]
async fn stop_and_continue() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let frozen = &fleet.vm("bench-1").node;
    let is_other = |address: &SocketAddr| *address != frozen.listen().callers;
    let others: Vec<_> = fleet.all_callers().into_iter().filter(is_other).collect();
    let audit = Audit::default();
    settle(&audit, &fleet, &others, "before").await;
    frozen.signal(Signal::SIGSTOP).expect("the node runs");
    settle(&audit, &fleet, &others, "frozen").await;
    frozen.signal(Signal::SIGCONT).expect("the node is stopped");
    settle(&audit, &fleet, &fleet.all_callers(), "woken").await;
    assert_eq!(audit.check(&fleet), []);
}
