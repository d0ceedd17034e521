//! Starts all parts of the process, waits for a signal and leaves gracefully.

use {
    crate::{
        admin, clock,
        http::front::{self, Buffer, Draining, Front, Numbers},
        machine::{Drain, Machine},
        metrics::Metrics,
        peer::{
            gate::{self, Context},
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

/// How long answers that are already written may take to leave the process, at its end.
const FLUSH_TIME: Duration = Duration::from_millis(300);

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
    let on = |part, address| move |error| Error::Listen { part, address, error };
    let peers = TcpListener::bind(listen.peers).await.map_err(on("peers", listen.peers))?;
    let peers_address = peers.local_addr()?;
    let incarnation = clock::incarnation();
    let identity = Identity {
        vm: settings.vm.clone(),
        incarnation,
        secret: settings.secret.clone(),
        body_bytes: bounds.body_bytes,
    };
    let announced = settings.peers_address.unwrap_or(peers_address);
    let node = Node::new(clock::now(), &settings, announced, incarnation, rand::random());
    let (exit, exited) = oneshot::channel();
    let machine = Machine::new(
        node,
        Links::new(identity),
        Target::new(settings.target, &bounds),
        Platform::new(settings.platform),
        incarnation,
        exit,
    )
    .with_metrics(metrics(&settings)?)
    .start();
    let numbers = Numbers::default();
    let buffer = Buffer::default();
    let draining = Draining::default();
    let door = |door| Front {
        door,
        machine: machine.clone(),
        numbers: numbers.clone(),
        buffer: buffer.clone(),
        bounds,
        draining: draining.clone(),
    };
    let (callers, callers_address) = front::start(door(Listener::Caller), listen.callers)
        .map_err(on("callers", listen.callers))?;
    let (egress, egress_address) =
        front::start(door(Listener::Target), listen.egress).map_err(on("egress", listen.egress))?;
    let (admin, admin_address) =
        admin::start(machine.clone(), listen.admin).map_err(on("admin", listen.admin))?;
    let context = Context {
        vm: settings.vm.clone(),
        incarnation,
        secret: settings.secret.clone(),
        machine: machine.clone(),
        numbers: numbers.clone(),
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
    machine.do_send(Drain);
    let drain = Duration::from_millis(bounds.drain_ms);
    if tokio::time::timeout(drain, exited).await.is_err() {
        log::warn!("Requests were still in flight after {drain:?}.");
    }
    tokio::time::sleep(FLUSH_TIME).await;
    future::join_all(handles.iter().map(|handle| handle.stop(true))).await;
    log::info!("Left.");
    Ok(())
}

fn metrics(settings: &Settings) -> Result<Option<Metrics>, Error> {
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
