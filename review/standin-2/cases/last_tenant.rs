//! The operator takes the keys of one tenant away, and later those of the other, which is the last.

use {
    super::super::{
        http::{Connection, Message},
        record::Record,
        site::{KEY, Site, request},
    },
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const MAX_DESCRIPTORS: u32 = 1_024;
const IDLE_TIMEOUT_MS: u32 = 15_000;
const ROUTES: [(&str, &str, &str, &str); 2] =
    [("r-1", "/desk/", "idempotent", "desk"), ("r-2", "/office/", "non_idempotent", "office")];
/// The key of the other tenant, and one that no configuration ever holds.
const OTHER_KEY: &str = "key-of-beta";
const UNKNOWN_KEY: &str = "key-of-nobody";
/// How long clients send requests, and when the tenants are removed.
const LENGTH: Duration = Duration::from_secs(22);
const FIRST_REMOVAL: Duration = Duration::from_secs(4);
const LAST_REMOVAL: Duration = Duration::from_secs(12);
const SEND_INTERVAL: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(2);
/// The bound of the rule: `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);

struct Sent {
    id: String,
    key: &'static str,
    at: Instant,
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(MAX_DESCRIPTORS)?;
    site.publish(3, &ROUTES, &[("alpha", KEY), ("beta", OTHER_KEY)], IDLE_TIMEOUT_MS);
    for (service, zone) in [("desk", "za"), ("office", "zb"), ("desk", "zb")] {
        site.add(service, zone, 16)?;
    }
    site.wait_until_ready(record)?;
    std::thread::sleep(Duration::from_secs(3));

    let start = Instant::now();
    let mut withdrawn: BTreeMap<&str, Instant> = BTreeMap::new();
    let mut sent = Vec::new();
    let mut connections: Vec<Option<Connection>> = site.machines.iter().map(|_| None).collect();
    while start.elapsed() < LENGTH {
        if !withdrawn.contains_key(KEY) && start.elapsed() >= FIRST_REMOVAL {
            let at = site.publish(6, &ROUTES, &[("beta", OTHER_KEY)], IDLE_TIMEOUT_MS);
            withdrawn.insert(KEY, at);
            record.line("the store has version 6, without the tenant alpha");
        }
        if has_trouble && !withdrawn.contains_key(OTHER_KEY) && start.elapsed() >= LAST_REMOVAL {
            let at = site.publish(9, &ROUTES, &[], IDLE_TIMEOUT_MS);
            withdrawn.insert(OTHER_KEY, at);
            record.line("the store has version 9, without the tenant beta, so that none is left");
        }
        for (machine, connection) in site.machines.iter().zip(&mut connections) {
            for (key, path) in [
                (KEY, "/desk/x"),
                (KEY, "/office/x"),
                (OTHER_KEY, "/office/x"),
                (UNKNOWN_KEY, "/desk/x"),
            ] {
                let id = format!("{:016x}", sent.len());
                let method = if path.starts_with("/desk") { "GET" } else { "POST" };
                let message = request(method, path, &id, key, DEADLINE);
                let at = Instant::now();
                let reply = exchange(connection, machine.outbound(), &message);
                let status =
                    reply.map_or_else(|error| error.to_string(), |r| r.status().to_string());
                let name = &machine.name;
                record.line(&format!("{id} {method} {path} with {key} at {name}: {status}"));
                sent.push(Sent { id, key, at });
            }
        }
        std::thread::sleep(SEND_INTERVAL);
    }

    site.record_runs(record);
    let runs: Vec<_> = site.machines.iter().flat_map(|machine| machine.server.runs()).collect();
    record.line(&format!("{} requests sent, {} runs", sent.len(), runs.len()));
    let has_run = |sent: &&Sent| runs.iter().any(|run| run.request == sent.id);
    let mut held = true;
    for (key, withdrawn) in withdrawn {
        let is_late = |sent: &&Sent| sent.key == key && sent.at > withdrawn + REVOKE;
        let late: Vec<&Sent> = sent.iter().filter(is_late).filter(has_run).collect();
        let all = sent.iter().filter(is_late).count();
        record.line(&format!(
            "{} of {all} requests with {key} ran that were sent later than {REVOKE:?} after it was taken away",
            late.len()
        ));
        if let Some(first) = late.first() {
            let after = (first.at - withdrawn).as_secs_f64();
            record.line(&format!("the first was {}, sent {after:.3} s after", first.id));
        }
        held &= late.is_empty();
    }
    let unknown = sent.iter().filter(|sent| sent.key == UNKNOWN_KEY).filter(has_run).count();
    record.line(&format!("{unknown} requests ran with {UNKNOWN_KEY}, which no configuration held"));
    let nameless = runs.iter().filter(|run| run.tenant.is_none()).count();
    record.line(&format!("{nameless} runs had no X-Tenant"));
    Ok(held && unknown == 0)
}

/// Sends a request on the client's kept connection, or on a new one if there is none.
fn exchange(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    message: &Message,
) -> io::Result<Message> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(address, Duration::from_secs(1))?,
    };
    connection.write(message)?;
    let reply = connection.read(Some(Instant::now() + DEADLINE))?;
    let reply = reply.ok_or(io::ErrorKind::UnexpectedEof)?;
    if reply.field("connection") != Some("close") {
        *kept = Some(connection);
    }
    Ok(reply)
}
