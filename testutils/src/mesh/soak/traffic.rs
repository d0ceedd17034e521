//! Callers that keep their connections open.

use {
    super::{LASTING_KEY, LIMITED_KEY, Sent, World, changing_key},
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
/// The pause after a connection failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest that a caller waits. It is more than the timeout of the routes.
const PATIENCE: Duration = Duration::from_secs(8);

/// Sends requests to one machine after the other until the soak is over. Each stays with a machine
/// for some requests.
pub async fn call(world: Rc<World>, caller: usize, mut random: ChaCha8Rng) {
    let mut number = 0;
    while !world.is_over.get() {
        let machine = random.random_range(0..world.machines.len());
        let mut connection = None;
        for _ in 0..random.random_range(5..60) {
            if world.is_over.get() {
                return;
            }
            number += 1;
            let id = format!("c{caller}-{number}");
            let is_whole = one(&world, machine, &mut connection, id, &mut random).await;
            let pause = Duration::from_millis(random.random_range(PAUSE_MS));
            tokio::time::sleep(if is_whole { pause } else { RETRY_PAUSE }).await;
        }
    }
}

async fn one(
    world: &World,
    machine: usize,
    connection: &mut Option<Connection>,
    id: String,
    random: &mut ChaCha8Rng,
) -> bool {
    let generation = world.generation.get();
    let (account, key) = match random.random_range(0..10) {
        0..4 => ("beta", LASTING_KEY.to_owned()),
        4..6 => ("gamma", LIMITED_KEY.to_owned()),
        // Some callers go on to use the key before.
        6 => ("alpha", changing_key(generation.saturating_sub(1))),
        _ => ("alpha", changing_key(generation)),
    };
    let is_idempotent = random.random_bool(0.5);
    let (method, path) = if is_idempotent { ("GET", "/desk/x") } else { ("POST", "/office/x") };
    let request = Request { body: "x".repeat(200), ..Request::new(method, path, &id).key(&key) };
    let at = Instant::now();
    let reply = exchange(world, machine, connection, &request).await;
    let status = reply.as_ref().map(|reply| reply.status);
    world.audit.borrow_mut().sent.push(Sent {
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
    world: &World,
    machine: usize,
    connection: &mut Option<Connection>,
    request: &Request,
) -> Option<Reply> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => Connection::open(world.machines[machine]).await.ok()?,
    };
    let reply = tokio::time::timeout(PATIENCE, open.exchange(request)).await.ok()?.ok()?;
    let is_closing = reply.field("connection").is_some_and(|value| value.contains("close"));
    if !is_closing {
        *connection = Some(open);
    }
    Some(reply)
}
