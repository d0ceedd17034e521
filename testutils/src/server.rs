//! An HTTP server that a test can start and stop.

use {
    actix_web::{App, HttpServer, dev::ServerHandle, web::ServiceConfig},
    std::{io, net::SocketAddr, time::Duration},
};

/// A running HTTP server. It stops without a graceful shutdown when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Binds the address and starts to serve. Port 0 lets the system choose a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address can't be bound.
    pub fn start<F>(listen: SocketAddr, configure: F) -> io::Result<Self>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let factory = move || App::new().configure(configure.clone());
        let server = HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(1)
            .client_request_timeout(Duration::ZERO)
            // A request is cancelled when its caller closes the connection.
            .h1_allow_half_closed(false)
            .bind(listen)?;
        let address = server.addrs()[0];
        let running = server.run();
        let handle = running.handle();
        actix_rt::spawn(running);
        Ok(Self { address, handle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that can stop the server.
    pub fn handle(&self) -> ServerHandle {
        self.handle.clone()
    }

    /// Stops the server without a graceful shutdown and waits until it has ended.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.handle.stop(false));
    }
}
