//! A node is stopped while a client is still reading an answer that its server has given whole.

use {
    crate::{
        http::{Connection, Request},
        record,
        server::Plan,
        site::{Route, SIGTERM, Site},
    },
    std::{
        io,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const ANSWER_BYTES: usize = 14 << 20;
/// How fast clients read. They have the whole answer within 4.7 s.
const CLIENT_BYTES_PER_S: usize = 3 << 20;
/// When clients send their requests, after SIGTERM. The answers then come from the servers one after
/// the other, and the last client has its answer 5.5 s after SIGTERM, within the grace.
const SENT_AFTER: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(800)];
const BUDGET_MS: u64 = 8_000;

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let body = Arc::new(vec![b'x'; ANSWER_BYTES]);
    let behaviour = move |_: &str, _: &_| Plan {
        work: Duration::from_millis(20),
        body: body.clone(),
        ..Plan::default()
    };
    let services = ["front", "gallery", "gallery", "gallery"];
    let mut site = Site::start(&services, 100, Arc::new(behaviour))?;
    let route = Route {
        prefix: "/photo/",
        kind: "idempotent",
        service: "gallery",
        timeout_ms: BUDGET_MS,
        aim_ms: 5_000,
    };
    site.publish(&[route]);
    site.start_nodes()?;
    let address = site.machines[0].outbound();
    // The connections are open before the node is stopped, and clients go on using them.
    let connections = SENT_AFTER.iter().map(|_| Connection::open(address));
    let connections = connections.collect::<io::Result<Vec<_>>>()?;
    let stopped = Instant::now();
    if has_trouble {
        record!("SIGTERM to the node of the clients' machine");
        site.machines[0].signal(SIGTERM);
    }
    let clients: Vec<_> = connections
        .into_iter()
        .zip(SENT_AFTER)
        .enumerate()
        .map(|(number, (connection, delay))| {
            thread::spawn(move || {
                thread::sleep(delay);
                fetch(connection, number)
            })
        })
        .collect();
    while has_trouble && site.machines[0].ended().is_none() {
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble {
        record!("the node has ended {} ms after SIGTERM", stopped.elapsed().as_millis());
    }
    let mut is_broken = false;
    for client in clients {
        is_broken |= client.join().map_err(|_| io::Error::other("a client panicked"))??;
    }
    site.record_log(0, "\"leaving\"");
    site.record_log(0, "stopped");
    Ok(is_broken)
}

/// Fetches an answer. Returns whether the connection ended without the whole of it.
fn fetch(mut client: Connection, number: usize) -> io::Result<bool> {
    let id = format!("photo-{number}");
    let request = Request {
        method: "GET",
        path: "/photo/1",
        id: &id,
        key: "key-1",
        budget_ms: BUDGET_MS,
        upload: 0,
    };
    record!("client sends {id}");
    let sent = Instant::now();
    client.send(&request)?;
    let (head, received, end) = client.receive_slowly(CLIENT_BYTES_PER_S);
    let ms = sent.elapsed().as_millis();
    let (status, length) = (head.status(), head.length());
    record!("client got {status} for {id}, {received} of {length} bytes after {ms} ms: {end:?}");
    let is_cut = end.is_err();
    if is_cut {
        record!(
            "LOST: {id} ended without a complete answer, {} ms before its time",
            u128::from(BUDGET_MS).saturating_sub(ms)
        );
    }
    match status {
        0 | 200 => Ok(is_cut),
        _ => Err(io::Error::other(format!("{id} was answered {status}"))),
    }
}
