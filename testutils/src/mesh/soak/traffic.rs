//! Callers that send requests on persistent connections.

use {
    super::{LIMITED_KEY, PERMANENT_KEY, SentRequest, Shared, rotated_key},
    crate::mesh::{Reply, Request, client::Connection},
    rand::RngExt as _,
    rand_chacha::ChaCha8Rng,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;
/// The pause after a request that was not served.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long a caller waits for an answer. Longer than the timeout of the routes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Sends requests until the soak is over. After a random number of requests, the caller changes to
/// another random machine.
pub async fn run_caller(shared: Rc<Shared>, caller: usize, mut random: ChaCha8Rng) {
    let mut number = 0;
    while !shared.is_over.get() {
        let machine = random.random_range(0..shared.machines.len());
        let mut connection = None;
        for _ in 0..random.random_range(5..60) {
            if shared.is_over.get() {
                return;
            }
            number += 1;
            let id = format!("c{caller}-{number}");
            let is_served = send_one(&shared, machine, &mut connection, id, &mut random).await;
            let pause = Duration::from_millis(random.random_range(PAUSE_MS));
            tokio::time::sleep(if is_served { pause } else { RETRY_PAUSE }).await;
        }
    }
}

async fn send_one(
    shared: &Shared,
    machine: usize,
    connection: &mut Option<Connection>,
    id: String,
    random: &mut ChaCha8Rng,
) -> bool {
    let rotation = shared.rotation.get();
    let (account, key) = match random.random_range(0..10) {
        0..4 => ("beta", PERMANENT_KEY.to_owned()),
        4..6 => ("gamma", LIMITED_KEY.to_owned()),
        // Some requests still carry the previous key, which has been withdrawn.
        6 => ("alpha", rotated_key(rotation.saturating_sub(1))),
        _ => ("alpha", rotated_key(rotation)),
    };
    let is_idempotent = random.random_bool(0.5);
    let (method, path) = if is_idempotent { ("GET", "/desk/x") } else { ("POST", "/office/x") };
    let request = Request { body: "x".repeat(200), ..Request::new(method, path, &id).key(&key) };
    let at = Instant::now();
    let reply = exchange(shared, machine, connection, &request).await;
    let status = reply.as_ref().map(|reply| reply.status);
    shared.audit.borrow_mut().sent.push(SentRequest {
        id,
        machine,
        account,
        key,
        is_idempotent,
        at,
        ended: Instant::now(),
        reply,
    });
    status == Some(200)
}

async fn exchange(
    shared: &Shared,
    machine: usize,
    connection: &mut Option<Connection>,
    request: &Request,
) -> Option<Reply> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => Connection::open(shared.machines[machine]).await.ok()?,
    };
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, open.exchange(request)).await.ok()?.ok()?;
    let is_closing = reply.field("connection").is_some_and(|value| value.contains("close"));
    if !is_closing {
        *connection = Some(open);
    }
    Some(reply)
}
