//! More clients than usual upload on connections that they keep, until the node exceeds its memory.

use {
    crate::{
        Error, Verdict,
        client::{Connection, Outcome, Request},
        server::Settings,
        site::{KEY, Route, Site},
    },
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddrV4},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The times of `photo-upload` in further/LATER.md.
const ROUTES: [Route; 1] = [Route {
    name: "photo-upload",
    prefix: "/gallery/",
    kind: "upload",
    service: "gallery",
    timeout_ms: 1_200,
    target_latency_ms: 300,
}];
const BUDGET: Duration = Duration::from_millis(1_200);
const WORK: Duration = Duration::from_millis(72);
/// The largest body of `photo-upload` in further/aurore-sahara.toml.
const BODY_BYTES: usize = 360_000;
/// The time between two requests on a connection. Clients reuse connections that have been idle for up
/// to four fifths of `idle_timeout_ms`, which is 15,000.
const INTERVAL: Duration = Duration::from_secs(11);
/// The groups of clients. Those of a group send one after the other.
const GROUPS: usize = 40;
/// The usual connections of each group.
const USUAL: usize = 48;
/// The further connections of each group in a burst of 1.7 times the usual traffic.
const FURTHER: usize = 33;
/// How long the traffic goes on as usual first, and then beside the burst.
const BEFORE: Duration = Duration::from_secs(14);
const BURST: Duration = Duration::from_secs(20);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of requests that may be lost.
const ALLOWED: usize = 3;

/// The requests on kept connections that ended without an answer.
type Unanswered = Arc<Mutex<BTreeSet<String>>>;

pub fn run(has_trouble: bool) -> Result<Verdict, Error> {
    let mut site = Site::start(1, &ROUTES, |i| Settings {
        id: format!("i-{i}"),
        service: "gallery".into(),
        zone: "za".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        slots: 185,
        work: WORK,
        answer_bytes: 400,
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let unanswered = Unanswered::default();
    let start = |site: &Site, name: &'static str, connections| -> Vec<_> {
        let groups = (0..GROUPS).map(|group| {
            let (node, is_over, unanswered) =
                (site.outbound(0), is_over.clone(), unanswered.clone());
            let run = move || {
                upload(node, (name, group), connections, &is_over, &unanswered);
            };
            thread::spawn(run)
        });
        groups.collect()
    };
    let mut groups = start(&site, "u", USUAL);
    site.record.write(&format!("{} clients keep connections", GROUPS * USUAL));
    let mut is_killed = watch_memory(&mut site, BEFORE)?;
    if has_trouble {
        groups.extend(start(&site, "b", FURTHER));
        site.record.write(&format!("a burst: {} more clients", GROUPS * FURTHER));
    }
    is_killed = is_killed || watch_memory(&mut site, BURST)?;
    is_over.store(true, Ordering::SeqCst);
    for group in groups {
        group.join().map_err(|_| "a client failed")?;
    }
    let unanswered = unanswered.lock().unwrap_or_else(PoisonError::into_inner);
    let arrivals = site.machines[0].server.arrivals();
    let lost = arrivals.iter().filter(|arrival| unanswered.contains(&arrival.request)).count();
    site.record.write(&format!(
        "{} requests reached the server; {lost} of them were on kept connections that were closed \
         without an answer",
        arrivals.len()
    ));
    Ok(if is_killed && lost > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

/// Limits the memory of the node for some time. Returns early if it was killed.
fn watch_memory(site: &mut Site, time: Duration) -> Result<bool, Error> {
    let end = Instant::now() + time;
    let mut most = 0;
    while Instant::now() < end {
        let (resident, is_killed) = site.limit_memory(0)?;
        most = most.max(resident);
        if is_killed {
            return Ok(true);
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    site.record.write(&format!("the node used at most {most} kB"));
    Ok(false)
}

/// Uploads on a number of kept connections in turn, on each once per [`INTERVAL`].
fn upload(
    node: SocketAddrV4,
    (name, group): (&str, usize),
    connections: usize,
    is_over: &AtomicBool,
    unanswered: &Unanswered,
) {
    let body = vec![b'p'; BODY_BYTES];
    let pause = INTERVAL / connections as u32;
    // Groups send at different moments.
    thread::sleep(pause * group as u32 / GROUPS as u32);
    let mut kept: Vec<Option<Connection>> = (0..connections).map(|_| None).collect();
    let started = Instant::now();
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let request = Request {
            id: format!("{name}{group}x{number}"),
            method: "POST",
            target: "/gallery/photo".into(),
            budget: BUDGET,
            body: body.clone(),
        };
        let place = &mut kept[number % connections];
        let was_kept = place.is_some();
        if place.is_none() {
            *place = Connection::open(node).ok();
        }
        if let Some(connection) = place {
            let outcome = connection.exchange(KEY, &request);
            if !matches!(outcome, Outcome::Whole { .. }) {
                *place = None;
                if was_kept {
                    let mut ids = unanswered.lock().unwrap_or_else(PoisonError::into_inner);
                    ids.insert(request.id);
                }
            }
        }
        let next = pause * (number + 1) as u32;
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
}
