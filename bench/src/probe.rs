//! Measures the latency that nodes add to a call.

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

/// The load of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct ProbeLoad {
    /// Requests per second over each path.
    pub per_second: u32,
    /// Requests over each path.
    pub requests: u32,
}

/// The latencies over each path, in microseconds.
pub struct PathLatencies {
    /// From a caller directly to the target.
    pub direct: Histogram<u64>,
    /// Through the node on the target's own VM.
    pub one_node: Histogram<u64>,
    /// Through a node on another VM and the node on the target's VM.
    pub two_nodes: Histogram<u64>,
    /// Requests that were not answered successfully.
    pub failed: u64,
}

/// The latency that nodes add to a direct call, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct AddedLatency {
    /// The difference of the medians.
    pub p50_ms: f64,
    /// The difference of the 99th percentiles.
    pub p99_ms: f64,
}

/// Returns the added latency, from histograms in microseconds.
pub fn added_latency(direct: &Histogram<u64>, path: &Histogram<u64>) -> AddedLatency {
    let added = |quantile| {
        let through = path.value_at_quantile(quantile) as f64;
        (through - direct.value_at_quantile(quantile) as f64) / 1_000.0
    };
    AddedLatency { p50_ms: added(0.5), p99_ms: added(0.99) }
}

/// Sends look-ups of the same route to the same target over each of the three paths in turn, at a
/// constant rate.
pub async fn measure(fleet: &Fleet, load: ProbeLoad) -> PathLatencies {
    let lookup = find_lookup(fleet);
    let target = fleet.vms().iter().find(|vm| vm.placement.pool == lookup.pool);
    let target = target.expect("each pool has a target");
    let other = fleet.vms().iter().find(|vm| vm.placement.pool != lookup.pool);
    let entry_address = other.unwrap_or(target).node.listen().callers;
    let addresses = [target.target.address(), target.node.listen().callers, entry_address];
    let histograms = [(); 3].map(|()| Rc::new(RefCell::new(new_histogram())));
    let failed = Rc::new(RefCell::new(0));
    let client = Client::default();
    let interval = Duration::from_secs(1) / load.per_second;
    let start = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..load.requests {
        for (path_index, (address, histogram)) in (0_u32..).zip(addresses.iter().zip(&histograms)) {
            let offset = interval * number + interval / 3 * path_index;
            tokio::time::sleep_until((start + offset).into()).await;
            let path = format!("{}/probe-{path_index}-{number}", lookup.path);
            let request = Request::get(&path).key(&lookup.key);
            let call = call(client.clone(), request, *address, histogram.clone(), failed.clone());
            calls.spawn_local(call);
        }
    }
    while calls.join_next().await.is_some() {}
    let [direct, one_node, two_nodes] = histograms.map(|histogram| histogram.borrow().clone());
    let failed = *failed.borrow();
    PathLatencies { direct, one_node, two_nodes, failed }
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
    histogram.borrow_mut().record(micros).expect("the histogram resizes automatically");
}

fn new_histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new(SIGNIFICANT_DIGITS).expect("three significant digits are valid")
}

/// A route that answers look-ups without nested calls, with a key to call it.
struct Lookup {
    pool: String,
    path: String,
    key: String,
}

fn find_lookup(fleet: &Fleet) -> Lookup {
    let description = fleet.description();
    let account = &description.accounts[0].name;
    let pools = description.pools.iter();
    let routes = pools.flat_map(|pool| pool.routes.iter().map(move |route| (pool, route)));
    let is_unnested = |path: &str, pool: &monsoon_testutils::fleet::Pool| {
        pool.chains.iter().all(|chain| !path.starts_with(&chain.path))
    };
    let mut candidates =
        routes.filter(|(pool, route)| route.method == "GET" && is_unnested(&route.path, pool));
    let (pool, route) = candidates.next().expect("a deployment has a look-up without nested calls");
    Lookup { pool: pool.name.clone(), path: route.path.clone(), key: description.key(account) }
}
