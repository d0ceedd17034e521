//! The byte stream of a connection to the own target, with what is known of its current exchange.
//!
//! A target begins a request only once it has the whole head. TCP delivers a prefix of the bytes that
//! the operating system accepted, so a request whose head was not accepted whole before the
//! connection was closed for writing does not run. See docs/design/outcome.md.

use {
    super::{super::cause::Cause, ExchangeResult},
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The end of the head of a request. It does not occur earlier, since no line of a head is empty.
const HEAD_END: [u8; 4] = *b"\r\n\r\n";

/// How many bytes a target may send before the head of its final response is complete. A head has at
/// most 64 KiB, and up to two buffers of the body may be read before the head is processed.
/// Informational responses count, since a target that sends them without end would keep the node
/// busy until the deadline.
const MAX_BYTES_BEFORE_HEAD: usize = 256 << 10;

/// What is known of the bytes of the current exchange on a connection.
#[derive(Debug, Default)]
pub struct Exchange {
    is_head_received: Cell<bool>,
    received: Cell<usize>,
    /// How many bytes of [`HEAD_END`] the last accepted bytes match. It stays at the full length.
    matched: Cell<usize>,
    is_write_closed: Cell<bool>,
}

impl Exchange {
    /// Begins the next exchange, before its request is passed to the connection.
    pub fn begin(&self) {
        self.is_head_received.set(false);
        self.received.set(0);
        self.matched.set(0);
    }

    /// Records that the head of the final response was received.
    pub fn head_received(&self) {
        self.is_head_received.set(true);
    }

    /// Ends a failed exchange. Nothing is written on the connection any more, so that the result stays
    /// true.
    pub fn fail(&self, cause: Cause, error: String) -> ExchangeResult {
        self.is_write_closed.set(true);
        if self.matched.get() == HEAD_END.len() || self.received.get() > 0 {
            return ExchangeResult::MayHaveRun(cause, error);
        }
        let kind = match cause {
            Cause::TargetDeadline => io::ErrorKind::Other,
            _ => io::ErrorKind::BrokenPipe,
        };
        ExchangeResult::Unreachable(io::Error::new(kind, format!("request not sent: {error}")))
    }

    /// Records that the operating system accepted further bytes. What is left of an earlier body may
    /// match as well, in which case the request counts as sent.
    fn record_accepted(&self, bytes: &[u8]) {
        for &byte in bytes {
            let matched = self.matched.get();
            if matched == HEAD_END.len() {
                return;
            }
            self.matched.set(match byte {
                _ if byte == HEAD_END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            });
        }
    }

    fn check_write(&self) -> io::Result<()> {
        match self.is_write_closed.get() {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            false => Ok(()),
        }
    }

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        self.received.set(self.received.get().saturating_add(bytes));
        match !self.is_head_received.get() && self.received.get() > MAX_BYTES_BEFORE_HEAD {
            true => Err(io::Error::other("too many bytes before the head of the response")),
            false => Ok(()),
        }
    }
}

/// A connection that records its bytes in an [`Exchange`].
pub struct Stream<S = TcpStream> {
    inner: S,
    exchange: Rc<Exchange>,
}

impl<S> Stream<S> {
    /// Wraps a new connection.
    pub fn new(inner: S) -> Self {
        Self { inner, exchange: Rc::default() }
    }

    /// Returns the record of the connection's exchanges.
    pub fn exchange(&self) -> Rc<Exchange> {
        self.exchange.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        let received = buffer.filled().len() - filled;
        match result {
            Poll::Ready(Ok(())) => Poll::Ready(self.exchange.record_received(received)),
            result => result,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.exchange.check_write()?;
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(accepted)) = result {
            self.exchange.record_accepted(&bytes[..accepted]);
        }
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.exchange.check_write()?;
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(mut accepted)) = result {
            for slice in slices {
                let length = slice.len().min(accepted);
                self.exchange.record_accepted(&slice[..length]);
                accepted -= length;
            }
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        bytes::Bytes,
        http_body_util::Full,
        hyper::{Request, client::conn::http1},
        hyper_util::rt::TokioIo,
        std::time::Duration,
        tokio::{
            io::{AsyncReadExt as _, DuplexStream, duplex},
            task::LocalSet,
        },
    };

    /// Sends a request with a head of about 5,000 bytes over a connection that holds `capacity` bytes,
    /// and fails the exchange after a while. Returns the result and what the peer can still read.
    async fn send(capacity: usize, body: usize) -> (ExchangeResult, Vec<u8>) {
        let test = async {
            let (near, mut far): (DuplexStream, DuplexStream) = duplex(capacity);
            let stream = Stream::new(near);
            let exchange = stream.exchange();
            let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
            let (mut sender, connection) = handshake.expect("a handshake");
            let connection = tokio::task::spawn_local(connection);
            exchange.begin();
            let request = Request::post("/").header("x-long", "a".repeat(5_000));
            let request = request.body(Full::from(vec![b'x'; body])).expect("a request");
            let sent = sender.send_request(request);
            assert!(tokio::time::timeout(Duration::from_millis(50), sent).await.is_err());
            let result = exchange.fail(Cause::TargetDeadline, "late".into());
            let mut received = Vec::new();
            let read = far.read_to_end(&mut received);
            // The connection makes room as the peer reads, and must not use it any more.
            let _ = tokio::time::timeout(Duration::from_millis(50), read).await;
            connection.abort();
            (result, received)
        };
        LocalSet::new().run_until(test).await
    }

    fn has_head(received: &[u8]) -> bool {
        received.windows(HEAD_END.len()).any(|window| window == HEAD_END)
    }

    /// Guards against a request that counts as run although the target never gets its whole head, and
    /// against one whose head is sent after it was reported as not run.
    #[tokio::test]
    async fn partial_head() {
        for capacity in [1, 100, 5_000] {
            let (result, received) = send(capacity, 0).await;
            assert!(matches!(result, ExchangeResult::Unreachable(_)), "{result:?}");
            assert!(!has_head(&received), "{capacity}");
        }
    }

    /// Guards against a request that counts as not run although the target has its head, but not its
    /// body.
    #[tokio::test]
    async fn partial_body() {
        let (result, received) = send(8_000, 1 << 20).await;
        assert!(
            matches!(result, ExchangeResult::MayHaveRun(Cause::TargetDeadline, _)),
            "{result:?}"
        );
        assert!(has_head(&received));
    }

    /// Guards against an end of the head that is missed because it is split over several writes.
    #[test]
    fn split_end() {
        let accepted = |parts: &[&[u8]]| {
            let exchange = Exchange::default();
            parts.iter().for_each(|part| exchange.record_accepted(part));
            matches!(exchange.fail(Cause::Other, String::new()), ExchangeResult::MayHaveRun(..))
        };
        assert!(accepted(&[b"GET / HTTP/1.1\r", b"\n\r", b"\n"]));
        assert!(accepted(&[b"a\r\r\n\r\n"]));
        assert!(accepted(&[b"a\r\n\r\n", b"body"]));
        assert!(!accepted(&[b"a\r\n", b"b\r\n\r"]));
    }
}
