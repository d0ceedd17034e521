//! A TCP proxy that injects faults into a network link.

use {
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream, tcp},
        sync::{mpsc, watch},
        task::JoinHandle,
        time::Instant,
    },
};

/// How the proxy treats the bytes of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// No bytes are read from either side. After healing all of them arrive late, as over a real
    /// link.
    Freeze,
    /// Bytes are read and discarded. A connection that lost bytes is closed when the link heals.
    Blackhole,
    /// Open connections are closed, and new ones are closed immediately.
    Refuse,
}

/// The faults of a link. By default it has none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// How bytes are treated.
    pub mode: Mode,
    /// The latency of each chunk, in each direction.
    pub latency: Duration,
    /// The maximum additional latency of a chunk, drawn from a uniform distribution.
    pub jitter: Duration,
    /// The number of bytes from the upstream after which a connection is closed.
    pub cut_after: Option<u64>,
    /// The bandwidth of each connection in each direction.
    pub bytes_per_second: Option<u64>,
}

#[derive(Clone, Debug)]
struct Control {
    upstream: SocketAddr,
    faults: Faults,
    /// The names by which nodes can identify themselves.
    names: Vec<String>,
    /// The names of the sources whose connections have the faults, or empty for all connections.
    from: Vec<String>,
    /// Connections of an earlier epoch are closed.
    epoch: u64,
    /// The connections up to this number forward nothing.
    silenced: u64,
}

impl Control {
    fn faults(&self, source: &Source) -> Faults {
        let is_meant = |name: &String| source.get() == Some(name);
        if self.from.is_empty() || self.from.iter().any(is_meant) {
            self.faults
        } else {
            Faults::default()
        }
    }

    fn is_open(&self, source: &Source) -> bool {
        self.faults(source).mode != Mode::Freeze
    }
}

/// The name of the node that opened a connection, set once the bytes that contain it were read.
type Source = Arc<OnceLock<String>>;

/// The running totals from which [`Counts`] is made.
#[derive(Debug, Default)]
struct Counters {
    connections: AtomicU64,
    freeze_waits: AtomicU64,
    to_upstream: AtomicU64,
    from_upstream: AtomicU64,
}

/// Counts of the connections and bytes of a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Accepted connections.
    pub connections: u64,
    /// How often a connection waited for the end of a freeze.
    pub freeze_waits: u64,
    /// Bytes forwarded to the upstream.
    pub to_upstream: u64,
    /// Bytes forwarded from the upstream.
    pub from_upstream: u64,
}

/// A running proxy. It stops and closes all its connections when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    control: watch::Sender<Control>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens on a port chosen by the system and forwards each connection to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when no port can be bound.
    pub async fn start(upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let faults = Faults::default();
        let control = Control {
            upstream,
            faults,
            names: Vec::new(),
            from: Vec::new(),
            epoch: 0,
            silenced: 0,
        };
        let control = watch::Sender::new(control);
        let counters = Arc::new(Counters::default());
        let accept = accept(listener, seed, control.subscribe(), counters.clone());
        let task = tokio::spawn(accept);
        Ok(Self { address, control, counters, task })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another upstream.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.control.send_modify(|control| control.upstream = upstream);
    }

    /// Sets the names by which nodes identify themselves at the start of a connection.
    pub fn set_names(&self, names: Vec<String>) {
        self.control.send_modify(|control| control.names = names);
    }

    /// Sets the faults of the link, for open and new connections.
    pub fn set_faults(&self, faults: Faults) {
        self.set_faults_from(Vec::new(), faults);
    }

    /// Sets the faults of connections from the named nodes. All other connections have none.
    ///
    /// A connection is attributed to a node once the node's name was read from it.
    pub fn set_faults_from(&self, from: Vec<String>, faults: Faults) {
        self.control.send_modify(|control| {
            control.faults = faults;
            control.from = from;
        });
    }

    /// Sets the mode and clears all other faults.
    pub fn set_mode(&self, mode: Mode) {
        self.set_faults(Faults { mode, ..Faults::default() });
    }

    /// Clears all faults of the link.
    pub fn heal(&self) {
        self.set_faults(Faults::default());
    }

    /// Closes all open connections.
    pub fn cut(&self) {
        self.control.send_modify(|control| control.epoch += 1);
    }

    /// Makes all open connections silent for good, without closing them. New ones are forwarded.
    pub fn silence(&self) {
        let silenced = self.counts().connections;
        self.control.send_modify(|control| control.silenced = silenced);
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        Counts {
            connections: self.counters.connections.load(Ordering::Relaxed),
            freeze_waits: self.counters.freeze_waits.load(Ordering::Relaxed),
            to_upstream: self.counters.to_upstream.load(Ordering::Relaxed),
            from_upstream: self.counters.from_upstream.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    seed: u64,
    control: watch::Receiver<Control>,
    counters: Arc<Counters>,
) {
    // Dropping the set closes the connections, so they end with the task of the proxy.
    let mut connections = tokio::task::JoinSet::new();
    let mut number = 0;
    while let Ok((client, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        number += 1;
        counters.connections.fetch_add(1, Ordering::Relaxed);
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number));
        let source = Source::default();
        let (control, counters) = (control.clone(), counters.clone());
        let link = Link { number, control, counters, random, source };
        connections.spawn(link.connect(client));
    }
}

/// A connection through the proxy.
struct Link {
    number: u64,
    control: watch::Receiver<Control>,
    counters: Arc<Counters>,
    random: ChaCha8Rng,
    source: Source,
}

impl Link {
    async fn connect(mut self, client: TcpStream) {
        let epoch = self.control.borrow().epoch;
        let mut cut = self.control.clone();
        let mut silenced = self.control.clone();
        let number = self.number;
        let source = self.source.clone();
        let is_cut = move |c: &Control| c.epoch != epoch || c.faults(&source).mode == Mode::Refuse;
        let traffic = async {
            let mut forward = std::pin::pin!(self.forward(client));
            let is_silenced = tokio::select! {
                _ = silenced.wait_for(|c| c.silenced >= number) => true,
                _ = &mut forward => false,
            };
            if is_silenced {
                // The connection stays open as long as `forward` holds it.
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            _ = cut.wait_for(is_cut) => {}
            () = traffic => {}
        }
    }

    async fn forward(&mut self, client: TcpStream) -> io::Result<()> {
        wait_while_frozen(&mut self.control, &self.source, &self.counters).await;
        let upstream = self.control.borrow().upstream;
        let server = TcpStream::connect(upstream).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let up = self.pipe(Direction::ToUpstream);
        let down = self.pipe(Direction::FromUpstream);
        futures::try_join!(up.run(client_read, server_write), down.run(server_read, client_write))?;
        Ok(())
    }

    fn pipe(&mut self, direction: Direction) -> Pipe {
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let counters = self.counters.clone();
        let source = self.source.clone();
        Pipe { direction, control: self.control.clone(), counters, random, source, forwarded: 0 }
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    ToUpstream,
    FromUpstream,
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Forwards the bytes of one direction of a connection.
struct Pipe {
    direction: Direction,
    control: watch::Receiver<Control>,
    counters: Arc<Counters>,
    random: ChaCha8Rng,
    source: Source,
    forwarded: u64,
}

impl Pipe {
    async fn run(self, from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf) -> io::Result<()> {
        const MAX_QUEUED_CHUNKS: usize = 256;
        let (mut control, source) = (self.control.clone(), self.source.clone());
        let counters = self.counters.clone();
        let (sender, mut receiver) = mpsc::channel::<Chunk>(MAX_QUEUED_CHUNKS);
        let write = async {
            while let Some(chunk) = receiver.recv().await {
                tokio::time::sleep_until(chunk.due).await;
                wait_while_frozen(&mut control, &source, &counters).await;
                to.write_all(&chunk.bytes).await?;
            }
            to.shutdown().await
        };
        futures::try_join!(self.read(from, sender), write)?;
        Ok(())
    }

    async fn read(
        mut self,
        mut from: tcp::OwnedReadHalf,
        to: mpsc::Sender<Chunk>,
    ) -> io::Result<()> {
        const CHUNK_BYTES: usize = 16 << 10;
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut due = Instant::now();
        let mut has_lost_bytes = false;
        loop {
            wait_while_frozen(&mut self.control, &self.source, &self.counters).await;
            from.readable().await?;
            let faults = self.control.borrow().faults(&self.source);
            if faults.mode == Mode::Freeze {
                continue;
            }
            let count = from.read(&mut buffer[..chunk_bytes(&faults, CHUNK_BYTES)]).await?;
            if count == 0 {
                return Ok(());
            }
            self.identify(&buffer[..count]);
            if faults.mode == Mode::Blackhole {
                has_lost_bytes = true;
                continue;
            }
            if has_lost_bytes {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let (allowed, is_cut) = self.limit(count as u64, &faults);
            due = due.max(Instant::now() + self.delay(&faults));
            let bytes = buffer[..allowed].to_vec();
            if to.send(Chunk { due, bytes }).await.is_err() {
                return Ok(());
            }
            if is_cut {
                drop(to);
                tokio::time::sleep_until(due + CLOSE_DELAY).await;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            throttle(count, &faults).await;
        }
    }

    /// Looks for the name of a node, terminated by a NUL byte, in bytes to the upstream.
    fn identify(&self, bytes: &[u8]) {
        if self.direction != Direction::ToUpstream || self.source.get().is_some() {
            return;
        }
        let control = self.control.borrow();
        let is_named = |name: &&String| {
            let text = format!("{name}\0");
            bytes.windows(text.len()).any(|window| window == text.as_bytes())
        };
        if let Some(name) = control.names.iter().find(is_named) {
            // Only the direction to the upstream sets the name, so it can't be set already.
            let _ = self.source.set(name.clone());
        }
    }

    /// Counts the bytes and returns how many of them to forward, and whether to close the
    /// connection after them.
    fn limit(&mut self, count: u64, faults: &Faults) -> (usize, bool) {
        let remaining = match (self.direction, faults.cut_after) {
            (Direction::FromUpstream, Some(limit)) => limit.saturating_sub(self.forwarded),
            _ => u64::MAX,
        };
        let allowed = count.min(remaining);
        self.forwarded += allowed;
        let counter = match self.direction {
            Direction::ToUpstream => &self.counters.to_upstream,
            Direction::FromUpstream => &self.counters.from_upstream,
        };
        counter.fetch_add(allowed, Ordering::Relaxed);
        (usize::try_from(allowed).unwrap_or(usize::MAX), allowed == remaining)
    }

    fn delay(&mut self, faults: &Faults) -> Duration {
        let fraction: f64 = self.random.random();
        faults.latency + faults.jitter.mul_f64(fraction)
    }
}

/// How long the last bytes have to be written before the connection is closed.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

async fn wait_while_frozen(
    control: &mut watch::Receiver<Control>,
    source: &Source,
    counters: &Counters,
) {
    if control.borrow().is_open(source) {
        return;
    }
    counters.freeze_waits.fetch_add(1, Ordering::Relaxed);
    // This fails only when the sender is dropped with the proxy, which also ends this task.
    let _ = control.wait_for(|control| control.is_open(source)).await;
}

fn chunk_bytes(faults: &Faults, max: usize) -> usize {
    const CHUNKS_PER_SECOND: u64 = 50;
    let Some(rate) = faults.bytes_per_second else { return max };
    usize::try_from(rate / CHUNKS_PER_SECOND).unwrap_or(max).clamp(1, max)
}

async fn throttle(count: usize, faults: &Faults) {
    let Some(rate) = faults.bytes_per_second else { return };
    let pause = Duration::from_secs_f64(count as f64 / rate.max(1) as f64);
    tokio::time::sleep(pause).await;
}
