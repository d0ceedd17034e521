//! A server ends, and its address goes to a server of another service. The settings of the machine
//! change with it, and its node is told with SIGHUP.

use {
    crate::{
        http::{Connection, Request},
        record,
        server::{Plan, Settings},
        site::{Route, SIGHUP, Site},
    },
    std::{io, sync::Arc, thread, time::Duration},
};

/// How long the node may take for the new settings: `config_apply_ms`.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Three ping intervals, after which the entry of a silent server is removed. `reuse_after_s` is less.
const LAPSE_TIME: Duration = Duration::from_millis(4_500);
/// `stability_ms`, after which the machine is in touch again.
const STABILITY: Duration = Duration::from_millis(3_000);

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let behaviour = |_: &str, _: &_| Plan {
        work: Duration::from_millis(5),
        body: Arc::new(b"ok".to_vec()),
        ..Plan::default()
    };
    let services = ["front", "desk", "desk", "desk"];
    let mut site = Site::start(&services, 100, Arc::new(behaviour))?;
    let route = Route {
        prefix: "/book/",
        kind: "non_idempotent",
        service: "desk",
        timeout_ms: 5_000,
        aim_ms: 1_200,
    };
    site.publish(&[route]);
    site.start_nodes()?;
    let mut service = "front";
    if has_trouble {
        record!("the server of m0, of service front, has crashed for good");
        site.replace_server(0, None);
        thread::sleep(LAPSE_TIME);
        site.store.write("servers/i-0", None);
        service = "archive";
        record!("its address goes to a server of service {service}; new settings and SIGHUP");
        site.replace_server(
            0,
            Some(Settings { id: "i-9".into(), service: service.into(), slots: 100 }),
        );
        site.write_settings(0, service)?;
        site.machines[0].signal(SIGHUP);
    }
    thread::sleep(APPLY_TIME + STABILITY);
    let mut client = Connection::open(site.machines[0].outbound())?;
    for number in 0..20 {
        let id = format!("late-{number}");
        let request = Request {
            method: "POST",
            path: "/book/1",
            id: &id,
            key: "key-1",
            budget_ms: 5_000,
            upload: 0,
        };
        let status = client.exchange(&request)?.status();
        record!("client on m0 (service {service}) gets {status} for {id}");
    }
    let runs = site.runs.lock().expect("the runs");
    let wrong = runs.iter().filter(|run| run.caller != service).count();
    record!("{wrong} of {} runs named another service than {service} as their caller", runs.len());
    site.record_log(0, "settings");
    Ok(wrong > 0)
}
