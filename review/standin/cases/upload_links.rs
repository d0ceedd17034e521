//! A change of the configuration sends the uploads to another service, whose servers stand in one zone.
//! There is one upload at a time. The platform kills a process that exceeds the memory of its machine.

use {
    crate::{
        http::{Connection, Message, Request},
        record,
        server::Plan,
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

/// The machines of each zone: one with a server of `gallery`, and others whose clients upload. The
/// first zone also has the servers of `vault`.
const OTHERS: usize = 5;
const VAULTS: usize = 3;
const UPLOAD_BYTES: usize = 18 << 20;
/// How often each machine uploads before and after the change, at most.
const ROUNDS_BEFORE: usize = 3;
const ROUNDS_AFTER: usize = 8;
const BUDGET_MS: u64 = 5_000;
/// Clients on kept connections at each machine with a server of `vault`.
const CLIENTS: usize = 12;
const STATUS_WORK: Duration = Duration::from_millis(200);
/// `config_apply_ms`, which passes before the uploads go on.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

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
    let vaults = std::iter::repeat_n(("vault", ZONES[0]), VAULTS);
    let machines: Vec<_> = vaults.chain(ZONES.into_iter().flat_map(zone)).collect();
    let mut site = Site::start_in_zones(&machines, 100, Arc::new(behaviour))?;
    let route = |prefix, kind, service| Route {
        prefix,
        kind,
        service,
        timeout_ms: BUDGET_MS,
        aim_ms: 1_200,
    };
    let routes =
        |service| [route("/photo/", "upload", service), route("/status/", "idempotent", "front")];
    site.publish(&routes("gallery"));
    site.start_nodes()?;
    let lost: Vec<Arc<AtomicUsize>> = (0..VAULTS).map(|_| Arc::default()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..VAULTS * CLIENTS)
        .map(|number| {
            let address = site.machines[number % VAULTS].outbound();
            let (lost, is_over) = (lost[number % VAULTS].clone(), is_over.clone());
            thread::spawn(move || ask(address, number, &lost, &is_over))
        })
        .collect();
    if upload_from_all(&site, "before", ROUNDS_BEFORE)?.is_some() {
        return Err(io::Error::other("the memory was exceeded before the disruption"));
    }
    if has_trouble {
        record!("a new configuration sends the uploads to vault");
        site.publish(&routes("vault"));
    }
    thread::sleep(APPLY_TIME);
    let killed = upload_from_all(&site, "after", ROUNDS_AFTER)?;
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client panicked"))?;
    }
    let lost_at = |machine: usize| lost.get(machine).map_or(0, |lost| lost.load(Ordering::SeqCst));
    let lost = killed.map_or(0, lost_at);
    record!("{lost} requests ended without an answer at the machine that was killed");
    // More than three requests from kept connections, passed on to sound servers.
    Ok(lost > 3)
}

/// Uploads from each machine in turn, one body at a time. Returns the machine whose node was killed.
fn upload_from_all(site: &Site, name: &str, rounds: usize) -> io::Result<Option<usize>> {
    let others = site.machines.iter().filter(|machine| machine.service == "front");
    for (round, machine) in (0..rounds).flat_map(|round| others.clone().map(move |m| (round, m))) {
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
        let used = site.machines.iter().map(|machine| machine.memory_kb("VmRSS").unwrap_or(0));
        let most = used.enumerate().max_by_key(|(_, used_kb)| *used_kb);
        let Some((machine, used_kb)) = most else { return Ok(None) };
        record!("{id} gets {status}; the node of m{machine} uses most, {used_kb} kB");
        if used_kb > MEMORY_MB << 10 {
            record!("that is more than {MEMORY_MB} MB, the platform kills it");
            site.machines[machine].signal(SIGKILL);
            return Ok(Some(machine));
        }
    }
    Ok(None)
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
