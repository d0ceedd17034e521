//! Links that this node opened to its peers. A link carries many questions at once.

use {
    super::{
        frame::{self, Answer, Ask, Frame, Numbered},
        socket,
    },
    bytes::{Bytes, BytesMut},
    monsoon_lib::id,
    std::{
        cell::{Cell, Ref, RefCell},
        collections::{BTreeSet, HashMap},
        io,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt as _,
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{Notify, mpsc, oneshot},
        time::Instant,
    },
};

/// The time without a word from a peer, while answers are due, after which it is asked for a sign
/// of life.
const PING_AFTER: Duration = Duration::from_millis(250);
/// The time without a word after which other peers are preferred. A node that has a tenth of a
/// second of its processor time used up, and is asked across regions, answers sooner.
const QUIET: Duration = Duration::from_millis(550);
/// The time without a word after which the link counts as broken.
const SILENT: Duration = Duration::from_millis(1_300);

/// Why there is no answer from a peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The question was never sent.
    #[error("no link to {0}: {1}")]
    Unreachable(IpAddr, io::Error),
    /// The link broke after the question may have been sent.
    #[error("the link to {0} broke")]
    Broken(IpAddr),
}

type Pending = HashMap<u64, oneshot::Sender<(Answer, Bytes)>>;

/// One open link.
struct Link {
    frames: mpsc::UnboundedSender<Frame>,
    pending: RefCell<Pending>,
    heard: Cell<Instant>,
    asked: Notify,
    is_broken: Cell<bool>,
}

impl Link {
    fn fail(&self) {
        self.is_broken.set(true);
        self.pending.borrow_mut().clear();
    }
}

/// All links that this node opened.
pub struct Links {
    me: IpAddr,
    port: u16,
    data_centre: id::DataCentre,
    links: RefCell<HashMap<IpAddr, Rc<Link>>>,
    quiet: Rc<RefCell<BTreeSet<IpAddr>>>,
    opening: RefCell<HashMap<IpAddr, Rc<tokio::sync::Mutex<()>>>>,
    numbers: Cell<u64>,
    is_leaving: Cell<bool>,
}

/// A question that waits for its answer. Dropping it tells the peer that nobody waits any more.
struct Question {
    link: Rc<Link>,
    number: u64,
    is_over: bool,
}

impl Drop for Question {
    fn drop(&mut self) {
        if self.is_over || self.link.pending.borrow_mut().remove(&self.number).is_none() {
            return;
        }
        if let Ok(frame) = frame::encode(self.number, Ask::Cancel, Bytes::new()) {
            // A link that broke has no one to tell.
            let _ = self.link.frames.send(frame);
        }
    }
}

impl Links {
    /// Makes links from the VM's own address to nodes that listen on a port.
    pub fn new(me: IpAddr, port: u16, data_centre: id::DataCentre) -> Self {
        Self {
            me,
            port,
            data_centre,
            links: RefCell::default(),
            quiet: Rc::default(),
            opening: RefCell::default(),
            numbers: Cell::default(),
            is_leaving: Cell::default(),
        }
    }

    /// From now on, links that open tell that this node is leaving.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Returns what this node says first on a link.
    pub fn hello(&self) -> Ask {
        Ask::Hello { data_centre: self.data_centre.clone(), is_leaving: self.is_leaving.get() }
    }

    /// Asks a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails where the peer can't be reached or the link breaks.
    pub async fn ask(&self, host: IpAddr, ask: Ask, body: Bytes) -> Result<(Answer, Bytes), Error> {
        let unreachable = |error| Error::Unreachable(host, error);
        let link = self.link(host).await.map_err(unreachable)?;
        self.numbers.set(self.numbers.get() + 1);
        let number = self.numbers.get();
        let frame = frame::encode(number, ask, body).map_err(unreachable)?;
        let (sender, answer) = oneshot::channel();
        if link.pending.borrow().is_empty() {
            link.heard.set(Instant::now());
        }
        link.pending.borrow_mut().insert(number, sender);
        link.asked.notify_one();
        let mut question = Question { link: link.clone(), number, is_over: false };
        if link.frames.send(frame).is_err() {
            question.is_over = true;
            return Err(unreachable(io::ErrorKind::BrokenPipe.into()));
        }
        let answer = answer.await.map_err(|_| Error::Broken(host));
        question.is_over = true;
        answer
    }

    /// Tells a peer something that has no answer.
    ///
    /// # Errors
    ///
    /// Fails where the peer can't be reached.
    pub async fn tell(&self, host: IpAddr, ask: Ask) -> Result<(), Error> {
        let unreachable = |error| Error::Unreachable(host, error);
        let link = self.link(host).await.map_err(unreachable)?;
        let frame = frame::encode(0, ask, Bytes::new()).map_err(unreachable)?;
        link.frames.send(frame).map_err(|_| unreachable(io::ErrorKind::BrokenPipe.into()))
    }

    /// Returns the peers from which an answer is overdue.
    pub fn quiet(&self) -> Ref<'_, BTreeSet<IpAddr>> {
        self.quiet.borrow()
    }

    fn open_link(&self, host: IpAddr) -> Option<Rc<Link>> {
        let link = self.links.borrow().get(&host).cloned();
        link.filter(|link| !link.is_broken.get())
    }

    async fn link(&self, host: IpAddr) -> io::Result<Rc<Link>> {
        if let Some(link) = self.open_link(host) {
            return Ok(link);
        }
        // Requests that come together open one link and not one each.
        let lock = self.opening.borrow_mut().entry(host).or_default().clone();
        let _guard = lock.lock().await;
        if let Some(link) = self.open_link(host) {
            return Ok(link);
        }
        let stream = socket::connect_from(self.me, SocketAddr::new(host, self.port)).await?;
        let link = start(stream, host, self.quiet.clone());
        // The writer lives until the link breaks, so a hello that can't be sent is of no use.
        let _ = link.frames.send(frame::encode(0, self.hello(), Bytes::new())?);
        self.links.borrow_mut().insert(host, link.clone());
        Ok(link)
    }
}

fn start(stream: TcpStream, host: IpAddr, quiet: Rc<RefCell<BTreeSet<IpAddr>>>) -> Rc<Link> {
    let (read, write) = stream.into_split();
    let (frames, queue) = mpsc::unbounded_channel();
    let link = Rc::new(Link {
        frames,
        pending: RefCell::default(),
        heard: Cell::new(Instant::now()),
        asked: Notify::new(),
        is_broken: Cell::new(false),
    });
    let writer = tokio::task::spawn_local(write_frames(write, queue));
    let reader = link.clone();
    tokio::task::spawn_local(async move {
        let error = tokio::select! {
            error = read_answers(read, &reader) => error,
            () = watch(&reader, host, &quiet) => io::ErrorKind::TimedOut.into(),
        };
        quiet.borrow_mut().remove(&host);
        log::debug!(error:% = error; "a link to a peer ended");
        reader.fail();
        writer.abort();
    });
    link
}

/// Writes queued frames, those that wait together in one go, until the connection fails.
pub async fn write_frames(mut to: OwnedWriteHalf, mut queue: mpsc::UnboundedReceiver<Frame>) {
    while let Some(frame) = queue.recv().await {
        let mut batch = BytesMut::new();
        let mut next = Some(frame);
        while let Some(frame) = next {
            batch.extend_from_slice(&frame.head);
            batch.extend_from_slice(&frame.body);
            next = queue.try_recv().ok();
        }
        if to.write_all(&batch).await.is_err() {
            // The reader of the same connection notices and reports it.
            return;
        }
    }
}

async fn read_answers(mut from: OwnedReadHalf, link: &Link) -> io::Error {
    let mut buffer = BytesMut::new();
    loop {
        match frame::read::<Answer>(&mut from, &mut buffer).await {
            Ok((Numbered { number, message }, body)) => {
                link.heard.set(Instant::now());
                if let Some(waiter) = link.pending.borrow_mut().remove(&number) {
                    // One who went away has no use for the answer.
                    let _ = waiter.send((message, body));
                }
            }
            Err(error) => return error,
        }
    }
}

/// Returns when the peer has been silent for too long while answers are due.
async fn watch(link: &Link, host: IpAddr, quiet_hosts: &RefCell<BTreeSet<IpAddr>>) {
    loop {
        if link.pending.borrow().is_empty() {
            link.asked.notified().await;
        }
        tokio::time::sleep(PING_AFTER).await;
        let is_idle = link.pending.borrow().is_empty();
        let quiet = link.heard.get().elapsed();
        if is_idle || quiet < QUIET {
            quiet_hosts.borrow_mut().remove(&host);
        } else {
            quiet_hosts.borrow_mut().insert(host);
        }
        if !is_idle && quiet >= SILENT {
            return;
        }
        if !is_idle
            && quiet >= PING_AFTER
            && let Ok(ping) = frame::encode(0, Ask::Ping, Bytes::new())
        {
            let _ = link.frames.send(ping);
        }
    }
}
