//! Complete HTTP requests and answers, as the process holds and forwards them.

use {
    actix_web::{
        http::{
            StatusCode,
            header::{self, HeaderMap},
        },
        web,
    },
    monsoon_lib::{key, unit::Bytes},
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
};

/// Header field that carries the call context between a node and its local target.
pub const CONTEXT: &str = "monsoon-context";
/// Header field that carries the id of the root request.
pub const REQUEST: &str = "monsoon-request";
/// Header field that carries the name of the client account to the target.
pub const ACCOUNT: &str = "monsoon-account";
/// Header field that carries the time until the deadline, in milliseconds.
pub const DEADLINE: &str = "monsoon-deadline-ms";
/// Header field that states whether a refused request may have run.
pub const OUTCOME: &str = "monsoon-outcome";
/// Header field in which a target reports the fraction of its slots in use.
pub const LOAD: &str = "monsoon-load";
/// Header field that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header field that carries the delay before a retry in milliseconds, since `Retry-After` has a
/// resolution of seconds.
pub const RETRY_AFTER_MS: &str = "monsoon-retry-after-ms";

/// Hop-by-hop fields, which are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields that only the daemon may set on requests to a target.
const RESERVED: [&str; 4] = [CONTEXT, REQUEST, ACCOUNT, DEADLINE];

/// One header field.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Field {
    /// The name in lower case.
    pub name: Vec<u8>,
    /// The value, which need not be UTF-8.
    pub value: Vec<u8>,
}

/// A complete request without the caller's API key.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path and query as received.
    pub target: String,
    /// The header fields to forward.
    pub fields: Vec<Field>,
    /// The complete body.
    pub body: web::Bytes,
}

/// A complete answer of a target.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The header fields to forward.
    pub fields: Vec<Field>,
    /// The complete body.
    pub body: web::Bytes,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Hashes method, path, query and body, so that identical requests can be recognized.
    pub fn digest(&self) -> u64 {
        let mut hash = Sha256::new();
        for part in [self.method.as_bytes(), self.target.as_bytes(), &self.body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        u64::from_be_bytes(first)
    }
}

impl Answer {
    /// Returns the approximate size of the answer in memory.
    pub fn size(&self) -> Bytes {
        let fields: usize = self.fields.iter().map(|f| f.name.len() + f.value.len()).sum();
        Bytes((fields + self.body.len()) as u64)
    }

    /// Returns the status, or 502 if the target sent an invalid one.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

/// Returns whether a final response may have this status. One below 200 is not final, and one from
/// 600 on belongs to no class, so callers can't tell what it means.
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Returns the fields of a request that are forwarded to a target: all except the API key,
/// hop-by-hop fields, `Host` and the fields that only the daemon may set.
pub fn request_fields(headers: &HeaderMap) -> Vec<Field> {
    let fields: Vec<_> = headers.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect();
    forwarded_fields(&fields, |name| {
        name != "authorization" && name != "host" && !RESERVED.contains(&name)
    })
}

/// Returns the fields of a target's answer that are forwarded to the caller.
pub fn answer_fields(headers: &hyper::HeaderMap) -> Vec<Field> {
    end_to_end_fields(headers, |name| name != LOAD && !RESERVED.contains(&name))
}

/// Returns the end-to-end fields of a message that satisfy a predicate.
pub fn end_to_end_fields(
    headers: &hyper::HeaderMap,
    is_forwarded: impl Fn(&str) -> bool,
) -> Vec<Field> {
    let fields: Vec<_> = headers.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect();
    forwarded_fields(&fields, is_forwarded)
}

fn forwarded_fields(fields: &[(&str, &[u8])], is_forwarded: impl Fn(&str) -> bool) -> Vec<Field> {
    let listed = connection_options(fields);
    let is_hop_by_hop = |name: &str| {
        name == "content-length"
            || HOP_BY_HOP.contains(&name)
            || listed.iter().any(|option| option == name)
    };
    fields
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && is_forwarded(name))
        .map(|(name, value)| Field { name: name.as_bytes().to_vec(), value: value.to_vec() })
        .collect()
}

/// Returns the names of the fields that `Connection` declares as hop-by-hop.
fn connection_options(fields: &[(&str, &[u8])]) -> Vec<String> {
    let values = fields.iter().filter(|(name, _)| *name == "connection");
    let texts = values.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    let options = texts.flat_map(|text| text.split(','));
    options.map(|option| option.trim().to_ascii_lowercase()).collect()
}

/// Returns the digest of the API key in the `Authorization` field. A field that does not have the
/// form `Bearer KEY` gives the digest of the empty string, which is not a valid key.
pub fn key_digest(headers: &HeaderMap) -> Option<key::Digest> {
    const SCHEME: &[u8] = b"bearer ";
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let is_bearer =
        value.len() > SCHEME.len() && value[..SCHEME.len()].eq_ignore_ascii_case(SCHEME);
    let key = if is_bearer { value[SCHEME.len()..].trim_ascii() } else { b"" };
    Some(key::Digest::of(key))
}
