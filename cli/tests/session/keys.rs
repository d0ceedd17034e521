//! Granting and withdrawing keys.

use crate::session::Session;

#[test]
fn granted_key() {
    let mut session = Session::new("granted-key");
    session.write("accounts.yaml", "accounts:\n  - { name: chonburi, rate: 100, burst: 200 }\n");
    let key = session.run("key new --account chonburi --out edits").trim().to_owned();
    assert_eq!(key.len(), 64, "a key has 32 random bytes");
    session.run("check accounts.yaml edits");
    let deleted = session.run_with(&key, "key withdraw");
    let name = deleted.trim().strip_prefix("delete ").expect("the value is named");
    let digest = name.strip_prefix("keys/").expect("the value is a key's");
    session.run_with(&key, "key digest --account chonburi");
    let edit = session.read(&format!("edits/{name}.yaml"));
    assert!(!edit.contains(&key), "the edit holds the digest and not the key");
    session.run(&format!("key withdraw --digest {digest}"));
    insta::assert_snapshot!(session.record(&[(&key, "KEY"), (digest, "DIGEST")]));
}

#[test]
fn shown_key() {
    let mut session = Session::new("shown-key");
    let printed = session.run("key new --account chonburi");
    let key = printed.lines().next().and_then(|line| line.strip_prefix("key: "));
    let key = key.expect("the key is shown").to_owned();
    let deleted = session.run_with(&key, "key withdraw");
    let digest = deleted.trim().strip_prefix("delete keys/").expect("the value is named");
    assert!(printed.contains(&format!("digest: \"{digest}\"")));
    session.run("key new --account chon/buri");
    session.run("key digest --account chonburi");
    insta::assert_snapshot!(session.record(&[(&key, "KEY"), (digest, "DIGEST")]));
}
