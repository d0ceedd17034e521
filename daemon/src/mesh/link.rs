//! The links that this node opened to its peers. Each multiplexes many requests.

mod connecting;
mod liveness;
#[cfg(test)]
mod tests;

use {
    super::{
        frame::{
            self, Attachments, Envelope, Extension, Frame, PeerRequest, PeerResponse, Received,
            Supplement,
        },
        progress::{End, Progress},
        socket,
    },
    bytes::{Buf, Bytes, BytesMut},
    connecting::Connecting,
    liveness::Liveness,
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

/// The longest body that is copied to share a write with other frames, in bytes.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;
/// The size from which no further frame is added to a write, in bytes.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// The reasons for which a request to a peer has no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was not sent.
    #[error("no link to {0}: {1}")]
    Unreachable(IpAddr, io::Error),
    /// The link broke before the request was sent whole, so the peer will never act on it.
    #[error("the link to {0} broke before the request was sent")]
    NotSent(IpAddr),
    /// No message arrived on the link in time, so the request was not sent.
    #[error("the link to {0} is silent")]
    Silent(IpAddr),
    /// The link broke, and the request may have been sent.
    #[error("the link to {0} broke")]
    Broken(IpAddr),
    /// The peer was silent for too long, and the request may have been sent.
    #[error("the link to {0} timed out")]
    TimedOut(IpAddr),
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
    /// The number of the request.
    pub number: u64,
}

type Pending = HashMap<u64, oneshot::Sender<Response>>;

/// The client side of one link to a peer.
struct Link {
    frames: mpsc::UnboundedSender<Frame>,
    progress: Rc<Progress>,
    pending: RefCell<Pending>,
    last_received: Cell<Instant>,
    liveness: Liveness,
    request_queued: Notify,
    is_broken: Cell<bool>,
    is_timed_out: Cell<bool>,
}

impl Link {
    /// Queues a frame for sending, and returns its end, or `None` if nothing is sent any more.
    fn queue(&self, frame: Frame) -> Option<End> {
        let length = frame.head.len() + frame.body.len();
        self.frames.send(frame).ok().map(|()| self.progress.queue(length))
    }

    /// Cancels a request, or drops the body that the peer keeps for it.
    fn cancel(&self, number: u64) {
        if let Ok(frame) = frame::encode(number, PeerRequest::Cancel, Bytes::new()) {
            // If the link is broken, the cancellation can't be delivered.
            let _ = self.queue(frame);
        }
    }
}

/// All links that this node opened, at most one per peer.
pub struct Links {
    local_address: IpAddr,
    port: u16,
    data_centre: id::DataCentre,
    links: Rc<RefCell<HashMap<IpAddr, Rc<Link>>>>,
    unresponsive: Rc<RefCell<BTreeSet<IpAddr>>>,
    connecting: Rc<Connecting>,
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
        self.link.cancel(self.number);
    }
}

impl Links {
    /// Creates the set of links from this VM's address to peers that listen on `port`.
    pub fn new(local_address: IpAddr, port: u16, data_centre: id::DataCentre) -> Self {
        Self {
            local_address,
            port,
            data_centre,
            links: Rc::default(),
            unresponsive: Rc::default(),
            connecting: Rc::default(),
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

    /// Makes sure that messages arrive from a peer, before a request is sent to it that may not run
    /// twice. `objective` is the latency objective of the request.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached, or stays silent.
    pub async fn confirm(&self, host: IpAddr, objective: Duration) -> Result<(), Error> {
        let link = self.link(host).await.map_err(|error| Error::Unreachable(host, error))?;
        let ping = || {
            if let Ok(ping) = frame::encode(0, PeerRequest::Ping, Bytes::new()) {
                let _ = link.queue(ping);
            }
        };
        match link.liveness.confirm(objective, ping).await {
            true => Ok(()),
            false => Err(Error::Silent(host)),
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
        let Some(end) = link.queue(frame) else {
            link.pending.borrow_mut().remove(&number);
            pending_request.is_complete = true;
            return Err(unreachable(io::ErrorKind::BrokenPipe.into()));
        };
        let response = response.await;
        pending_request.is_complete = true;
        // The link ends its pending requests after its writer, so the progress is final here.
        response.map_err(|_| match (link.progress.is_accepted(end), link.is_timed_out.get()) {
            (true, false) => Error::Broken(host),
            (true, true) => Error::TimedOut(host),
            (false, _) => Error::NotSent(host),
        })
    }

    /// Cancels a request to a peer, or drops the body that the peer keeps for it.
    pub fn cancel(&self, host: IpAddr, number: u64) {
        if let Some(link) = self.open_link(host) {
            link.cancel(number);
        }
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
        let end = link.queue(frame);
        end.map(drop).ok_or_else(|| unreachable(io::ErrorKind::BrokenPipe.into()))
    }

    /// Returns the peers whose responses are overdue.
    pub fn unresponsive(&self) -> Ref<'_, BTreeSet<IpAddr>> {
        self.unresponsive.borrow()
    }

    /// Returns whether no message has come from a peer for so long that other peers are preferred,
    /// although requests to it are pending.
    pub fn is_silent(&self, host: IpAddr) -> bool {
        let link = self.open_link(host);
        link.is_none_or(|link| link.last_received.get().elapsed() >= UNRESPONSIVE_AFTER)
    }

    fn open_link(&self, host: IpAddr) -> Option<Rc<Link>> {
        let link = self.links.borrow().get(&host).cloned();
        link.filter(|link| !link.is_broken.get())
    }

    /// Opens a link to a peer unless there is one.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached.
    pub async fn connect(&self, host: IpAddr) -> Result<(), Error> {
        self.link(host).await.map(drop).map_err(|error| Error::Unreachable(host, error))
    }

    /// Returns the link to a peer. Concurrent requests share attempts to connect and their results.
    async fn link(&self, host: IpAddr) -> io::Result<Rc<Link>> {
        if let Some(link) = self.open_link(host) {
            return Ok(link);
        }
        self.connecting.join(host, || self.open(host)).await
    }

    /// Connects to a peer.
    fn open(&self, host: IpAddr) -> impl Future<Output = io::Result<Rc<Link>>> + use<> {
        let address = SocketAddr::new(host, self.port);
        let connecting = socket::connect_repeatedly(self.local_address, address);
        let hello = self.hello();
        let (links, unresponsive) = (self.links.clone(), self.unresponsive.clone());
        async move {
            let link = start_link(connecting.await?, host, unresponsive);
            // The writer runs until the link breaks, so this fails only if the link is already
            // broken.
            let attachments =
                Attachments { extension: None, supplement: Some(&Supplement::AsksForBodies) };
            let _ = link.queue(frame::encode_with(0, hello, attachments, Bytes::new())?);
            links.borrow_mut().insert(host, link.clone());
            Ok(link)
        }
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
        progress: Rc::default(),
        pending: RefCell::default(),
        last_received: Cell::new(Instant::now()),
        liveness: Liveness::default(),
        request_queued: Notify::new(),
        is_broken: Cell::new(false),
        is_timed_out: Cell::new(false),
    });
    let writer = write_frames(write, frame_queue, link.progress.clone());
    let writer = tokio::task::spawn_local(writer);
    let reader = link.clone();
    tokio::task::spawn_local(async move {
        let error = tokio::select! {
            error = read_responses(read, &reader) => error,
            () = watch_liveness(&reader, host, &unresponsive) => io::ErrorKind::TimedOut.into(),
        };
        unresponsive.borrow_mut().remove(&host);
        log::debug!(error:% = error; "link to a peer closed");
        reader.is_broken.set(true);
        reader.is_timed_out.set(error.kind() == io::ErrorKind::TimedOut);
        writer.abort();
        // Whether a pending request was sent is known only once nothing is written any more. The
        // result says that the writer was aborted, or that it ended before.
        let _ = writer.await;
        reader.pending.borrow_mut().clear();
    });
    link
}

/// Writes queued frames until the connection fails. Frames that are queued together share a write,
/// except for long bodies, which are not copied.
pub async fn write_frames(
    mut to: OwnedWriteHalf,
    mut frame_queue: mpsc::UnboundedReceiver<Frame>,
    progress: Rc<Progress>,
) {
    while let Some(frame) = frame_queue.recv().await {
        let mut batch = BytesMut::new();
        let mut next = Some(frame);
        while let Some(Frame { head, body }) = next.take() {
            batch.extend_from_slice(&head);
            if body.len() > MAX_COPIED_BODY_BYTES {
                if !write(&mut to, &mut batch, &progress).await
                    || !write(&mut to, body, &progress).await
                {
                    return;
                }
            } else {
                batch.extend_from_slice(&body);
            }
            if batch.len() < MAX_BATCH_BYTES {
                next = frame_queue.try_recv().ok();
            }
        }
        if !write(&mut to, &mut batch, &progress).await {
            return;
        }
    }
}

/// Writes bytes and returns whether all were accepted. The task that reads from the same connection
/// detects and reports a failure.
async fn write(to: &mut OwnedWriteHalf, mut bytes: impl Buf, progress: &Progress) -> bool {
    while bytes.has_remaining() {
        match to.write_buf(&mut bytes).await {
            Ok(accepted) if accepted > 0 => progress.accept(accepted),
            _ => return false,
        }
    }
    true
}

async fn read_responses(mut from: OwnedReadHalf, link: &Link) -> io::Error {
    let mut buffer = BytesMut::new();
    loop {
        match frame::read::<PeerResponse>(&mut from, &mut buffer).await {
            Ok(received) => {
                let Received { envelope, extension, supplement, body } = received;
                let Envelope { number, message } = envelope;
                link.last_received.set(Instant::now());
                link.liveness.record_message();
                if let Some(response_sender) = link.pending.borrow_mut().remove(&number) {
                    // The requester may have been cancelled in the meantime.
                    let response = Response { message, extension, supplement, body, number };
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
            let _ = link.queue(ping);
        }
    }
}
