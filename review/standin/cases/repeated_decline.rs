//! A server that is full declines a request, and sends that answer a second time, late. The request
//! is sent to the same server again, on the same connection, so the second answer has its id.

use {
    crate::{
        http::{Connection, Message, Request},
        record,
        server::Plan,
        site::{Route, Site},
    },
    std::{
        collections::{HashMap, HashSet},
        io,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// The requests of the client. Those in `DECLINED` meet full servers at first.
const REQUESTS: usize = 1_000;
const DECLINED: [usize; 5] = [300, 450, 600, 750, 900];
/// The servers that send their answer to a declined request twice: two of three.
const FAULTY: [&str; 2] = ["i-1", "i-2"];
/// When the fault begins, how long it lasts, and the largest part of the answers in that time that
/// are sent twice.
const FAULT_BEGIN: usize = 150;
const FAULT_TIME: Duration = Duration::from_millis(5_000);
const MAX_PART: f64 = 0.03;

/// The answers of the servers while the fault lasts, and how many of them are sent twice.
#[derive(Default)]
struct Dose {
    began: Option<Instant>,
    counts: HashMap<String, (usize, usize)>,
}

impl Dose {
    /// Counts an answer. Returns whether it is sent twice.
    fn count(&mut self, server: &str, is_wanted: bool) -> bool {
        if self.began.is_none_or(|began| began.elapsed() > FAULT_TIME) {
            return false;
        }
        let (answers, repeated) = self.counts.entry(server.into()).or_default();
        *answers += 1;
        let is_repeated = is_wanted && (*repeated + 1) as f64 <= MAX_PART * *answers as f64;
        *repeated += usize::from(is_repeated);
        is_repeated
    }
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let seen: Mutex<HashSet<(String, String)>> = Mutex::default();
    let dose: Arc<Mutex<Dose>> = Arc::default();
    let counted = dose.clone();
    let behaviour = move |server: &str, request: &Message| {
        let id = request.id();
        let is_first = seen.lock().expect("the ids").insert((server.into(), id.into()));
        let meets_full = id.starts_with("full-");
        let is_declined = meets_full && is_first;
        let is_wanted = is_declined && has_trouble && FAULTY.contains(&server);
        let is_repeated = counted.lock().expect("the dose").count(server, is_wanted);
        Plan {
            is_declined,
            work: Duration::from_millis(if meets_full { 100 } else { 1 }),
            body: Arc::new(b"booked".to_vec()),
            is_repeated,
        }
    };
    let services = ["front", "desk", "desk", "desk"];
    let mut site = Site::start(&services, 100, Arc::new(behaviour))?;
    let route = Route {
        prefix: "/book/",
        kind: "non_idempotent",
        service: "desk",
        timeout_ms: 5_000,
        aim_ms: 1_200,
    };
    site.publish(&[route]);
    site.start_nodes()?;
    let mut client = Connection::open(site.machines[0].outbound())?;
    let mut statuses = HashMap::new();
    for number in 0..REQUESTS {
        if number == FAULT_BEGIN {
            dose.lock().expect("the dose").began = Some(Instant::now());
        }
        let is_declined = DECLINED.contains(&number);
        let id = format!("{}-{number:04}", if is_declined { "full" } else { "plain" });
        let request = Request {
            method: "POST",
            path: "/book/station",
            id: &id,
            key: "key-1",
            budget_ms: 5_000,
            upload: 0,
        };
        record!("client sends {id}");
        let status = client.exchange(&request)?.status();
        record!("client gets {status} for {id}");
        statuses.insert(id, status);
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(Duration::from_millis(500));
    for (server, (answers, repeated)) in &dose.lock().expect("the dose").counts {
        record!(
            "server {server} sent {repeated} of {answers} answers twice while the fault lasted"
        );
    }
    let mut counts: HashMap<String, usize> = HashMap::new();
    for run in site.runs.lock().expect("the runs").iter() {
        *counts.entry(run.id.clone()).or_default() += 1;
    }
    let mut is_broken = false;
    for (id, runs) in counts {
        let status = statuses.get(&id).copied().unwrap_or(0);
        if runs > 1 {
            record!("TWICE: {id}, which is not idempotent, ran {runs} times");
            is_broken = true;
        }
        if matches!(status, 429 | 503 | 408 | 421) {
            record!("REFUSED: {id} was answered {status} and ran");
            is_broken = true;
        }
    }
    Ok(is_broken)
}
