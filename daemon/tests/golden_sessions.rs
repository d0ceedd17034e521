//! Snapshot tests of operator sessions.
//!
//! A transcript lists the operator's actions and the states that the nodes then reach. It does not
//! show the waits between them.

use {
    insta::assert_snapshot,
    monsoon_lib::call::Reason,
    monsoon_testutils::{
        client::{Client, Request, Verdict},
        fleet::{self, Description, Fleet, POLL},
    },
    nix::sys::signal::Signal,
    serde_json::Value,
    std::{
        fmt::Write as _,
        time::{Duration, Instant},
    },
};

/// Time limit for each expected state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A running fleet and the transcript of the session so far.
struct Session {
    fleet: Fleet,
    client: Client,
    transcript: String,
}

impl Session {
    async fn start(description: Description) -> Self {
        let fleet = Fleet::start(description).await.expect("the fleet starts");
        Self { fleet, client: Client::default(), transcript: String::new() }
    }

    fn record(&mut self, line: impl AsRef<str>) {
        writeln!(self.transcript, "{}", line.as_ref()).expect("text can be written");
    }

    async fn dump(&self, vm: &str) -> Value {
        self.fleet.vm(vm).node.dump().await.expect("the node answers")
    }

    /// Waits until `extract` finds the expected state in the dump of a node, and records it.
    async fn wait_for_state(&mut self, vm: &str, extract: impl Fn(&Value) -> Option<String>) {
        let start = Instant::now();
        loop {
            let dump = self.dump(vm).await;
            if let Some(line) = extract(&dump) {
                return self.record(format!("{vm}: {line}"));
            }
            assert!(start.elapsed() < TIMEOUT, "{}\n{dump:#}", self.transcript);
            tokio::time::sleep(POLL).await;
        }
    }

    /// Repeats a request until its verdict is the expected one, and records it.
    async fn wait_for_verdict(
        &mut self,
        name: &str,
        request: &Request,
        is_expected: impl Fn(&Verdict) -> bool,
    ) {
        let start = Instant::now();
        let address = self.fleet.callers("notice-1");
        loop {
            let verdict = self.client.send(request, address).await.verdict;
            if is_expected(&verdict) {
                return self.record(format!("{name}: {verdict:?}"));
            }
            assert!(start.elapsed() < TIMEOUT, "{}\n{verdict:?}", self.transcript);
            tokio::time::sleep(POLL).await;
        }
    }

    fn publish(&mut self, name: &str, text: Option<&str>) {
        let revision = self.fleet.publish_value(name, text.map(str::to_owned));
        self.record(format!("publish {name} as r{revision}"));
    }
}

fn in_force(revision: u64) -> impl Fn(&Value) -> Option<String> {
    move |dump| (dump["revision"] == revision).then(|| format!("r{revision} is in force"))
}

fn member(vm: &'static str, state: &'static str) -> impl Fn(&Value) -> Option<String> {
    move |dump| {
        let members = dump["member"]["members"].as_array()?;
        let found = members.iter().find(|member| member["vm"] == vm)?;
        (found["state"] == state).then(|| format!("{vm} is {state}"))
    }
}

fn slots_route(pool: &str) -> String {
    format!(
        "{{ name: slots, match: {{ path: /slots }}, pool: {pool}, class: browse, idempotent: true }}"
    )
}

#[actix_web::test]
async fn edited_table() {
    let mut session = Session::start(fleet::small(1)).await;
    for vm in ["bench-1", "notice-2"] {
        session.wait_for_state(vm, in_force(1)).await;
    }
    session.publish("routes/slots", Some(&slots_route("notice")));
    for vm in ["bench-1", "notice-2"] {
        session.wait_for_state(vm, in_force(2)).await;
    }
    session.publish("routes/slots", Some(&slots_route("nothing")));
    session
        .wait_for_state("bench-1", |dump| {
            let faults = dump["config"]["faults"].as_array()?;
            let fault = faults.first()?;
            Some(format!("refused: {fault}; r{} stays in force", dump["revision"]))
        })
        .await;
    session.publish("routes/slots", Some(&slots_route("bench")));
    session.wait_for_state("bench-1", in_force(4)).await;
    assert_snapshot!(session.transcript);
}

#[actix_web::test]
async fn connected_caller() {
    let mut session = Session::start(fleet::small(1)).await;
    let key = session.fleet.key("rayong");
    let request = Request::get("/slots/1").key(&key);
    session.wait_for_verdict("caller", &request, |verdict| *verdict == Verdict::Correct).await;
    let revision = session.fleet.withdraw(&key);
    session.record(format!("withdraw the key as r{revision}"));
    let is_key_refusal = |verdict: &Verdict| verdict.reason() == Some(Reason::Key);
    session.wait_for_verdict("caller", &request, is_key_refusal).await;
    let (name, value) = fleet::grant(&key, "rayong");
    let revision = session.fleet.publish_value(&name, Some(value.to_string()));
    session.record(format!("grant the key again as r{revision}"));
    session.wait_for_verdict("caller", &request, |verdict| *verdict == Verdict::Correct).await;
    assert_snapshot!(session.transcript);
}

#[actix_web::test]
async fn drained_node() {
    let mut session = Session::start(fleet::small(1)).await;
    session.wait_for_state("notice-1", member("bench-1", "live")).await;
    let node = &session.fleet.vm("bench-1").node;
    node.signal(Signal::SIGTERM).expect("the node runs");
    session.record("SIGTERM to bench-1");
    session.wait_for_state("notice-1", member("bench-1", "leaving")).await;
    let status = session.fleet.vm_mut("bench-1").node.wait(TIMEOUT).await;
    let code = status.expect("the node ends").code();
    session.record(format!("bench-1 exits with {code:?}"));
    let key = session.fleet.key("chonburi");
    let request = Request::get("/slots/1").key(&key);
    session.wait_for_verdict("caller", &request, |verdict| *verdict == Verdict::Correct).await;
    assert_snapshot!(session.transcript);
}

#[actix_web::test]
async fn healed_partition() {
    let description = Description { has_proxies: true, ..fleet::small(2) };
    let mut session = Session::start(description).await;
    session.wait_for_state("bench-1", member("bench-2", "live")).await;
    session.fleet.partition(&["dc-1"]);
    session.record("cut dc-1 off");
    session
        .wait_for_state("bench-1", |dump| {
            let members = dump["member"]["members"].as_array()?;
            let found = members.iter().find(|member| member["vm"] == "bench-2")?;
            let is_unavailable = found["state"] == "unreachable" || found["state"] == "dead";
            is_unavailable.then(|| "bench-2 can't be reached".to_owned())
        })
        .await;
    session.fleet.heal();
    session.record("heal");
    session.wait_for_state("bench-1", member("bench-2", "live")).await;
    assert_snapshot!(session.transcript);
}

#[actix_web::test]
async fn overload_and_recovery() {
    const CALLERS: usize = 400;
    let mut session = Session::start(fleet::small(1)).await;
    let key = session.fleet.key("chonburi");
    let faults = monsoon_testutils::target::Faults { slow: 50.0, ..Default::default() };
    for vm in session.fleet.vms() {
        vm.target.set_faults(faults.clone());
    }
    session.record("all targets 50 times slower, 400 look-ups at once");
    let address = session.fleet.callers("notice-1");
    let send = |number: usize| {
        let request = Request::get(&format!("/slots/{number}")).key(&key);
        let client = session.client.clone();
        async move { client.send(&request, address).await.verdict }
    };
    let verdicts = futures::future::join_all((0..CALLERS).map(send)).await;
    let refused: Vec<_> = verdicts.iter().filter(|verdict| **verdict != Verdict::Correct).collect();
    assert!(!refused.is_empty(), "nothing was refused");
    assert!(refused.iter().all(|verdict| verdict.is_not_run()), "{refused:?}");
    session.record("some are refused, and each refusal says not-run");
    for vm in session.fleet.vms() {
        vm.target.set_faults(monsoon_testutils::target::Faults::default());
    }
    session.record("all targets as before");
    let request = Request::get("/slots/after").key(&key);
    session.wait_for_verdict("caller", &request, |verdict| *verdict == Verdict::Correct).await;
    session
        .wait_for_state("bench-1", |dump| {
            let is_empty = |waiting: &Vec<Value>| waiting.iter().all(|count| *count == 0);
            dump["admission"]["waiting"].as_array().filter(|waiting| is_empty(waiting))?;
            Some("nothing waits".into())
        })
        .await;
    assert_snapshot!(session.transcript);
}
