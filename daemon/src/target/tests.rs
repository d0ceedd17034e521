//! Responses of targets that are no final responses.

use {
    super::{Request, Target},
    actix_web::web::Bytes,
    monsoon_lib::{call::Offer, context, id, node::RunResult, settings::Bounds, table::Class},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpListener,
    },
};

/// Starts a target that answers one request with this status, and returns its address.
async fn start_target(status: u16) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1024];
        let read = stream.read(&mut head).await.expect("a request");
        assert!(read > 0);
        let answer = format!("HTTP/1.1 {status:03} X\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).await.expect("the answer is written");
    });
    address
}

async fn run(status: u16) -> RunResult {
    let target = Target::new(start_target(status).await, &Bounds::default());
    let request = Request {
        method: "GET".into(),
        target: "/".into(),
        fields: Vec::new(),
        body: Bytes::new(),
    };
    let mut registry = context::Registry::new(context::Settings::default(), [0; 32]);
    let token = registry.open(id::Call(1), ()).expect("a context");
    let offer = Offer {
        request: id::Request(1),
        account: None,
        route: "r".parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        class: Class::Browse,
        idempotent: true,
        remaining: Duration::from_secs(1),
        retries: 0,
        depth: 0,
        fingerprint: 0,
        claim: None,
    };
    target.run(Rc::new(request), token, offer).await.result
}

/// Guards against statuses that no final response has and that callers get as the target's answer.
#[actix_web::test]
async fn malformed_status() {
    for status in [0, 99, 101, 150, 600, 999, 1000] {
        assert!(matches!(run(status).await, RunResult::Broken), "{status}");
    }
    for status in [200, 404, 599] {
        assert!(matches!(run(status).await, RunResult::Answered { .. }), "{status}");
    }
}
