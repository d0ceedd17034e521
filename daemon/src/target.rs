//! Runs requests on the node's own target over HTTP.
//!
//! This one link uses hyper: `awc` reports an answer that was cut short as whole, and a short answer
//! must never be passed on as whole. See docs/design/outcome.md.

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

/// How long a connection to the target may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What came of a run.
#[derive(Debug)]
pub struct Run {
    /// How it ended.
    pub ended: RunResult,
    /// The answer, where it ended with a whole one.
    pub answer: Option<Answer>,
}

impl Run {
    fn without_answer(ended: RunResult) -> Self {
        Self { ended, answer: None }
    }
}

/// The connections to the target.
#[derive(Clone)]
pub struct Target {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    body_bytes: usize,
}

impl Target {
    /// Makes a client without any connection yet.
    pub fn new(address: SocketAddr, bounds: &Bounds) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // A request that finds its connection closed before the first byte was written is sent on
        // another one; that is the only resend, and no byte of it can have reached the target.
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(bounds.target_idle_ms))
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(true)
            .build(connector);
        let body_bytes = usize::try_from(bounds.body_bytes).unwrap_or(usize::MAX);
        Self { client, address, body_bytes }
    }

    /// Tells whether the target takes connections.
    pub async fn is_alive(&self) -> bool {
        let connected = tokio::net::TcpStream::connect(self.address);
        matches!(tokio::time::timeout(CONNECT_TIMEOUT, connected).await, Ok(Ok(_)))
    }

    /// Sends a request and waits for the whole answer. Dropping the future closes the connection.
    pub fn run(
        &self,
        request: Rc<Request>,
        context: Token,
        offer: Offer,
    ) -> impl Future<Output = Run> + use<> {
        let target = self.clone();
        async move { target.send(&request, &context, &offer).await }
    }

    fn request(
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

    async fn send(&self, request: &Request, context: &Token, offer: &Offer) -> Run {
        let Some(to) = self.request(request, context, offer) else {
            // A request that HTTP can't express never leaves the node.
            return Run::without_answer(RunResult::Unreachable);
        };
        match self.client.request(to).await {
            Ok(response) => self.read(request, response).await,
            Err(error) if error.is_connect() => Run::without_answer(RunResult::Unreachable),
            Err(error) => {
                log::debug!("run broke: {error}");
                Run::without_answer(RunResult::Broken)
            }
        }
    }

    async fn read(&self, request: &Request, response: Response<Incoming>) -> Run {
        let status = response.status().as_u16();
        let is_head = request.method == "HEAD";
        if !is_head && !is_delimited(status, response.headers()) {
            return Run::without_answer(RunResult::Broken);
        }
        let (head, body) = response.into_parts();
        let Ok(body) = Limited::new(body, self.body_bytes).collect().await else {
            return Run::without_answer(RunResult::Broken);
        };
        if is_shed(status, &head.headers) {
            return Run::without_answer(RunResult::Shed);
        }
        let load = load(&head.headers);
        let fields = message::answer_fields(&head.headers);
        let answer = Answer { status, fields, body: body.to_bytes() };
        let size = answer.size();
        Run { ended: RunResult::Answered { status, load, size }, answer: Some(answer) }
    }
}

/// Tells whether the end of the body can be told from a broken connection.
fn is_delimited(status: u16, headers: &HeaderMap) -> bool {
    matches!(status, 204 | 304)
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}

/// Tells whether the target declared that it did not run the request.
fn is_shed(status: u16, headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME).map(HeaderValue::as_bytes);
    status == 503 && outcome == Some(b"not-run")
}

/// Returns the load that the target reported, in thousandths of its slots.
fn load(headers: &HeaderMap) -> Option<u16> {
    let load: f64 = headers.get(LOAD)?.to_str().ok()?.parse().ok()?;
    (0.0..=10.0).contains(&load).then_some((load * 1000.0) as u16)
}
