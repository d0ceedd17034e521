//! The HTTP handlers of a target.

use {
    super::{Answer, Faults, NestedCall, Run, Shared, request_digest},
    actix_web::{
        HttpRequest, HttpResponse,
        body::SizedStream,
        http::header,
        web::{self, Bytes, Data, Json, PayloadConfig, ServiceConfig},
    },
    futures::{
        future,
        stream::{self, Stream, StreamExt as _},
    },
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MAX_BODY_BYTES: usize = 64 << 20;
const CONTEXT: &str = "Monsoon-Context";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const LOAD: &str = "Monsoon-Load";
const OUTCOME: &str = "Monsoon-Outcome";

pub(super) fn configure(config: &mut ServiceConfig, shared: &Arc<Shared>) {
    const TIMEOUT: Duration = Duration::from_secs(120);
    // Connections are not limited, because the slots of the target already bound its nested calls.
    let connector = awc::Connector::new().limit(0);
    let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
    config
        .app_data(Data::from(shared.clone()))
        .app_data(Data::new(client))
        .app_data(PayloadConfig::new(MAX_BODY_BYTES))
        .route("/load", web::get().to(get_load))
        .route("/control/runs", web::get().to(get_runs))
        .route("/control/counts", web::get().to(get_counts))
        .route("/control/faults", web::put().to(put_faults))
        .route("/control/egress", web::put().to(put_egress))
        .default_service(web::to(serve));
}

async fn get_load(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.load())
}

async fn get_runs(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.state().runs.list())
}

async fn get_counts(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.state().runs.counts())
}

async fn put_faults(shared: Data<Shared>, faults: Json<Faults>) -> HttpResponse {
    shared.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

async fn put_egress(shared: Data<Shared>, egress: Json<SocketAddr>) -> HttpResponse {
    shared.state().egress = Some(egress.into_inner());
    HttpResponse::Ok().finish()
}

async fn serve(
    request: HttpRequest,
    body: Bytes,
    shared: Data<Shared>,
    client: Data<awc::Client>,
) -> HttpResponse {
    let Some(queue_entry) = QueueEntry::acquire(&shared) else { return shed(&shared) };
    let Ok(_slot) = shared.slots.acquire().await else { return shed(&shared) };
    drop(queue_entry);
    let faults = shared.state().faults.clone();
    if faults.drain {
        return shed(&shared);
    }
    let path = request.uri().to_string();
    let run = Running::begin(&shared, &request, &body);
    if faults.crash_on.as_ref().is_some_and(|crash| path.starts_with(crash)) {
        shared.crash();
        // The crash closes the connection, so that no answer is sent.
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(shared.service_time()).await;
    let is_success = nested_calls(&shared, &client, &request, &body, run.number).await;
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    run.finish();
    if !is_success {
        return HttpResponse::BadGateway().finish();
    }
    answer(&shared, &request, &body, &faults)
}

fn shed(shared: &Shared) -> HttpResponse {
    shared.state().runs.shed();
    HttpResponse::ServiceUnavailable()
        .insert_header((OUTCOME, "not-run"))
        .insert_header((LOAD, load_fraction(shared)))
        .finish()
}

fn load_fraction(shared: &Shared) -> String {
    let load = shared.load();
    format!("{:.3}", f64::from(load.in_flight) / f64::from(load.slots))
}

fn answer(shared: &Shared, request: &HttpRequest, body: &[u8], faults: &Faults) -> HttpResponse {
    let method = request.method().as_str();
    let path = request.uri().to_string();
    let answer = Answer::new(method, &path, body, shared.settings.answer_bytes);
    let text = serde_json::to_vec(&answer).expect("an answer consists of strings");
    let length = text.len();
    let mut response = HttpResponse::Ok();
    response
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .insert_header((LOAD, load_fraction(shared)));
    if faults.cut_after.is_none() && !faults.chunked {
        return response.body(text);
    }
    let part = Bytes::from(text).slice(..faults.cut_after.unwrap_or(length).min(length));
    let is_truncated = part.len() < length;
    let stream = truncated_stream(part, is_truncated);
    if faults.chunked {
        response.streaming(Box::pin(stream))
    } else {
        response.body(SizedStream::new(length as u64, stream))
    }
}

fn truncated_stream(part: Bytes, is_truncated: bool) -> impl Stream<Item = io::Result<Bytes>> {
    // Without a pause, the server drops the bytes together with the connection.
    const PAUSE: Duration = Duration::from_millis(20);
    let end = async move {
        if !is_truncated {
            return None;
        }
        tokio::time::sleep(PAUSE).await;
        Some(Err(io::Error::from(io::ErrorKind::ConnectionReset)))
    };
    stream::once(async { Some(Ok(part)) }).chain(stream::once(end)).filter_map(future::ready)
}

/// Makes the nested calls of a request and tells whether all succeeded.
async fn nested_calls(
    shared: &Shared,
    client: &awc::Client,
    request: &HttpRequest,
    body: &Bytes,
    number: u64,
) -> bool {
    let chains = &shared.settings.chains;
    let Some(chain) = chains.iter().find(|chain| request.path().starts_with(&chain.path)) else {
        return true;
    };
    for call in &chain.calls {
        let mut is_success = false;
        for _ in 0..=call.retries {
            if let Some(run) = shared.state().runs.get_mut(number) {
                run.nested += 1;
            }
            is_success = nested_call(shared, client, request, body, call).await;
            if is_success {
                break;
            }
        }
        if !is_success {
            if let Some(run) = shared.state().runs.get_mut(number) {
                run.nested_failed += 1;
            }
            return false;
        }
    }
    true
}

async fn nested_call(
    shared: &Shared,
    client: &awc::Client,
    request: &HttpRequest,
    body: &Bytes,
    call: &NestedCall,
) -> bool {
    let Some(egress) = shared.state().egress else { return false };
    let Ok(method) = call.method.parse::<awc::http::Method>() else { return false };
    let body = if method == awc::http::Method::POST { body.clone() } else { Bytes::new() };
    let mut nested = client.request(method, format!("http://{egress}{}", call.path));
    if let Some(context) = request.headers().get(CONTEXT) {
        nested = nested.insert_header((CONTEXT, context.clone()));
    }
    if let Some(key) = header_text(request, IDEMPOTENCY_KEY) {
        nested = nested.insert_header((IDEMPOTENCY_KEY, format!("{key}{}", call.path)));
    }
    let Ok(mut response) = nested.send_body(body.clone()).await else { return false };
    let Ok(answer) = response.body().limit(MAX_BODY_BYTES).await else { return false };
    response.status().is_success() && Answer::is_correct(&answer, &call.method, &call.path, &body)
}

fn header_text(request: &HttpRequest, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}

/// An entry in the queue for a slot.
struct QueueEntry<'a>(&'a Shared);

impl<'a> QueueEntry<'a> {
    fn acquire(shared: &'a Shared) -> Option<Self> {
        let mut state = shared.state();
        if state.queued >= shared.settings.queue.max(1) || state.faults.drain {
            return None;
        }
        state.queued += 1;
        Some(Self(shared))
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.0.state().queued -= 1;
    }
}

/// A run in progress. If it is dropped before [`Running::finish`], it is recorded as cancelled.
struct Running<'a> {
    shared: &'a Shared,
    number: u64,
    is_finished: bool,
}

impl<'a> Running<'a> {
    fn begin(shared: &'a Shared, request: &HttpRequest, body: &[u8]) -> Self {
        let method = request.method().to_string();
        let path = request.uri().to_string();
        let run = Run {
            request: header_text(request, "Monsoon-Request"),
            context: header_text(request, CONTEXT),
            account: header_text(request, "Monsoon-Account"),
            digest: request_digest(&method, &path, body),
            idempotency_key: header_text(request, IDEMPOTENCY_KEY),
            saw_authorization: request.headers().contains_key(header::AUTHORIZATION),
            saw_key: contains_known_key(shared, request, body),
            started_ms: elapsed_ms(shared.start),
            method,
            path,
            ..Run::default()
        };
        let number = shared.state().runs.begin(run);
        Self { shared, number, is_finished: false }
    }

    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let finished_ms = self.is_finished.then(|| elapsed_ms(self.shared.start));
        self.shared.state().runs.end(self.number, finished_ms);
    }
}

fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn contains_known_key(shared: &Shared, request: &HttpRequest, body: &[u8]) -> bool {
    let uri = request.uri().to_string();
    let fields = request.headers().iter().map(|(_, value)| value.as_bytes());
    let mut parts = fields.chain([body, uri.as_bytes()]);
    parts.any(|part| shared.settings.keys.iter().any(|key| contains(part, key.as_bytes())))
}

fn contains(bytes: &[u8], pattern: &[u8]) -> bool {
    !pattern.is_empty() && bytes.windows(pattern.len()).any(|window| window == pattern)
}
