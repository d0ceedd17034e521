//! Two of three servers of a service are emptied and taken away, so that the third gets the uploads of
//! all machines, one at a time. The platform kills a process that exceeds the memory of its machine.

use {
    crate::{
        http::{Connection, Message, Request},
        record,
        server::{Plan, Settings},
        site::{MEMORY_MB, Route, SIGKILL, Site, ZONES},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The machines of each zone: one with a server for uploads, and others whose clients upload.
const OTHERS: usize = 5;
const UPLOAD_BYTES: usize = 18 << 20;
/// How often each machine uploads.
const ROUNDS: usize = 3;
const BUDGET_MS: u64 = 5_000;
/// Clients on kept connections at the machine of the server that stays.
const CLIENTS: usize = 12;
const STATUS_WORK: Duration = Duration::from_millis(200);
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// `stability_ms`, which passes before the uploads go on.
const STABILITY: Duration = Duration::from_millis(3_000);

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let behaviour = |_: &str, request: &Message| {
        let is_upload = request.second_word().starts_with("/photo/");
        Plan {
            work: if is_upload { Duration::from_millis(20) } else { STATUS_WORK },
            body: Arc::new(b"ok".to_vec()),
            ..Plan::default()
        }
    };
    let zone = |zone| {
        let others = std::iter::repeat_n(("front", zone), OTHERS);
        std::iter::once(("gallery", zone)).chain(others)
    };
    let machines: Vec<_> = ZONES.into_iter().flat_map(zone).collect();
    let mut site = Site::start_in_zones(&machines, 100, Arc::new(behaviour))?;
    let route = |prefix, kind, service| Route {
        prefix,
        kind,
        service,
        timeout_ms: BUDGET_MS,
        aim_ms: 1_200,
    };
    site.publish(&[
        route("/photo/", "upload", "gallery"),
        route("/status/", "idempotent", "front"),
    ]);
    site.start_nodes()?;
    let lost = Arc::new(AtomicUsize::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let address = site.machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (lost, is_over) = (lost.clone(), is_over.clone());
            thread::spawn(move || ask(address, number, &lost, &is_over))
        })
        .collect();
    let is_killed = upload_from_all(&site, "before")?;
    if is_killed {
        return Err(io::Error::other("the memory was exceeded before the disruption"));
    }
    if has_trouble {
        let leaving = [OTHERS + 1, 2 * (OTHERS + 1)];
        let settings = |machine: usize| Settings::new(&format!("i-{machine}"), "gallery", 100);
        for machine in leaving {
            record!("the server of m{machine} is draining");
            site.write_entry(machine, &settings(machine), "draining");
        }
        thread::sleep(DRAIN_TIME + Duration::from_millis(500));
        for machine in leaving {
            record!("the server of m{machine} has left");
            site.replace_server(machine, None);
            site.store.write(&format!("servers/i-{machine}"), None);
        }
        thread::sleep(STABILITY);
    }
    let is_killed = upload_from_all(&site, "after")?;
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client panicked"))?;
    }
    let lost = lost.load(Ordering::SeqCst);
    record!("{lost} requests ended without an answer");
    // More than three requests from kept connections, passed on to sound servers.
    Ok(is_killed && lost > 3)
}

/// Uploads from each machine in turn, one body at a time. Returns whether the node of m0 was killed.
fn upload_from_all(site: &Site, name: &str) -> io::Result<bool> {
    let others = site.machines.iter().filter(|machine| machine.service == "front");
    for (round, machine) in (0..ROUNDS).flat_map(|round| others.clone().map(move |m| (round, m))) {
        let id = format!("photo-{name}-{round}-{}", machine.name);
        let request = Request {
            method: "POST",
            path: "/photo/1",
            id: &id,
            key: "key-1",
            budget_ms: BUDGET_MS,
            upload: UPLOAD_BYTES,
        };
        let status = Connection::open(machine.outbound())?.exchange(&request)?.status();
        thread::sleep(Duration::from_millis(50));
        let used_kb = site.machines[0].memory_kb("VmRSS").unwrap_or(0);
        record!("{id} gets {status}; the node of m0 uses {used_kb} kB");
        if used_kb > MEMORY_MB << 10 {
            record!("that is more than {MEMORY_MB} MB, the platform kills it");
            site.machines[0].signal(SIGKILL);
            return Ok(true);
        }
    }
    Ok(false)
}

/// Sends small requests on a kept connection.
fn ask(address: SocketAddr, client: usize, lost: &AtomicUsize, is_over: &AtomicBool) {
    let Ok(mut connection) = Connection::open(address) else { return };
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("status-{client}-{number}");
        let request = Request {
            method: "GET",
            path: "/status/1",
            id: &id,
            key: "key-1",
            budget_ms: BUDGET_MS,
            upload: 0,
        };
        if let Err(error) = connection.exchange(&request) {
            record!("the connection of {id} ended without an answer: {error}");
            lost.fetch_add(1, Ordering::SeqCst);
            return;
        }
    }
}
