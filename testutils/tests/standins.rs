//! The test doubles of the platform and of targets follow their interfaces.

use {
    monsoon_testutils::{
        platform::{Changes, Platform, Values},
        target::{Answer, Faults, ServiceTime, Settings, Target},
    },
    std::{net::SocketAddr, time::Duration},
};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn change(name: &str, text: Option<&str>) -> Changes {
    Changes { changes: [(name.to_owned(), text.map(str::to_owned))].into() }
}

async fn read(platform: &Platform, after: u64, wait_ms: u64) -> Values {
    let address = platform.address();
    let url = format!("http://{address}/v1/values?after={after}&wait_ms={wait_ms}");
    let mut response = awc::Client::default().get(url).send().await.expect("the platform answers");
    response.json().await.expect("the answer has values")
}

#[actix_web::test]
async fn watch_values() {
    let platform = Platform::start(any_port()).expect("a port is free");
    platform.publish(change("routes/book", Some("one")));
    let first = read(&platform, 0, 0).await;
    assert_eq!(first.revision, 1);
    assert_eq!(first.values[0].text.as_deref(), Some("one"));
    let (second, _) = futures::join!(read(&platform, 1, 10_000), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.publish(change("routes/book", None))
    });
    assert_eq!((second.revision, second.values[0].text.as_deref()), (2, None));
    assert_eq!(read(&platform, 0, 0).await.values, []);
    assert_eq!(platform.calls().total, 3);
}

#[actix_web::test]
async fn stale_values() {
    let platform = Platform::start(any_port()).expect("a port is free");
    platform.publish(change("accounts/a", Some("old")));
    platform.publish(change("accounts/a", Some("new")));
    let faults = monsoon_testutils::platform::Faults { stale_at: Some(1), ..Default::default() };
    platform.set_faults(faults);
    let stale = read(&platform, 0, 0).await;
    assert_eq!((stale.revision, stale.values[0].text.as_deref()), (1, Some("old")));
}

#[actix_web::test]
async fn nested_answer() {
    let nested_target = Target::start(Settings::default()).expect("a port is free");
    let yaml = "chains: [{ path: /claims, calls: [{ method: GET, path: /specifications }] }]";
    let settings = serde_saphyr::from_str(yaml).expect("the settings are valid");
    let target = Target::start(settings).expect("a port is free");
    target.set_egress(nested_target.address());
    let url = format!("http://{}/claims/1", target.address());
    let request = awc::Client::default().post(url).insert_header(("Monsoon-Context", "token"));
    let mut response = request.send_body("claim").await.expect("the target answers");
    let answer = response.body().await.expect("the answer is complete");
    assert!(Answer::is_correct(&answer, "POST", "/claims/1", b"claim"));
    assert!(!Answer::is_correct(&answer, "POST", "/claims/2", b"claim"));
    assert_eq!(nested_target.counts().finished, 1);
}

#[actix_web::test]
async fn shed_and_cancel() {
    let service = ServiceTime { mean_us: 200_000, exponential: false };
    let settings = Settings { slots: 1, queue: 1, service, ..Settings::default() };
    let target = Target::start(settings).expect("a port is free");
    let url = format!("http://{}/", target.address());
    let send = |timeout_ms| {
        let client = awc::Client::default();
        client.get(&url).timeout(Duration::from_millis(timeout_ms)).send()
    };
    let timed_out = actix_web::rt::spawn(send(50));
    tokio::time::sleep(Duration::from_millis(20)).await;
    let waiting = actix_web::rt::spawn(send(5_000));
    tokio::time::sleep(Duration::from_millis(10)).await;
    let shed = send(5_000).await.expect("the target answers");
    assert_eq!(shed.status(), 503);
    assert_eq!(
        shed.headers().get("Monsoon-Outcome").map(awc::http::header::HeaderValue::as_bytes),
        Some(&b"not-run"[..])
    );
    assert!(timed_out.await.expect("the task ends").is_err());
    assert!(
        waiting.await.expect("the task ends").expect("the target answers").status().is_success()
    );
    let runs = target.runs();
    assert_eq!(runs.iter().map(|run| run.cancelled).collect::<Vec<_>>(), [true, false]);
    assert_eq!(target.counts().shed, 1);
}

#[actix_web::test]
async fn truncated_answer_and_crash() {
    let target = Target::start(Settings::default()).expect("a port is free");
    let url = format!("http://{}/poison", target.address());
    target.set_faults(Faults { cut_after: Some(10), ..Faults::default() });
    let mut response = awc::Client::default().get(&url).send().await.expect("the head arrives");
    // The client library does not report a truncated body, so its length is compared.
    let body = response.body().await.unwrap_or_default();
    assert_eq!(body.len(), 10);
    let length = response.headers().get("Content-Length").expect("the length is announced");
    assert_ne!(length.as_bytes(), b"10");
    target.set_faults(Faults { crash_on: Some("/poison".into()), ..Faults::default() });
    assert!(awc::Client::default().get(&url).send().await.is_err());
    assert!(awc::Client::default().get(&url).send().await.is_err());
}
