//! Sends raw bytes, such as malformed HTTP that a client library would not send.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

/// Sends bytes on a new connection and returns everything received until the peer closes it or the
/// timeout expires.
///
/// # Errors
///
/// Returns the error of the system when the connection can't be opened.
pub async fn exchange(address: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Vec<u8>> {
    let (mut from, mut to) = TcpStream::connect(address).await?.into_split();
    let mut answer = Vec::new();
    let work = async {
        // A write error is ignored: the peer may close the connection before it has read
        // everything.
        let write = async { drop(to.write_all(bytes).await) };
        let read = async {
            let mut buffer = [0; 4096];
            while let Ok(count @ 1..) = from.read(&mut buffer).await {
                answer.extend_from_slice(&buffer[..count]);
            }
        };
        futures::join!(write, read);
    };
    // After a timeout, the bytes received so far are the answer.
    let _ = tokio::time::timeout(timeout, work).await;
    Ok(answer)
}
