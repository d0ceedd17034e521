//! The platform's metadata store, as far as nodes read it.

use {
    super::http,
    std::{
        collections::BTreeMap,
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Event {
    key: String,
    value: Option<String>,
    revision: u64,
}

impl Event {
    fn json(&self) -> String {
        let Self { key, revision, .. } = self;
        match &self.value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\
                 \"created_rev\":{revision},\"lease\":0}}"
            ),
            None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"deleted\":true}}"),
        }
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Event>,
    history: Vec<Event>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State { revision: 1, ..State::default() };
        let store = Self { shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value, or deletes the key. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("the state");
        state.revision += 1;
        let value = value.map(|value| base64(value.as_bytes()));
        let event = Event { key: key.into(), value, revision: state.revision };
        match event.value {
            Some(_) => state.items.insert(key.into(), event.clone()),
            None => state.items.remove(key),
        };
        state.history.push(event);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(request.second_word());
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next();
            percent_decode(value.unwrap_or_default())
        };
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("the state");
        match path {
            "/v1/kv-key" => match state.items.get(&parameter("key")) {
                None => (404, String::new()),
                Some(event) => {
                    let item = event.json();
                    let item = item.trim_end_matches('}');
                    (200, format!("{item},\"store_revision\":{}}}", state.revision))
                }
            },
            "/v1/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let matching = |event: &&Event| event.key.starts_with(&prefix) && event.key > after;
                let items: Vec<String> =
                    state.items.values().filter(matching).map(Event::json).collect();
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{revision}}}",
                        items.join(",")
                    ),
                )
            }
            "/v1/kv-watch" => {
                let prefix = parameter("prefix");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let is_new =
                        |event: &&Event| event.revision > after && event.key.starts_with(&prefix);
                    let events: Vec<String> =
                        state.history.iter().filter(is_new).map(Event::json).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.revision;
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"store_revision\":{revision}}}",
                                events.join(",")
                            ),
                        );
                    }
                    state = changed.wait_timeout(state, left).expect("the state").0;
                }
            }
            _ => (404, String::new()),
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        decoded.extend(u8::from_str_radix(code, 16));
        decoded.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for (i, shift) in [18, 12, 6, 0].into_iter().enumerate() {
            let digit = char::from(DIGITS[(bits >> shift) as usize & 63]);
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
