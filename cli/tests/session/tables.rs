//! Tests of checking and splitting tables, and of invalid command lines.

use crate::session::Session;

const TABLES: &str = "\
routes:
  - name: book
    match: { methods: [POST], path: /bench/bookings }
    pool: bench
    class: booking
    idempotent: false
    retries: 1
  - name: \"404\"
    match: { path: /specifications }
    pool: bench
    class: browse
    idempotent: true
pools:
  - name: bench
    targets:
      - { vm: bench-1, data_centre: bkk-1, slots: 120, connections: 400 }
accounts:
  - { name: chonburi, rate: 100, burst: 200, shares: { bkk-1: 2, bkk-2: 1 } }
keys:
  - { digest: \"0000000000000000000000000000000000000000000000000000000000000012\", account: chonburi }
";

const SETTINGS: &str = "\
vm: bench-1
data_centre: bkk-1
listen: { callers: 127.0.0.1:0, egress: 127.0.0.1:0, peers: 127.0.0.1:0, admin: 127.0.0.1:0 }
target: 127.0.0.1:8201
platform: 127.0.0.1:8500
secret: correct-horse-battery
";

#[test]
fn good_tables() {
    let mut session = Session::new("good-tables");
    session.write("tables.yaml", TABLES);
    session.write("bench-1.yaml", SETTINGS);
    session.run("check tables.yaml --settings bench-1.yaml");
    session.run("tables split tables.yaml --out published");
    session.run("check published");
    insta::assert_snapshot!(session.record(&[]));
    insta::assert_snapshot!("good_tables_route", session.read("published/routes/404.yaml"));
}

#[test]
fn faulty_tables() {
    let mut session = Session::new("faulty-tables");
    let faulty = TABLES
        .replace("pool: bench\n    class: booking", "pool: bunch\n    class: booking")
        .replace("slots: 120", "slots: 0")
        .replace("rate: 100", "rate: 0");
    session.write("tables.yaml", &faulty);
    session.write("bench-1.yaml", &SETTINGS.replace("correct-horse-battery", "short"));
    session.run("check tables.yaml --settings bench-1.yaml");
    session.run("tables split tables.yaml --out published");
    insta::assert_snapshot!(session.record(&[]));
}

/// A name that the split values give in another way than the document would leave it in use.
#[test]
fn evacuated_tables() {
    let mut session = Session::new("evacuated-tables");
    session.write("tables.yaml", &format!("{TABLES}evacuated: [bkk-1]\n"));
    session.run("check tables.yaml");
    session.run("tables split tables.yaml --out published");
    session.run("check published");
    insta::assert_snapshot!(session.record(&[]));
    insta::assert_snapshot!(
        "evacuated_tables_value",
        session.read("published/evacuated/bkk-1.yaml")
    );
}

#[test]
fn wrong_use() {
    let mut session = Session::new("wrong-use");
    session.run("check");
    session.run("check missing.yaml");
    session.run("tables split");
    session.run("paint");
    session.run("status");
    session.run("key withdraw --digest 12");
    insta::assert_snapshot!(session.record(&[]));
}
