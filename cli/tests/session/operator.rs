//! Tests of the commands that read metrics and log lines of nodes.

use crate::session::Session;

#[test]
fn scarce_pool() {
    let mut session = Session::new("scarce-pool");
    session.write("m0.prom", include_str!("fixtures/m0.prom"));
    session.write("m2.prom", include_str!("fixtures/m2.prom"));
    session.write("new.prom", include_str!("fixtures/new.prom"));
    session.run("pools m0.prom m2.prom");
    session.run("pools m0.prom m2.prom new.prom");
    session.run_with(include_str!("fixtures/calm.prom"), "pools -");
    insta::assert_snapshot!(session.record(&[]));
}

#[test]
fn wrong_metrics() {
    let mut session = Session::new("wrong-metrics");
    session.write("m0.prom", "monsoon_in_flight 3\nmonsoon_waiting three\n");
    session.write("m1.prom", "monsoon_pool_demand 3\n");
    session.write("both.prom", "monsoon_target_cold 0\nmonsoon_target_cold 0\n");
    session.write("other.prom", "# no metrics here\nprocess_start_time 1\n");
    for files in ["m0.prom", "m1.prom", "both.prom", "other.prom", "m.prom", "m0.prom m0.prom", ""]
    {
        session.run(format!("pools {files}").trim_end());
    }
    insta::assert_snapshot!(session.record(&[]));
}

#[test]
fn traced_requests() {
    let mut session = Session::new("traced-requests");
    session.write("m0.log", include_str!("fixtures/m0.log"));
    session.write("m1.log", include_str!("fixtures/m1.log"));
    session.write("m2.log", include_str!("fixtures/m2.log"));
    session.run("trace id104 m0.log m1.log m2.log");
    session.run("trace id69 m0.log m1.log m2.log");
    session.run_with(include_str!("fixtures/m2.log"), "trace id69.1 m0.log m1.log -");
    session.run("trace id m0.log m1.log m2.log");
    session.run("trace id104 m.log");
    session.run("trace id104");
    insta::assert_snapshot!(session.record(&[]));
}
