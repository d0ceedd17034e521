//! An address to which connections hang, as to a machine behind a partition.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::net::{TcpListener, TcpSocket, TcpStream},
};

/// The time after which a connection counts as hanging.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The most connections that the queue of the listener may take.
const MAX_QUEUED: usize = 64;

/// A listener whose queue of new connections is full and stays so until it is dropped.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl Listener {
    /// Listens on an address and fills the queue. Port 0 stands for any free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound, or if connections to a full queue don't hang.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let mut dark = Self { listener: socket.listen(0)?, queued: Vec::new() };
        let address = dark.address()?;
        let connect = || tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        while let Ok(connection) = connect().await {
            dark.queued.push(connection?);
            if dark.queued.len() > MAX_QUEUED {
                return Err(io::Error::other("connections to a full queue don't hang"));
            }
        }
        Ok(dark)
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}
