//! A machine is cut off from the others while no request to it is in progress. Connections to it hang
//! from then on, and its server stays listed in the store, which it reaches.

use {
    crate::{
        http::{Connection, Request},
        record,
        server::Plan,
        site::{Route, Site},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// The clients send a request each, together, every period.
const CLIENTS: usize = 80;
const PERIOD: Duration = Duration::from_millis(2_700);
const ROUNDS: u32 = 5;
/// After which round, and how long after its start, the machine is cut off. All requests have been
/// answered by then.
const CUT_ROUND: u32 = 2;
const CUT_AFTER: Duration = Duration::from_millis(700);
/// The machine that is cut off.
const CUT: usize = 4;
/// The route and the time budget of `notice-read`.
const TIMEOUT_MS: u64 = 1_200;
const BUDGET_MS: u64 = 2_500;
/// How long after its route's timeout a request must have its final answer.
const LATE_MS: u64 = 500;

struct Attempt {
    id: String,
    /// The status and the time of the answer, if there was one within the time budget.
    answer: Option<(u16, u64)>,
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let behaviour = |_: &str, _: &_| Plan {
        work: Duration::from_millis(50),
        body: Arc::new(b"ok".to_vec()),
        ..Plan::default()
    };
    let services = ["front", "desk", "desk", "desk", "desk"];
    let mut site = Site::start(&services, 100, Arc::new(behaviour))?;
    let route = Route {
        prefix: "/notice/",
        kind: "idempotent",
        service: "desk",
        timeout_ms: TIMEOUT_MS,
        aim_ms: 600,
    };
    site.publish(&[route]);
    site.start_nodes()?;
    let address = site.machines[0].outbound();
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let begin = Instant::now() + Duration::from_millis(500);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let attempts = attempts.clone();
            thread::spawn(move || ask(address, number, begin, &attempts))
        })
        .collect();
    thread::sleep(
        (begin + PERIOD * CUT_ROUND + CUT_AFTER).saturating_duration_since(Instant::now()),
    );
    if has_trouble {
        record!("m{CUT} is cut off, its connections are reset; its server stays in the store");
        site.cut_off(CUT)?;
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client panicked"))?;
    }
    site.record_log(0, "unreachable");
    let attempts = attempts.lock().expect("the attempts");
    let lasts = |limit_ms: u64| {
        attempts.iter().filter(move |attempt| attempt.answer.is_none_or(|(_, ms)| ms >= limit_ms))
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

fn ask(address: SocketAddr, client: usize, begin: Instant, attempts: &Mutex<Vec<Attempt>>) {
    let Ok(mut connection) = Connection::open(address) else { return };
    for round in 0..ROUNDS {
        thread::sleep((begin + PERIOD * round).saturating_duration_since(Instant::now()));
        let id = format!("notice-{round}-{client}");
        let request = Request {
            method: "GET",
            path: "/notice/1",
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
        attempts.lock().expect("the attempts").push(Attempt { id, answer });
    }
}
