//! A randomized fault soak of whole deployments: real nodes as processes, servers and a store of this
//! crate, and a proxy between each node and the store.
//!
//! A seed gives the schedule of faults. What callers and servers saw is checked at the end, see
//! [`audit`]. Signals go only to processes that the soak started.

pub mod audit;
mod schedule;
mod traffic;

use {
    super::{Deployment, Machine, Request, send},
    crate::proxy::Proxy,
    audit::{Audit, Sent},
    rand::SeedableRng as _,
    rand_chacha::ChaCha8Rng,
    schedule::Driver,
    std::{
        cell::{Cell, RefCell},
        io,
        path::Path,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The machines: the service of each, with its slots. Zones alternate.
const MACHINES: [(&str, usize); 7] = [
    ("front", 8),
    ("desk", 8),
    ("desk", 8),
    ("desk", 8),
    ("office", 8),
    ("office", 8),
    ("office", 8),
];
/// The callers that send at the same time.
const CALLERS: usize = 12;
/// The time after the last fault in which the deployment recovers.
const RECOVERY: Duration = Duration::from_secs(6);
/// The requests that each machine gets after that, and how many of them have to be served.
const LAST_REQUESTS: usize = 10;
const LAST_SERVED: usize = 9;
/// The routes of the soak.
const ROUTES: [(&str, &str, &str, u64, bool); 3] = [
    ("/desk/", "idempotent", "desk", 1_000, false),
    ("/office/", "non_idempotent", "office", 1_000, false),
    ("/open/", "idempotent", "desk", 1_000, true),
];
/// The key that is never withdrawn.
const LASTING_KEY: &str = "key-lasting";
/// The rate of the account that sends more than it may, in requests a second, and its key.
const LIMITED_RATE: u64 = 20;
const LIMITED_KEY: &str = "key-limited";

/// What one run of the soak came to.
#[derive(Debug)]
pub struct Report {
    /// The requests that were sent while there were faults.
    pub sent: usize,
    /// Those that were served.
    pub served: usize,
    /// The faults, with their times.
    pub faults: Vec<String>,
    /// The promises that were broken.
    pub violations: Vec<String>,
    /// The logs of the nodes of a run with broken promises.
    pub logs: Vec<String>,
}

/// Returns the key of the account whose keys change, by the number of the change.
fn changing_key(generation: usize) -> String {
    format!("key-changing-{generation}")
}

/// Plays one seed for a time, and six seconds more in which the deployment recovers.
///
/// # Errors
///
/// Returns the error of the system when the deployment can't be started.
pub async fn run(program: &Path, seed: u64, length: Duration) -> io::Result<Report> {
    let mut deployment = Deployment::start(program)?;
    let mut links = Vec::new();
    let first = changing_key(0);
    publish(&mut deployment, &first);
    for (i, (service, slots)) in MACHINES.iter().enumerate() {
        let link = Proxy::start(deployment.store.address(), seed).await?;
        let zone = ["za", "zb"][i % 2];
        deployment.add_with_store(service, zone, *slots, link.address()).await?;
        links.push(link);
    }
    deployment.ready().await;
    let machines = deployment.machines.iter().map(Machine::outbound).collect();
    let world = Rc::new(World {
        machines,
        generation: Cell::new(0),
        audit: RefCell::new(Audit::new(MACHINES.len())),
        is_over: Cell::new(false),
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(i as u64));
            actix_rt::spawn(traffic::call(world.clone(), i, random))
        })
        .collect();
    let random = ChaCha8Rng::seed_from_u64(seed);
    let mut driver = Driver::new(deployment, links, world.clone(), random);
    let faults = driver.play(length).await?;
    world.is_over.set(true);
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    tokio::time::sleep(RECOVERY).await;
    let deployment = driver.into_deployment();
    let mut violations = world.audit.borrow().check(&deployment);
    violations.extend(recovered(&deployment).await);
    let logs = match violations.is_empty() {
        true => Vec::new(),
        false => deployment.machines.iter().map(Machine::log).collect(),
    };
    let audit = world.audit.borrow();
    Ok(Report { sent: audit.sent.len(), served: audit.served(), faults, violations, logs })
}

/// What callers and the driver share.
struct World {
    machines: Vec<std::net::SocketAddr>,
    /// The number of the change that the newest key came with.
    generation: Cell<usize>,
    audit: RefCell<Audit>,
    is_over: Cell<bool>,
}

fn publish(deployment: &mut Deployment, changing: &str) {
    let limited: &[&str] = &[LIMITED_KEY];
    deployment.publish(
        &ROUTES,
        &[("alpha", &[changing], 0), ("beta", &[LASTING_KEY], 0), ("gamma", limited, LIMITED_RATE)],
    );
}

async fn recovered(deployment: &Deployment) -> Vec<String> {
    let mut violations = Vec::new();
    for machine in &deployment.machines {
        let mut served = 0;
        for number in 0..LAST_REQUESTS {
            let id = format!("last-{}-{number}", machine.name);
            let request = Request::new("GET", "/desk/x", &id).key(LASTING_KEY);
            let reply = send(machine.outbound(), &request).await;
            served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
        }
        if served < LAST_SERVED {
            violations.push(format!("{}: {served} of the last {LAST_REQUESTS}", machine.name));
        }
    }
    violations
}
