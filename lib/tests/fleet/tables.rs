//! Published values for tests.

use monsoon_lib::key::Digest;

pub type Line = (String, Option<String>);

pub fn account(name: &str, rate: u64) -> Line {
    let text = format!("{{ name: {name}, rate: {rate}, burst: 10 }}");
    (format!("accounts/{name}"), Some(text))
}

pub fn digest(number: u64) -> Digest {
    Digest::of(format!("key {number}").as_bytes())
}

pub fn key(number: u64, account: &str) -> Line {
    let hex = digest(number).to_hex();
    let text = format!("{{ digest: \"{hex}\", account: {account} }}");
    (format!("keys/{hex}"), Some(text))
}

pub fn deleted_key(number: u64) -> Line {
    (format!("keys/{}", digest(number).to_hex()), None)
}

/// A route to an undefined pool, which makes the whole set invalid.
pub fn invalid_route() -> Line {
    let text = "{ name: bad, match: { path: /bad }, pool: none, class: browse, idempotent: true }";
    ("routes/bad".into(), Some(text.into()))
}

pub fn deleted_route() -> Line {
    ("routes/bad".into(), None)
}

/// The values of the first revision: an account with ten keys.
pub fn initial_values() -> Vec<Line> {
    let mut lines = vec![account("acme", 100)];
    lines.extend((0..10).map(|number| key(number, "acme")));
    lines
}
