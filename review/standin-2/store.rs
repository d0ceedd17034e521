//! The platform's store: reads, ranges and watches over items that the stand-in writes.

use {
    super::http::{Connection, Message, response},
    std::{
        collections::BTreeMap,
        io,
        net::{IpAddr, SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Event {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

impl Event {
    fn json(&self) -> String {
        let Self { key, revision, .. } = self;
        match &self.value {
            Some(value) => format!(
                r#"{{"key":"{key}","value":"{}","rev":{revision},"created_rev":{revision},"lease":0}}"#,
                base64(value)
            ),
            None => format!(r#"{{"key":"{key}","rev":{revision},"deleted":true}}"#),
        }
    }
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Event>,
    history: Vec<Event>,
    revision: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        shared.lock().revision = 1;
        let serving = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read(None) {
                        if connection.write(&answer(&shared, &request)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Self { shared, address })
    }

    /// Writes an item, or deletes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.shared.lock();
        state.revision += 1;
        let value = value.map(|text| text.as_bytes().to_vec());
        let event = Event { key: key.into(), value, revision: state.revision };
        match event.value {
            Some(_) => state.items.insert(key.into(), event.clone()),
            None => state.items.remove(key),
        };
        state.history.push(event);
        drop(state);
        self.shared.changed.notify_all();
    }
}

fn answer(shared: &Shared, request: &Message) -> Message {
    let json =
        |text: String| response("200 OK", &[("Content-Type", "application/json")], text.as_bytes());
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let parameter = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    };
    let state = shared.lock();
    match path {
        "/v1/kv-key" => match state.items.get(&parameter("key").unwrap_or_default()) {
            Some(event) => {
                let item = event.json();
                let item = item.trim_end_matches('}');
                json(format!(r#"{item},"store_revision":{}}}"#, state.revision))
            }
            None => response("404 Not Found", &[], b""),
        },
        "/v1/kv-range" => {
            const PAGE: usize = 500;
            let (prefix, after) = (parameter("prefix").unwrap_or_default(), parameter("after"));
            let after = after.unwrap_or_default();
            let found = state.items.values();
            let found = found.filter(|e| e.key.starts_with(&prefix) && e.key > after);
            let items: Vec<String> = found.take(PAGE + 1).map(Event::json).collect();
            let has_more = items.len() > PAGE;
            let items = items[..items.len().min(PAGE)].join(",");
            json(format!(
                r#"{{"items":[{items}],"has_more":{has_more},"store_revision":{}}}"#,
                state.revision
            ))
        }
        "/v1/kv-watch" => watch(shared, state, &parameter),
        _ => response("404 Not Found", &[], b""),
    }
}

fn watch<'a>(
    shared: &'a Shared,
    mut state: MutexGuard<'a, State>,
    parameter: &dyn Fn(&str) -> Option<String>,
) -> Message {
    let number = |name| parameter(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let (after, prefix) = (number("after"), parameter("prefix").unwrap_or_default());
    let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
    loop {
        let new = state.history.iter().filter(|e| e.revision > after && e.key.starts_with(&prefix));
        let events: Vec<String> = new.map(Event::json).collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let revision = if events.is_empty() { after } else { state.revision };
            let body =
                format!(r#"{{"events":[{}],"store_revision":{revision}}}"#, events.join(","));
            return response("200 OK", &[("Content-Type", "application/json")], body.as_bytes());
        }
        let waited = shared.changed.wait_timeout(state, left);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let code = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => (decoded.push(byte), i += 3).1,
            None => (decoded.push(bytes[i]), i += 1).1,
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = char::from(DIGITS[(bits >> (18 - 6 * i)) as usize & 63]);
            text.push(if i > chunk.len() { '=' } else { digit });
        }
    }
    text
}
