//! Many clients of one machine read their answers slowly. The platform kills a process that exceeds
//! the memory of its machine.

use {
    crate::{
        http::{Connection, Request},
        record,
        server::Plan,
        site::{MEMORY_MB, Route, SIGKILL, Site},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ANSWER_BYTES: usize = 8 << 20;
/// The time between two starts of slow clients. Their answers come at 80 MB/s, below `link_mbps`.
const START_INTERVAL: Duration = Duration::from_millis(100);
const SLOW_CLIENTS: usize = 40;
/// A client reads its answer in 10 s if it reads slowly.
const SLOW_BYTES_PER_S: usize = 800 << 10;
const FAST_BYTES_PER_S: usize = 200 << 20;
const PHOTO_WORK: Duration = Duration::from_millis(20);
const BUDGET_MS: u64 = 15_000;
/// Clients on kept connections that ask for small answers meanwhile.
const OTHER_CLIENTS: usize = 12;
const STATUS_WORK: Duration = Duration::from_millis(200);

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let photo = Arc::new(vec![b'x'; ANSWER_BYTES]);
    let behaviour = move |_: &str, request: &crate::http::Message| {
        let is_photo = request.second_word().starts_with("/photo/");
        Plan {
            work: if is_photo { PHOTO_WORK } else { STATUS_WORK },
            body: if is_photo { photo.clone() } else { Arc::new(b"ok".to_vec()) },
            ..Plan::default()
        }
    };
    let services = ["front", "gallery", "gallery", "gallery"];
    let mut site = Site::start(&services, 200, Arc::new(behaviour))?;
    let route = |prefix| Route {
        prefix,
        kind: "idempotent",
        service: "gallery",
        timeout_ms: BUDGET_MS,
        aim_ms: 4_000,
    };
    site.publish(&[route("/photo/"), route("/status/")]);
    site.start_nodes()?;
    let address = site.machines[0].outbound();
    let lost = Arc::new(AtomicUsize::new(0));
    let cut = Arc::new(AtomicUsize::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHER_CLIENTS)
        .map(|number| {
            let (lost, is_over) = (lost.clone(), is_over.clone());
            thread::spawn(move || ask(address, number, &lost, &is_over))
        })
        .collect();
    let rate = if has_trouble { SLOW_BYTES_PER_S } else { FAST_BYTES_PER_S };
    let counted = cut.clone();
    let clients = thread::spawn(move || {
        let clients = (0..SLOW_CLIENTS).map(|number| {
            let cut = counted.clone();
            thread::sleep(START_INTERVAL);
            thread::spawn(move || fetch(address, number, rate, &cut))
        });
        clients.collect::<Vec<_>>()
    });
    let end = Instant::now() + Duration::from_secs(17);
    let mut most_kb = 0;
    let mut is_killed = false;
    while Instant::now() < end && !is_killed {
        let used_kb = site.machines[0].memory_kb("VmRSS").unwrap_or(0);
        most_kb = most_kb.max(used_kb);
        if used_kb > MEMORY_MB << 10 {
            record!("the node uses {used_kb} kB of {MEMORY_MB} MB, the platform kills it");
            site.machines[0].signal(SIGKILL);
            is_killed = true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::SeqCst);
    let clients = clients.join().map_err(|_| io::Error::other("a client panicked"))?;
    for client in others.into_iter().chain(clients) {
        client.join().map_err(|_| io::Error::other("a client panicked"))?;
    }
    let (lost, cut) = (lost.load(Ordering::SeqCst), cut.load(Ordering::SeqCst));
    record!(
        "the node used {most_kb} kB at most; {lost} requests ended without an answer, and {cut} \
         answers were cut off"
    );
    // More than three requests from kept connections, passed on to a sound server.
    Ok(is_killed && lost > 3)
}

fn fetch(address: SocketAddr, number: usize, bytes_per_s: usize, cut: &AtomicUsize) {
    let id = format!("photo-{number}");
    let request = Request {
        method: "GET",
        path: "/photo/1",
        id: &id,
        key: "key-1",
        budget_ms: BUDGET_MS,
        upload: 0,
    };
    // The machine has no node any more once the platform has killed it.
    let Ok(mut client) = Connection::open(address) else { return };
    record!("client sends {id}");
    if client.send(&request).is_err() {
        return;
    }
    let sent = Instant::now();
    let (head, received, end) = client.receive_slowly(bytes_per_s);
    let ms = sent.elapsed().as_millis();
    let status = head.status();
    record!("client got {status} for {id}, {received} bytes after {ms} ms: {end:?}");
    if end.is_err() && ms < u128::from(BUDGET_MS) {
        cut.fetch_add(1, Ordering::SeqCst);
    }
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
            budget_ms: 5_000,
            upload: 0,
        };
        match connection.exchange(&request) {
            Ok(answer) if answer.status() == 200 => {}
            Ok(answer) => record!("client gets {} for {id}", answer.status()),
            Err(error) => {
                record!("the connection of {id} ended without an answer: {error}");
                lost.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }
}
