//! Socket options of connections to peers, targets and the directory.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::net::{TcpSocket, TcpStream},
};

/// The timeout for establishing a connection. Within a region this takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How many connections to a peer are tried within that time if none is established. If the first
/// packet of one is lost, for instance since the peer is just starting, the operating system repeats it
/// only after a second.
const CONNECT_TRIES: u32 = 3;
/// How long sent data may stay unacknowledged before the connection is closed. A peer that becomes
/// unreachable sends no reset.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time after which the operating system sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// The interval between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Opens a connection that fails if its peer stops responding.
///
/// # Errors
///
/// Fails if the connection can't be established in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_with_options(TcpStream::connect(address)).await
}

/// Opens such a connection from a given address of this VM, by which the peer identifies this node.
///
/// # Errors
///
/// Fails if the connection can't be established in time.
pub async fn connect_from(from: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(from, 0))?;
    connect_with_options(socket.connect(address)).await
}

/// Opens such a connection, and another one instead whenever it is not established in a part of the
/// time.
///
/// # Errors
///
/// Fails if the peer rejects a connection, or if none can be established in time.
pub async fn connect_repeatedly(from: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    for _ in 0..CONNECT_TRIES {
        let connecting = connect_from(from, address);
        match tokio::time::timeout(CONNECT_TIMEOUT / CONNECT_TRIES, connecting).await {
            Ok(result) => return result,
            Err(_) => log::debug!(address:% = address; "connection was not established in time"),
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}

async fn connect_with_options(
    connecting: impl Future<Output = io::Result<TcpStream>>,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the socket options of a connection.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
