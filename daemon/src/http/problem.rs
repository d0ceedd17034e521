//! Refusals as HTTP responses: problem details that state whether the request may have run.

use {
    super::message::{OUTCOME, RETRY_AFTER_MS},
    actix_web::{HttpResponse, HttpResponseBuilder, http::StatusCode},
    monsoon_lib::{
        call::{Reason, Refusal},
        rate::Limit,
    },
    serde::Serialize,
};

#[derive(Serialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
}

/// Returns the HTTP status of a refusal.
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Context | Reason::Depth | Reason::Malformed => StatusCode::BAD_REQUEST,
        Reason::Key => StatusCode::UNAUTHORIZED,
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::Duplicate => StatusCode::CONFLICT,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::KeyReuse => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Rate => StatusCode::TOO_MANY_REQUESTS,
        Reason::Broken => StatusCode::BAD_GATEWAY,
        Reason::Cancelled
        | Reason::Crasher
        | Reason::Evacuated
        | Reason::Leaving
        | Reason::NoTables
        | Reason::NoTarget
        | Reason::Overload => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn title(reason: Reason) -> &'static str {
    match reason {
        Reason::Broken => "The link to the target broke.",
        Reason::Cancelled => "The request was cancelled.",
        Reason::Context => "The call context is not valid here.",
        Reason::Crasher => "Equal requests crashed targets.",
        Reason::Deadline => "The deadline does not leave enough time.",
        Reason::Depth => "The chain of calls is too deep.",
        Reason::Duplicate => "The idempotency key is in use or its result is not known.",
        Reason::Evacuated => "The data centre of the target is evacuated.",
        Reason::Key => "The request has no valid key.",
        Reason::KeyReuse => "The idempotency key was used for another request.",
        Reason::Leaving => "The node is leaving.",
        Reason::Malformed => "The request is not well formed.",
        Reason::NoRoute => "No route matches.",
        Reason::NoTables => "The node has no tables that it may trust.",
        Reason::NoTarget => "No target can be reached.",
        Reason::Overload => "There is no room for the request.",
        Reason::Rate => "The account is over its rate.",
        Reason::TooLarge => "The body is too large.",
    }
}

/// Adds the `RateLimit` fields of the client account to a response.
fn add_limit(response: &mut HttpResponseBuilder, limit: Limit) {
    let policy = format!("\"account\";q={};w=1", limit.rate.0);
    response.insert_header(("ratelimit-policy", policy));
    response.insert_header(("ratelimit", format!("\"account\";r={}", limit.remaining)));
}

/// Builds the HTTP response for a refusal.
pub fn response(refusal: &Refusal, limit: Option<Limit>) -> HttpResponse {
    let status = status(refusal.reason);
    let mut response = HttpResponse::build(status);
    response.content_type("application/problem+json");
    response.insert_header((OUTCOME, refusal.outcome.as_str()));
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        response.insert_header(("retry-after", seconds.to_string()));
        response.insert_header((RETRY_AFTER_MS, wait.as_millis().max(1).to_string()));
    }
    if let Some(limit) = limit {
        add_limit(&mut response, limit);
    }
    if refusal.reason == Reason::Key {
        response.insert_header(("www-authenticate", "Bearer"));
    }
    let problem = Problem {
        kind: format!("urn:monsoonstack:{}", refusal.reason),
        title: title(refusal.reason),
        status: status.as_u16(),
        outcome: refusal.outcome.as_str(),
        reason: refusal.reason.as_str(),
    };
    response.json(problem)
}
