//! A caller, which sends requests and verifies the answers.

use {
    crate::target::Answer,
    actix_web::{
        http::{Method, header},
        web::Bytes,
    },
    awc::ClientResponse,
    monsoon_lib::call::{Outcome, Reason},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The key of an account, or none for an open route.
    pub key: Option<String>,
    /// The value of the `Idempotency-Key` field.
    pub idempotency_key: Option<String>,
    /// The deadline that the caller asks for, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl Request {
    /// Creates a GET request without a body and without a key.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Vec::new(),
            key: None,
            idempotency_key: None,
            deadline_ms: None,
        }
    }

    /// Creates a POST request with a body and without a key.
    pub fn post(path: &str, body: &str) -> Self {
        Self { method: Method::POST, body: body.into(), ..Self::get(path) }
    }

    /// Sets the key of an account.
    pub fn key(self, key: &str) -> Self {
        Self { key: Some(key.into()), ..self }
    }

    /// Sets the idempotency key.
    pub fn idempotency_key(self, key: &str) -> Self {
        Self { idempotency_key: Some(key.into()), ..self }
    }
}

/// The body of a refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
pub struct Refused {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
}

/// The verified result of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The complete answer to this request.
    Correct,
    /// An answer that appears complete but is not the answer to this request.
    Wrong,
    /// A refusal with a reason.
    Refused(Refused),
    /// Another unsuccessful answer, with its status.
    Status(u16),
    /// No answer, or one that is visibly truncated.
    Incomplete,
}

impl Verdict {
    /// Returns the reason of a refusal.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Refused(refused) => Some(refused.reason),
            _ => None,
        }
    }

    /// Returns whether the caller was told that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refused) if refused.outcome == Outcome::NotRun)
    }
}

/// The result of a request with its answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The verified result.
    pub verdict: Verdict,
    /// When to retry, as the refusal says.
    pub retry_after: Option<Duration>,
    /// The body of the answer, as far as it was received.
    pub body: Bytes,
}

/// A caller with its connection pool.
#[derive(Clone)]
pub struct Client {
    client: awc::Client,
}

impl Default for Client {
    fn default() -> Self {
        const TIMEOUT: Duration = Duration::from_secs(10);
        Self::new(TIMEOUT)
    }
}

impl Client {
    /// Creates a caller that waits at most `timeout` for an answer.
    pub fn new(timeout: Duration) -> Self {
        let connector = awc::Connector::new().limit(0);
        Self { client: awc::Client::builder().connector(connector).timeout(timeout).finish() }
    }

    /// Sends a request once and waits for the answer.
    pub async fn send(&self, request: &Request, address: SocketAddr) -> Reply {
        let incomplete =
            Reply { verdict: Verdict::Incomplete, retry_after: None, body: Bytes::new() };
        let sent = self.client_request(request, address).send_body(request.body.clone()).await;
        let Ok(mut response) = sent else { return incomplete };
        let Ok(body) = response.body().limit(MAX_ANSWER_BYTES).await else { return incomplete };
        let verdict = verify(request, &response, &body);
        Reply { verdict, retry_after: retry_after(&response), body }
    }

    fn client_request(&self, request: &Request, address: SocketAddr) -> awc::ClientRequest {
        let url = format!("http://{address}{}", request.path);
        let mut sent = self.client.request(request.method.clone(), url);
        if let Some(key) = &request.key {
            sent = sent.bearer_auth(key);
        }
        if let Some(key) = &request.idempotency_key {
            sent = sent.insert_header(("Idempotency-Key", key.as_str()));
        }
        if let Some(millis) = request.deadline_ms {
            sent = sent.insert_header(("Monsoon-Deadline-Ms", millis.to_string()));
        }
        sent
    }
}

fn verify<S>(request: &Request, response: &ClientResponse<S>, body: &[u8]) -> Verdict {
    if is_truncated(response, body) {
        return Verdict::Incomplete;
    }
    if !response.status().is_success() {
        return match serde_json::from_slice(body) {
            Ok(refused) => Verdict::Refused(refused),
            Err(_) => Verdict::Status(response.status().as_u16()),
        };
    }
    if Answer::is_correct(body, request.method.as_str(), &request.path, &request.body) {
        Verdict::Correct
    } else {
        Verdict::Wrong
    }
}

/// Returns whether the caller can see that the answer is truncated.
fn is_truncated<S>(response: &ClientResponse<S>, body: &[u8]) -> bool {
    // The client library reports a truncated answer as complete, so its length is compared here. If
    // the answer has no length, the early end shows when its body is parsed.
    match response.headers().get(header::CONTENT_LENGTH) {
        Some(length) => length.to_str().ok() != Some(body.len().to_string().as_str()),
        None => serde_json::from_slice::<Answer>(body).is_err_and(|error| error.is_eof()),
    }
}

fn retry_after<S>(response: &ClientResponse<S>) -> Option<Duration> {
    let millis = response.headers().get("Monsoon-Retry-After-Ms")?;
    Some(Duration::from_millis(millis.to_str().ok()?.parse().ok()?))
}
