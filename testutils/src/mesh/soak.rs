//! A soak test that injects random faults into a deployment: real nodes run as processes, servers
//! and a store come from this crate, and a proxy sits between each node and the store.
//!
//! The seed determines the schedule of faults. At the end, [`audit`] checks what callers and
//! servers observed. Signals are sent only to processes that the soak started.

pub mod audit;
mod plan;
mod schedule;
mod traffic;

pub use plan::Plan;

use {
    super::{Deployment, Machine, Request, send},
    crate::proxy::Proxy,
    audit::{Audit, SentRequest},
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

/// The service and the number of slots of each machine. Machines alternate between the zones.
const MACHINES: [(&str, usize); 7] = [
    ("front", 8),
    ("desk", 8),
    ("desk", 8),
    ("desk", 8),
    ("office", 8),
    ("office", 8),
    ("office", 8),
];
/// The number of concurrent callers.
const CALLERS: usize = 12;
/// How long the deployment has to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// The requests sent to each machine after the recovery, and how many of them must be served.
const FINAL_REQUESTS: usize = 10;
const MIN_FINAL_SERVED: usize = 9;
/// The routes, in the form that [`Deployment::publish`] takes.
const ROUTES: [(&str, &str, &str, u64, bool); 3] = [
    ("/desk/", "idempotent", "desk", 1_000, false),
    ("/office/", "non_idempotent", "office", 1_000, false),
    ("/open/", "idempotent", "desk", 1_000, true),
];
/// A key that is never withdrawn, so that a refusal of it is a violation.
const PERMANENT_KEY: &str = "key-lasting";
/// The rate limit in requests per second, and the key, of an account that sends more than that.
const LIMITED_RATE: u64 = 20;
const LIMITED_KEY: &str = "key-limited";

/// The result of one run of the soak.
#[derive(Debug)]
pub struct Report {
    /// The number of requests sent while faults were injected.
    pub sent: usize,
    /// The number of these requests that were answered with status 200.
    pub served: usize,
    /// The injected faults, with the seconds since the start.
    pub faults: Vec<String>,
    /// The guarantees that were violated.
    pub violations: Vec<String>,
    /// The logs of all nodes, if there are violations.
    pub logs: Vec<String>,
}

/// Returns the key that an account has after the given number of key rotations.
fn rotated_key(rotation: usize) -> String {
    format!("key-changing-{rotation}")
}

/// Injects the faults of one seed for the given time, then lets the deployment recover for six
/// seconds and checks it.
///
/// # Errors
///
/// Returns the error of the system when the deployment can't be started.
pub async fn run(program: &Path, seed: u64, length: Duration, plan: Plan) -> io::Result<Report> {
    let mut deployment = Deployment::start(program)?;
    if let Some((seconds, per_second)) = plan.cold_limit() {
        for (service, _) in MACHINES {
            deployment.set_cold_bound(service, seconds as f64, per_second as f64);
        }
    }
    let mut links = Vec::new();
    let first_key = rotated_key(0);
    publish(&mut deployment, &first_key);
    for (i, (service, slots)) in MACHINES.iter().enumerate() {
        let link = Proxy::start(deployment.store.address(), seed).await?;
        let zone = ["za", "zb"][i % 2];
        deployment.add_with_store(service, zone, *slots, link.address()).await?;
        links.push(link);
    }
    deployment.ready().await;
    let machines = deployment.machines.iter().map(Machine::outbound).collect();
    let shared = Rc::new(Shared {
        machines,
        rotation: Cell::new(0),
        audit: RefCell::new(Audit::new(MACHINES.len())),
        is_over: Cell::new(false),
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(i as u64));
            actix_rt::spawn(traffic::run_caller(shared.clone(), i, random))
        })
        .collect();
    let random = ChaCha8Rng::seed_from_u64(seed);
    let mut driver = Driver::new(deployment, links, shared.clone(), random, plan);
    let faults = driver.run(length).await?;
    shared.is_over.set(true);
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    let deployment = driver.into_deployment();
    let mut violations = shared.audit.borrow().check(&deployment);
    violations.extend(check_recovery(&deployment).await);
    let logs = match violations.is_empty() {
        true => Vec::new(),
        false => deployment.machines.iter().map(Machine::log).collect(),
    };
    let audit = shared.audit.borrow();
    Ok(Report { sent: audit.sent.len(), served: audit.served(), faults, violations, logs })
}

/// State shared by the callers and the driver.
struct Shared {
    machines: Vec<std::net::SocketAddr>,
    /// The number of key rotations so far, which identifies the newest key.
    rotation: Cell<usize>,
    audit: RefCell<Audit>,
    is_over: Cell<bool>,
}

fn publish(deployment: &mut Deployment, rotated: &str) {
    let limited: &[&str] = &[LIMITED_KEY];
    deployment.publish(
        &ROUTES,
        &[
            ("alpha", &[rotated], 0),
            ("beta", &[PERMANENT_KEY], 0),
            ("gamma", limited, LIMITED_RATE),
        ],
    );
}

async fn check_recovery(deployment: &Deployment) -> Vec<String> {
    let mut violations = Vec::new();
    for machine in &deployment.machines {
        let mut served = 0;
        for number in 0..FINAL_REQUESTS {
            let id = format!("last-{}-{number}", machine.name);
            let request = Request::new("GET", "/desk/x", &id).key(PERMANENT_KEY);
            let reply = send(machine.outbound(), &request).await;
            served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
        }
        if served < MIN_FINAL_SERVED {
            violations.push(format!(
                "{}: {served} of {FINAL_REQUESTS} requests served after recovery",
                machine.name
            ));
        }
    }
    violations
}
