//! Whole requests and answers, as they pass through the process.

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

/// The field that carries the call context between a node and its own target.
pub const CONTEXT: &str = "monsoon-context";
/// The field that carries the id of the root request.
pub const REQUEST: &str = "monsoon-request";
/// The field that carries the account's name to the target.
pub const ACCOUNT: &str = "monsoon-account";
/// The field that carries the time left, in milliseconds.
pub const DEADLINE: &str = "monsoon-deadline-ms";
/// The field that tells whether a refused request may have run.
pub const OUTCOME: &str = "monsoon-outcome";
/// The field in which a target reports the fraction of its slots in use.
pub const LOAD: &str = "monsoon-load";
/// The field that carries the caller's own idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The field that carries the wait before a retry in milliseconds, finer than `Retry-After`.
pub const RETRY_AFTER_MS: &str = "monsoon-retry-after-ms";

/// Fields that concern one connection only and are never passed on.
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

/// Fields that only the system itself may set towards a target.
const RESERVED: [&str; 4] = [CONTEXT, REQUEST, ACCOUNT, DEADLINE];

/// One header field.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Field {
    /// The name in lower case.
    pub name: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
}

/// A whole request without the caller's key.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path and query as they came.
    pub target: String,
    /// The fields that are passed on.
    pub fields: Vec<Field>,
    /// The body.
    pub body: web::Bytes,
}

/// A whole answer of a target.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The fields that are passed on.
    pub fields: Vec<Field>,
    /// The body.
    pub body: web::Bytes,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Hashes method, path, query and body, so that equal requests are known again.
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
    /// Returns the size that the answer takes in memory, roughly.
    pub fn size(&self) -> Bytes {
        let fields: usize = self.fields.iter().map(|f| f.name.len() + f.value.len()).sum();
        Bytes((fields + self.body.len()) as u64)
    }

    /// Returns the status, or 502 where a target sent none that HTTP knows.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

/// Returns the fields of a request that a target may see: no key, nothing of this hop, and none of
/// the fields that only the system sets.
pub fn request_fields(headers: &HeaderMap) -> Vec<Field> {
    let fields: Vec<_> = headers.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect();
    forwarded_fields(&fields, |name| {
        name != "authorization" && name != "host" && !RESERVED.contains(&name)
    })
}

/// Returns the fields of a target's answer that a caller may see.
pub fn answer_fields(headers: &hyper::HeaderMap) -> Vec<Field> {
    end_to_end_fields(headers, |name| name != LOAD && !RESERVED.contains(&name))
}

/// Returns the fields of a message that do not concern one connection only and pass the filter.
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

/// Returns the fields that a `Connection` field ties to this hop.
fn connection_options(fields: &[(&str, &[u8])]) -> Vec<String> {
    let values = fields.iter().filter(|(name, _)| *name == "connection");
    let texts = values.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    let options = texts.flat_map(|text| text.split(','));
    options.map(|option| option.trim().to_ascii_lowercase()).collect()
}

/// Returns the digest of the key in the `Authorization` field. A field that is present but not of the
/// form `Bearer KEY` gives the digest of a text that is no key.
pub fn key_digest(headers: &HeaderMap) -> Option<key::Digest> {
    const SCHEME: &[u8] = b"bearer ";
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let is_bearer =
        value.len() > SCHEME.len() && value[..SCHEME.len()].eq_ignore_ascii_case(SCHEME);
    let key = if is_bearer { value[SCHEME.len()..].trim_ascii() } else { b"" };
    Some(key::Digest::of(key))
}
