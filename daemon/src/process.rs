//! Starts all parts of the daemon, waits for a signal and shuts down gracefully.

use {
    crate::{
        admin, clock,
        http::front::{self, BufferedBytes, CallIds, Draining, ListenerContext},
        machine::{Drain, Driver},
        metrics::Metrics,
        peer::{
            gate::{self, AcceptorContext},
            link::{Identity, Links},
        },
        platform::Platform,
        target::Target,
    },
    actix::Actor,
    futures::future,
    monsoon_lib::{
        node::{Listener, Node},
        settings::Settings,
    },
    serde::Serialize,
    std::{io, net::SocketAddr, path::PathBuf, time::Duration},
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::oneshot,
    },
};

/// The delay between the end of the drain and the end of the process, in which answers that are
/// already written are flushed to their connections.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// An error that prevents the daemon from running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("can't read {path}: {error}\nHint: give the settings file with --settings FILE.")]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        error: io::Error,
    },
    /// The settings file is not valid.
    #[error("{path}: {error}\nHint: docs/operate/settings.md lists all fields.")]
    Settings {
        /// The path of the file.
        path: PathBuf,
        /// The error in the settings.
        error: monsoon_lib::settings::Error,
    },
    /// The address of a listener can't be bound.
    #[error("can't listen on {part} {address}: {error}\nHint: is another process on this port?")]
    Listen {
        /// The name of the listener in the settings.
        part: &'static str,
        /// The address to bind.
        address: SocketAddr,
        /// The I/O error.
        error: io::Error,
    },
    /// The metrics sender can't be created.
    #[error(transparent)]
    Metrics(#[from] crate::metrics::Error),
    /// Another system call that the daemon needs has failed.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// The bound addresses of all listeners, printed to standard output as one line of JSON when the
/// daemon is ready.
#[derive(Clone, Debug, Serialize)]
struct Ready {
    vm: String,
    callers: SocketAddr,
    egress: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
}

/// Reads and parses the settings file.
///
/// # Errors
///
/// Returns an error if the file can't be read or its settings are not valid.
pub fn read_settings(path: PathBuf) -> Result<Settings, Error> {
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(Error::Read { path, error }),
    };
    Settings::parse(&text).map_err(|error| Error::Settings { path, error })
}

/// Runs the daemon until it receives SIGTERM or SIGINT and the requests in flight have finished or
/// the drain has timed out.
///
/// # Errors
///
/// Returns an error if a listener can't be bound or metrics can't be set up.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let listen = settings.listen;
    let bounds = settings.bounds;
    let listen_error = |part, address| move |error| Error::Listen { part, address, error };
    let peers =
        TcpListener::bind(listen.peers).await.map_err(listen_error("peers", listen.peers))?;
    let peers_address = peers.local_addr()?;
    let incarnation = clock::incarnation();
    let identity = Identity {
        vm: settings.vm.clone(),
        incarnation,
        secret: settings.secret.clone(),
        body_bytes: bounds.body_bytes,
    };
    let advertised_address = settings.peers_address.unwrap_or(peers_address);
    let node = Node::new(clock::now(), &settings, advertised_address, incarnation, rand::random());
    let (exit, drained) = oneshot::channel();
    let driver = Driver::new(
        node,
        Links::new(identity),
        Target::new(settings.target, &bounds),
        Platform::new(settings.platform),
        incarnation,
        exit,
    )
    .with_metrics(create_metrics(&settings)?)
    .start();
    let call_ids = CallIds::default();
    let buffered_bytes = BufferedBytes::default();
    let draining = Draining::default();
    let listener_context = |listener| ListenerContext {
        listener,
        driver: driver.clone(),
        call_ids: call_ids.clone(),
        buffered_bytes: buffered_bytes.clone(),
        bounds,
        draining: draining.clone(),
    };
    let (callers, callers_address) =
        front::start(listener_context(Listener::Caller), listen.callers)
            .map_err(listen_error("callers", listen.callers))?;
    let (egress, egress_address) = front::start(listener_context(Listener::Target), listen.egress)
        .map_err(listen_error("egress", listen.egress))?;
    let (admin, admin_address) =
        admin::start(driver.clone(), listen.admin).map_err(listen_error("admin", listen.admin))?;
    let context = AcceptorContext {
        vm: settings.vm.clone(),
        incarnation,
        secret: settings.secret.clone(),
        driver: driver.clone(),
        call_ids: call_ids.clone(),
        body_bytes: bounds.body_bytes,
    };
    actix_rt::spawn(gate::serve(peers, context));
    let callers_handle = callers.handle();
    let handles = [callers.handle(), egress.handle(), admin.handle()];
    for server in [callers, egress, admin] {
        actix_rt::spawn(server);
    }
    let ready = Ready {
        vm: settings.vm.to_string(),
        callers: callers_address,
        egress: egress_address,
        peers: peers_address,
        admin: admin_address,
    };
    println!("{}", serde_json::to_string(&ready).unwrap_or_default());
    wait_for_signal().await?;
    log::info!("Draining before shutdown.");
    // New callers connect to other nodes. Existing connections are closed after their next answer.
    callers_handle.pause().await;
    draining.start();
    driver.do_send(Drain);
    let drain = Duration::from_millis(bounds.drain_ms);
    if tokio::time::timeout(drain, drained).await.is_err() {
        log::warn!("Drain timed out after {drain:?} with requests still in flight.");
    }
    tokio::time::sleep(FLUSH_DELAY).await;
    future::join_all(handles.iter().map(|handle| handle.stop(true))).await;
    log::info!("Shutdown complete.");
    Ok(())
}

fn create_metrics(settings: &Settings) -> Result<Option<Metrics>, Error> {
    let metrics = settings.metrics.map(|address| Metrics::new(address, &settings.vm));
    Ok(metrics.transpose()?)
}

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
