//! An application server. It does the work that the path names: `/desk/x?work=MS&bytes=N`.

use {
    super::http::{Connection, Message, response},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// A request that the server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    /// The tenant that the system names.
    pub tenant: Option<String>,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub slots: usize,
    runs: Arc<Mutex<Vec<Run>>>,
    /// While it is above 0, the answer of each run whose number it divides is lost.
    loses_every: Arc<AtomicUsize>,
}

impl Server {
    pub fn start(address: SocketAddr, id: &str, slots: usize) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            id: id.into(),
            address,
            slots,
            runs: Arc::default(),
            loses_every: Arc::default(),
        };
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                std::thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        Ok(server)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes the server lose the answer of each run whose number `count` divides, or of none if it is 0.
    pub fn lose_answers(&self, count: usize) {
        self.loses_every.store(count, Ordering::Relaxed);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(None) {
            // A connection on which an answer is lost is closed.
            let Some(answer) = self.answer(&request) else { return };
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<Message> {
        let load = format!("1,0,{}", self.slots);
        if request.start.starts_with("GET /health ") {
            let fields = [("X-Instance-Id", self.id.as_str()), ("X-Server-Load", &load)];
            return Some(response("200 OK", &fields, b""));
        }
        let id = request.field("x-request-id").unwrap_or_default().to_owned();
        if request.field("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return Some(response("421 Misdirected Request", &[("X-Request-Id", &id)], b""));
        }
        let target = request.target().to_owned();
        let run = Run {
            request: id.clone(),
            tenant: request.field("x-tenant").map(str::to_owned),
            at: Instant::now(),
        };
        let number = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.push(run);
            runs.len()
        };
        let parameter = |name: &str| {
            let query = target.split_once('?').map_or("", |(_, query)| query);
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
            values.next().and_then(|value| value.parse::<usize>().ok())
        };
        std::thread::sleep(Duration::from_millis(parameter("work").unwrap_or(5) as u64));
        let loses_every = self.loses_every.load(Ordering::Relaxed);
        if loses_every > 0 && number % loses_every == 0 {
            return None;
        }
        let signature = format!("s.{}", self.id);
        let fields = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Signature", &signature),
            ("X-Server-Load", &load),
            ("Keep-Alive", "timeout=10"),
        ];
        Some(response("200 OK", &fields, &vec![b'x'; parameter("bytes").unwrap_or(600)]))
    }
}
