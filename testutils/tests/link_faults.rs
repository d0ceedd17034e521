//! The proxy injects the configured faults into a link.

use {
    monsoon_testutils::{
        client::{Client, Request, Verdict},
        proxy::{Faults, Mode, Proxy},
        target::{Settings, Target},
    },
    std::time::{Duration, Instant},
};

const TIMEOUT: Duration = Duration::from_millis(300);

async fn start_link(settings: Settings) -> (Target, Proxy, Client) {
    let target = Target::start(settings).expect("a port is free");
    let proxy = Proxy::start(target.address(), 1).await.expect("a port is free");
    (target, proxy, Client::new(TIMEOUT))
}

async fn verdict(client: &Client, proxy: &Proxy) -> Verdict {
    client.send(&Request::post("/x", "body"), proxy.address()).await.verdict
}

#[actix_web::test]
async fn slow_link() {
    let (_target, proxy, client) = start_link(Settings::default()).await;
    let latency = Duration::from_millis(30);
    proxy.set_faults(Faults { latency, jitter: latency, ..Faults::default() });
    let start = Instant::now();
    assert_eq!(verdict(&client, &proxy).await, Verdict::Correct);
    assert!(start.elapsed() >= 2 * latency, "took only {:?}", start.elapsed());
}

#[actix_web::test]
async fn frozen_link() {
    let (target, proxy, client) = start_link(Settings::default()).await;
    assert_eq!(verdict(&client, &proxy).await, Verdict::Correct);
    proxy.set_mode(Mode::Freeze);
    assert_eq!(verdict(&client, &proxy).await, Verdict::Incomplete);
    assert_eq!(target.counts().started, 1);
    proxy.heal();
    assert_eq!(verdict(&client, &proxy).await, Verdict::Correct);
}

#[actix_web::test]
async fn closed_link() {
    let (target, proxy, client) = start_link(Settings::default()).await;
    for mode in [Mode::Refuse, Mode::Blackhole] {
        proxy.set_mode(mode);
        assert_eq!(verdict(&client, &proxy).await, Verdict::Incomplete);
    }
    assert_eq!(target.counts().started, 0);
    proxy.heal();
    assert_eq!(verdict(&Client::new(TIMEOUT), &proxy).await, Verdict::Correct);
}

#[actix_web::test]
async fn cut_answer() {
    let settings = Settings { answer_bytes: 10_000, ..Settings::default() };
    let (_target, proxy, client) = start_link(settings).await;
    proxy.set_faults(Faults { cut_after: Some(1_000), ..Faults::default() });
    let reply = client.send(&Request::get("/"), proxy.address()).await;
    assert_eq!(reply.verdict, Verdict::Incomplete);
    assert!(!reply.body.is_empty());
}

#[actix_web::test]
async fn narrow_link() {
    let settings = Settings { answer_bytes: 10_000, ..Settings::default() };
    let (_target, proxy, _) = start_link(settings).await;
    proxy.set_faults(Faults { bytes_per_second: Some(50_000), ..Faults::default() });
    let start = Instant::now();
    let client = Client::default();
    assert_eq!(verdict(&client, &proxy).await, Verdict::Correct);
    assert!(start.elapsed() >= Duration::from_millis(150), "took only {:?}", start.elapsed());
}
