//! The pool of HTTP/1.1 connections to the node's own target. Each carries one request at a time.

mod connection;
mod stream;

pub use connection::Counters;

use {
    super::{
        adapter::{HeaderAdapter, Health, ResponseVerdict},
        buffer::{Limits, MAX_RESPONSE_BYTES, MAX_SHORT_BODY_BYTES, ResponseBuffers},
        cause::Cause,
        socket,
    },
    crate::http::message::{Answer, Field, Request, end_to_end_fields, is_final},
    bytes::{Bytes, BytesMut},
    connection::{Connection, Ending, Opening},
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{
        HeaderMap, Method, Response, Uri,
        body::{Body as _, Incoming},
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, HOST, HeaderName, HeaderValue},
    },
    hyper_util::rt::TokioIo,
    monsoon_lib::{call::Refusal, mesh::node::ForwardedRequest},
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration},
    stream::Stream,
    tokio::time::Instant,
};

/// The read buffer of a connection, in bytes. It holds the largest head of a response.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How long the node waits beyond the deadline that it gave the target. The target stops at the
/// deadline by itself, and its response needs time to arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(120);
/// The timeout of a health check. On the target it waits for a slot like a request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// The idle time after which a connection is not reused if the target advertises no timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// The margin that is subtracted from the idle timeout that a target advertises, so that no request
/// is sent while the target closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);
/// The idle time after which a connection is not reused for a non-idempotent request. If the target
/// had dropped the connection, it would be unknown whether it executed the request.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(2_500);

/// The result of an HTTP exchange with the target.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The target executed the request and responded.
    Answered {
        /// Whether the target reports a failure.
        has_failed: bool,
        /// The response.
        answer: Answer,
    },
    /// The target reports that it did not execute the request.
    Declined {
        /// The refusal for the caller.
        refusal: Refusal,
        /// The header fields of the response.
        fields: Vec<Field>,
    },
    /// The target has not received the whole head of the request, so it does not run it.
    Unreachable(io::Error),
    /// The time of the request was over before its first byte was sent.
    Expired,
    /// The request may have been executed. The text describes the cause.
    MayHaveRun(Cause, String),
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection,
    expires_at: Instant,
    idle_since: Instant,
}

impl IdleConnection {
    /// Returns how the connection has ended, unless it can still be used.
    fn ending(&self, now: Instant) -> Option<Ending> {
        match self.sender.is_closed() {
            true => Some(Ending::Target),
            false => (self.expires_at <= now).then_some(Ending::Expired),
        }
    }
}

/// The connection pool of one target.
pub struct Target {
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    buffers: ResponseBuffers,
    counters: Counters,
}

impl Target {
    /// Creates an empty pool for the target at `address`.
    pub fn new(address: SocketAddr, limits: Limits, counters: Counters) -> Self {
        let buffers = ResponseBuffers::new(limits);
        Self { address, idle: RefCell::default(), buffers, counters }
    }

    /// Returns the memory for the bodies of this target's responses.
    pub fn buffers(&self) -> &ResponseBuffers {
        &self.buffers
    }

    /// Closes connections that have been idle for too long or were closed by the target.
    pub fn evict_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|idle| {
            let ending = idle.ending(now);
            ending.into_iter().for_each(|ending| idle.connection.set_ending(ending));
            ending.is_none()
        });
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for idle in self.idle.borrow_mut().drain(..) {
            idle.connection.set_ending(Ending::Expired);
        }
    }

    /// Runs a request. Dropping the future closes the connection, on which the target aborts it.
    pub async fn run<H: HeaderAdapter>(
        &self,
        header_adapter: &H,
        forwarded: &ForwardedRequest,
        request: &Rc<Request>,
        is_idempotent: bool,
    ) -> ExchangeResult {
        let began = Instant::now();
        let message = match build_request(request, header_adapter.added_fields(forwarded)) {
            Ok(message) => message,
            Err(error) => return ExchangeResult::Unreachable(io::Error::other(error)),
        };
        let id = forwarded.request.as_str();
        let connecting = self.take_connection(Some(id), is_idempotent);
        let connecting = tokio::time::timeout(forwarded.remaining, connecting);
        let (mut sender, connection) = match connecting.await {
            Ok(Ok(connection)) if began.elapsed() < forwarded.remaining => connection,
            Ok(Ok(_)) | Err(_) => return ExchangeResult::Expired,
            Ok(Err(error)) => return ExchangeResult::Unreachable(error),
        };
        let exchange = connection.exchange.clone();
        let response_future = async {
            let response = sender.send_request(message).await?;
            exchange.head_received();
            Ok::<_, hyper::Error>(response)
        };
        let timeout = forwarded.remaining + RESPONSE_GRACE;
        let sent_at = Instant::now();
        let response = match tokio::time::timeout(timeout, response_future).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                connection.set_ending(Ending::Broken);
                return exchange.fail(Cause::TargetBroke, error.to_string());
            }
            Err(_) => return exchange.fail(Cause::TargetDeadline, "response timed out".into()),
        };
        let headers = response.headers().clone();
        let status = response.status().as_u16();
        let mismatched = || {
            let error = format!("mismatched response with status {status}");
            ExchangeResult::MayHaveRun(Cause::MismatchedResponse, error)
        };
        if !is_final(status) {
            connection.set_ending(Ending::Broken);
            return mismatched();
        }
        let remaining = timeout.saturating_sub(sent_at.elapsed());
        let body = match tokio::time::timeout(remaining, self.read_body(response)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                connection.set_ending(Ending::Broken);
                return ExchangeResult::MayHaveRun(Cause::TargetBroke, error);
            }
            Err(_) if self.buffers.is_contended() => {
                let error = "no room for the body before the deadline".into();
                return ExchangeResult::MayHaveRun(Cause::NoRoom, error);
            }
            Err(_) => {
                return ExchangeResult::MayHaveRun(Cause::TargetDeadline, "body timed out".into());
            }
        };
        match header_adapter.classify_response(forwarded, status, &headers) {
            ResponseVerdict::Mismatched => {
                connection.set_ending(Ending::Broken);
                mismatched()
            }
            ResponseVerdict::NotExecuted(refusal) => {
                if connection.record_decline(id, sent_at + timeout) {
                    self.return_to_pool(sender, connection, &headers);
                } else {
                    connection.set_ending(Ending::Expired);
                }
                let fields = end_to_end_fields(&headers, |_| true);
                ExchangeResult::Declined { refusal, fields }
            }
            ResponseVerdict::Executed { has_failed } => {
                self.return_to_pool(sender, connection, &headers);
                let fields = end_to_end_fields(&headers, |_| true);
                ExchangeResult::Answered { has_failed, answer: Answer { status, fields, body } }
            }
        }
    }

    /// Reads a response body once there is room for it. Until then the target has to wait.
    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, String> {
        let length = response.body().size_hint().exact().map(|length| length as usize);
        if length.is_some_and(|length| length > MAX_RESPONSE_BYTES) {
            return Err("the body exceeds the size limit".into());
        }
        let mut room = length.unwrap_or(MAX_SHORT_BODY_BYTES);
        let mut reservation = self.buffers.reserve(room).await;
        let mut bytes = BytesMut::with_capacity(length.unwrap_or_default());
        let mut body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > room {
                // Only what has no known length gets here. Room for the longest body is reserved at
                // once, since bodies that wait for each other's room would never end.
                drop(reservation);
                room = MAX_RESPONSE_BYTES;
                reservation = self.buffers.reserve(room).await;
            }
            bytes.extend_from_slice(&data);
        }
        reservation.shrink(bytes.len());
        Ok(reservation.attach(bytes.freeze()))
    }

    /// Removes the most recently used idle connection on which the target has not declined the
    /// request. It is the least likely to have been closed by the target.
    fn pop_idle(&self, request: Option<&str>) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let is_usable =
            |idle: &IdleConnection| request.is_none_or(|id| !idle.connection.has_declined(id));
        let index = idle.iter().rposition(is_usable)?;
        Some(idle.remove(index))
    }

    /// Returns a connection for a request with this id, or for a health check.
    async fn take_connection(
        &self,
        request: Option<&str>,
        is_idempotent: bool,
    ) -> io::Result<(SendRequest<Full<Bytes>>, Connection)> {
        let now = Instant::now();
        let mut opening = match self.idle.borrow().is_empty() {
            true => Opening::NoneIdle,
            false => Opening::Declined,
        };
        while let Some(idle) = self.pop_idle(request) {
            let is_safe = is_idempotent || now - idle.idle_since < NON_IDEMPOTENT_MAX_IDLE;
            if idle.expires_at > now && is_safe && idle.sender.is_ready() {
                idle.connection.exchange.begin();
                return Ok((idle.sender, idle.connection));
            }
            let is_closed = !idle.sender.is_ready();
            idle.connection.set_ending(if is_closed { Ending::Target } else { Ending::Expired });
            opening = Opening::Expired;
        }
        let stream = Stream::new(socket::connect(self.address).await?);
        let exchange = stream.exchange();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection to the target closed");
            }
        });
        Ok((sender, Connection::new(task, exchange, opening, &self.counters)))
    }

    /// Connects to the target without sending a request.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept connections.
    pub async fn probe(&self) -> io::Result<()> {
        socket::connect(self.address).await.map(drop)
    }

    /// Returns whether the target accepts connections.
    pub async fn is_reachable(&self) -> bool {
        match self.probe().await {
            Ok(()) => true,
            Err(error) => {
                log::info!(error:% = error; "target does not accept connections");
                false
            }
        }
    }

    /// Checks the target's health. Returns what it says if it is healthy and not leaving.
    pub async fn check_health<H: HeaderAdapter>(
        &self,
        header_adapter: &H,
        path: &str,
    ) -> Option<Health> {
        let check = async {
            let request = Request {
                method: "GET".into(),
                target: path.into(),
                fields: Vec::new(),
                body: Bytes::new(),
            };
            let message = build_request(&request, Vec::new()).map_err(io::Error::other)?;
            let (mut sender, _connection) = self.take_connection(None, false).await?;
            let response = sender.send_request(message).await.map_err(io::Error::other)?;
            Ok::<_, io::Error>(
                header_adapter.healthy_instance(response.status().as_u16(), response.headers()),
            )
        };
        match tokio::time::timeout(HEALTH_TIMEOUT, check).await {
            Ok(Ok(health)) => health,
            Ok(Err(error)) => {
                log::info!(error:% = error; "health check failed");
                None
            }
            Err(_) => {
                log::info!("health check timed out");
                None
            }
        }
    }

    fn return_to_pool(
        &self,
        sender: SendRequest<Full<Bytes>>,
        connection: Connection,
        headers: &HeaderMap,
    ) {
        let is_closing = headers.get(CONNECTION).is_some_and(|value| {
            value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        });
        if is_closing || sender.is_closed() {
            connection.set_ending(Ending::Target);
            return;
        }
        let idle_since = Instant::now();
        let expires_at = idle_since + max_idle_time(headers);
        self.idle.borrow_mut().push(IdleConnection { sender, connection, expires_at, idle_since });
    }
}

fn max_idle_time(headers: &HeaderMap) -> Duration {
    let advertised = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let advertised = advertised.and_then(|text| {
        let parts = text.split(',').map(str::trim);
        parts.filter_map(|part| part.strip_prefix("timeout=")).find_map(|s| s.parse().ok())
    });
    advertised.map_or(DEFAULT_MAX_IDLE, |seconds| {
        Duration::from_secs(seconds).saturating_sub(IDLE_TIMEOUT_MARGIN)
    })
}

fn build_request(
    request: &Request,
    added_fields: Vec<Field>,
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
    for field in added_fields {
        headers
            .insert(HeaderName::from_bytes(&field.name)?, HeaderValue::from_bytes(&field.value)?);
    }
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static(""));
    }
    Ok(message)
}
