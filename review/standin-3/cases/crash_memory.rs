//! A request that crashes servers comes again after rolling restarts of the nodes.

use {
    crate::{
        Error, Verdict, client,
        server::{Arrival, CRASHING_PATH, Settings},
        site::{CALM, KEY, Route, Site, TWHAA_MESH},
    },
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const ROUTES: [Route; 1] = [Route {
    name: "claim",
    prefix: "/desk/",
    kind: "idempotent",
    service: "desk",
    timeout_ms: 5_000,
    target_latency_ms: 1_200,
}];
/// The number of rolling restarts.
const ROUNDS: usize = 6;
const MACHINES: usize = 2;
/// The clients on each machine that send other requests, and the time between two requests of one.
const CLIENTS: usize = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
/// The time from the request to the next restart, in which a crashed server is back. It exceeds
/// `stability_ms`.
const PAUSE: Duration = Duration::from_millis(3_200);
/// The number of retries that may reach servers after the third crash.
const ALLOWED: usize = 3;
const STABILITY: Duration = Duration::from_millis(3_000);

pub fn run(has_trouble: bool) -> Result<Verdict, Error> {
    let mut site = Site::start(TWHAA_MESH, MACHINES as u8, &ROUTES, |i| Settings {
        id: format!("i-desk{i}"),
        service: "desk".into(),
        zone: "za".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        slots: 16,
        work: Duration::from_millis(20),
        answer_bytes: 400,
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&site, &is_over);
    for round in 0..=ROUNDS {
        if round > 0 && has_trouble {
            for machine in 0..MACHINES {
                site.terminate(machine)?;
                site.wait_until_ended(machine)?;
                site.start_node(machine)?;
                site.wait_until_ready()?;
            }
        }
        thread::sleep(CALM);
        let request = client::Request {
            id: format!("p{round}"),
            method: "GET",
            target: CRASHING_PATH.into(),
            budget: Duration::from_secs(5),
            body: Vec::new(),
        };
        client::send(site.outbound(round % MACHINES), KEY, &request, &site.record);
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let arrivals = site.machines.iter().flat_map(|machine| machine.server.arrivals());
    let mut arrivals: Vec<Arrival> = arrivals.filter(|a| a.target == CRASHING_PATH).collect();
    arrivals.sort_unstable_by_key(|arrival| arrival.at);
    let third_crash = arrivals.get(2).map(|arrival| arrival.at);
    let is_late =
        |arrival: &Arrival| third_crash.is_some_and(|third| arrival.at > third + STABILITY);
    // A retry is a further arrival of the same attempt of a client.
    let is_retry = |i: usize| arrivals[..i].iter().any(|a| a.request == arrivals[i].request);
    let late = arrivals.iter().filter(|arrival| is_late(arrival)).count();
    let retries = (0..arrivals.len()).filter(|i| is_late(&arrivals[*i]) && is_retry(*i)).count();
    site.record.write(&format!(
        "the request reached servers {} times, and {late} times later than stability_ms after the \
         third crash, {retries} of them in a retry by a node",
        arrivals.len()
    ));
    Ok(if retries > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

/// Starts clients that send requests that crash nothing.
fn start_clients(site: &Site, is_over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    let start = |client| {
        let node = site.outbound(client % MACHINES);
        let (record, is_over) = (site.record.clone(), is_over.clone());
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let request = client::Request {
                    id: format!("c{client}x{number}"),
                    method: "GET",
                    target: "/desk/x".into(),
                    budget: Duration::from_secs(5),
                    body: Vec::new(),
                };
                client::send(node, KEY, &request, &record);
                thread::sleep(CLIENT_PAUSE);
            }
        })
    };
    (0..MACHINES * CLIENTS).map(start).collect()
}
