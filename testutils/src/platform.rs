//! A test double of the platform: its configuration service and its list of VMs.

use {
    crate::server::Server,
    actix_web::{
        HttpResponse,
        web::{self, Data, Json, PayloadConfig, Query, ServiceConfig},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// The maximum length of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The maximum time that a watch waits, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// A published value, or its deletion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Value {
    /// `SECTION/NAME`.
    pub name: String,
    /// The revision of the last change to the value.
    pub revision: u64,
    /// The text, or none if the value was deleted.
    pub text: Option<String>,
}

/// The answer to a read or a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Values {
    /// The revision that the reader has reached with this answer.
    pub revision: u64,
    /// Whether the values are a full snapshot rather than changes.
    pub reset: bool,
    /// The values, sorted by name.
    pub values: Vec<Value>,
}

/// The state of a VM, as the platform reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The VM runs.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// An entry of the list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub vm: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// The address of its node's listener for peers.
    pub address: SocketAddr,
    /// Whether it runs or will be removed.
    pub state: Phase,
}

/// The list of VMs that the platform publishes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vms {
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

/// The faults of the platform. By default it has none.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every read fails with status 503.
    pub down: bool,
    /// The last revision that reads return.
    pub stale_at: Option<u64>,
    /// The delay until changes to the list of VMs become visible, in milliseconds.
    pub vm_lag_ms: u64,
    /// The number of reads per second beyond which reads fail with status 429.
    pub limit_per_second: Option<u64>,
}

/// Counts of reads, including watches that are still waiting.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// All reads.
    pub total: u64,
    /// Reads refused because of the limit.
    pub refused: u64,
    /// The highest number of reads within one second.
    pub worst_second: u64,
}

/// A batch of values to publish at one revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Changes {
    /// The new texts by name, or none to delete a value.
    pub changes: BTreeMap<String, Option<String>>,
}

/// The revision at which a batch was published.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Published {
    /// The revision.
    pub revision: u64,
}

struct State {
    history: Vec<Value>,
    revision: u64,
    faults: Faults,
    vms: Vms,
    previous_vms: Vms,
    vms_changed_at: Instant,
    calls: Calls,
    second: u64,
    reads_in_second: u64,
}

struct Shared {
    start: Instant,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Counts a read and returns the error response if the read must fail.
    fn begin_read(&self) -> Option<HttpResponse> {
        let second = self.start.elapsed().as_secs();
        let mut state = self.state();
        if state.second != second {
            state.second = second;
            state.reads_in_second = 0;
        }
        state.reads_in_second += 1;
        state.calls.total += 1;
        state.calls.worst_second = state.calls.worst_second.max(state.reads_in_second);
        if state.faults.limit_per_second.is_some_and(|limit| state.reads_in_second > limit) {
            state.calls.refused += 1;
            return Some(HttpResponse::TooManyRequests().finish());
        }
        if state.faults.down {
            return Some(HttpResponse::ServiceUnavailable().finish());
        }
        None
    }

    fn publish(&self, changes: Changes) -> u64 {
        let revision = {
            let mut state = self.state();
            state.revision += 1;
            let revision = state.revision;
            let values =
                changes.changes.into_iter().map(|(name, text)| Value { name, revision, text });
            state.history.extend(values);
            revision
        };
        self.notify();
        revision
    }

    fn set_vms(&self, vms: Vms) {
        let mut state = self.state();
        state.previous_vms = std::mem::replace(&mut state.vms, vms);
        state.vms_changed_at = Instant::now();
    }

    fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.notify();
    }

    fn values(&self, after: u64) -> Values {
        let state = self.state();
        let revision = state.faults.stale_at.map_or(state.revision, |at| at.min(state.revision));
        let mut values = BTreeMap::new();
        for value in state.history.iter().filter(|v| v.revision > after && v.revision <= revision) {
            values.insert(value.name.as_str(), value);
        }
        let is_returned = |value: &&Value| after > 0 || value.text.is_some();
        let values = values.into_values().filter(is_returned).cloned().collect();
        Values { revision, reset: after == 0, values }
    }

    fn vms(&self) -> Vms {
        let state = self.state();
        let lag = Duration::from_millis(state.faults.vm_lag_ms);
        let visible =
            if state.vms_changed_at.elapsed() < lag { &state.previous_vms } else { &state.vms };
        visible.clone()
    }
}

/// A running platform. It stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

impl Platform {
    /// Starts to listen with nothing published. Port 0 lets the system choose a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address can't be bound.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let state = State {
            history: Vec::new(),
            revision: 0,
            faults: Faults::default(),
            vms: Vms::default(),
            previous_vms: Vms::default(),
            vms_changed_at: Instant::now(),
            calls: Calls::default(),
            second: 0,
            reads_in_second: 0,
        };
        let changed = watch::Sender::new(0);
        let shared = Arc::new(Shared { start: Instant::now(), state: Mutex::new(state), changed });
        let data = Data::from(shared.clone());
        let server = Server::start(listen, move |config| configure(config, &data))?;
        Ok(Self { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a batch at a new revision and returns the revision.
    pub fn publish(&self, changes: Changes) -> u64 {
        self.shared.publish(changes)
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vms) {
        self.shared.set_vms(vms);
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counts of reads.
    pub fn calls(&self) -> Calls {
        self.shared.state().calls
    }

    /// Stops the platform and closes its connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn configure(config: &mut ServiceConfig, data: &Data<Shared>) {
    const MAX_BATCH_BYTES: usize = 64 * MAX_VALUE_BYTES;
    config
        .app_data(data.clone())
        .app_data(PayloadConfig::new(MAX_BATCH_BYTES))
        .app_data(web::JsonConfig::default().limit(MAX_BATCH_BYTES))
        .route("/v1/values", web::get().to(get_values))
        .route("/v1/vms", web::get().to(get_vms))
        .route("/control/values", web::put().to(put_values))
        .route("/control/vms", web::put().to(put_vms))
        .route("/control/faults", web::put().to(put_faults))
        .route("/control/calls", web::get().to(get_calls));
}

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn get_values(shared: Data<Shared>, read: Query<ReadQuery>) -> HttpResponse {
    if let Some(response) = shared.begin_read() {
        return response;
    }
    let mut changed = shared.changed.subscribe();
    let wait = Duration::from_millis(read.wait_ms.min(MAX_WAIT_MS));
    let change = async {
        loop {
            if shared.values(read.after).revision > read.after || shared.state().faults.down {
                return;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // After a timeout the answer has no changes.
    let _ = tokio::time::timeout(wait, change).await;
    if shared.state().faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(shared.values(read.after))
}

async fn get_vms(shared: Data<Shared>) -> HttpResponse {
    match shared.begin_read() {
        Some(response) => response,
        None => HttpResponse::Ok().json(shared.vms()),
    }
}

async fn put_values(shared: Data<Shared>, changes: Json<Changes>) -> HttpResponse {
    let is_large = |text: &Option<String>| text.as_ref().is_some_and(|t| t.len() > MAX_VALUE_BYTES);
    if changes.changes.values().any(is_large) {
        return HttpResponse::PayloadTooLarge().finish();
    }
    let revision = shared.publish(changes.into_inner());
    HttpResponse::Ok().json(Published { revision })
}

async fn put_vms(shared: Data<Shared>, vms: Json<Vms>) -> HttpResponse {
    shared.set_vms(vms.into_inner());
    HttpResponse::Ok().finish()
}

async fn put_faults(shared: Data<Shared>, faults: Json<Faults>) -> HttpResponse {
    shared.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

async fn get_calls(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.state().calls)
}
