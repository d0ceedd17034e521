//! The platform's key-value store with reads, ranges and watches, with fault injection and with
//! restores from a copy.

use {
    crate::server::Server,
    actix_web::{
        HttpRequest, HttpResponse, HttpResponseBuilder,
        http::StatusCode,
        web::{self, Data, Query, ServiceConfig},
    },
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::watch,
};

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call is answered with this status.
    Status(u16),
    /// Every second call of a machine to each path is answered with this status. Watches that wait go
    /// on.
    AlternatingStatus(u16),
    /// No call is answered, also after the fault has ended.
    Unresponsive,
    /// Watches report no changes. Reads and ranges work.
    StalledWatches,
    /// Watches report no changes, and ranges are answered with status 503. Single items can be read.
    ItemsOnly,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    value: Option<String>,
    revision: u64,
}

impl Event {
    fn json(&self) -> Value {
        match &self.value {
            Some(value) => json!({"key": self.key, "value": value, "rev": self.revision,
                "created_rev": self.revision, "lease": 0}),
            None => json!({"key": self.key, "rev": self.revision, "deleted": true}),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Event>,
    history: Vec<Event>,
    revision: u64,
    compacted_revision: u64,
    fault: Fault,
    /// The number of restores, plus one.
    era: u64,
    refused_addresses: Vec<IpAddr>,
    /// The number of calls of each machine to each path.
    calls_by_path: BTreeMap<(Option<IpAddr>, String), u64>,
    /// The number of times that the store became unresponsive.
    silences: u64,
    calls: u64,
}

impl State {
    fn is_refused(&self, request: &HttpRequest) -> bool {
        request.peer_addr().is_some_and(|address| self.refused_addresses.contains(&address.ip()))
    }
}

/// A copy of the items of a store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct Copy {
    items: BTreeMap<String, Event>,
    history: Vec<Event>,
    revision: u64,
}

/// A running store. It stops when it is dropped.
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    server: Server,
}

struct Shared {
    state: Arc<Mutex<State>>,
    changed: watch::Receiver<u64>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

impl Store {
    /// Starts an empty store on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when no port can be bound.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State { revision: 1, era: 1, ..State::default() }));
        let (changed, receiver) = watch::channel(1);
        let shared = Data::new(Shared { state: state.clone(), changed: receiver });
        let configure = move |config: &mut ServiceConfig| {
            config
                .app_data(shared.clone())
                .route("/v1/kv-key", web::get().to(get_item))
                .route("/v1/kv-range", web::get().to(get_range))
                .route("/v1/kv-watch", web::get().to(watch_changes));
        };
        let server = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), configure)?;
        Ok(Self { state, changed, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Writes raw bytes under a key, or deletes the key.
    pub fn write(&self, key: &str, bytes: Option<&[u8]>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let value = bytes.map(base64);
        let event = Event { key: key.into(), value, revision: state.revision };
        match event.value {
            Some(_) => state.items.insert(key.into(), event.clone()),
            None => state.items.remove(key),
        };
        state.history.push(event);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Drops the history, so that watches after an older revision are answered with status 410.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Returns a copy of the items as they are now.
    pub fn copy(&self) -> Copy {
        let state = lock(&self.state);
        Copy {
            items: state.items.clone(),
            history: state.history.clone(),
            revision: state.revision,
        }
    }

    /// Replaces all items by those of a copy. What was written since is lost, and its revisions are
    /// given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = lock(&self.state);
        state.items = copy.items.clone();
        state.history = copy.history.clone();
        state.revision = copy.revision;
        state.era += 1;
        drop(state);
        self.changed.send_modify(|_| {});
    }

    /// Answers the given machines with status 503 and serves all others.
    pub fn refuse(&self, machines: &[IpAddr]) {
        lock(&self.state).refused_addresses = machines.to_vec();
        self.changed.send_modify(|_| {});
    }

    /// Sets the fault. Waiting watches notice it at once. Those that wait when the store becomes
    /// unresponsive are never answered.
    pub fn fail(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.silences += u64::from(fault == Fault::Unresponsive);
        state.fault = fault;
        drop(state);
        self.changed.send_modify(|_| {});
    }
}

/// Begins an answer with this status. All answers state the era.
fn answer(state: &State, status: StatusCode) -> HttpResponseBuilder {
    let mut answer = HttpResponse::build(status);
    answer.insert_header(("Store-Era", state.era.to_string()));
    answer
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let digit = |bits: u32, shift: u32| char::from(DIGITS[(bits >> shift) as usize & 63]);
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        text.push(digit(bits, 18));
        text.push(digit(bits, 12));
        text.push(if chunk.len() > 1 { digit(bits, 6) } else { '=' });
        text.push(if chunk.len() > 2 { digit(bits, 0) } else { '=' });
    }
    text
}

/// Counts a call. Returns the answer that the present fault gives, if any.
async fn begin_call(shared: &Shared, request: &HttpRequest) -> Option<HttpResponse> {
    let failure = {
        let mut state = lock(&shared.state);
        state.calls += 1;
        let key = (request.peer_addr().map(|address| address.ip()), request.path().to_owned());
        let calls = state.calls_by_path.entry(key).or_default();
        *calls += 1;
        let is_second = calls.is_multiple_of(2);
        let fault = match (state.is_refused(request), state.fault) {
            (true, _) => Fault::Status(503),
            (false, Fault::AlternatingStatus(status)) if is_second => Fault::Status(status),
            (false, fault) => fault,
        };
        match fault {
            Fault::None
            | Fault::StalledWatches
            | Fault::ItemsOnly
            | Fault::AlternatingStatus(_) => return None,
            Fault::Status(status) => {
                let status = StatusCode::from_u16(status).expect("a status");
                Some(answer(&state, status).finish())
            }
            Fault::Unresponsive => None,
        }
    };
    if failure.is_none() {
        std::future::pending::<()>().await;
    }
    failure
}

#[derive(Deserialize)]
struct ItemQuery {
    key: String,
}

async fn get_item(
    request: HttpRequest,
    shared: Data<Shared>,
    query: Query<ItemQuery>,
) -> HttpResponse {
    if let Some(answer) = begin_call(&shared, &request).await {
        return answer;
    }
    let state = lock(&shared.state);
    let Some(event) = state.items.get(&query.key) else {
        return answer(&state, StatusCode::NOT_FOUND).finish();
    };
    let mut body = event.json();
    body["store_revision"] = state.revision.into();
    answer(&state, StatusCode::OK).json(body)
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    after: Option<String>,
}

async fn get_range(
    request: HttpRequest,
    shared: Data<Shared>,
    query: Query<RangeQuery>,
) -> HttpResponse {
    /// Small enough that readers have to follow the pages.
    const PAGE_ITEMS: usize = 3;
    if let Some(answer) = begin_call(&shared, &request).await {
        return answer;
    }
    let state = lock(&shared.state);
    if state.fault == Fault::ItemsOnly {
        return answer(&state, StatusCode::SERVICE_UNAVAILABLE).finish();
    }
    let after = query.after.clone().unwrap_or_default();
    let matches = state.items.values().filter(|event| event.key.starts_with(&query.prefix));
    let mut items: Vec<Value> =
        matches.filter(|event| event.key > after).take(PAGE_ITEMS + 1).map(Event::json).collect();
    let has_more = items.len() > PAGE_ITEMS;
    items.truncate(PAGE_ITEMS);
    answer(&state, StatusCode::OK)
        .json(json!({"items": items, "has_more": has_more, "store_revision": state.revision}))
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn watch_changes(
    request: HttpRequest,
    shared: Data<Shared>,
    query: Query<WatchQuery>,
) -> HttpResponse {
    if let Some(answer) = begin_call(&shared, &request).await {
        return answer;
    }
    let end = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    let mut changed = shared.changed.clone();
    let silences = lock(&shared.state).silences;
    loop {
        changed.borrow_and_update();
        if lock(&shared.state).silences != silences {
            std::future::pending::<()>().await;
        }
        {
            let state = lock(&shared.state);
            let is_unknown = query.after > state.revision;
            if query.after < state.compacted_revision || is_unknown {
                return answer(&state, StatusCode::GONE).finish();
            }
            if matches!(state.fault, Fault::Status(_)) || state.is_refused(&request) {
                return answer(&state, StatusCode::SERVICE_UNAVAILABLE).finish();
            }
            let is_new = |event: &&Event| {
                event.revision > query.after && event.key.starts_with(&query.prefix)
            };
            let events: Vec<Value> = match state.fault {
                Fault::None | Fault::AlternatingStatus(_) => {
                    state.history.iter().filter(is_new).map(Event::json).collect()
                }
                _ => Vec::new(),
            };
            if !events.is_empty() {
                let body = json!({"events": events, "store_revision": state.revision});
                return answer(&state, StatusCode::OK).json(body);
            }
        }
        if tokio::time::timeout_at(end, changed.changed()).await.is_err() {
            let body = json!({"events": [], "store_revision": query.after});
            return answer(&lock(&shared.state), StatusCode::OK).json(body);
        }
    }
}
