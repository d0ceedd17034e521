//! A request that crashes servers comes again after rolling restarts of the nodes.

use {
    crate::{
        Error, Verdict, client,
        server::{CRASHING_PATH, Settings},
        site::{CALM, KEY, Route, Site, TWHAA_MESH},
    },
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        thread,
        time::Duration,
    },
};

const ROUTES: [Route; 1] = [Route {
    name: "claim",
    prefix: "/desk/",
    kind: "non_idempotent",
    service: "desk",
    timeout_ms: 5_000,
    target_latency_ms: 1_200,
}];
/// The number of rolling restarts.
const ROUNDS: usize = 3;
/// The number of times that the request comes after each.
const TRIES: usize = 3;
const MACHINES: usize = 2;
/// The time from one try to the next, in which a crashed server is back. It exceeds `stability_ms`.
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
    let mut number = 0;
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
        for _ in 0..TRIES {
            number += 1;
            let request = client::Request {
                id: format!("p{number}"),
                method: "POST",
                target: CRASHING_PATH.into(),
                budget: Duration::from_secs(5),
                body: Vec::new(),
            };
            let node = site.outbound(number % MACHINES);
            client::send(node, KEY, &request, &site.record);
            thread::sleep(PAUSE);
        }
    }
    let arrivals = site.machines.iter().flat_map(|machine| machine.server.arrivals());
    let mut times: Vec<Duration> =
        arrivals.filter(|a| a.target == CRASHING_PATH).map(|arrival| arrival.at).collect();
    times.sort_unstable();
    let third = times.get(2).copied();
    let late = times.iter().filter(|at| third.is_some_and(|third| **at > third + STABILITY));
    let late = late.count();
    site.record.write(&format!(
        "the request reached servers {} times, and {late} times later than stability_ms after the \
         third crash",
        times.len()
    ));
    Ok(if late > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
