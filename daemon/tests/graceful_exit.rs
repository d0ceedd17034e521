//! A node that receives SIGTERM finishes the requests in flight and exits with status 0.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet, POLL},
        target::Faults,
    },
    nix::sys::signal::Signal,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

const COUNT: usize = 20;
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends bookings to a node and waits until each of them is running or refused.
async fn start_bookings(
    fleet: &Fleet,
    audit: &Rc<Audit>,
    address: std::net::SocketAddr,
) -> Vec<actix_web::rt::task::JoinHandle<Verdict>> {
    let booked = || fleet.runs().iter().filter(|f| f.run.path.starts_with("/bookings")).count();
    let before = booked();
    let send = |number| {
        let path = format!("/bookings/{}-{number}", address.port());
        let request = Request::post(&path, "").key(&fleet.key("chonburi"));
        let audit = audit.clone();
        actix_web::rt::spawn(async move { audit.send(request, address).await })
    };
    let sent = (0..COUNT).map(send).collect();
    let start = Instant::now();
    let refused = audit.count(Verdict::is_not_run);
    while booked() + audit.count(Verdict::is_not_run) < before + COUNT + refused {
        let verdicts = audit.verdicts();
        assert!(
            start.elapsed() < EXIT_TIMEOUT,
            "{} of {COUNT} run: {verdicts:?}",
            booked() - before
        );
        tokio::time::sleep(POLL).await;
    }
    sent
}

#[actix_web::test]
async fn requests_in_flight() {
    let mut fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    for vm in fleet.vms() {
        vm.target.set_faults(Faults { delay_ms: 600, ..Faults::default() });
    }
    let audit = Rc::new(Audit::default());
    // The node has calls in flight from its own callers and from callers of another node.
    let own = start_bookings(&fleet, &audit, fleet.callers("bench-1")).await;
    let other = start_bookings(&fleet, &audit, fleet.callers("notice-1")).await;
    let node = &mut fleet.vm_mut("bench-1").node;
    node.signal(Signal::SIGTERM).expect("the node runs");
    for sent in own.into_iter().chain(other) {
        let verdict = sent.await.expect("the task ends");
        assert!(verdict == Verdict::Correct || verdict.is_not_run(), "{verdict:?}");
    }
    let whole = audit.count(|verdict| *verdict == Verdict::Correct);
    assert!(whole >= COUNT, "{:?}", audit.verdicts());
    let status = fleet.vm_mut("bench-1").node.wait(EXIT_TIMEOUT).await.expect("the node ends");
    assert_eq!(status.code(), Some(0));
    assert_eq!(audit.check(&fleet), []);
}

#[actix_web::test]
async fn idle_connections() {
    let mut fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let address = fleet.callers("bench-1");
    let idle = tokio::net::TcpStream::connect(address).await.expect("the node listens");
    let node = &mut fleet.vm_mut("bench-1").node;
    node.signal(Signal::SIGTERM).expect("the node runs");
    let status = node.wait(EXIT_TIMEOUT).await.expect("the node ends");
    assert_eq!(status.code(), Some(0));
    drop(idle);
}
