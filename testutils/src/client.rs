//! Plays one caller: sends a request and judges the answer.

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

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The key, or none for an open route.
    pub key: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The deadline that the caller asks for, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl Request {
    /// Makes a request without a body and without a key.
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

    /// Makes a request with a body and without a key.
    pub fn post(path: &str, body: &str) -> Self {
        Self { method: Method::POST, body: body.into(), ..Self::get(path) }
    }

    /// Adds the key of an account.
    pub fn key(self, key: &str) -> Self {
        Self { key: Some(key.into()), ..self }
    }

    /// Adds an idempotency key.
    pub fn idempotency_key(self, key: &str) -> Self {
        Self { idempotency_key: Some(key.into()), ..self }
    }
}

/// A typed refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
}

/// What came of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The whole answer to this request.
    Correct,
    /// An answer that passes for whole and is not the one to this request.
    Wrong,
    /// A typed refusal.
    Refused(Refused),
    /// Another answer without success, by its status.
    Status(u16),
    /// No answer, or one that is visibly cut.
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

    /// Tells whether the caller was told that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refused) if refused.outcome == Outcome::NotRun)
    }
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What came of the request.
    pub verdict: Verdict,
    /// When another try makes sense, as the refusal says.
    pub retry_after: Option<Duration>,
    /// The body, or what arrived of it.
    pub body: Bytes,
}

/// A caller with its connections.
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
    /// Makes a caller that waits at most `timeout` for an answer.
    pub fn new(timeout: Duration) -> Self {
        let connector = awc::Connector::new().limit(0);
        Self { client: awc::Client::builder().connector(connector).timeout(timeout).finish() }
    }

    /// Sends a request once and waits for the answer.
    pub async fn send(&self, request: &Request, address: SocketAddr) -> Reply {
        let broken = Reply { verdict: Verdict::Incomplete, retry_after: None, body: Bytes::new() };
        let sent = self.client_request(request, address).send_body(request.body.clone()).await;
        let Ok(mut response) = sent else { return broken };
        let Ok(body) = response.body().limit(MAX_ANSWER_BYTES).await else { return broken };
        let verdict = judge(request, &response, &body);
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

fn judge<S>(request: &Request, response: &ClientResponse<S>, body: &[u8]) -> Verdict {
    if is_cut(response, body) {
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

/// Tells whether the caller can see that the answer is not whole.
fn is_cut<S>(response: &ClientResponse<S>, body: &[u8]) -> bool {
    // The client library reports a cut answer as whole, so its length is compared here. The end
    // of a cut answer without a length shows in its text.
    match response.headers().get(header::CONTENT_LENGTH) {
        Some(length) => length.to_str().ok() != Some(body.len().to_string().as_str()),
        None => serde_json::from_slice::<Answer>(body).is_err_and(|error| error.is_eof()),
    }
}

fn retry_after<S>(response: &ClientResponse<S>) -> Option<Duration> {
    let millis = response.headers().get("Monsoon-Retry-After-Ms")?;
    Some(Duration::from_millis(millis.to_str().ok()?.parse().ok()?))
}
