//! A server leaves without a report that it is draining, while requests wait for it at its node.

use {
    crate::{
        Error, Verdict, client,
        server::Settings,
        site::{KEY, Route, STW_HQ_MESH_GROWN, Site},
    },
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        thread,
        time::Duration,
    },
};

/// Times as those of `weather-lookup` in `demands/LATER.md`.
const ROUTES: [Route; 2] = [route("/meteo/", "meteo"), route("/front/", "front")];
const BUDGET: Duration = Duration::from_secs(10);
const WORK: Duration = Duration::from_millis(910);
const SLOTS: usize = 4;
/// The services of the machines. Clients are beside the first two, and send to the other service.
const SERVICES: [&str; 9] =
    ["front", "front", "meteo", "meteo", "meteo", "meteo", "meteo", "meteo", "meteo"];
const CLIENT_MACHINES: usize = 2;
/// The machine whose server leaves.
const LEAVING: usize = 8;
/// The requests before the load rises, one after the other on each machine with clients.
const EARLIER_REQUESTS: usize = 6;
/// The requests that come at once.
const REQUESTS: usize = 105;
/// The time from these requests to the server's departure.
const LEAVES_AFTER: Duration = Duration::from_millis(50);
const END: Duration = Duration::from_secs(6);

const fn route(prefix: &'static str, service: &'static str) -> Route {
    Route {
        name: service,
        prefix,
        kind: "idempotent",
        service,
        timeout_ms: 10_000,
        target_latency_ms: 5_000,
    }
}

pub fn run(has_trouble: bool) -> Result<Verdict, Error> {
    let site = Site::start(STW_HQ_MESH_GROWN, SERVICES.len() as u8, &ROUTES, |i| Settings {
        id: format!("i-{i}"),
        service: SERVICES[usize::from(i)].into(),
        zone: "za".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        slots: SLOTS,
        work: WORK,
        answer_bytes: 400,
    })?;
    let send = |name: &'static str, client: usize, number: usize| {
        let node = site.outbound(client % CLIENT_MACHINES);
        let record = site.record.clone();
        let request = client::Request {
            id: format!("{name}{client}x{number}"),
            method: "GET",
            target: format!("/meteo/{name}/{client}/{number}"),
            budget: BUDGET,
            body: Vec::new(),
        };
        move || client::send(node, KEY, &request, &record)
    };
    for number in 0..EARLIER_REQUESTS {
        let earlier: Vec<_> =
            (0..CLIENT_MACHINES).map(|client| thread::spawn(send("e", client, number))).collect();
        for client in earlier {
            client.join().map_err(|_| "a client failed")?;
        }
    }
    let clients: Vec<_> = (0..REQUESTS).map(|client| thread::spawn(send("c", client, 0))).collect();
    thread::sleep(LEAVES_AFTER);
    let leaving = &site.machines[LEAVING].server;
    if has_trouble {
        leaving.remove_entry(&site.store);
        site.record.write("the store has acknowledged the removal of i-8, which goes on serving");
    }
    let left_at = site.record.now();
    thread::sleep(END);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let arrivals = leaving.arrivals();
    if arrivals.is_empty() {
        return Err("the server got no requests".into());
    }
    if !has_trouble {
        site.record.write(&format!("i-8 got {} requests and did not leave", arrivals.len()));
        return Ok(Verdict::Held);
    }
    let late: Vec<Duration> = arrivals
        .iter()
        .filter_map(|arrival| arrival.at.checked_sub(left_at + STW_HQ_MESH_GROWN.drain()))
        .collect();
    let last = late.iter().max().copied().unwrap_or_default();
    site.record.write(&format!(
        "i-8 got {} requests, {} of them later than drain_ms after its removal, the last one {} ms \
         late",
        arrivals.len(),
        late.len(),
        last.as_millis()
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
