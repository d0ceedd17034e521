//! Starts all parts of the process, waits for a signal and leaves gracefully.

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
        node::{Door, Node},
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

/// How long answers that are already written may take to leave the process, at its end.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Why the process can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("can't read {path}: {error}\nHint: give the settings file with --settings FILE.")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// The settings are not valid.
    #[error("{path}: {error}\nHint: docs/operate/settings.md lists all fields.")]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        error: monsoon_lib::settings::Error,
    },
    /// A listener can't be bound.
    #[error("can't listen on {part} {address}: {error}\nHint: is another process on this port?")]
    Listen {
        /// The listener.
        part: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// Metrics can't be sent.
    #[error(transparent)]
    Metrics(#[from] crate::metrics::Error),
    /// The system refused something else that the process needs.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// The addresses that the process listens on, as it prints them when it is ready.
#[derive(Clone, Debug, Serialize)]
struct Ready {
    vm: String,
    callers: SocketAddr,
    egress: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
}

/// Reads the settings file.
///
/// # Errors
///
/// Fails where the file can't be read or its settings are not valid.
pub fn read_settings(path: PathBuf) -> Result<Settings, Error> {
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(Error::Read { path, error }),
    };
    Settings::parse(&text).map_err(|error| Error::Settings { path, error })
}

/// Runs the process until it is asked to end and has finished what was in flight.
///
/// # Errors
///
/// Fails where a listener can't be bound.
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
    let (exit, exited) = oneshot::channel();
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
    let listener = |door| ListenerContext {
        door,
        driver: driver.clone(),
        call_ids: call_ids.clone(),
        buffered_bytes: buffered_bytes.clone(),
        bounds,
        draining: draining.clone(),
    };
    let (callers, callers_address) = front::start(listener(Door::Caller), listen.callers)
        .map_err(listen_error("callers", listen.callers))?;
    let (egress, egress_address) = front::start(listener(Door::Target), listen.egress)
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
    log::info!("Leaving.");
    // New callers find another node. Those that are connected are told to close.
    callers_handle.pause().await;
    draining.start();
    driver.do_send(Drain);
    let drain = Duration::from_millis(bounds.drain_ms);
    if tokio::time::timeout(drain, exited).await.is_err() {
        log::warn!("Requests were still in flight after {drain:?}.");
    }
    tokio::time::sleep(FLUSH_DELAY).await;
    future::join_all(handles.iter().map(|handle| handle.stop(true))).await;
    log::info!("Left.");
    Ok(())
}

fn create_metrics(settings: &Settings) -> Result<Option<Metrics>, Error> {
    let made = settings.metrics.map(|address| Metrics::new(address, &settings.vm));
    Ok(made.transpose()?)
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
