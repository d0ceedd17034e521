//! A call context is valid only at the node that issued it and only while its call is open.

use monsoon_lib::{
    context::{Error, Registry, SEED_BYTES, Settings, Token},
    id::Call,
};

fn registry(seed: u8) -> Registry<&'static str> {
    Registry::new(Settings::default(), [seed; SEED_BYTES])
}

fn round_trip(token: &Token) -> Token {
    token.to_string().parse().expect("a token can be parsed from its own text")
}

#[test]
fn open_call() {
    let mut registry = registry(1);
    let book = registry.open(Call(1), "book").expect("the limit is not reached");
    let pay = registry.open(Call(2), "pay").expect("the limit is not reached");
    assert_eq!(registry.find(&round_trip(&book)), Some((Call(1), &"book")));
    assert_eq!(registry.find(&round_trip(&pay)), Some((Call(2), &"pay")));
}

#[test]
fn closed_call() {
    let mut registry = registry(1);
    let first = registry.open(Call(1), "book").expect("the limit is not reached");
    assert_eq!(registry.close(Call(1)), Some("book"));
    let next = registry.open(Call(2), "pay").expect("the limit is not reached");
    assert_eq!(registry.find(&first), None);
    assert_eq!(registry.find(&next), Some((Call(2), &"pay")));
    assert_eq!(registry.close(Call(1)), None);
}

#[test]
fn foreign_token() {
    let mut local = registry(1);
    let mut remote = registry(2);
    local.open(Call(1), "local").expect("the limit is not reached");
    let foreign = remote.open(Call(1), "remote").expect("the limit is not reached");
    assert_eq!(local.find(&foreign), None);
}

#[test]
fn every_digit_counts() {
    let mut registry = registry(1);
    let token = registry.open(Call(1), "book").expect("the limit is not reached").to_string();
    for position in 0..token.len() {
        let digit = if token.as_bytes()[position] == b'0' { "1" } else { "0" };
        let mut forged = token.clone();
        forged.replace_range(position..=position, digit);
        let found = forged.parse().ok().and_then(|forged| registry.find(&forged));
        assert_eq!(found, None, "digit {position}");
    }
}

#[test]
fn malformed_text() {
    for text in ["", "00", &"g".repeat(48), &"0".repeat(49), &"é".repeat(24)] {
        assert_eq!(text.parse::<Token>().err(), Some(Error::Malformed), "{text:?}");
    }
}

#[test]
fn hidden_secret() {
    let mut registry = registry(1);
    let token = registry.open(Call(1), "book").expect("the limit is not reached");
    let secret = &token.to_string()[16..];
    assert!(!format!("{token:?} {registry:?}").contains(secret));
    let dump = serde_json::to_string(&registry.dump()).expect("a dump serialises to JSON");
    assert!(!dump.contains(secret));
}

#[test]
fn open_limit() {
    let settings = Settings { open_max: 2 };
    let mut registry = Registry::new(settings, [1; SEED_BYTES]);
    registry.open(Call(1), ()).expect("the limit is not reached");
    registry.open(Call(2), ()).expect("the limit is not reached");
    assert_eq!(registry.open(Call(3), ()).err(), Some(Error::Full(2)));
    registry.open(Call(2), ()).expect("the call's first context is closed");
    assert_eq!(registry.len(), 2);
}
