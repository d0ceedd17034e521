//! Servers run requests and lose the answers. One of the requests' routes has a long name.

use {
    super::super::{
        http::Connection,
        record::Record,
        site::{KEY, Site, request},
    },
    std::{
        collections::BTreeMap,
        io,
        time::{Duration, Instant},
    },
};

const MAX_DESCRIPTORS: u32 = 1_024;
const IDLE_TIMEOUT_MS: u32 = 15_000;
/// Requests that may be repeated, and below their prefix requests that may not. The name of the second
/// route has 71 bytes: letters, digits, dots and hyphens.
const ROUTES: [(&str, &str, &str, &str); 2] = [
    ("r-1", "/claims/", "idempotent", "certoffice"),
    (
        "th-central.certoffice.workmanship-certification-claim-filing.2026-12-07",
        "/claims/file/",
        "non_idempotent",
        "certoffice",
    ),
];
const TARGET: &str = "/claims/file/x";
/// One of the two servers loses the answer of each 20th run for 4 s.
const LOSES_EVERY: usize = 20;
const LOSS: std::ops::Range<Duration> = Duration::from_secs(3)..Duration::from_secs(7);
const LENGTH: Duration = Duration::from_secs(10);
const SEND_INTERVAL: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(2);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(MAX_DESCRIPTORS)?;
    site.publish(3, &ROUTES, &[("alpha", KEY)], IDLE_TIMEOUT_MS);
    for (service, zone) in [("certoffice", "za"), ("certoffice", "zb"), ("specdesk", "za")] {
        site.add(service, zone, 16)?;
    }
    site.wait_until_ready(record)?;
    std::thread::sleep(Duration::from_secs(3));

    let start = Instant::now();
    let mut sent = 0;
    let mut loses = false;
    while start.elapsed() < LENGTH {
        let is_due = has_trouble && LOSS.contains(&start.elapsed());
        if std::mem::replace(&mut loses, is_due) != is_due {
            site.machines[0].server.lose_answers(if is_due { LOSES_EVERY } else { 0 });
            let server = &site.machines[0].server.id;
            record.line(&format!(
                "{server} {} answers",
                if is_due { "loses" } else { "no longer loses" }
            ));
        }
        let machine = &site.machines[sent % site.machines.len()];
        let id = format!("{sent:016x}");
        sent += 1;
        let reply =
            Connection::open(machine.outbound(), Duration::from_secs(1)).and_then(|mut c| {
                c.write(&request("POST", TARGET, &id, KEY, DEADLINE))?;
                c.read(Some(Instant::now() + DEADLINE))
            });
        let status = reply.map(|reply| reply.map_or(0, |reply| reply.status()));
        record.line(&format!("{id} POST {TARGET} at {}: {status:?}", machine.name));
        std::thread::sleep(SEND_INTERVAL);
    }

    site.record_runs(record);
    let mut servers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for machine in &site.machines {
        for run in machine.server.runs() {
            let at = record.seconds(run.at);
            servers
                .entry(run.request)
                .or_default()
                .push(format!("{} at {at:.3}", machine.server.id));
        }
    }
    let twice: Vec<_> = servers.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (request, runs) in &twice {
        record.line(&format!("{request} ran {} times: {}", runs.len(), runs.join(", ")));
    }
    record.line(&format!("{} of {sent} requests ran more than once", twice.len()));
    let log = site.machines[0].log();
    if let Some(line) = log.lines().find(|line| line.contains("can't be understood")) {
        record.line(&format!("log of m1: {line}"));
    }
    Ok(twice.is_empty())
}
