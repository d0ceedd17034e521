//! A fault-injecting TCP proxy for one link.

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

/// How the proxy treats bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Bytes pass.
    #[default]
    Pass,
    /// No byte is read from either side. After healing all arrive late, as over a real link.
    Freeze,
    /// Bytes are read and lost. A connection that lost some is cut when the link heals.
    Blackhole,
    /// Open connections are cut and new ones are closed at once.
    Refuse,
}

/// What is wrong with the link. The default is a perfect one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// How bytes are treated.
    pub mode: Mode,
    /// The time that each piece takes in each direction.
    pub latency: Duration,
    /// The most by which a piece takes longer, drawn evenly.
    pub jitter: Duration,
    /// The number of bytes from the upstream after which a connection is cut.
    pub cut_after: Option<u64>,
    /// The most bytes a second on each connection and direction.
    pub bytes_per_second: Option<u64>,
}

#[derive(Clone, Debug)]
struct Control {
    upstream: SocketAddr,
    faults: Faults,
    /// The names of all nodes that may introduce themselves.
    names: Vec<String>,
    /// The names of the sources whose connections have the faults, or none for all connections.
    from: Vec<String>,
    /// Connections of an earlier epoch are cut.
    epoch: u64,
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

/// The name with which a connection's own first bytes introduce it, once they passed.
type Source = Arc<OnceLock<String>>;

/// Bytes that passed, by direction.
#[derive(Debug, Default)]
struct Meter {
    connections: AtomicU64,
    freeze_waits: AtomicU64,
    to_upstream: AtomicU64,
    from_upstream: AtomicU64,
}

/// Counts of what passed a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Accepted connections.
    pub connections: u64,
    /// Times at which a connection waited for the end of a freeze.
    pub freeze_waits: u64,
    /// Bytes towards the upstream.
    pub to_upstream: u64,
    /// Bytes from the upstream.
    pub from_upstream: u64,
}

/// A running proxy. It ends with all its connections when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    control: watch::Sender<Control>,
    meter: Arc<Meter>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens on a port chosen by the system and passes each connection on to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when no port can be bound.
    pub async fn start(upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let faults = Faults::default();
        let control = Control { upstream, faults, names: Vec::new(), from: Vec::new(), epoch: 0 };
        let control = watch::Sender::new(control);
        let meter = Arc::new(Meter::default());
        let accept = accept(listener, seed, control.subscribe(), meter.clone());
        let task = tokio::spawn(accept);
        Ok(Self { address, control, meter, task })
    }

    /// Returns the address that stands for the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes new connections on to another upstream.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.control.send_modify(|control| control.upstream = upstream);
    }

    /// Sets the names by which nodes introduce themselves at the start of a connection.
    pub fn set_names(&self, names: Vec<String>) {
        self.control.send_modify(|control| control.names = names);
    }

    /// Sets what is wrong with the link, for open and new connections.
    pub fn set_faults(&self, faults: Faults) {
        self.set_faults_from(Vec::new(), faults);
    }

    /// Sets what is wrong for connections that come from the named nodes.
    ///
    /// A connection counts as theirs from the bytes on in which it introduces itself.
    pub fn set_faults_from(&self, from: Vec<String>, faults: Faults) {
        self.control.send_modify(|control| {
            control.faults = faults;
            control.from = from;
        });
    }

    /// Sets how bytes are treated, and mends all else.
    pub fn set_mode(&self, mode: Mode) {
        self.set_faults(Faults { mode, ..Faults::default() });
    }

    /// Makes the link perfect again.
    pub fn heal(&self) {
        self.set_faults(Faults::default());
    }

    /// Cuts all open connections now.
    pub fn cut(&self) {
        self.control.send_modify(|control| control.epoch += 1);
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        Counts {
            connections: self.meter.connections.load(Ordering::Relaxed),
            freeze_waits: self.meter.freeze_waits.load(Ordering::Relaxed),
            to_upstream: self.meter.to_upstream.load(Ordering::Relaxed),
            from_upstream: self.meter.from_upstream.load(Ordering::Relaxed),
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
    meter: Arc<Meter>,
) {
    // The connections end with this set, and so with the task of the proxy.
    let mut connections = tokio::task::JoinSet::new();
    let mut number = 0;
    while let Ok((near, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        number += 1;
        meter.connections.fetch_add(1, Ordering::Relaxed);
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number));
        let source = Source::default();
        let link = Link { control: control.clone(), meter: meter.clone(), random, source };
        connections.spawn(link.connect(near));
    }
}

/// One connection through the proxy.
struct Link {
    control: watch::Receiver<Control>,
    meter: Arc<Meter>,
    random: ChaCha8Rng,
    source: Source,
}

impl Link {
    async fn connect(mut self, near: TcpStream) {
        let epoch = self.control.borrow().epoch;
        let mut cut = self.control.clone();
        let source = self.source.clone();
        let is_cut = move |c: &Control| c.epoch != epoch || c.faults(&source).mode == Mode::Refuse;
        tokio::select! {
            _ = cut.wait_for(is_cut) => {}
            _ = self.carry(near) => {}
        }
    }

    async fn carry(&mut self, near: TcpStream) -> io::Result<()> {
        thawed(&mut self.control, &self.source, &self.meter).await;
        let upstream = self.control.borrow().upstream;
        let far = TcpStream::connect(upstream).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let up = self.direction(Way::ToUpstream);
        let down = self.direction(Way::FromUpstream);
        futures::try_join!(up.run(near_read, far_write), down.run(far_read, near_write))?;
        Ok(())
    }

    fn direction(&mut self, way: Way) -> Direction {
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let meter = self.meter.clone();
        let source = self.source.clone();
        Direction { way, control: self.control.clone(), meter, random, source, passed: 0 }
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Way {
    ToUpstream,
    FromUpstream,
}

struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

/// One direction of one connection.
struct Direction {
    way: Way,
    control: watch::Receiver<Control>,
    meter: Arc<Meter>,
    random: ChaCha8Rng,
    source: Source,
    passed: u64,
}

impl Direction {
    async fn run(self, from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf) -> io::Result<()> {
        const MAX_PIECES: usize = 256;
        let (mut control, source) = (self.control.clone(), self.source.clone());
        let meter = self.meter.clone();
        let (sender, mut receiver) = mpsc::channel::<Piece>(MAX_PIECES);
        let write = async {
            while let Some(piece) = receiver.recv().await {
                tokio::time::sleep_until(piece.due).await;
                thawed(&mut control, &source, &meter).await;
                to.write_all(&piece.bytes).await?;
            }
            to.shutdown().await
        };
        futures::try_join!(self.read(from, sender), write)?;
        Ok(())
    }

    async fn read(
        mut self,
        mut from: tcp::OwnedReadHalf,
        to: mpsc::Sender<Piece>,
    ) -> io::Result<()> {
        const PIECE_BYTES: usize = 16 << 10;
        let mut buffer = vec![0; PIECE_BYTES];
        let mut due = Instant::now();
        let mut is_lossy = false;
        loop {
            thawed(&mut self.control, &self.source, &self.meter).await;
            from.readable().await?;
            let faults = self.control.borrow().faults(&self.source);
            if faults.mode == Mode::Freeze {
                continue;
            }
            let count = from.read(&mut buffer[..piece_bytes(&faults, PIECE_BYTES)]).await?;
            if count == 0 {
                return Ok(());
            }
            self.identify(&buffer[..count]);
            if faults.mode == Mode::Blackhole {
                is_lossy = true;
                continue;
            }
            if is_lossy {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let (kept, is_cut) = self.keep(count as u64, &faults);
            due = due.max(Instant::now() + self.delay(&faults));
            let bytes = buffer[..kept].to_vec();
            if to.send(Piece { due, bytes }).await.is_err() {
                return Ok(());
            }
            if is_cut {
                drop(to);
                tokio::time::sleep_until(due + CUT_PAUSE).await;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            throttle(count, &faults).await;
        }
    }

    /// Looks for the name with which a node introduces itself.
    fn identify(&self, bytes: &[u8]) {
        if self.way != Way::ToUpstream || self.source.get().is_some() {
            return;
        }
        let control = self.control.borrow();
        let is_named = |name: &&String| {
            let text = format!("{name}\0");
            bytes.windows(text.len()).any(|window| window == text.as_bytes())
        };
        if let Some(name) = control.names.iter().find(is_named) {
            // Only this direction sets the name.
            let _ = self.source.set(name.clone());
        }
    }

    /// Counts the bytes and tells how many pass and whether the connection is cut after them.
    fn keep(&mut self, count: u64, faults: &Faults) -> (usize, bool) {
        let left = match (self.way, faults.cut_after) {
            (Way::FromUpstream, Some(limit)) => limit.saturating_sub(self.passed),
            _ => u64::MAX,
        };
        let kept = count.min(left);
        self.passed += kept;
        let meter = match self.way {
            Way::ToUpstream => &self.meter.to_upstream,
            Way::FromUpstream => &self.meter.from_upstream,
        };
        meter.fetch_add(kept, Ordering::Relaxed);
        (usize::try_from(kept).unwrap_or(usize::MAX), kept == left)
    }

    fn delay(&mut self, faults: &Faults) -> Duration {
        let part: f64 = self.random.random();
        faults.latency + faults.jitter.mul_f64(part)
    }
}

/// The time in which the last bytes before a cut are written.
const CUT_PAUSE: Duration = Duration::from_millis(20);

async fn thawed(control: &mut watch::Receiver<Control>, source: &Source, meter: &Meter) {
    if control.borrow().is_open(source) {
        return;
    }
    meter.freeze_waits.fetch_add(1, Ordering::Relaxed);
    // The sender lives as long as the proxy, which ends this task when it is dropped.
    let _ = control.wait_for(|control| control.is_open(source)).await;
}

fn piece_bytes(faults: &Faults, most: usize) -> usize {
    const PIECES_PER_SECOND: u64 = 50;
    let Some(rate) = faults.bytes_per_second else { return most };
    usize::try_from(rate / PIECES_PER_SECOND).unwrap_or(most).clamp(1, most)
}

async fn throttle(count: usize, faults: &Faults) {
    let Some(rate) = faults.bytes_per_second else { return };
    let pause = Duration::from_secs_f64(count as f64 / rate.max(1) as f64);
    tokio::time::sleep(pause).await;
}
