//! The byte stream of a connection to the own target, with what is known of its current exchange.

use {
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
}

impl Exchange {
    /// Begins the next exchange, before its request is passed to the connection.
    pub fn begin(&self) {
        self.is_head_received.set(false);
        self.received.set(0);
    }

    /// Records that the head of the final response was received.
    pub fn head_received(&self) {
        self.is_head_received.set(true);
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
pub struct Stream {
    inner: TcpStream,
    exchange: Rc<Exchange>,
}

impl Stream {
    /// Wraps a new connection.
    pub fn new(inner: TcpStream) -> Self {
        Self { inner, exchange: Rc::default() }
    }

    /// Returns the record of the connection's exchanges.
    pub fn exchange(&self) -> Rc<Exchange> {
        self.exchange.clone()
    }
}

impl AsyncRead for Stream {
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

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
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
