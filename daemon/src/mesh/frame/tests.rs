use {
    super::{PeerRequest, encode, read},
    bytes::{Bytes, BytesMut},
};

/// Guards against read buffers that keep the size of the largest frame for as long as their link lives.
#[tokio::test]
async fn idle_buffer() {
    let mut sent = Vec::new();
    for length in [8 << 20, 10, 0] {
        let frame = encode(1, PeerRequest::Ping, Bytes::from(vec![b'x'; length]));
        let frame = frame.expect("the frame is not too large");
        sent.extend_from_slice(&frame.head);
        sent.extend_from_slice(&frame.body);
    }
    let (mut from, mut buffer) = (sent.as_slice(), BytesMut::new());
    for length in [8 << 20, 10, 0] {
        let received = read::<PeerRequest>(&mut from, &mut buffer).await.expect("a frame");
        assert_eq!(received.body.len(), length);
    }
    assert!(buffer.capacity() <= 64 << 10, "{} bytes", buffer.capacity());
}
