//! Runs requests on the node's own target over HTTP.

use {
    crate::http::message::{
        self, ACCOUNT, Answer, CONTEXT, DEADLINE, LOAD, OUTCOME, REQUEST, Request,
    },
    actix_web::http::{
        Method,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    awc::{Client, ClientRequest, Connector, error::SendRequestError},
    monsoon_lib::{call::Offer, context::Token, node::Ended, settings::Bounds},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// How long a connection to the target may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What came of a run.
#[derive(Debug)]
pub struct Run {
    /// How it ended.
    pub ended: Ended,
    /// The answer, where it ended with a whole one.
    pub answer: Option<Answer>,
}

impl Run {
    fn without_answer(ended: Ended) -> Self {
        Self { ended, answer: None }
    }
}

/// The connections to the target.
#[derive(Clone)]
pub struct Target {
    client: Client,
    address: SocketAddr,
    body_bytes: usize,
}

impl Target {
    /// Makes a client without any connection yet.
    pub fn new(address: SocketAddr, bounds: &Bounds) -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(Duration::from_millis(bounds.target_idle_ms))
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        let body_bytes = usize::try_from(bounds.body_bytes).unwrap_or(usize::MAX);
        Self { client, address, body_bytes }
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

    fn request(&self, request: &Request, context: &Token, offer: &Offer) -> Option<ClientRequest> {
        let method = Method::from_bytes(request.method.as_bytes()).ok()?;
        let url = format!("http://{}{}", self.address, request.target);
        let mut to = self.client.request(method, url).no_decompress();
        for field in &request.fields {
            let name = HeaderName::from_bytes(&field.name).ok()?;
            let value = HeaderValue::from_bytes(&field.value).ok()?;
            to = to.append_header((name, value));
        }
        to = to
            .insert_header((CONTEXT, context.to_string()))
            .insert_header((REQUEST, offer.request.to_string()))
            .insert_header((DEADLINE, offer.remaining.as_millis().to_string()));
        if let Some(account) = &offer.account {
            to = to.insert_header((ACCOUNT, account.to_string()));
        }
        Some(to)
    }

    async fn send(&self, request: &Request, context: &Token, offer: &Offer) -> Run {
        let Some(to) = self.request(request, context, offer) else {
            // A request that HTTP can't express never leaves the node.
            return Run::without_answer(Ended::Unreachable);
        };
        let mut response = match to.send_body(request.body.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_)) => return Run::without_answer(Ended::Unreachable),
            Err(_) => return Run::without_answer(Ended::Broken),
        };
        let status = response.status().as_u16();
        let is_head = request.method == "HEAD";
        if !is_head && !is_delimited(status, response.headers()) {
            return Run::without_answer(Ended::Broken);
        }
        let Ok(body) = response.body().limit(self.body_bytes).await else {
            return Run::without_answer(Ended::Broken);
        };
        let headers = response.headers();
        if is_shed(status, headers) {
            return Run::without_answer(Ended::Shed);
        }
        let load = load(headers);
        let answer = Answer { status, fields: message::answer_fields(headers), body };
        Run { ended: Ended::Answered { status, load }, answer: Some(answer) }
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
