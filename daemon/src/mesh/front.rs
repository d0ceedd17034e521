//! The listeners for callers, for readiness and for metrics.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        relay::Reply,
    },
    crate::{clock, http::message::Request},
    bytes::Bytes,
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{
        Response, StatusCode,
        body::Incoming,
        header::{CONNECTION, HeaderName, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    monsoon_lib::call::{Reason, Refusal},
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

/// The largest body where no tables tell, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// The read buffer of a connection, in bytes: enough for the largest head that tables allow.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How long a caller may take to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a listener rests after it could not take a connection, for want of descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(100);

/// What a listener is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Door {
    /// Requests of callers and of the own target.
    Callers,
    /// Questions whether the node is ready.
    Readiness,
    /// The node's metrics.
    Metrics,
}

/// Serves connections until the process ends. Once `closing` is true, connections close after
/// their current request.
pub async fn serve<N: HeaderAdapter, D: Directory>(
    mesh: Rc<Mesh<N, D>>,
    listener: TcpListener,
    door: Door,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(error:% = error; "no option on a caller's connection");
                }
                let connection = connection(mesh.clone(), stream, door, closing.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!(error:% = error; "no connection taken");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

async fn connection<N: HeaderAdapter, D: Directory>(
    mesh: Rc<Mesh<N, D>>,
    stream: tokio::net::TcpStream,
    door: Door,
    mut closing: watch::Receiver<bool>,
) {
    let service = service_fn(move |request| {
        let mesh = mesh.clone();
        async move { Ok::<_, Infallible>(answer(&mesh, request, door).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|is_closing| *is_closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection ended");
    }
}

async fn answer<N: HeaderAdapter, D: Directory>(
    mesh: &Rc<Mesh<N, D>>,
    request: hyper::Request<Incoming>,
    door: Door,
) -> Response<Full<Bytes>> {
    match door {
        Door::Callers => caller(mesh, request).await,
        Door::Readiness => readiness(mesh, &request),
        Door::Metrics => Response::new(Full::new(mesh.metrics_text().into())),
    }
}

fn readiness<N: HeaderAdapter, D: Directory>(
    mesh: &Mesh<N, D>,
    request: &hyper::Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    let parts = hyper::Request::builder().method(request.method()).uri(request.uri()).body(());
    let is_question =
        parts.is_ok_and(|request| mesh.header_adapter.is_readiness_probe(&request.into_parts().0));
    *response.status_mut() = match (is_question, mesh.node.borrow().is_ready(clock::now())) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}

async fn caller<N: HeaderAdapter, D: Directory>(
    mesh: &Rc<Mesh<N, D>>,
    request: hyper::Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _open = mesh.open();
    let started = clock::now();
    let (parts, body) = request.into_parts();
    let mut head = match mesh.header_adapter.decode_head(&parts) {
        Ok(head) => head,
        Err(refusal) => return refuse(mesh, &refusal, None),
    };
    let body = match whole_body(mesh, body).await {
        Ok(body) => body,
        Err(refusal) => return refuse(mesh, &refusal, Some(&head.request)),
    };
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let request = Request {
        method: parts.method.as_str().to_owned(),
        target,
        fields: mesh.header_adapter.forwarded_fields(&parts.headers),
        body,
    };
    head.content = request.digest();
    let reply = mesh.relay(&head, request).await;
    let mut response = match reply {
        Reply::Refused(refusal) => refuse(mesh, &refusal, Some(&head.request)),
        Reply::Answer(answer) => {
            mesh.metrics.answered(clock::now() - started);
            let mut response = Response::new(Full::new(answer.body.clone()));
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            set_fields(&mut response, &answer.fields);
            response
        }
    };
    if mesh.node.borrow().is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn whole_body<N: HeaderAdapter, D: Directory>(
    mesh: &Mesh<N, D>,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    let bound = mesh.node.borrow().table().map_or(MAX_BODY_BYTES, |table| table.bounds().body.0);
    let bound = usize::try_from(bound).unwrap_or(usize::MAX);
    let read = Limited::new(body, bound).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::not_run(Reason::TooLarge))
        }
        Ok(Err(_)) => Err(Refusal::not_run(Reason::Malformed)),
        Err(_) => Err(Refusal::not_run(Reason::Deadline)),
    }
}

fn refuse<N: HeaderAdapter, D: Directory>(
    mesh: &Mesh<N, D>,
    refusal: &Refusal,
    request: Option<&str>,
) -> Response<Full<Bytes>> {
    mesh.metrics.refused(refusal);
    let told = mesh.header_adapter.refusal_response(refusal, request);
    let mut response = Response::new(Full::default());
    *response.status_mut() =
        StatusCode::from_u16(told.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    set_fields(&mut response, &told.fields);
    response
}

fn set_fields(response: &mut Response<Full<Bytes>>, fields: &[crate::http::message::Field]) {
    for field in fields {
        let name = HeaderName::from_bytes(&field.name);
        let value = HeaderValue::from_bytes(&field.value);
        match (name, value) {
            (Ok(name), Ok(value)) => {
                response.headers_mut().append(name, value);
            }
            _ => log::warn!("left out a field that HTTP can't express"),
        }
    }
}
