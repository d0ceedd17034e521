//! Startup and graceful shutdown of the process.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        buffer::{Buffer, Limits, ResponseBuffers},
        cancellation::Cancellations,
        frame::PeerRequest,
        front::{self, ListenerKind},
        link::Links,
        metrics::Metrics,
        peers,
        target::Target,
        unread::UnreadAnswers,
        vouch::VouchState,
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

/// How long a leaving node still accepts new requests, so that callers and peers learn of it first.
/// The platform probes readiness once a second and removes a node after two failed probes.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// The part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How often a leaving node checks whether its open requests have completed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long startup waits for tables before the node announces itself to its peers.
const FIRST_TABLES_TIMEOUT: Duration = Duration::from_secs(5);

/// The reasons for which the process can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be bound.
    #[error("can't listen on {part} {address}: {error}\nHint: is another process on this port?")]
    Listen {
        /// The name of the listener.
        part: &'static str,
        /// The address that it was to be bound to.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A metric could not be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Another operating system call failed.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// The addresses on which the process listens, and its shutdown time.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address for callers and for the node's own target.
    pub caller_address: SocketAddr,
    /// The address for peers. All nodes use the same port.
    pub peer_address: SocketAddr,
    /// The address for readiness probes.
    pub readiness_address: SocketAddr,
    /// The address for metrics, if they are served.
    pub metrics_address: Option<SocketAddr>,
    /// The time from the termination signal to the exit of the process.
    pub grace: Duration,
    /// The memory of the VM for this process, in bytes. Two thirds of it hold bodies at most.
    pub memory: usize,
    /// The settings of the decision logic.
    pub node: node::Settings,
}

/// Runs the process until it receives a termination signal and its open requests have completed or
/// the grace period has passed.
///
/// `on_reload` is called at each SIGHUP.
///
/// # Errors
///
/// Fails if a listener can't be bound, a metric can't be registered or a signal handler can't be
/// installed.
pub async fn run<H: HeaderAdapter, D: Directory>(
    settings: Settings,
    header_adapter: H,
    directory: D,
    mut on_reload: impl FnMut(),
) -> Result<(), Error> {
    let callers = bind_listener("callers", settings.caller_address).await?;
    let peers_listener = bind_listener("peers", settings.peer_address).await?;
    let readiness = bind_listener("readiness", settings.readiness_address).await?;
    let data_centre = settings.node.data_centre.clone();
    let metrics = Metrics::new()?;
    let limits = Limits::for_memory(settings.memory);
    let mesh = Rc::new(Mesh {
        links: Links::new(settings.node.host, settings.peer_address.port(), data_centre),
        target: Target::new(settings.node.target, limits, metrics.connections().clone()),
        node: RefCell::new(Node::new(settings.node, rand::random())),
        header_adapter,
        directory,
        metrics,
        buffer: Buffer::new(limits.requests),
        peer_responses: ResponseBuffers::new(limits),
        unread_answers: UnreadAnswers::default(),
        last_readiness: Cell::new(Ok(())),
        is_behind: Cell::default(),
        queued_calls: RefCell::default(),
        cancellations: Cancellations::default(),
        call_queued: Notify::new(),
        is_pacing: Cell::default(),
        last_call_number: Cell::default(),
        open_requests: Cell::default(),
        is_closed: Cell::default(),
        state_changed: Notify::new(),
        last_platform_read: Cell::default(),
        stale_since: Cell::default(),
        is_read_due: Cell::default(),
        store_restored: Notify::new(),
        document_read: Notify::new(),
        has_discovered_peers: Cell::default(),
        vouching: VouchState::default(),
        is_asking_target: Cell::default(),
        broken_calls: RefCell::default(),
    });
    let (close_sender, closing) = watch::channel(false);
    let spawn_listener = |listener, kind| {
        let serve = front::serve(mesh.clone(), listener, kind, closing.clone());
        tokio::task::spawn_local(serve)
    };
    let caller_listener = spawn_listener(callers, ListenerKind::Callers);
    spawn_listener(readiness, ListenerKind::Readiness);
    if let Some(address) = settings.metrics_address {
        spawn_listener(bind_listener("metrics", address).await?, ListenerKind::Metrics);
    }
    tokio::task::spawn_local(peers::serve(mesh.clone(), peers_listener));
    mesh.start_sync_tasks();
    let startup_mesh = mesh.clone();
    tokio::task::spawn_local(async move {
        startup_mesh.wait_for_tables(FIRST_TABLES_TIMEOUT).await;
        startup_mesh.broadcast(startup_mesh.links.hello()).await;
    });
    log::info!(version = env!("CARGO_PKG_VERSION"); "started");
    wait_for_signal(&mut on_reload).await?;
    log::info!(open = mesh.open_requests.get(); "leaving");
    drain(&mesh, settings.grace, &close_sender, &caller_listener).await;
    log::info!(open = mesh.open_requests.get(); "stopped");
    Ok(())
}

async fn bind_listener(part: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen { part, address, error })
}

async fn wait_for_signal(on_reload: &mut impl FnMut()) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => on_reload(),
        }
    }
}

async fn drain<H: HeaderAdapter, D: Directory>(
    mesh: &Rc<Mesh<H, D>>,
    grace: Duration,
    close_sender: &watch::Sender<bool>,
    caller_listener: &JoinHandle<()>,
) {
    let start = Instant::now();
    let drain_end = start + grace.saturating_sub(EXIT_MARGIN);
    mesh.node.borrow_mut().leave();
    // Until callers have noticed, the node keeps serving its target to peers as well.
    tokio::time::sleep_until((start + DRAIN_ACCEPT_TIME).min(drain_end)).await;
    mesh.links.set_leaving();
    mesh.is_closed.set(true);
    mesh.broadcast(PeerRequest::Leaving).await;
    caller_listener.abort();
    close_sender.send_replace(true);
    mesh.target.close_idle();
    while mesh.open_requests.get() > 0 && Instant::now() < drain_end {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Lets the last responses be flushed before the process exits.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
}
