//! Tests of the commands that query nodes.

use crate::{node, session::Session};

const BENCH_1: &[(&str, &str)] = &[
    (
        "/dump",
        r#"{"vm":"bench-1","data_centre":"bkk-1","is_draining":false,"revision":7,"calls":3,
            "retry":[{"pool":"bench","first_sends":10,"retries":1,"withheld":0}]}"#,
    ),
    (
        "/explain?method=POST&path=/bench/bookings&account=chonburi",
        r#"{"revision":7,"route":"book","pool":"bench","class":"booking","refusal":null,
            "because":"The request would be sent to a target of the pool."}"#,
    ),
    (
        "/explain?method=POST&path=/b%26c",
        r#"{"revision":7,"route":null,"pool":null,"class":null,
            "refusal":{"reason":"no-route","outcome":"not-run","retry_after":null},
            "because":"No route matches the method and path."}"#,
    ),
];

const BENCH_2: &[(&str, &str)] = &[(
    "/dump",
    r#"{"vm":"bench-2","data_centre":"bkk-2","is_draining":true,"revision":6,"calls":0}"#,
)];

#[test]
fn one_node() {
    let mut session = Session::new("one-node");
    let address = node::start(BENCH_1).to_string();
    session.run(&format!("dump {address}"));
    session.run(&format!("dump {address} --json"));
    session.run(&format!("explain --node {address} --account chonburi POST /bench/bookings"));
    session.run(&format!("explain --node {address} POST /b&c"));
    session.run(&format!("explain --node {address} GET /else"));
    insta::assert_snapshot!(session.record(&[(&address, "ADDRESS")]));
}

#[test]
fn several_nodes() {
    let mut session = Session::new("several-nodes");
    let (first, second) = (node::start(BENCH_1).to_string(), node::start(BENCH_2).to_string());
    session.write("nodes.txt", &format!("# bench\n{first}\n{second} # the new one\n"));
    session.run(&format!("status {first}"));
    session.run("status --list nodes.txt");
    let replacements: Vec<(String, String)> = [(&first, "1"), (&second, "2")]
        .map(|(address, name)| (format!("{address:21}"), format!("{:21}", format!("NODE-{name}"))))
        .into();
    let pairs: Vec<(&str, &str)> =
        replacements.iter().map(|(from, to)| (from.as_str(), to.as_str())).collect();
    let record = session.record(&pairs);
    insta::assert_snapshot!(record.replace(&first, "NODE-1"));
}

#[test]
fn absent_node() {
    let mut session = Session::new("absent-node");
    session.run("status 127.0.0.1:1");
    session.run("dump 127.0.0.1:1");
    insta::assert_snapshot!(session.record(&[]));
}
