//! A call context is valid only at the node that made it, and only while its call is open.

use monsoon_lib::{
    context::{Error, Registry, SEED_BYTES, Settings, Token},
    id::Call,
};

fn registry(seed: u8) -> Registry<&'static str> {
    Registry::new(Settings::default(), [seed; SEED_BYTES])
}

fn resent(token: &Token) -> Token {
    token.to_string().parse().expect("a token is read back")
}

#[test]
fn open_call() {
    let mut registry = registry(1);
    let book = registry.open(Call(1), "book").expect("there is room");
    let pay = registry.open(Call(2), "pay").expect("there is room");
    assert_eq!(registry.find(&resent(&book)), Some((Call(1), &"book")));
    assert_eq!(registry.find(&resent(&pay)), Some((Call(2), &"pay")));
}

#[test]
fn closed_call() {
    let mut registry = registry(1);
    let first = registry.open(Call(1), "book").expect("there is room");
    assert_eq!(registry.close(Call(1)), Some("book"));
    let next = registry.open(Call(2), "pay").expect("there is room");
    assert_eq!(registry.find(&first), None);
    assert_eq!(registry.find(&next), Some((Call(2), &"pay")));
    assert_eq!(registry.close(Call(1)), None);
}

#[test]
fn foreign_token() {
    let mut here = registry(1);
    let mut there = registry(2);
    here.open(Call(1), "here").expect("there is room");
    let foreign = there.open(Call(1), "there").expect("there is room");
    assert_eq!(here.find(&foreign), None);
}

#[test]
fn every_digit_counts() {
    let mut registry = registry(1);
    let token = registry.open(Call(1), "book").expect("there is room").to_string();
    for place in 0..token.len() {
        let digit = if token.as_bytes()[place] == b'0' { "1" } else { "0" };
        let mut forged = token.clone();
        forged.replace_range(place..=place, digit);
        let found = forged.parse().ok().and_then(|forged| registry.find(&forged));
        assert_eq!(found, None, "digit {place}");
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
    let token = registry.open(Call(1), "book").expect("there is room");
    let secret = &token.to_string()[16..];
    assert!(!format!("{token:?} {registry:?}").contains(secret));
    let dump = serde_json::to_string(&registry.dump()).expect("a dump is JSON");
    assert!(!dump.contains(secret));
}

#[test]
fn bounded_number() {
    let settings = Settings { open_max: 2 };
    let mut registry = Registry::new(settings, [1; SEED_BYTES]);
    registry.open(Call(1), ()).expect("there is room");
    registry.open(Call(2), ()).expect("there is room");
    assert_eq!(registry.open(Call(3), ()).err(), Some(Error::Full(2)));
    registry.open(Call(2), ()).expect("the call's first context makes room");
    assert_eq!(registry.len(), 2);
}
