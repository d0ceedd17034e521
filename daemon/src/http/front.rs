//! The listeners for callers and for the node's own target.
//!
//! A listener reads whole requests within the bounds, passes them to the [`Machine`] and writes the
//! whole answer or refusal. It tells the machine when the one who waits has gone.

use {
    super::{
        message::{self, CONTEXT, DEADLINE, IDEMPOTENCY_KEY, Request},
        problem,
    },
    crate::machine::{Arrived, Machine, Reply, Waiter},
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

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Numbers requests for the whole process, whichever listener they come through.
#[derive(Clone, Debug, Default)]
pub struct Numbers(Arc<AtomicU64>);

impl Numbers {
    /// Returns a number that no other request has.
    pub fn next(&self) -> id::Call {
        id::Call(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// The bytes that bodies in flight hold together, over all listeners of the process.
#[derive(Clone, Debug, Default)]
pub struct Buffer(Arc<AtomicU64>);

impl Buffer {
    /// Takes room for some bytes, if there is any within the bound.
    fn take(&self, bytes: u64, bound: u64) -> Option<Room> {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        let room = Room { buffer: self.clone(), bytes };
        (before + bytes <= bound).then_some(room)
    }
}

/// Room for a body, given back when dropped.
struct Room {
    buffer: Buffer,
    bytes: u64,
}

impl Drop for Room {
    fn drop(&mut self) {
        self.buffer.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Whether the process is leaving, so that connections are closed after their next answer.
#[derive(Clone, Debug, Default)]
pub struct Draining(Arc<AtomicBool>);

impl Draining {
    /// Starts to leave.
    pub fn start(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_started(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// What a listener needs to know.
#[derive(Clone)]
pub struct Front {
    /// Which listener it is.
    pub door: Listener,
    /// Where requests go.
    pub machine: Addr<Machine>,
    /// The source of call numbers.
    pub numbers: Numbers,
    /// The bytes held by bodies.
    pub buffer: Buffer,
    /// The bounds.
    pub bounds: Bounds,
    /// Whether the process is leaving.
    pub draining: Draining,
}

/// Starts a listener. The returned address is the bound one.
///
/// # Errors
///
/// Fails where the address can't be bound.
pub fn start(front: Front, address: SocketAddr) -> io::Result<(Server, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let connections = usize::try_from(front.bounds.connections).unwrap_or(usize::MAX);
    let server = HttpServer::new(move || {
        App::new().app_data(web::Data::new(front.clone())).default_service(web::to(serve))
    })
    .workers(1)
    .max_connections(connections)
    // A caller that closes its side has gone, and its request is cancelled.
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
    front: web::Data<Front>,
) -> HttpResponse {
    let mut response = answer(request, payload, &front).await;
    if front.draining.is_started() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn answer(request: HttpRequest, payload: web::Payload, front: &Front) -> HttpResponse {
    let (body, _room) = match read_body(&request, payload, front).await {
        Ok(body) => body,
        Err(refusal) => return problem::response(&refusal, None),
    };
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let whole = Request {
        method: request.method().as_str().to_owned(),
        target: target.to_owned(),
        fields: message::request_fields(request.headers()),
        body,
    };
    let Ok(head) = head(&whole, request.headers()) else {
        return problem::response(&Refusal::not_run(Reason::Malformed), None);
    };
    let call = front.numbers.next();
    let (reply, answered) = oneshot::channel();
    let waiter = Waiter::new(call, front.machine.clone());
    front.machine.do_send(Arrived { call, door: front.door, head, request: whole, reply });
    let done = answered.await;
    waiter.answered();
    match done {
        Ok(done) => response(done.reply),
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
    front: &Front,
) -> Result<(web::Bytes, Room), Refusal> {
    let bound = front.bounds.body_bytes;
    let declared = content_length(request.headers())?;
    if declared.is_some_and(|length| length > bound) {
        return Err(Refusal::not_run(Reason::TooLarge));
    }
    let room = front
        .buffer
        .take(declared.unwrap_or(0), front.bounds.buffer_bytes)
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
    let room = match declared {
        Some(_) => room,
        None => front
            .buffer
            .take(body.len() as u64, front.bounds.buffer_bytes)
            .ok_or(Refusal::not_run(Reason::Overload).after(Duration::from_secs(1)))?,
    };
    Ok((body, room))
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
