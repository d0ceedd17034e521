//! Tests of granting and revoking keys.

use crate::session::Session;

#[test]
fn granted_key() {
    let mut session = Session::new("granted-key");
    session.write("accounts.yaml", "accounts:\n  - { name: chonburi, rate: 100, burst: 200 }\n");
    let key = session.run("key new --account chonburi --out edits").trim().to_owned();
    assert_eq!(key.len(), 64, "a key is 32 bytes in hexadecimal");
    session.run("check accounts.yaml edits");
    let output = session.run_with(&key, "key withdraw");
    let name = output.trim().strip_prefix("delete ").expect("the command prints a delete line");
    let digest = name.strip_prefix("keys/").expect("the value is in the keys section");
    session.run_with(&key, "key digest --account chonburi");
    let entry = session.read(&format!("edits/{name}.yaml"));
    assert!(!entry.contains(&key), "the table entry contains the key itself");
    session.run(&format!("key withdraw --digest {digest}"));
    insta::assert_snapshot!(session.record(&[(&key, "KEY"), (digest, "DIGEST")]));
}

#[test]
fn shown_key() {
    let mut session = Session::new("shown-key");
    let printed = session.run("key new --account chonburi");
    let key = printed.lines().next().and_then(|line| line.strip_prefix("key: "));
    let key = key.expect("the command prints the key").to_owned();
    let output = session.run_with(&key, "key withdraw");
    let digest =
        output.trim().strip_prefix("delete keys/").expect("the command prints a delete line");
    assert!(printed.contains(&format!("digest: \"{digest}\"")));
    session.run("key new --account chon/buri");
    session.run("key digest --account chonburi");
    insta::assert_snapshot!(session.record(&[(&key, "KEY"), (digest, "DIGEST")]));
}
