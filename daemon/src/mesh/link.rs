//! The links that this node opened to its peers. Each multiplexes many requests.

use {
    super::{
        frame::{
            self, Attachments, Envelope, Extension, Frame, PeerRequest, PeerResponse, Received,
            Supplement,
        },
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

/// The time without a message from a peer, while requests are pending, after which it is pinged.
const PING_AFTER: Duration = Duration::from_millis(250);
/// The time without a message after which other peers are preferred. It is long enough that a node
/// in another region that is out of CPU quota for a tenth of a second still responds before it.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(550);
/// The time without a message after which the link counts as broken.
const BROKEN_AFTER: Duration = Duration::from_millis(1_300);

/// The reasons for which a request to a peer has no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was not sent.
    #[error("no link to {0}: {1}")]
    Unreachable(IpAddr, io::Error),
    /// The link broke, and the request may have been sent.
    #[error("the link to {0} broke")]
    Broken(IpAddr),
}

/// A peer's response to a request.
#[derive(Debug)]
pub struct Response {
    /// The message.
    pub message: PeerResponse,
    /// The extension of the message, if it has one.
    pub extension: Option<Extension>,
    /// The supplement of the message, if it has one.
    pub supplement: Option<Supplement>,
    /// The body that belongs to the message.
    pub body: Bytes,
}

type Pending = HashMap<u64, oneshot::Sender<Response>>;

/// The client side of one link to a peer.
struct Link {
    frames: mpsc::UnboundedSender<Frame>,
    pending: RefCell<Pending>,
    last_received: Cell<Instant>,
    request_queued: Notify,
    is_broken: Cell<bool>,
}

impl Link {
    fn fail(&self) {
        self.is_broken.set(true);
        self.pending.borrow_mut().clear();
    }
}

/// All links that this node opened, at most one per peer.
pub struct Links {
    local_address: IpAddr,
    port: u16,
    data_centre: id::DataCentre,
    links: RefCell<HashMap<IpAddr, Rc<Link>>>,
    unresponsive: Rc<RefCell<BTreeSet<IpAddr>>>,
    connect_locks: RefCell<HashMap<IpAddr, Rc<tokio::sync::Mutex<()>>>>,
    last_request_number: Cell<u64>,
    is_leaving: Cell<bool>,
}

/// A request that waits for its response. Dropping it cancels the request at the peer.
struct PendingRequest {
    link: Rc<Link>,
    number: u64,
    is_complete: bool,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.is_complete || self.link.pending.borrow_mut().remove(&self.number).is_none() {
            return;
        }
        if let Ok(frame) = frame::encode(self.number, PeerRequest::Cancel, Bytes::new()) {
            // If the link is broken, the cancellation can't be delivered.
            let _ = self.link.frames.send(frame);
        }
    }
}

impl Links {
    /// Creates the set of links from this VM's address to peers that listen on `port`.
    pub fn new(local_address: IpAddr, port: u16, data_centre: id::DataCentre) -> Self {
        Self {
            local_address,
            port,
            data_centre,
            links: RefCell::default(),
            unresponsive: Rc::default(),
            connect_locks: RefCell::default(),
            last_request_number: Cell::default(),
            is_leaving: Cell::default(),
        }
    }

    /// Makes the hello message of links opened from now on say that this node is leaving.
    pub fn set_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Returns the first message on a link.
    pub fn hello(&self) -> PeerRequest {
        PeerRequest::Hello {
            data_centre: self.data_centre.clone(),
            is_leaving: self.is_leaving.get(),
        }
    }

    /// Sends a request to a peer and waits for its response.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the link breaks.
    pub async fn request(
        &self,
        host: IpAddr,
        request: PeerRequest,
        body: Bytes,
    ) -> Result<(PeerResponse, Bytes), Error> {
        let response = self.request_with(host, request, Attachments::default(), body).await?;
        Ok((response.message, response.body))
    }

    /// Sends a request with attachments to a peer and waits for its response.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the link breaks.
    pub async fn request_with(
        &self,
        host: IpAddr,
        request: PeerRequest,
        attachments: Attachments<'_>,
        body: Bytes,
    ) -> Result<Response, Error> {
        let unreachable = |error| Error::Unreachable(host, error);
        let link = self.link(host).await.map_err(unreachable)?;
        self.last_request_number.set(self.last_request_number.get() + 1);
        let number = self.last_request_number.get();
        let frame = frame::encode_with(number, request, attachments, body).map_err(unreachable)?;
        let (sender, response) = oneshot::channel();
        if link.pending.borrow().is_empty() {
            link.last_received.set(Instant::now());
        }
        link.pending.borrow_mut().insert(number, sender);
        link.request_queued.notify_one();
        let mut pending_request = PendingRequest { link: link.clone(), number, is_complete: false };
        if link.frames.send(frame).is_err() {
            pending_request.is_complete = true;
            return Err(unreachable(io::ErrorKind::BrokenPipe.into()));
        }
        let response = response.await.map_err(|_| Error::Broken(host));
        pending_request.is_complete = true;
        response
    }

    /// Sends a message without a response to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached.
    pub async fn notify(&self, host: IpAddr, request: PeerRequest) -> Result<(), Error> {
        let unreachable = |error| Error::Unreachable(host, error);
        let link = self.link(host).await.map_err(unreachable)?;
        let frame = frame::encode(0, request, Bytes::new()).map_err(unreachable)?;
        link.frames.send(frame).map_err(|_| unreachable(io::ErrorKind::BrokenPipe.into()))
    }

    /// Returns the peers whose responses are overdue.
    pub fn unresponsive(&self) -> Ref<'_, BTreeSet<IpAddr>> {
        self.unresponsive.borrow()
    }

    fn open_link(&self, host: IpAddr) -> Option<Rc<Link>> {
        let link = self.links.borrow().get(&host).cloned();
        link.filter(|link| !link.is_broken.get())
    }

    async fn link(&self, host: IpAddr) -> io::Result<Rc<Link>> {
        if let Some(link) = self.open_link(host) {
            return Ok(link);
        }
        // The lock makes concurrent requests share one new link instead of opening one each.
        let lock = self.connect_locks.borrow_mut().entry(host).or_default().clone();
        let _guard = lock.lock().await;
        if let Some(link) = self.open_link(host) {
            return Ok(link);
        }
        let stream =
            socket::connect_from(self.local_address, SocketAddr::new(host, self.port)).await?;
        let link = start_link(stream, host, self.unresponsive.clone());
        // The writer runs until the link breaks, so this fails only if the link is already broken.
        let _ = link.frames.send(frame::encode(0, self.hello(), Bytes::new())?);
        self.links.borrow_mut().insert(host, link.clone());
        Ok(link)
    }
}

fn start_link(
    stream: TcpStream,
    host: IpAddr,
    unresponsive: Rc<RefCell<BTreeSet<IpAddr>>>,
) -> Rc<Link> {
    let (read, write) = stream.into_split();
    let (frames, frame_queue) = mpsc::unbounded_channel();
    let link = Rc::new(Link {
        frames,
        pending: RefCell::default(),
        last_received: Cell::new(Instant::now()),
        request_queued: Notify::new(),
        is_broken: Cell::new(false),
    });
    let writer = tokio::task::spawn_local(write_frames(write, frame_queue));
    let reader = link.clone();
    tokio::task::spawn_local(async move {
        let error = tokio::select! {
            error = read_responses(read, &reader) => error,
            () = watch_liveness(&reader, host, &unresponsive) => io::ErrorKind::TimedOut.into(),
        };
        unresponsive.borrow_mut().remove(&host);
        log::debug!(error:% = error; "link to a peer closed");
        reader.fail();
        writer.abort();
    });
    link
}

/// Writes queued frames until the connection fails. Frames that are queued together share a write.
pub async fn write_frames(mut to: OwnedWriteHalf, mut frame_queue: mpsc::UnboundedReceiver<Frame>) {
    while let Some(frame) = frame_queue.recv().await {
        let mut batch = BytesMut::new();
        let mut next = Some(frame);
        while let Some(frame) = next {
            batch.extend_from_slice(&frame.head);
            batch.extend_from_slice(&frame.body);
            next = frame_queue.try_recv().ok();
        }
        if to.write_all(&batch).await.is_err() {
            // The task that reads from the same connection detects and reports the failure.
            return;
        }
    }
}

async fn read_responses(mut from: OwnedReadHalf, link: &Link) -> io::Error {
    let mut buffer = BytesMut::new();
    loop {
        match frame::read::<PeerResponse>(&mut from, &mut buffer).await {
            Ok(received) => {
                let Received { envelope, extension, supplement, body } = received;
                let Envelope { number, message } = envelope;
                link.last_received.set(Instant::now());
                if let Some(response_sender) = link.pending.borrow_mut().remove(&number) {
                    // The requester may have been cancelled in the meantime.
                    let response = Response { message, extension, supplement, body };
                    let _ = response_sender.send(response);
                }
            }
            Err(error) => return error,
        }
    }
}

/// Pings a peer that does not respond to pending requests, and returns once it has been silent for
/// `BROKEN_AFTER`.
async fn watch_liveness(link: &Link, host: IpAddr, unresponsive: &RefCell<BTreeSet<IpAddr>>) {
    loop {
        if link.pending.borrow().is_empty() {
            link.request_queued.notified().await;
        }
        tokio::time::sleep(PING_AFTER).await;
        let is_idle = link.pending.borrow().is_empty();
        let silence = link.last_received.get().elapsed();
        if is_idle || silence < UNRESPONSIVE_AFTER {
            unresponsive.borrow_mut().remove(&host);
        } else {
            unresponsive.borrow_mut().insert(host);
        }
        if !is_idle && silence >= BROKEN_AFTER {
            return;
        }
        if !is_idle
            && silence >= PING_AFTER
            && let Ok(ping) = frame::encode(0, PeerRequest::Ping, Bytes::new())
        {
            let _ = link.frames.send(ping);
        }
    }
}
