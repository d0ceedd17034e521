//! A node gets SIGTERM while a client reads an answer slowly.

use {
    crate::{
        Error, Verdict,
        client::{self, Outcome},
        server::Settings,
        site::{GRACE, KEY, Route, Site},
    },
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        sync::mpsc,
        thread,
        time::Duration,
    },
};

const ROUTES: [Route; 1] = [Route {
    name: "photo",
    prefix: "/gallery/",
    kind: "idempotent",
    service: "gallery",
    timeout_ms: 15_000,
    target_latency_ms: 4_000,
}];
const ANSWER_BYTES: usize = 16_500_000;
/// With this the answer is read 4.6 s after its head, within the grace time.
const BYTES_PER_S: usize = 3_600_000;

pub fn run(has_trouble: bool) -> Result<Verdict, Error> {
    let mut site = Site::start(2, &ROUTES, |i| Settings {
        id: format!("i-gallery{i}"),
        service: "gallery".into(),
        zone: "za".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        slots: 16,
        work: Duration::from_millis(50),
        answer_bytes: ANSWER_BYTES,
    })?;
    let (head_arrived, head) = mpsc::channel();
    let (node, record) = (site.outbound(0), site.record.clone());
    let reader = thread::spawn(move || {
        let request = client::Request {
            id: "r1".into(),
            method: "GET",
            target: "/gallery/photo".into(),
            budget: Duration::from_secs(15),
            body: Vec::new(),
        };
        let on_head = || {
            // The receiver only goes away if the case fails.
            let _ = head_arrived.send(());
        };
        client::send(node, KEY, &request, Some(BYTES_PER_S), &record, on_head)
    });
    head.recv_timeout(Duration::from_secs(5)).map_err(|_| "no answer began")?;
    site.record.write("the head of the answer to r1 has arrived");
    if has_trouble {
        site.terminate(0)?;
        let terminated_at = site.record.now();
        site.wait_until_ended(0)?;
        let ended_after = site.record.now() - terminated_at;
        if ended_after >= GRACE {
            return Err("the node did not end within the grace time".into());
        }
    }
    let outcome = reader.join().map_err(|_| "the client failed")?;
    match outcome {
        Outcome::Whole { status: 200, .. } => Ok(Verdict::Held),
        Outcome::Cut { status: 200, .. } => Ok(Verdict::Broken),
        other => Err(format!("unexpected answer: {other:?}").into()),
    }
}
