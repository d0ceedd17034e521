//! Links whose peers are silent, stalled or out of reach.

use {
    super::*,
    monsoon_testutils::dark,
    std::net::Ipv4Addr,
    tokio::{net::TcpListener, task::LocalSet},
};

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn links(port: u16) -> Links {
    Links::new(HOST, port, "dc-1".parse().expect("a name"))
}

/// Guards against a request that counts as sent although the peer never got all of it, and
/// against one that counts as not sent although the peer can still read it whole.
#[tokio::test]
async fn stalled_link() {
    let test = async {
        let listener = TcpListener::bind((HOST, 0)).await.expect("a free port");
        let port = listener.local_addr().expect("the address").port();
        let links = links(port);
        let demand = || PeerRequest::Facts { after: Default::default(), wait_ms: 1 };
        // More than the buffers of both sockets hold.
        let large = Bytes::from(vec![0; 64 << 20]);
        let sent = links.request(HOST, demand(), Bytes::new());
        let cut = async {
            // The first request is sent before the large one fills the connection.
            tokio::time::sleep(PING_AFTER / 5).await;
            links.request(HOST, demand(), large).await
        };
        let queued = async {
            tokio::time::sleep(PING_AFTER / 2).await;
            links.request(HOST, demand(), Bytes::new()).await
        };
        let (accepted, sent, cut, queued) = tokio::join!(listener.accept(), sent, cut, queued);
        assert!(matches!(sent, Err(Error::TimedOut(_))), "{sent:?}");
        assert!(matches!(cut, Err(Error::NotSent(_))), "{cut:?}");
        assert!(matches!(queued, Err(Error::NotSent(_))), "{queued:?}");
        // What is left in the buffers arrives after the sender gave up.
        let (mut stream, _) = accepted.expect("a connection");
        let mut buffer = BytesMut::new();
        let mut requests = Vec::new();
        while let Ok(received) = frame::read::<PeerRequest>(&mut stream, &mut buffer).await {
            requests.push(received.envelope.number);
        }
        assert_eq!(requests, [0, 1], "the hello and the first request");
    };
    LocalSet::new().run_until(test).await;
}

/// Answers pings on one link until it is cut, and counts them.
async fn answer_pings(listener: TcpListener, pings: Rc<Cell<u32>>, is_cut: Rc<Cell<bool>>) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = BytesMut::new();
    while let Ok(received) = frame::read::<PeerRequest>(&mut stream, &mut buffer).await {
        if matches!(received.envelope.message, PeerRequest::Ping) && !is_cut.get() {
            pings.set(pings.get() + 1);
            let pong = frame::encode(0, PeerResponse::Pong, Bytes::new()).expect("a frame");
            stream.write_all(&pong.head).await.expect("the link is open");
        }
    }
}

/// Guards against a request that may not run twice and is sent over a link that was cut, and
/// against a ping for each of many requests.
#[tokio::test]
async fn silent_link() {
    let test = async {
        let listener = TcpListener::bind((HOST, 0)).await.expect("a free port");
        let port = listener.local_addr().expect("the address").port();
        let links = links(port);
        let (pings, is_cut) = (Rc::<Cell<u32>>::default(), Rc::<Cell<bool>>::default());
        tokio::task::spawn_local(answer_pings(listener, pings.clone(), is_cut.clone()));
        let confirm = || links.confirm(HOST, Duration::from_secs(1));
        for expected in [1, 2] {
            let (first, second) = tokio::join!(confirm(), confirm());
            assert!(first.is_ok() && second.is_ok() && confirm().await.is_ok());
            assert_eq!(pings.get(), expected);
            tokio::time::sleep(liveness::MAX_SILENCE).await;
        }
        is_cut.set(true);
        let began = Instant::now();
        let hasty = links.confirm(HOST, Duration::from_millis(80)).await;
        assert!(matches!(hasty, Err(Error::Silent(_))), "{hasty:?}");
        assert!(began.elapsed() < liveness::MAX_SILENCE, "{:?}", began.elapsed());
        assert!(matches!(confirm().await, Err(Error::Silent(_))));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against requests that connect one after the other to a peer that does not respond.
#[tokio::test]
async fn dark_peer() {
    let test = async {
        let dark = dark::Listener::start((HOST, 0).into()).await.expect("a dark address");
        let links = links(dark.address().expect("the address").port());
        let began = Instant::now();
        assert!(links.connect(HOST).await.is_err());
        let connect_time = began.elapsed();
        let requests = (0..20).map(|_| links.request(HOST, PeerRequest::Ping, Bytes::new()));
        for result in futures::future::join_all(requests).await {
            assert!(matches!(result, Err(Error::Unreachable(..))), "{result:?}");
        }
        // The attempt of the first request and one more for those that joined it.
        let took = began.elapsed() - connect_time;
        assert!(took < connect_time * 3, "{connect_time:?}, {took:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against requests that fail with an attempt to connect from the time before the peer started,
/// whose first packet was lost.
#[tokio::test]
async fn starting_peer() {
    let test = async {
        let dark = dark::Listener::start((HOST, 0).into()).await.expect("a dark address");
        let address = dark.address().expect("the address");
        let links = links(address.port());
        let start = async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            drop(dark);
            TcpListener::bind(address).await.expect("a free port")
        };
        let (first, second, _listener) =
            tokio::join!(links.connect(HOST), links.connect(HOST), start);
        assert!(first.is_ok() && second.is_ok(), "{first:?}, {second:?}");
    };
    LocalSet::new().run_until(test).await;
}
