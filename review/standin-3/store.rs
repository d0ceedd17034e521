//! The platform's store: reads of items and ranges, and watches.

use {
    crate::http::{parameter, read_head},
    std::{
        collections::BTreeMap,
        fmt::Write as _,
        io::{self, BufReader, Write as _},
        net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Event {
    key: String,
    /// The value in base64, or `None` if the item was deleted.
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
    items: BTreeMap<String, Event>,
    history: Vec<Event>,
    revision: u64,
    /// The number of watches that wait.
    waiting: usize,
    /// The number of watches that are to be cut.
    cuts: usize,
}

/// A running store, which lasts as long as the process.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    address: SocketAddrV4,
}

impl Store {
    /// Starts an empty store.
    pub fn start(host: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let address = SocketAddrV4::new(host, listener.local_addr()?.port());
        let state = State { revision: 1, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    // A connection ends with its client.
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an item, or deletes it. The change is acknowledged when this returns.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.lock();
        state.revision += 1;
        let value = value.map(|value| base64(value.as_bytes()));
        let event = Event { key: key.to_owned(), value, revision: state.revision };
        match event.value {
            Some(_) => _ = state.items.insert(key.to_owned(), event.clone()),
            None => _ = state.items.remove(key),
        }
        state.history.push(event);
        self.state.1.notify_all();
    }

    /// Closes the connection of one watch that waits, as soon as there is one.
    pub fn cut_watch(&self) {
        let mut state = self.lock();
        while state.waiting == 0 {
            state = self.state.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.cuts += 1;
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let target = head.target();
            let path = target.split('?').next().unwrap_or_default();
            let (status, body) = match path {
                "/v1/kv-key" => self.item(target),
                "/v1/kv-range" => self.range(target),
                "/v1/kv-watch" => match self.watch(target) {
                    Some(answer) => answer,
                    None => return Ok(()),
                },
                _ => (404, "{}".to_owned()),
            };
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n"
            );
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn item(&self, target: &str) -> (u16, String) {
        let state = self.lock();
        let key = parameter(target, "key").unwrap_or_default();
        match state.items.get(&key) {
            None => (404, "{}".to_owned()),
            Some(event) => {
                let item = event.json();
                let item = item.trim_end_matches('}');
                (200, format!("{item},\"store_revision\":{}}}", state.revision))
            }
        }
    }

    fn range(&self, target: &str) -> (u16, String) {
        const PAGE_ITEMS: usize = 500;
        let state = self.lock();
        let prefix = parameter(target, "prefix").unwrap_or_default();
        let after = parameter(target, "after").unwrap_or_default();
        let matches = state.items.values().filter(|event| event.key.starts_with(&prefix));
        let matches: Vec<&Event> = matches.filter(|event| event.key > after).collect();
        let has_more = matches.len() > PAGE_ITEMS;
        let items = join(matches.into_iter().take(PAGE_ITEMS));
        let revision = state.revision;
        let body = format!(
            "{{\"items\":[{items}],\"has_more\":{has_more},\"store_revision\":{revision}}}"
        );
        (200, body)
    }

    /// Waits for events. Returns `None` if the watch is cut.
    fn watch(&self, target: &str) -> Option<(u16, String)> {
        let number = |name| parameter(target, name)?.parse::<u64>().ok();
        let prefix = parameter(target, "prefix").unwrap_or_default();
        let (after, wait_ms) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let is_new = |event: &&Event| event.revision > after && event.key.starts_with(&prefix);
            let events = join(state.history.iter().filter(is_new));
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return Some((200, body));
            }
            state.waiting += 1;
            self.state.1.notify_all();
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            state.waiting -= 1;
            if state.cuts > 0 {
                state.cuts -= 1;
                return None;
            }
        }
    }
}

fn join<'a>(events: impl Iterator<Item = &'a Event>) -> String {
    let mut text = String::new();
    for event in events {
        let separator = if text.is_empty() { "" } else { "," };
        // Writing to a string can't fail.
        let _ = write!(text, "{separator}{}", event.json());
    }
    text
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
