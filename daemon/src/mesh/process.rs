//! Starts all parts of the process, waits for a signal and leaves gracefully.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        frame::Ask,
        front::{self, Door},
        link::Links,
        metrics::Metrics,
        peers,
        target::Target,
        vouch::Vouch,
    },
    monsoon_lib::mesh::node::{self, Node},
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::{Notify, watch},
        task::JoinHandle,
        time::Instant,
    },
};

/// How long a node that leaves still takes new requests: until callers and peers have heard of it.
/// The platform asks for readiness once a second and takes a node out after two misses.
const LEAVE_OPEN: Duration = Duration::from_millis(2_600);
/// How much of the grace time is left for the end of the process.
const LEAVE_MARGIN: Duration = Duration::from_millis(400);
/// How often a leaving node looks whether it is finished.
const LEAVE_POLL: Duration = Duration::from_millis(50);
/// How long a start waits for tables before it tells its peers that it is there.
const FIRST_TABLES: Duration = Duration::from_secs(5);

/// Why the process can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
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
    /// A metric can't be made.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The system refused something else that the process needs.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// Where the process listens, and how long it may take to leave.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For callers and the own target.
    pub caller_address: SocketAddr,
    /// For peers. All nodes use the same port.
    pub peer_address: SocketAddr,
    /// For questions whether the node is ready.
    pub readiness_address: SocketAddr,
    /// For metrics, where they are served.
    pub metrics_address: Option<SocketAddr>,
    /// The time from the signal to leave to the end of the process.
    pub grace: Duration,
    /// Settings of the decisions.
    pub node: node::Settings,
}

/// Runs the process until it is asked to leave and has finished what was in flight.
///
/// `reloaded` is called at each SIGHUP.
///
/// # Errors
///
/// Fails where a listener can't be bound.
pub async fn run<N: HeaderAdapter, D: Directory>(
    settings: Settings,
    header_adapter: N,
    directory: D,
    mut reloaded: impl FnMut(),
) -> Result<(), Error> {
    let callers = listen("callers", settings.caller_address).await?;
    let peers_listener = listen("peers", settings.peer_address).await?;
    let readiness = listen("readiness", settings.readiness_address).await?;
    let data_centre = settings.node.data_centre.clone();
    let mesh = Rc::new(Mesh {
        links: Links::new(settings.node.host, settings.peer_address.port(), data_centre),
        target: Target::new(settings.node.target),
        node: RefCell::new(Node::new(settings.node, rand::random())),
        header_adapter,
        directory,
        metrics: Metrics::new()?,
        waits: RefCell::default(),
        numbers: Cell::default(),
        open: Cell::default(),
        is_closed: Cell::default(),
        news: Notify::new(),
        read: Cell::default(),
        vouch: Vouch::default(),
        broken: RefCell::default(),
    });
    let (close, closing) = watch::channel(false);
    let spawn = |listener, door| {
        let serve = front::serve(mesh.clone(), listener, door, closing.clone());
        tokio::task::spawn_local(serve)
    };
    let callers = spawn(callers, Door::Callers);
    spawn(readiness, Door::Readiness);
    if let Some(address) = settings.metrics_address {
        spawn(listen("metrics", address).await?, Door::Metrics);
    }
    tokio::task::spawn_local(peers::serve(mesh.clone(), peers_listener));
    mesh.start_sync();
    let starter = mesh.clone();
    tokio::task::spawn_local(async move {
        starter.wait_for_tables(FIRST_TABLES).await;
        starter.announce(starter.links.hello()).await;
    });
    log::info!(version = env!("CARGO_PKG_VERSION"); "started");
    wait_for_signal(&mut reloaded).await?;
    log::info!(open = mesh.open.get(); "leaving");
    leave(&mesh, settings.grace, &close, &callers).await;
    log::info!(open = mesh.open.get(); "stopped");
    Ok(())
}

async fn listen(part: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen { part, address, error })
}

async fn wait_for_signal(reloaded: &mut impl FnMut()) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reloaded(),
        }
    }
}

async fn leave<N: HeaderAdapter, D: Directory>(
    mesh: &Rc<Mesh<N, D>>,
    grace: Duration,
    close: &watch::Sender<bool>,
    callers: &JoinHandle<()>,
) {
    let start = Instant::now();
    let end = start + grace.saturating_sub(LEAVE_MARGIN);
    mesh.node.borrow_mut().leave();
    // Until callers have heard of it, the node goes on to serve its target to peers as well.
    tokio::time::sleep_until((start + LEAVE_OPEN).min(end)).await;
    mesh.links.leave();
    mesh.is_closed.set(true);
    mesh.announce(Ask::Leaving).await;
    callers.abort();
    close.send_replace(true);
    mesh.target.close_idle();
    while mesh.open.get() > 0 && Instant::now() < end {
        tokio::time::sleep(LEAVE_POLL).await;
    }
    // What was written last needs a moment to leave the process.
    tokio::time::sleep(LEAVE_POLL).await;
}
