//! The HTTP listeners for callers and for the local target.
//!
//! A listener reads complete requests within the configured bounds, sends them to the [`Driver`]
//! and writes the complete answer or the refusal. It notifies the driver when a client
//! disconnects.

use {
    super::{
        message::{self, CONTEXT, DEADLINE, IDEMPOTENCY_KEY, Request},
        problem,
    },
    crate::machine::{Arrived, CallGuard, Driver, Reply},
    actix::Addr,
    actix_web::{
        App, HttpRequest, HttpResponse, HttpServer,
        dev::Server,
        http::{
            ConnectionType,
            header::{HeaderMap, HeaderName, HeaderValue},
        },
        web,
    },
    futures::StreamExt,
    monsoon_lib::{
        call::{Reason, Refusal},
        id,
        node::{Head, Listener},
        settings::Bounds,
    },
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Generates call ids that are unique within the process, across all listeners.
#[derive(Clone, Debug, Default)]
pub struct CallIds(Arc<AtomicU64>);

impl CallIds {
    /// Returns a new call id.
    pub fn next(&self) -> id::Call {
        id::Call(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Total size of the request bodies in flight, over all listeners of the process.
#[derive(Clone, Debug, Default)]
pub struct BufferedBytes(Arc<AtomicU64>);

impl BufferedBytes {
    /// Reserves space for a body, unless the total would exceed the bound.
    fn reserve(&self, bytes: u64, bound: u64) -> Option<Reservation> {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        let reservation = Reservation { buffered_bytes: self.clone(), bytes };
        (before + bytes <= bound).then_some(reservation)
    }
}

/// Space reserved for a body, released when dropped.
struct Reservation {
    buffered_bytes: BufferedBytes,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffered_bytes.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Whether the process is draining. If so, each connection is closed after its next answer.
#[derive(Clone, Debug, Default)]
pub struct Draining(Arc<AtomicBool>);

impl Draining {
    /// Marks the process as draining.
    pub fn start(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_started(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The state that the handlers of one listener share.
#[derive(Clone)]
pub struct ListenerContext {
    /// The kind of listener.
    pub listener: Listener,
    /// The driver that receives the requests.
    pub driver: Addr<Driver>,
    /// The generator of call ids.
    pub call_ids: CallIds,
    /// The size of all bodies in flight.
    pub buffered_bytes: BufferedBytes,
    /// The configured bounds on requests and connections.
    pub bounds: Bounds,
    /// Whether the process is draining.
    pub draining: Draining,
}

/// Starts a listener and returns it with the address that it is bound to.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn start(context: ListenerContext, address: SocketAddr) -> io::Result<(Server, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let connections = usize::try_from(context.bounds.connections).unwrap_or(usize::MAX);
    let server = HttpServer::new(move || {
        App::new().app_data(web::Data::new(context.clone())).default_service(web::to(serve))
    })
    .workers(1)
    .max_connections(connections)
    // A client that closes its write side has disconnected, so its request is cancelled.
    .h1_allow_half_closed(false)
    .client_request_timeout(HEAD_TIMEOUT)
    .disable_signals()
    .shutdown_timeout(0)
    .listen(listener)?
    .run();
    Ok((server, bound))
}

async fn serve(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<ListenerContext>,
) -> HttpResponse {
    let mut response = answer(request, payload, &context).await;
    if context.draining.is_started() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn answer(
    request: HttpRequest,
    payload: web::Payload,
    context: &ListenerContext,
) -> HttpResponse {
    let (body, _reservation) = match read_body(&request, payload, context).await {
        Ok(body) => body,
        Err(refusal) => return problem::response(&refusal, None),
    };
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let forwarded = Request {
        method: request.method().as_str().to_owned(),
        target: target.to_owned(),
        fields: message::request_fields(request.headers()),
        body,
    };
    let Ok(head) = head(&forwarded, request.headers()) else {
        return problem::response(&Refusal::not_run(Reason::Malformed), None);
    };
    let call = context.call_ids.next();
    let (reply, result) = oneshot::channel();
    let guard = CallGuard::new(call, context.driver.clone());
    context.driver.do_send(Arrived {
        call,
        listener: context.listener,
        head,
        request: forwarded,
        reply,
    });
    let completion = result.await;
    guard.disarm();
    match completion {
        Ok(completion) => response(completion.reply),
        Err(_) => problem::response(&Refusal::unknown(Reason::Leaving), None),
    }
}

fn response(reply: Reply) -> HttpResponse {
    let answer = match reply {
        Reply::Answer(answer) => answer,
        Reply::Refuse { refusal, limit } => return problem::response(&refusal, limit),
    };
    let mut response = HttpResponse::build(answer.status());
    for field in &answer.fields {
        let name = HeaderName::from_bytes(&field.name);
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.append_header((name, value));
        }
    }
    response.body(answer.body)
}

async fn read_body(
    request: &HttpRequest,
    mut payload: web::Payload,
    context: &ListenerContext,
) -> Result<(web::Bytes, Reservation), Refusal> {
    let bound = context.bounds.body_bytes;
    let declared = content_length(request.headers())?;
    if declared.is_some_and(|length| length > bound) {
        return Err(Refusal::not_run(Reason::TooLarge));
    }
    let reservation = context
        .buffered_bytes
        .reserve(declared.unwrap_or(0), context.bounds.buffer_bytes)
        .ok_or(Refusal::not_run(Reason::Overload).after(Duration::from_secs(1)))?;
    let read = async {
        let mut body = web::BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| Refusal::not_run(Reason::Malformed))?;
            if (body.len() + chunk.len()) as u64 > bound {
                return Err(Refusal::not_run(Reason::TooLarge));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let body = tokio::time::timeout(BODY_TIMEOUT, read).await;
    let body = body.map_err(|_| Refusal::not_run(Reason::Deadline))??;
    let reservation = match declared {
        Some(_) => reservation,
        None => context
            .buffered_bytes
            .reserve(body.len() as u64, context.bounds.buffer_bytes)
            .ok_or(Refusal::not_run(Reason::Overload).after(Duration::from_secs(1)))?,
    };
    Ok((body, reservation))
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get("content-length") else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(Refusal::not_run(Reason::Malformed))
}

fn head(request: &Request, headers: &HeaderMap) -> Result<Head, Refusal> {
    let malformed = Refusal::not_run(Reason::Malformed);
    let text = |name: &str| match headers.get(name) {
        Some(value) => value.to_str().map(|text| Some(text.to_owned())).map_err(|_| malformed),
        None => Ok(None),
    };
    let deadline = match text(DEADLINE)? {
        Some(millis) => Some(Duration::from_millis(millis.parse().map_err(|_| malformed)?)),
        None => None,
    };
    Ok(Head {
        method: request.method.clone(),
        path: request.path().to_owned(),
        key: message::key_digest(headers),
        context: text(CONTEXT)?,
        idempotency_key: text(IDEMPOTENCY_KEY)?,
        deadline,
        digest: request.digest(),
    })
}
