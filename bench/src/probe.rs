//! Measures the latency that the system adds to a call.

use {
    hdrhistogram::Histogram,
    monsoon_testutils::{
        client::{Client, Request, Verdict},
        fleet::Fleet,
    },
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// How much is sent.
#[derive(Clone, Copy, Debug)]
pub struct Effort {
    /// Requests a second, each way.
    pub per_second: u32,
    /// Requests, each way.
    pub requests: u32,
}

/// What both ways took.
pub struct Ways {
    /// From a caller straight to the target.
    pub direct: Histogram<u64>,
    /// Through the node on the target's own VM.
    pub near: Histogram<u64>,
    /// Through a node on another VM, and so through two nodes.
    pub far: Histogram<u64>,
    /// Requests that were not answered whole.
    pub failed: u64,
}

/// The latency that the system adds, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Added {
    /// At the median.
    pub p50_ms: f64,
    /// At 99 of 100.
    pub p99_ms: f64,
}

/// Returns the difference of two ways, in milliseconds.
pub fn added_between(direct: &Histogram<u64>, way: &Histogram<u64>) -> Added {
    let added = |quantile| {
        let through = way.value_at_quantile(quantile) as f64;
        (through - direct.value_at_quantile(quantile) as f64) / 1_000.0
    };
    Added { p50_ms: added(0.5), p99_ms: added(0.99) }
}

/// Sends the same look-ups to the same target by all three ways, in turn, at an even rate.
pub async fn measure(fleet: &Fleet, effort: Effort) -> Ways {
    let place = look_up(fleet);
    let target = fleet.vms().iter().find(|vm| vm.placement.pool == place.pool);
    let target = target.expect("each pool has a target");
    let other = fleet.vms().iter().find(|vm| vm.placement.pool != place.pool);
    let far = other.unwrap_or(target).node.listen().callers;
    let addresses = [target.target.address(), target.node.listen().callers, far];
    let ways = [(); 3].map(|()| Rc::new(RefCell::new(histogram())));
    let failed = Rc::new(RefCell::new(0));
    let client = Client::default();
    let gap = Duration::from_secs(1) / effort.per_second;
    let start = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..effort.requests {
        for (way, (address, histogram)) in (0_u32..).zip(addresses.iter().zip(&ways)) {
            let at = gap * number + gap / 3 * way;
            tokio::time::sleep_until((start + at).into()).await;
            let path = format!("{}/probe-{way}-{number}", place.path);
            let request = Request::get(&path).key(&place.key);
            let call = call(client.clone(), request, *address, histogram.clone(), failed.clone());
            calls.spawn_local(call);
        }
    }
    while calls.join_next().await.is_some() {}
    let [direct, near, far] = ways.map(|way| way.borrow().clone());
    let failed = *failed.borrow();
    Ways { direct, near, far, failed }
}

async fn call(
    client: Client,
    request: Request,
    address: SocketAddr,
    histogram: Rc<RefCell<Histogram<u64>>>,
    failed: Rc<RefCell<u64>>,
) {
    let start = Instant::now();
    let verdict = client.send(&request, address).await.verdict;
    if verdict != Verdict::Correct {
        *failed.borrow_mut() += 1;
        return;
    }
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    histogram.borrow_mut().record(micros).expect("the histogram resizes itself");
}

fn histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are allowed")
}

/// A look-up without nested calls.
struct LookUp {
    pool: String,
    path: String,
    key: String,
}

fn look_up(fleet: &Fleet) -> LookUp {
    let description = fleet.description();
    let account = &description.accounts[0].name;
    let pools = description.pools.iter();
    let routes = pools.flat_map(|pool| pool.routes.iter().map(move |route| (pool, route)));
    let is_plain = |path: &str, pool: &monsoon_testutils::fleet::Pool| {
        pool.chains.iter().all(|chain| !path.starts_with(&chain.path))
    };
    let mut plain =
        routes.filter(|(pool, route)| route.method == "GET" && is_plain(&route.path, pool));
    let (pool, route) = plain.next().expect("a deployment has a look-up without nested calls");
    LookUp { pool: pool.name.clone(), path: route.path.clone(), key: description.key(account) }
}
