//! Users come, send a request on a new connection and leave the connection open. For a while, more
//! users come than usual.

use {
    super::super::{
        http::Connection,
        record::Record,
        site::{KEY, Machine, Site, readiness_request, request},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// The platform's limit on descriptors of a process.
const MAX_DESCRIPTORS: u32 = 4_100;
/// How long the operator lets a connection be idle.
const IDLE_TIMEOUT_MS: u32 = 15_000;
/// Users that come to one machine in a second, each with a connection of its own.
const USERS_PER_S: f64 = 75.0;
/// How many times more come in the burst, and when.
const BURST_FACTOR: f64 = 1.7;
const BURST: std::ops::Range<f64> = 15.0..35.0;
/// How long users come.
const LENGTH_S: f64 = 50.0;
/// How long a user waits for the connection, and for the answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(5);
/// The bounds of the rule: `stability_ms`, and the clients that try.
const STABILITY: Duration = Duration::from_millis(3_000);
const MIN_CLIENTS: usize = 7;

/// A user's attempt to be served on a new connection.
#[derive(Clone, Copy)]
struct Attempt {
    number: usize,
    at: Instant,
    answered: Option<Instant>,
}

#[derive(Default)]
struct Users {
    attempts: Mutex<Vec<Attempt>>,
    /// The connections that users leave open.
    connections: Mutex<Vec<Connection>>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(MAX_DESCRIPTORS)?;
    let routes =
        [("r-1", "/desk/", "idempotent", "desk"), ("r-2", "/office/", "non_idempotent", "office")];
    site.publish(3, &routes, &[("alpha", KEY)], IDLE_TIMEOUT_MS);
    for (service, zone) in [("desk", "za"), ("desk", "zb"), ("office", "za")] {
        site.add(service, zone, 100)?;
    }
    site.wait_until_ready(record)?;
    std::thread::sleep(STABILITY);

    let users = Arc::new(Users::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let prober = probe(&site.machines[0], is_over.clone());
    let start = Instant::now();
    let (mut due_s, mut number, mut reported_s) = (0.0, 0, 0.0);
    while due_s < LENGTH_S {
        let due = start + Duration::from_secs_f64(due_s);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let (users, address) = (users.clone(), site.machines[0].outbound());
        std::thread::Builder::new()
            .stack_size(256 << 10)
            .spawn(move || visit(&users, address, number))?;
        let is_burst = has_trouble && BURST.contains(&due_s);
        due_s += 1.0 / (USERS_PER_S * if is_burst { BURST_FACTOR } else { 1.0 });
        if due_s >= reported_s {
            let descriptors = site.machines[0].open_descriptors();
            let memory = site.machines[0].peak_memory_kb();
            record.line(&format!(
                "{number} users came; the node has {descriptors} descriptors open and used up to {memory} kB"
            ));
            reported_s += 1.0;
        }
    }
    std::thread::sleep(DEADLINE + CONNECT_TIMEOUT);
    is_over.store(true, Ordering::Relaxed);
    let probes = prober.join().map_err(|_| io::Error::other("the prober failed"))?;
    let attempts = locked(&users.attempts).clone();
    site.record_runs(record);
    let held = judge(record, &attempts, &probes);
    let log = site.machines[0].log();
    for line in log.lines().filter(|line| line.contains("failed to accept")).take(3) {
        record.line(&format!("log of m1: {line}"));
    }
    if let Ok(Some(status)) = site.machines[0].node.try_wait() {
        record.line(&format!("the node of m1 ended: {status}"));
    }
    Ok(held)
}

/// Sends one request on a new connection, and leaves that open if it was answered.
fn visit(users: &Users, address: SocketAddr, number: usize) {
    let at = Instant::now();
    let answered = || -> io::Result<Connection> {
        let mut connection = Connection::open(address, CONNECT_TIMEOUT)?;
        let id = format!("{number:016x}");
        connection.write(&request("GET", "/desk/x", &id, KEY, DEADLINE))?;
        match connection.read(Some(at + DEADLINE))? {
            Some(_) => Ok(connection),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    };
    let connection = answered();
    let answered = connection.is_ok().then(Instant::now);
    locked(&users.attempts).push(Attempt { number, at, answered });
    locked(&users.connections).extend(connection);
}

/// Asks the node each second whether it is ready, as the platform does, on one connection. Returns the
/// times of the questions, and whether the answer was 200.
fn probe(
    machine: &Machine,
    is_over: Arc<AtomicBool>,
) -> std::thread::JoinHandle<Vec<(Instant, bool)>> {
    let address = machine.ready();
    std::thread::spawn(move || {
        let mut probes = Vec::new();
        let mut connection = Connection::open(address, CONNECT_TIMEOUT).ok();
        while !is_over.load(Ordering::Relaxed) {
            let at = Instant::now();
            let ask = |connection: &mut Connection| -> io::Result<bool> {
                connection.write(&readiness_request())?;
                let reply = connection.read(Some(at + Duration::from_secs(1)))?;
                Ok(reply.is_some_and(|reply| reply.status() == 200))
            };
            let is_ready = connection.as_mut().is_some_and(|open| ask(open).unwrap_or(false));
            probes.push((at, is_ready));
            std::thread::sleep(
                (at + Duration::from_secs(1)).saturating_duration_since(Instant::now()),
            );
        }
        probes
    })
}

/// Looks for a time of `STABILITY` in which the node said that it is ready, enough clients tried a new
/// connection, and none was taken.
fn judge(record: &Record, attempts: &[Attempt], probes: &[(Instant, bool)]) -> bool {
    let mut by_time = attempts.to_vec();
    by_time.sort_by_key(|attempt| attempt.at);
    let mut answers: Vec<Instant> =
        attempts.iter().filter_map(|attempt| attempt.answered).collect();
    answers.sort_unstable();
    let taken = answers.len();
    for Attempt { number, at, answered } in &by_time {
        let answer = answered
            .map_or("no answer".into(), |at| format!("answered at {:.3}", record.seconds(at)));
        record.line(&format!("user {number}: sent at {:.3}, {answer}", record.seconds(*at)));
    }
    for (at, is_ready) in probes {
        record
            .line(&format!("asked at {:.3} whether m1 is ready: {is_ready}", record.seconds(*at)));
    }
    record.line(&format!("{} users tried a new connection, {taken} were answered", by_time.len()));
    let mut longest: Option<(Duration, Instant, usize)> = None;
    for first in by_time.iter().filter(|attempt| attempt.answered.is_none()) {
        let next = answers.iter().find(|at| **at > first.at).copied();
        let last = by_time.last().map_or(first.at, |attempt| attempt.at);
        let end = next.unwrap_or(last);
        let is_ready =
            probes.iter().filter(|(at, _)| *at >= first.at && *at <= end).all(|(_, ready)| *ready);
        let tried =
            by_time.iter().filter(|attempt| attempt.at >= first.at && attempt.at <= end).count();
        let span = end - first.at;
        if is_ready && tried >= MIN_CLIENTS && longest.is_none_or(|(known, ..)| known < span) {
            longest = Some((span, first.at, tried));
        }
    }
    if let Some((span, from, tried)) = longest {
        record.line(&format!(
            "from {:.3} on, no new connection was taken for {:.3} s, while {tried} clients tried and the node said that it is ready",
            record.seconds(from),
            span.as_secs_f64()
        ));
    }
    longest.is_none_or(|(span, ..)| span < STABILITY)
}
