//! An application server: it runs requests in a number of slots and writes its entry to the store.

use {
    crate::{
        http::{read_head, skip_body},
        record::Record,
        store::Store,
    },
    std::{
        io::{self, BufReader, ErrorKind, Write as _},
        net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The interval between two writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How often a run looks whether its connection was closed.
const CLOSE_CHECK: Duration = Duration::from_millis(10);
/// The path whose requests crash a server, in cases that use it.
pub const CRASHING_PATH: &str = "/desk/crash";
/// How long a crashed server is down.
const DOWN_TIME: Duration = Duration::from_millis(2_000);

/// What a server does.
#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub slots: usize,
    /// How long a request runs.
    pub work: Duration,
    /// The length of the body of an answer.
    pub answer_bytes: usize,
}

/// The arrival of a request at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub request: String,
    pub target: String,
}

struct Shared {
    settings: Settings,
    record: Record,
    running: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
    is_listed: AtomicBool,
    /// The number of crashes. A connection of an earlier life is closed.
    crashes: AtomicUsize,
    down_until: Mutex<Option<Instant>>,
    is_listening: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A running server, which lasts as long as the process.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

impl Server {
    /// Starts a server that registers itself in the store.
    pub fn start(settings: Settings, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.address)?;
        let server = Self(Arc::new(Shared {
            settings,
            record: record.clone(),
            running: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            is_listed: AtomicBool::new(true),
            crashes: AtomicUsize::new(0),
            down_until: Mutex::default(),
            is_listening: AtomicBool::new(true),
            connections: Mutex::default(),
        }));
        let (accepting, heart, store) = (server.clone(), server.clone(), store.clone());
        thread::spawn(move || accepting.accept(listener));
        thread::spawn(move || heart.beat(&store));
        Ok(server)
    }

    /// Returns the requests that arrived, without health checks.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Removes the entry without a report that the server is draining. The server goes on serving.
    pub fn remove_entry(&self, store: &Store) {
        self.0.is_listed.store(false, Ordering::SeqCst);
        store.write(&self.key(), None);
    }

    /// Returns how often the server has crashed.
    pub fn crashes(&self) -> usize {
        self.0.crashes.load(Ordering::SeqCst)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.0.settings.id)
    }

    fn is_down(&self) -> bool {
        let down_until = *self.0.down_until.lock().unwrap_or_else(PoisonError::into_inner);
        down_until.is_some_and(|end| Instant::now() < end)
    }

    fn beat(&self, store: &Store) {
        let Settings { service, zone, address, slots, .. } = &self.0.settings;
        let mut life = 0;
        let (mut sequence, mut born) = (0, unix_ms());
        loop {
            if !self.0.is_listed.load(Ordering::SeqCst) {
                return;
            }
            if !self.is_down() {
                if self.crashes() != life {
                    (life, sequence, born) = (self.crashes(), 0, unix_ms());
                }
                let entry = format!(
                    "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\
                     \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\
                     \"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
                     \"cold_remaining_ms\":0}},\"born\":{born}}}"
                );
                store.write(&self.key(), Some(&entry));
                sequence += 1;
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Accepts connections, except while the server is down.
    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_down() {
                listener = None;
                self.0.is_listening.store(false, Ordering::SeqCst);
                thread::sleep(CLOSE_CHECK);
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.0.settings.address).ok();
                self.0.is_listening.store(listener.is_some(), Ordering::SeqCst);
                continue;
            };
            // A crash wakes the thread by a connection of its own.
            let Ok((stream, _)) = open.accept() else { continue };
            if self.is_down() {
                continue;
            }
            if let (Ok(copy), Ok(mut connections)) = (stream.try_clone(), self.0.connections.lock())
            {
                connections.push(copy);
            }
            let server = self.clone();
            thread::spawn(move || {
                // A connection ends with its client.
                let _ = server.serve(stream);
            });
        }
    }

    fn crash(&self) {
        let until = Instant::now() + DOWN_TIME;
        *self.0.down_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
        self.0.crashes.fetch_add(1, Ordering::SeqCst);
        self.0.record.write(&format!("{} crashes", self.0.settings.id));
        // As the end of a process, a crash closes the listener before anybody can learn of it.
        let _ = TcpStream::connect(self.0.settings.address);
        while self.0.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        let mut connections = self.0.connections.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in connections.drain(..) {
            // It may have ended already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let Settings { id, slots, work, answer_bytes, .. } = &self.0.settings;
        stream.set_nodelay(true)?;
        let life = self.crashes();
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            skip_body(&mut reader, head.length())?;
            let load = self.0.running.load(Ordering::SeqCst);
            let load = format!("X-Server-Load: {load},0,{slots}\r\n");
            if head.target() == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes())?;
                continue;
            }
            let request = head.field("x-request-id").unwrap_or_default().to_owned();
            let target = head.target().to_owned();
            let echo = format!("X-Request-Id: {request}\r\n{load}");
            if head.field("x-expect-instance").is_some_and(|expected| expected != id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\n\
                     X-Not-Executed: 1\r\n{echo}Content-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes())?;
                continue;
            }
            if self.0.running.fetch_add(1, Ordering::SeqCst) >= *slots {
                self.0.running.fetch_sub(1, Ordering::SeqCst);
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{echo}\
                     Content-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes())?;
                continue;
            }
            let deadline = head.field("x-deadline-ms").and_then(|ms| ms.parse().ok());
            let deadline = Duration::from_millis(deadline.unwrap_or(60_000));
            self.0.record.write(&format!(
                "{request} reaches {id}: {} {target}, {} ms left",
                head.method(),
                deadline.as_millis()
            ));
            let arrival = Arrival {
                at: self.0.record.now(),
                request: request.clone(),
                target: target.clone(),
            };
            self.0.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
            let is_open = wait_while_open(&stream, (*work).min(deadline));
            self.0.running.fetch_sub(1, Ordering::SeqCst);
            if !is_open || self.crashes() != life {
                self.0.record.write(&format!("{request} ends unfinished at {id}"));
                return Ok(());
            }
            if target == CRASHING_PATH {
                self.crash();
                return Ok(());
            }
            let (status, length) = match *work <= deadline {
                true => ("200 OK", *answer_bytes),
                false => ("504 Gateway Timeout", 0),
            };
            self.0.record.write(&format!("{request} ends at {id} with {status}"));
            let text = format!(
                "HTTP/1.1 {status}\r\n{echo}X-Response-Signature: sig-{request}\r\n\
                 Keep-Alive: timeout=10\r\nContent-Length: {length}\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            stream.write_all(&vec![b'a'; length])?;
        }
        Ok(())
    }
}

/// Waits for a time. Returns false as soon as the client closes the connection.
fn wait_while_open(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let is_closed = |stream: &TcpStream| {
        let mut byte = [0];
        stream.set_nonblocking(true).is_err()
            || match stream.peek(&mut byte) {
                Ok(read) => read == 0,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            }
    };
    let mut is_open = true;
    while is_open && Instant::now() < end {
        thread::sleep(CLOSE_CHECK.min(end.saturating_duration_since(Instant::now())));
        is_open = !is_closed(stream);
    }
    is_open && stream.set_nonblocking(false).is_ok()
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
