//! Malformed input affects only the connection on which it arrives.

use {
    monsoon_testutils::{
        audit::Audit,
        client::{Request, Verdict},
        fleet::{self, Fleet},
        raw,
    },
    rand::{RngExt as _, SeedableRng as _, rngs::StdRng},
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_millis(200);

fn malformed_inputs() -> Vec<Vec<u8>> {
    let mut random = StdRng::seed_from_u64(11);
    let noise = |random: &mut StdRng| {
        let length = random.random_range(1..4_000);
        (0..length).map(|_| random.random()).collect()
    };
    let mut inputs: Vec<Vec<u8>> = (0..16).map(|_| noise(&mut random)).collect();
    let fixed: [&[u8]; 9] = [
        b"GET / HTTP/1.1\r\n",
        b"GET  HTTP/9.9\r\n\r\n",
        b"POST /bookings HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        b"POST /bookings HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /bookings HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
        b"GET /\0 HTTP/1.1\r\n\r\n",
        b"GET /slots/../bookings HTTP/1.1\r\n\r\n",
        b"\xff\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00\x00\x00\x00\x00",
        b"\x00\x00\x00\x00\xff\xff\xff\x7f\x00\x00\x00\x00\x00\x00\x00\x00",
    ];
    inputs.extend(fixed.iter().map(|input| input.to_vec()));
    inputs
}

#[actix_web::test]
async fn all_listeners() {
    let fleet = Fleet::start(fleet::small(1)).await.expect("the fleet starts");
    let listen = fleet.vm("bench-1").node.listen();
    let audit = Audit::default();
    let key = fleet.key("chonburi");
    for (number, input) in malformed_inputs().iter().enumerate() {
        let ports = [listen.callers, listen.egress, listen.peers, listen.admin];
        let noise = ports.map(|port| raw::exchange(port, input, TIMEOUT));
        let sends = fleet.all_callers().into_iter().map(|address| {
            let path = format!("/bookings/{number}-{}", address.port());
            audit.send(Request::post(&path, "").key(&key), address)
        });
        let (_, verdicts) =
            futures::join!(futures::future::join_all(noise), futures::future::join_all(sends));
        assert!(
            verdicts.iter().all(|v| *v == Verdict::Correct),
            "{verdicts:?} during input {input:?}"
        );
    }
    assert_eq!(audit.check(&fleet), []);
    let expected = fleet.all_callers().len() * malformed_inputs().len();
    let booked = fleet.runs().into_iter().filter(|f| f.run.path.starts_with("/bookings"));
    assert_eq!(booked.count(), expected);
}
