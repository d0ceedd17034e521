//! Input over the configured bounds is refused, and the node continues to serve other requests.

use {
    monsoon_lib::call::Reason,
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet},
        raw,
    },
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);

#[actix_web::test]
async fn oversized_body() {
    const OVERSIZED_BYTES: usize = 2 << 20;
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let address = fleet.callers("notice-1");
    let audit = Audit::default();
    let large =
        Request { body: vec![b'.'; OVERSIZED_BYTES], ..Request::post("/bookings/large", "") };
    let verdict = audit.send(large.key(&key), address).await;
    assert!(
        verdict.reason() == Some(Reason::TooLarge) || verdict == Verdict::Incomplete,
        "{verdict:?}"
    );
    let fits =
        Request { body: vec![b'.'; OVERSIZED_BYTES / 4], ..Request::post("/bookings/fits", "") };
    assert_eq!(audit.send(fits.key(&key), address).await, Verdict::Correct);
    assert_eq!(audit.check(&fleet), []);
    assert!(fleet.runs().iter().all(|found| found.run.path != "/bookings/large"));
}

#[actix_web::test]
async fn oversized_message_parts() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let key = fleet.key("chonburi");
    let address = fleet.callers("notice-1");
    let head = format!("Host: a\r\nAuthorization: Bearer {key}\r\n");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    let texts = [
        format!("POST /bookings/1 HTTP/1.1\r\n{head}Content-Length: 99999999999\r\n\r\n"),
        format!("POST /bookings/2 HTTP/1.1\r\n{head}Content-Length: -1\r\n\r\n"),
        format!(
            "POST /bookings/3 HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n\r\n{}",
            chunk.repeat(40)
        ),
        format!("GET /slots/{} HTTP/1.1\r\n{head}\r\n", "x".repeat(200_000)),
        format!("GET /slots/4 HTTP/1.1\r\n{head}A: {}\r\n\r\n", "x".repeat(200_000)),
        format!("GET /slots/5 HTTP/1.1\r\n{head}{}\r\n", "A: b\r\n".repeat(20_000)),
    ];
    for text in &texts {
        let answer = raw::exchange(address, text.as_bytes(), TIMEOUT).await;
        let answer = answer.expect("the node accepts connections");
        assert!(!answer.starts_with(b"HTTP/1.1 2"), "{}", String::from_utf8_lossy(&answer));
    }
    let audit = Audit::default();
    assert_eq!(audit.send(Request::get("/slots/after").key(&key), address).await, Verdict::Correct);
    let ran = fleet.runs().into_iter().filter(|found| found.run.path.starts_with("/bookings"));
    assert_eq!(ran.count(), 0);
}
