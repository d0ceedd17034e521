//! HTTP client that runs requests on the local target.
//!
//! This client uses hyper because `awc` reports a truncated answer as complete, and a truncated
//! answer must never be forwarded as complete. See docs/design/outcome.md.

#[cfg(test)]
mod tests;

use {
    crate::http::message::{
        self, ACCOUNT, Answer, CONTEXT, DEADLINE, LOAD, OUTCOME, REQUEST, Request,
    },
    actix_web::web::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Method, Response, Uri,
        body::Incoming,
        header::{HeaderName, HeaderValue},
    },
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    monsoon_lib::{call::Offer, context::Token, node::RunResult, settings::Bounds},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of a run on the target.
#[derive(Debug)]
pub struct CompletedRun {
    /// How the run ended.
    pub result: RunResult,
    /// The answer, if it is complete.
    pub answer: Option<Answer>,
}

impl CompletedRun {
    fn without_answer(result: RunResult) -> Self {
        Self { result, answer: None }
    }
}

/// The HTTP client for the target, with its connection pool.
#[derive(Clone)]
pub struct Target {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    body_bytes: usize,
}

impl Target {
    /// Creates a client. It connects on the first run.
    pub fn new(address: SocketAddr, bounds: &Bounds) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // A request whose pooled connection was closed before its first byte was written is sent on
        // another connection. This is the only automatic resend, and it is safe because no byte of
        // the request can have reached the target.
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(bounds.target_idle_ms))
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(true)
            .build(connector);
        let body_bytes = usize::try_from(bounds.body_bytes).unwrap_or(usize::MAX);
        Self { client, address, body_bytes }
    }

    /// Returns whether the target accepts connections.
    pub async fn is_alive(&self) -> bool {
        let connected = tokio::net::TcpStream::connect(self.address);
        matches!(tokio::time::timeout(CONNECT_TIMEOUT, connected).await, Ok(Ok(_)))
    }

    /// Sends a request and waits for the complete answer. Dropping the future closes the
    /// connection.
    pub fn run(
        &self,
        request: Rc<Request>,
        context: Token,
        offer: Offer,
    ) -> impl Future<Output = CompletedRun> + use<> {
        let target = self.clone();
        async move { target.send(&request, &context, &offer).await }
    }

    fn build_request(
        &self,
        request: &Request,
        context: &Token,
        offer: &Offer,
    ) -> Option<hyper::Request<Full<Bytes>>> {
        let uri: Uri = format!("http://{}{}", self.address, request.target).parse().ok()?;
        let method = Method::from_bytes(request.method.as_bytes()).ok()?;
        let mut to = hyper::Request::new(Full::new(request.body.clone()));
        *to.method_mut() = method;
        *to.uri_mut() = uri;
        let headers = to.headers_mut();
        for field in &request.fields {
            let name = HeaderName::from_bytes(&field.name).ok()?;
            headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
        }
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::try_from(value).ok()?;
            headers.insert(HeaderName::from_static(name), value);
            Some(())
        };
        set(CONTEXT, context.to_string())?;
        set(REQUEST, offer.request.to_string())?;
        set(DEADLINE, offer.remaining.as_millis().to_string())?;
        if let Some(account) = &offer.account {
            set(ACCOUNT, account.to_string())?;
        }
        Some(to)
    }

    async fn send(&self, request: &Request, context: &Token, offer: &Offer) -> CompletedRun {
        let Some(to) = self.build_request(request, context, offer) else {
            // A request that can't be expressed in HTTP is never sent.
            return CompletedRun::without_answer(RunResult::Unreachable);
        };
        match self.client.request(to).await {
            Ok(response) => self.read(request, response).await,
            Err(error) if error.is_connect() => {
                CompletedRun::without_answer(RunResult::Unreachable)
            }
            Err(error) => {
                log::debug!("connection to the target failed during a run: {error}");
                CompletedRun::without_answer(RunResult::Broken)
            }
        }
    }

    async fn read(&self, request: &Request, response: Response<Incoming>) -> CompletedRun {
        let status = response.status().as_u16();
        if !message::is_final(status) {
            log::debug!("the target responded with the malformed status {status}");
            return CompletedRun::without_answer(RunResult::Broken);
        }
        let is_head = request.method == "HEAD";
        if !is_head && !is_delimited(status, response.headers()) {
            return CompletedRun::without_answer(RunResult::Broken);
        }
        let (head, body) = response.into_parts();
        let Ok(body) = Limited::new(body, self.body_bytes).collect().await else {
            return CompletedRun::without_answer(RunResult::Broken);
        };
        if is_shed(status, &head.headers) {
            return CompletedRun::without_answer(RunResult::Shed);
        }
        let load = reported_load(&head.headers);
        let fields = message::answer_fields(&head.headers);
        let answer = Answer { status, fields, body: body.to_bytes() };
        let size = answer.size();
        CompletedRun { result: RunResult::Answered { status, load, size }, answer: Some(answer) }
    }
}

/// Returns whether the framing of the body distinguishes its end from a lost connection.
fn is_delimited(status: u16, headers: &HeaderMap) -> bool {
    matches!(status, 204 | 304)
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}

/// Returns whether the target declared that it did not run the request.
fn is_shed(status: u16, headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME).map(HeaderValue::as_bytes);
    status == 503 && outcome == Some(b"not-run")
}

/// Returns the load that the target reported, in thousandths of its slots. Values outside 0 to
/// 10 times the slots are ignored.
fn reported_load(headers: &HeaderMap) -> Option<u16> {
    let load: f64 = headers.get(LOAD)?.to_str().ok()?.parse().ok()?;
    (0.0..=10.0).contains(&load).then_some((load * 1000.0) as u16)
}
