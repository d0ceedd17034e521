//! A test double of a target with slots, a service time, a bounded queue, nested calls and faults.
//!
//! It records every run, so that a test can check what was run, how often and for which account.

mod handler;
mod run;
mod settings;

use {
    crate::server::Server,
    actix_web::dev::ServerHandle,
    monsoon_lib::key::Digest,
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::Semaphore,
};
pub use {
    run::{Counts, Run, Runs},
    settings::{Chain, Faults, NestedCall, ServiceTime, Settings},
};

/// The answer of a target. It depends on the request only, so that callers can verify it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The digest of the method, the path with its query and the body.
    pub digest: String,
    /// Filler of the configured length.
    pub padding: String,
}

impl Answer {
    /// Creates the answer to a request, with `bytes` bytes of padding.
    pub fn new(method: &str, path: &str, body: &[u8], bytes: usize) -> Self {
        Self { digest: request_digest(method, path, body), padding: "-".repeat(bytes) }
    }

    /// Returns whether `answer` is the complete answer to the request.
    pub fn is_correct(answer: &[u8], method: &str, path: &str, body: &[u8]) -> bool {
        serde_json::from_slice::<Self>(answer)
            .is_ok_and(|answer| answer.digest == request_digest(method, path, body))
    }
}

fn request_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut text = format!("{method} {path}\n").into_bytes();
    text.extend_from_slice(body);
    Digest::of(&text).to_hex()
}

/// The load that a target reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The number of requests that hold a slot.
    pub in_flight: u32,
    /// The configured number of slots.
    pub slots: u32,
}

#[derive(Debug)]
struct State {
    random: ChaCha8Rng,
    faults: Faults,
    faults_at: Instant,
    frozen_load: Option<Load>,
    egress: Option<SocketAddr>,
    queued: usize,
    runs: Runs,
    handle: Option<ServerHandle>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    start: Instant,
    slots: Semaphore,
    state: Mutex<State>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn load(&self) -> Load {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        let slots = self.settings.slots;
        let load = Load { in_flight: slots.saturating_sub(free), slots };
        let state = self.state();
        let reported = state.frozen_load.unwrap_or(load);
        match state.faults.load {
            Some(in_flight) => Load { in_flight, ..reported },
            None => reported,
        }
    }

    /// Draws the service time of the next run under the present faults.
    fn service_time(&self) -> Duration {
        let mut state = self.state();
        let mean = Duration::from_micros(self.settings.service.mean_us);
        let mut factor = state.faults.slow;
        if state.faults_at.elapsed() < Duration::from_millis(state.faults.cold_ms) {
            factor *= state.faults.cold_slow;
        }
        if self.settings.service.exponential {
            let uniform: f64 = state.random.random();
            factor *= -(1.0 - uniform).ln();
        }
        mean.mul_f64(factor)
    }

    fn set_faults(&self, faults: Faults) {
        let load = self.load();
        let mut state = self.state();
        state.frozen_load = faults.load_frozen.then_some(load);
        state.faults = faults;
        state.faults_at = Instant::now();
    }

    /// Aborts the process, or stops the server if the target shares its process with a test.
    fn crash(&self) {
        if self.settings.is_process {
            std::process::abort();
        }
        if let Some(handle) = &self.state().handle {
            drop(handle.stop(false));
        }
    }
}

/// A running target. It stops when it is dropped.
#[derive(Debug)]
pub struct Target {
    server: Server,
    shared: Arc<Shared>,
}

impl Target {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let state = State {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            faults: settings.faults.clone(),
            faults_at: Instant::now(),
            frozen_load: None,
            egress: settings.egress,
            queued: 0,
            runs: Runs::new(settings.max_runs),
            handle: None,
        };
        let listen = settings.listen;
        let slots = Semaphore::new(settings.slots as usize);
        let state = Mutex::new(state);
        let shared = Arc::new(Shared { settings, start: Instant::now(), slots, state });
        let shared_state = shared.clone();
        let server =
            Server::start(listen, move |config| handler::configure(config, &shared_state))?;
        shared.state().handle = Some(server.handle());
        Ok(Self { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the address for nested calls, which is the egress listener of the target's own node.
    pub fn set_egress(&self, egress: SocketAddr) {
        self.shared.state().egress = Some(egress);
    }

    /// Sets the faults. The time of a cold start begins anew.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the number of requests that hold a slot, whatever load the target reports.
    pub fn in_flight(&self) -> u32 {
        let free = u32::try_from(self.shared.slots.available_permits()).unwrap_or(u32::MAX);
        self.shared.settings.slots.saturating_sub(free)
    }

    /// Returns the recorded runs, the oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state().runs.list()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        self.shared.state().runs.counts()
    }

    /// Stops the target and closes its connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
