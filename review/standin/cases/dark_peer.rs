//! The node of the clients' machine is restarted as planned while another machine is cut off from the
//! others. Connections to that machine hang, and its server stays listed in the store, which it
//! reaches.

use {
    crate::{
        http::{Connection, Request},
        record,
        server::Plan,
        site::{Route, SIGTERM, Site},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const CLIENTS: usize = 240;
/// The pause of a client between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(500);
/// The machine that is cut off.
const CUT: usize = 4;
/// How long the clients send requests. The cut lasts longer.
const TRAFFIC_TIME: Duration = Duration::from_millis(3_000);
/// The longest `node_cut` of the site file.
const MAX_CUT: Duration = Duration::from_millis(12_000);
const TIMEOUT_MS: u64 = 2_500;
const BUDGET_MS: u64 = 5_000;
/// How long after its route's timeout a request must have its final answer.
const LATE_MS: u64 = 500;
/// `stability_ms`, after which a machine is in touch.
const STABILITY: Duration = Duration::from_millis(3_000);
/// The delay with which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How often the platform asks whether a node is ready.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

struct Attempt {
    id: String,
    sent: Instant,
    /// The status and the time of the answer, if there was one within the time budget.
    answer: Option<(u16, u64)>,
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let behaviour = |_: &str, _: &_| Plan {
        work: Duration::from_millis(240),
        body: Arc::new(b"ok".to_vec()),
        ..Plan::default()
    };
    let services = ["front", "desk", "desk", "desk", "desk"];
    let mut site = Site::start(&services, 100, Arc::new(behaviour))?;
    let route = Route {
        prefix: "/look/",
        kind: "idempotent",
        service: "desk",
        timeout_ms: TIMEOUT_MS,
        aim_ms: 1_200,
    };
    let routes = [route];
    site.publish(&routes);
    site.start_nodes()?;
    let cut_at = Instant::now();
    if has_trouble {
        record!("m{CUT} is cut off from the other machines; its server stays in the store");
        site.cut_off(CUT)?;
        record!("the configuration changes during the cut, as with \"meet\"");
        site.publish(&routes);
    }
    record!("planned restart of the node of m0: SIGTERM");
    site.machines[0].signal(SIGTERM);
    while site.machines[0].ended().is_none() {
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(RESTART_DELAY);
    let started = Instant::now();
    site.start_node(0)?;
    record!("the node of m0 is started again");
    loop {
        thread::sleep(PROBE_INTERVAL);
        if site.machines[0].is_ready() {
            break;
        }
    }
    record!("the node of m0 is ready, the clients are back");
    let address = site.machines[0].outbound();
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let end = Instant::now() + TRAFFIC_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let attempts = attempts.clone();
            thread::spawn(move || ask(address, number, end, &attempts))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client panicked"))?;
    }
    record!("the cut lasted {} ms so far", cut_at.elapsed().as_millis());
    if has_trouble && cut_at.elapsed() > MAX_CUT {
        return Err(io::Error::other("the cut lasted longer than the site file allows"));
    }
    site.record_log(0, "unreachable");
    let attempts = attempts.lock().expect("the attempts");
    let timeout = Duration::from_millis(TIMEOUT_MS);
    // Only those count at whose timeout the machine was in touch.
    let lasts = |limit_ms: u64| {
        attempts.iter().filter(move |attempt| {
            let is_in_touch = attempt.sent + timeout >= started + STABILITY;
            is_in_touch && attempt.answer.is_none_or(|(_, ms)| ms >= limit_ms)
        })
    };
    let (lasting, late) = (lasts(TIMEOUT_MS).count(), lasts(TIMEOUT_MS + LATE_MS).count());
    for attempt in lasts(TIMEOUT_MS) {
        match attempt.answer {
            Some((status, ms)) => record!("{}: {status} after {ms} ms", attempt.id),
            None => record!("{}: no answer in {BUDGET_MS} ms, the client left", attempt.id),
        }
    }
    record!(
        "{} requests, {lasting} lasted longer than their route's timeout of {TIMEOUT_MS} ms, \
         {late} of these had no answer {LATE_MS} ms after it",
        attempts.len(),
    );
    // Eight or more last longer than that, and over a quarter has no answer half a second later.
    Ok(lasting >= 8 && late * 4 > lasting)
}

fn ask(address: SocketAddr, client: usize, end: Instant, attempts: &Mutex<Vec<Attempt>>) {
    // The clients don't come back all at the same moment.
    thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
    let Ok(mut connection) = Connection::open(address) else { return };
    for number in 0.. {
        if Instant::now() > end {
            return;
        }
        let id = format!("look-{client}-{number}");
        let request = Request {
            method: "GET",
            path: "/look/1",
            id: &id,
            key: "key-1",
            budget_ms: BUDGET_MS,
            upload: 0,
        };
        let sent = Instant::now();
        let answer = connection.exchange_within(&request, Duration::from_millis(BUDGET_MS));
        let answer = answer.ok().map(|answer| (answer.status(), sent.elapsed().as_millis() as u64));
        if answer.is_none() {
            match Connection::open(address) {
                Ok(open) => connection = open,
                Err(_) => return,
            }
        }
        attempts.lock().expect("the attempts").push(Attempt { id, sent, answer });
        thread::sleep(PAUSE);
    }
}
