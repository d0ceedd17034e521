//! The connections to the node's own target. Each carries one request at a time.

use {
    super::{
        adapter::{HeaderAdapter, ResponseVerdict},
        socket,
    },
    crate::http::message::{Answer, Field, Request, end_to_end_fields},
    bytes::Bytes,
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{
        HeaderMap, Method, Response, Uri,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, HOST, HeaderName, HeaderValue},
    },
    hyper_util::rt::TokioIo,
    monsoon_lib::{
        call::{Reason, Refusal},
        id,
        mesh::node::Served,
    },
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::Instant},
};

/// The largest answer of a target, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// How long a target may take to answer after the time that it was given. It ends a run at that
/// time by itself and says so.
const LATE_GRACE: Duration = Duration::from_millis(120);
/// How long a health check may take. It waits for a slot like a request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// The idle time after which a connection is not used again where the target names none.
const UNNAMED_IDLE: Duration = Duration::from_millis(1_500);
/// What is kept back of the idle time that a target names, so that no request crosses its close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// The idle time after which a connection is not used for a request that must not run twice. A
/// target that forgot the connection would leave the request's fate unknown.
const SURE_IDLE: Duration = Duration::from_millis(2_500);

/// How a run ended.
#[derive(Debug)]
pub enum Run {
    /// The target answered.
    Answered {
        /// Whether the target says that it failed.
        has_failed: bool,
        /// The answer.
        answer: Answer,
    },
    /// The target says that it did not run the request.
    Declined(Refusal),
    /// No byte of the request was sent.
    Unreachable(io::Error),
    /// The request may have run.
    Lost(Reason, String),
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection,
    until: Instant,
    since: Instant,
}

/// The task that moves the bytes of a connection. The connection closes with it.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The connections to one target.
pub struct Target {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
}

impl Target {
    /// Makes the pool of a target without a connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::default() }
    }

    /// Closes connections that are too old to be used again.
    pub fn tick(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|idle| idle.until > now && !idle.sender.is_closed());
    }

    /// Closes all connections that carry no request.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Runs a request. Dropping the future closes the connection, which ends the run.
    pub async fn run<N: HeaderAdapter>(
        &self,
        header_adapter: &N,
        served: &Served,
        request: &Rc<Request>,
        is_idempotent: bool,
    ) -> Run {
        let message = match message(request, header_adapter.added_fields(served)) {
            Ok(message) => message,
            Err(error) => return Run::Unreachable(io::Error::other(error)),
        };
        let (mut sender, connection) = match self.connection(is_idempotent).await {
            Ok(connection) => connection,
            Err(error) => return Run::Unreachable(error),
        };
        let exchange = async {
            let response = sender.send_request(message).await?;
            Ok::<_, hyper::Error>(response)
        };
        let time = served.remaining + LATE_GRACE;
        let sent = Instant::now();
        let response = match tokio::time::timeout(time, exchange).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Run::Lost(Reason::Broken, error.to_string()),
            Err(_) => return Run::Lost(Reason::Deadline, "no answer in time".into()),
        };
        let headers = response.headers().clone();
        let status = response.status().as_u16();
        let left = time.saturating_sub(sent.elapsed());
        let body = match tokio::time::timeout(left, whole_body(response)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Run::Lost(Reason::Broken, error),
            Err(_) => return Run::Lost(Reason::Deadline, "no whole answer in time".into()),
        };
        match header_adapter.classify_response(&served.request, status, &headers) {
            ResponseVerdict::Mismatched => {
                Run::Lost(Reason::Broken, format!("an answer {status} to another request"))
            }
            ResponseVerdict::NotExecuted(refusal) => {
                self.keep(sender, connection, &headers);
                Run::Declined(refusal)
            }
            ResponseVerdict::Executed { has_failed } => {
                self.keep(sender, connection, &headers);
                let fields = end_to_end_fields(&headers, |_| true);
                Run::Answered { has_failed, answer: Answer { status, fields, body } }
            }
        }
    }

    async fn connection(
        &self,
        is_idempotent: bool,
    ) -> io::Result<(SendRequest<Full<Bytes>>, Connection)> {
        let now = Instant::now();
        // The connection that was used last is the one that the target most surely still knows.
        while let Some(idle) = self.idle.borrow_mut().pop() {
            let is_sure = is_idempotent || now - idle.since < SURE_IDLE;
            if idle.until > now && is_sure && idle.sender.is_ready() {
                return Ok((idle.sender, idle.connection));
            }
        }
        let stream = socket::connect(self.address).await?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a connection to the target ended");
            }
        });
        Ok((sender, Connection(task)))
    }

    /// Tells whether the target takes connections.
    pub async fn is_reachable(&self) -> bool {
        match socket::connect(self.address).await {
            Ok(_) => true,
            Err(error) => {
                log::info!(error:% = error; "the target takes no connection");
                false
            }
        }
    }

    /// Asks the target whether it is healthy and not leaving. Returns the name of its life.
    pub async fn health<N: HeaderAdapter>(&self, header_adapter: &N, path: &str) -> Option<id::Vm> {
        let check = async {
            let request = Request {
                method: "GET".into(),
                target: path.into(),
                fields: Vec::new(),
                body: Bytes::new(),
            };
            let message = message(&request, Vec::new()).map_err(io::Error::other)?;
            let (mut sender, _connection) = self.connection(false).await?;
            let response = sender.send_request(message).await.map_err(io::Error::other)?;
            Ok::<_, io::Error>(
                header_adapter.healthy_instance(response.status().as_u16(), response.headers()),
            )
        };
        match tokio::time::timeout(HEALTH_TIMEOUT, check).await {
            Ok(Ok(name)) => name,
            Ok(Err(error)) => {
                log::info!(error:% = error; "no answer to a health check");
                None
            }
            Err(_) => {
                log::info!("no answer to a health check in time");
                None
            }
        }
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>, connection: Connection, headers: &HeaderMap) {
        let is_closing = headers.get(CONNECTION).is_some_and(|value| {
            value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        });
        if is_closing || sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let until = since + idle_time(headers);
        self.idle.borrow_mut().push(Idle { sender, connection, until, since });
    }
}

fn idle_time(headers: &HeaderMap) -> Duration {
    let named = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let named = named.and_then(|text| {
        let parts = text.split(',').map(str::trim);
        parts.filter_map(|part| part.strip_prefix("timeout=")).find_map(|s| s.parse().ok())
    });
    named.map_or(UNNAMED_IDLE, |seconds| Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}

fn message(
    request: &Request,
    set: Vec<Field>,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let method = Method::from_bytes(request.method.as_bytes())?;
    let uri: Uri = request.target.parse()?;
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = method;
    *message.uri_mut() = uri;
    let headers = message.headers_mut();
    for field in &request.fields {
        headers
            .append(HeaderName::from_bytes(&field.name)?, HeaderValue::from_bytes(&field.value)?);
    }
    for field in set {
        headers
            .insert(HeaderName::from_bytes(&field.name)?, HeaderValue::from_bytes(&field.value)?);
    }
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static(""));
    }
    Ok(message)
}

async fn whole_body(response: Response<Incoming>) -> Result<Bytes, String> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    body.map(http_body_util::Collected::to_bytes).map_err(|error| error.to_string())
}
