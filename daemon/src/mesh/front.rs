//! The HTTP listeners for callers, readiness probes and metrics.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        buffer::Reservation,
        relay::Reply,
        unread::MAX_READ_TIME,
    },
    crate::{clock, http::message::Request},
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt as _, Full},
    hyper::{
        Response, StatusCode,
        body::{Body as _, Incoming},
        header::{CONNECTION, HeaderName, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    monsoon_lib::{
        call::{Reason, Refusal},
        mesh::table::Bounds,
    },
    std::{convert::Infallible, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{Notify, watch},
    },
};

/// The read buffer of a connection, in bytes. It holds the largest request head that tables allow.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How many bytes of a refused body are read, so that the caller can read the answer: a connection
/// that is closed with unread bytes is reset.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// How long this may take.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a caller may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenerKind {
    /// Requests from callers and from the node's own target.
    Callers,
    /// Readiness probes.
    Readiness,
    /// The node's metrics.
    Metrics,
}

/// Accepts and serves connections until the process ends. Once `closing` is true, each connection
/// closes after its current request.
pub async fn serve<H: HeaderAdapter, D: Directory>(
    mesh: Rc<Mesh<H, D>>,
    listener: TcpListener,
    kind: ListenerKind,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(
                        error:% = error;
                        "failed to set socket options of a caller's connection"
                    );
                }
                let connection = serve_connection(mesh.clone(), stream, kind, closing.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H: HeaderAdapter, D: Directory>(
    mesh: Rc<Mesh<H, D>>,
    stream: tokio::net::TcpStream,
    kind: ListenerKind,
    mut closing: watch::Receiver<bool>,
) {
    let overdue = Arc::new(Notify::new());
    let notify = overdue.clone();
    let service = service_fn(move |request| {
        let (mesh, overdue) = (mesh.clone(), notify.clone());
        async move { Ok::<_, Infallible>(respond(&mesh, request, kind, &overdue).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = overdue.notified() => return,
        _ = closing.wait_for(|is_closing| *is_closing) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = overdue.notified() => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "connection from a caller failed");
    }
}

async fn respond<H: HeaderAdapter, D: Directory>(
    mesh: &Rc<Mesh<H, D>>,
    request: hyper::Request<Incoming>,
    kind: ListenerKind,
    overdue: &Arc<Notify>,
) -> Response<Full<Bytes>> {
    match kind {
        ListenerKind::Callers => serve_caller(mesh, request, overdue).await,
        ListenerKind::Readiness => serve_readiness(mesh, &request),
        ListenerKind::Metrics => Response::new(Full::new(mesh.metrics_text().into())),
    }
}

fn serve_readiness<H: HeaderAdapter, D: Directory>(
    mesh: &Mesh<H, D>,
    request: &hyper::Request<Incoming>,
) -> Response<Full<Bytes>> {
    let readiness = mesh.node.borrow().readiness(clock::now());
    let body = readiness.err().map_or(String::new(), |cause| format!("{cause}\n"));
    let mut response = Response::new(Full::from(body));
    let parts = hyper::Request::builder().method(request.method()).uri(request.uri()).body(());
    let is_probe =
        parts.is_ok_and(|request| mesh.header_adapter.is_readiness_probe(&request.into_parts().0));
    *response.status_mut() = match (is_probe, readiness.is_ok()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}

async fn serve_caller<H: HeaderAdapter, D: Directory>(
    mesh: &Rc<Mesh<H, D>>,
    request: hyper::Request<Incoming>,
    overdue: &Arc<Notify>,
) -> Response<Full<Bytes>> {
    let _open_request = mesh.track_request();
    let started = clock::now();
    let (parts, body) = request.into_parts();
    let mut head = match mesh.header_adapter.decode_head(&parts) {
        Ok(head) => head,
        Err(refusal) => return refuse(mesh, &refusal, None),
    };
    let mut reservation = mesh.buffer.reservation();
    let received = read_body(mesh, body, &mut reservation).await;
    // What the targets get after the node has closed could be cut off when the process ends.
    let received = received.and_then(|body| match mesh.is_closed.get() {
        true => Err(Refusal::not_run(Reason::Leaving)),
        false => Ok(body),
    });
    let body = match received {
        Ok(body) => body,
        Err(refusal) => {
            mesh.log_refusal(&head, &refusal, None, None, None);
            return refuse(mesh, &refusal, Some(&head.request));
        }
    };
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let request = Request {
        method: parts.method.as_str().to_owned(),
        target,
        fields: mesh.header_adapter.forwarded_fields(&parts.headers),
        body,
    };
    head.content_hash = request.digest();
    let reply = mesh.relay(&head, request).await;
    let mut response = match reply {
        Reply::Refused(refusal) => refuse(mesh, &refusal, Some(&head.request)),
        Reply::Answer(answer) => {
            mesh.metrics.answered(clock::now() - started);
            let read_time = head.caller_timeout.unwrap_or(MAX_READ_TIME).min(MAX_READ_TIME);
            let body = mesh.unread_answers.track(answer.body, started + read_time, overdue);
            let mut response = Response::new(Full::new(body));
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            append_fields(&mut response, &answer.fields);
            response
        }
    };
    if mesh.node.borrow().is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a request body within the limits on its size and on the memory of all requests.
async fn read_body<H: HeaderAdapter, D: Directory>(
    mesh: &Mesh<H, D>,
    body: Incoming,
    reservation: &mut Reservation,
) -> Result<Bytes, Refusal> {
    let bounds = mesh.node.borrow().table().map_or_else(Bounds::default, |table| *table.bounds());
    let limit = bounds.body.0;
    let announced = body.size_hint().lower();
    if announced > limit {
        discard(body).await;
        return Err(Refusal::not_run(Reason::TooLarge));
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    // A body that will not fit is refused before it is read.
    if let Err(full) = reservation.grow(usize::try_from(announced).unwrap_or(usize::MAX)) {
        discard(body).await;
        return Err(full.into());
    }
    let read = read_frames(body, announced as usize, limit, reservation);
    let read = tokio::time::timeout(BODY_TIMEOUT, read).await;
    read.unwrap_or_else(|_| Err(Refusal::not_run(Reason::Deadline)))
}

async fn read_frames(
    mut body: Incoming,
    reserved: usize,
    limit: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, Refusal> {
    let mut bytes = BytesMut::with_capacity(reserved);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::not_run(Reason::Malformed))?;
        let Ok(data) = frame.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > limit {
            discard(body).await;
            return Err(Refusal::not_run(Reason::TooLarge));
        }
        reservation.grow(length.saturating_sub(reserved.max(bytes.len())))?;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Reads the rest of a refused body without keeping it.
async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // A caller that sends more, or slowly, may not see the answer.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

fn refuse<H: HeaderAdapter, D: Directory>(
    mesh: &Mesh<H, D>,
    refusal: &Refusal,
    request: Option<&str>,
) -> Response<Full<Bytes>> {
    mesh.metrics.refused(refusal);
    let rejection = mesh.header_adapter.refusal_response(refusal, request);
    let mut response = Response::new(Full::default());
    *response.status_mut() =
        StatusCode::from_u16(rejection.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    append_fields(&mut response, &rejection.fields);
    response
}

fn append_fields(response: &mut Response<Full<Bytes>>, fields: &[crate::http::message::Field]) {
    for field in fields {
        let name = HeaderName::from_bytes(&field.name);
        let value = HeaderValue::from_bytes(&field.value);
        match (name, value) {
            (Ok(name), Ok(value)) => {
                response.headers_mut().append(name, value);
            }
            _ => log::warn!("omitted a header field that is not valid in HTTP"),
        }
    }
}
