//! The listener for peers, and the handlers of their requests.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        buffer::{Full, MAX_SHORT_BODY_BYTES, Reservation},
        frame::{
            self, Attachments, Envelope, Frame, PeerRequest, PeerResponse, Received, RunResult,
            Supplement,
        },
        kept::{self, KeptBodies},
        link,
        progress::Progress,
        replication::{self, Query},
        socket,
    },
    crate::{clock, http::message::Request},
    bytes::{Bytes, BytesMut},
    monsoon_lib::{
        call::{Reason, Refusal},
        mesh::node::ForwardedRequest,
        time::Instant,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::IpAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
        sync::mpsc,
        task::AbortHandle,
    },
};

/// The longest time for which a peer's request for facts is held open.
const MAX_FACTS_WAIT: Duration = Duration::from_secs(5);
/// The delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The server side of a link that a peer opened.
pub struct PeerLink<H, D> {
    mesh: Rc<Mesh<H, D>>,
    host: IpAddr,
    frames: mpsc::UnboundedSender<Frame>,
    /// The tasks of this link that its peer can cancel, by the numbers of their requests.
    pub runs: RefCell<HashMap<u64, AbortHandle>>,
    /// Whether the peer asks for long bodies. Earlier versions get them at once.
    asks_for_bodies: Cell<bool>,
    /// The long bodies that wait until the peer asks for them.
    pub kept_bodies: KeptBodies,
}

impl<H, D> Drop for PeerLink<H, D> {
    fn drop(&mut self) {
        for run in self.runs.borrow().values() {
            run.abort();
        }
    }
}

/// Accepts links from peers for as long as the process runs.
pub async fn serve<H: HeaderAdapter, D: Directory>(mesh: Rc<Mesh<H, D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::task::spawn_local(serve_link(mesh.clone(), stream, address.ip()));
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection from a peer");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_link<H: HeaderAdapter, D: Directory>(
    mesh: Rc<Mesh<H, D>>,
    stream: TcpStream,
    host: IpAddr,
) {
    if let Err(error) = socket::set_options(&stream) {
        log::warn!(
            host:% = host, error:% = error;
            "failed to set socket options of a connection from a peer"
        );
    }
    let (mut read, write) = stream.into_split();
    let (frames, frame_queue) = mpsc::unbounded_channel();
    let writer = link::write_frames(write, frame_queue, Rc::<Progress>::default());
    let writer = tokio::task::spawn_local(writer);
    let link = Rc::new(PeerLink {
        mesh,
        host,
        frames,
        runs: RefCell::default(),
        asks_for_bodies: Cell::default(),
        kept_bodies: KeptBodies::default(),
    });
    let mut buffer = BytesMut::new();
    let error = loop {
        match receive(&link.mesh, &mut read, &mut buffer).await {
            Ok((received, reservation)) => dispatch(&link, received, reservation),
            Err(error) => break error,
        }
    };
    log::debug!(host:% = host, error:% = error; "link from a peer closed");
    for (_, run) in link.runs.borrow_mut().drain() {
        run.abort();
    }
    writer.abort();
}

/// Reads a message. Its body is counted before it is read, and skipped if it does not fit.
async fn receive<H, D>(
    mesh: &Mesh<H, D>,
    from: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
) -> io::Result<(Received<PeerRequest>, Result<Reservation, Full>)> {
    let (received, length) = frame::read_head(from, buffer).await?;
    let mut reservation = mesh.buffer.reservation();
    match reservation.grow(length) {
        Ok(()) => {
            let body = frame::read_body(from, buffer, length).await?;
            Ok((Received { body, ..received }, Ok(reservation)))
        }
        Err(full) => {
            frame::skip_body(from, buffer, length).await?;
            Ok((received, Err(full)))
        }
    }
}

fn dispatch<H: HeaderAdapter, D: Directory>(
    link: &Rc<PeerLink<H, D>>,
    received: Received<PeerRequest>,
    reservation: Result<Reservation, Full>,
) {
    let Received { envelope, extension, supplement, body } = received;
    let Envelope { number, message: peer_request } = envelope;
    let mesh = &link.mesh;
    let now = clock::now();
    if supplement == Some(Supplement::AsksForBodies) {
        link.asks_for_bodies.set(true);
    }
    match peer_request {
        PeerRequest::Hello { data_centre, is_leaving: false } => {
            mesh.node.borrow_mut().peers_mut().mark_started(now, link.host, data_centre);
        }
        PeerRequest::Hello { data_centre, is_leaving: true } => {
            let mut node = mesh.node.borrow_mut();
            node.peers_mut().record_contact(now, link.host, Some(data_centre));
            node.peers_mut().mark_leaving(now, link.host);
        }
        PeerRequest::Leaving => {
            log::info!(host:% = link.host; "peer is leaving");
            mesh.node.borrow_mut().peers_mut().mark_leaving(now, link.host);
        }
        PeerRequest::Run { forwarded, .. } if mesh.is_closed.get() => {
            let request = forwarded.request.as_str();
            log::info!(
                request, host:% = link.host;
                "refused a request from a peer, since this node is leaving"
            );
            refuse_run(link, number, Refusal::not_run(Reason::Leaving));
        }
        PeerRequest::Run { mut forwarded, method, target, fields } => {
            Supplement::complete_run(supplement.as_ref(), &mut forwarded);
            let reservation = match reservation {
                Ok(reservation) => reservation,
                Err(full) => {
                    let request = forwarded.request.as_str();
                    log::info!(
                        request, host:% = link.host;
                        "refused a request, bodies fill the buffer"
                    );
                    return refuse_run(link, number, full.into());
                }
            };
            let request = Rc::new(Request { method, target, fields, body });
            let task = handle_run(link.clone(), number, forwarded, request, reservation);
            let handle = tokio::task::spawn_local(task);
            link.runs.borrow_mut().insert(number, handle.abort_handle());
        }
        PeerRequest::SendBody { run } => {
            if !link.kept_bodies.release(run, number) {
                send_response(link, number, PeerResponse::Body { is_kept: false }, Bytes::new());
            }
        }
        PeerRequest::Cancel => {
            link.kept_bodies.remove(number);
            if let Some(run) = link.runs.borrow_mut().remove(&number) {
                run.abort();
            }
        }
        PeerRequest::Facts { after, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_FACTS_WAIT);
            let era = mesh.node.borrow().facts().position().era;
            let query = Query::decode(after, extension.as_ref(), era);
            let handle = tokio::task::spawn_local(handle_facts(link.clone(), number, query, wait));
            link.runs.borrow_mut().insert(number, handle.abort_handle());
        }
        PeerRequest::Demand(demand) => {
            let shares = mesh.node.borrow_mut().share_rates(now, link.host, demand);
            send_response(link, number, PeerResponse::Shares(shares), Bytes::new());
        }
        PeerRequest::Crashes(message) => {
            log::info!(
                host:% = link.host, crashes = message.crashes.len();
                "received crash reports from a peer"
            );
            mesh.node.borrow_mut().crash_tracker().receive(now, message);
        }
        PeerRequest::Vouch { target } => {
            let link = link.clone();
            tokio::task::spawn_local(async move {
                let is_vouched = link.mesh.vouches_for(&target).await;
                send_response(&link, number, PeerResponse::Vouched(is_vouched), Bytes::new());
            });
        }
        PeerRequest::Ping => {
            let snapshot = match &supplement {
                Some(Supplement::TransferQuery(query)) => {
                    let snapshot = mesh.node.borrow().transfer_snapshot(now, query);
                    Some(Supplement::Transfer(snapshot))
                }
                _ => None,
            };
            send_response_with(link, number, PeerResponse::Pong, snapshot.as_ref(), Bytes::new());
        }
    }
}

/// Responds to a request of a peer that did not reach the own target.
fn refuse_run<H, D>(link: &PeerLink<H, D>, number: u64, refusal: Refusal) {
    let result = RunResult::Refused(refusal);
    let response = PeerResponse::RunFinished { result, load: None, is_traced: false };
    send_response(link, number, response, Bytes::new());
}

/// Queues a response without attachments.
pub fn send_response<H, D>(link: &PeerLink<H, D>, number: u64, message: PeerResponse, body: Bytes) {
    send_response_with(link, number, message, None, body);
}

fn send_response_with<H, D>(
    link: &PeerLink<H, D>,
    number: u64,
    message: PeerResponse,
    supplement: Option<&Supplement>,
    body: Bytes,
) {
    let attachments = Attachments { extension: None, supplement };
    match frame::encode_with(number, message, attachments, body) {
        // If the link broke meanwhile, nobody waits for the response.
        Ok(frame) => drop(link.frames.send(frame)),
        Err(error) => log::warn!(host:% = link.host, error:% = error; "failed to encode response"),
    }
}

async fn handle_run<H: HeaderAdapter, D: Directory>(
    link: Rc<PeerLink<H, D>>,
    number: u64,
    mut forwarded: ForwardedRequest,
    request: Rc<Request>,
    reservation: Reservation,
) {
    let open_request = link.mesh.track_request();
    let deadline = clock::now() + forwarded.remaining;
    forwarded.route = link.mesh.find_route(&request);
    let is_sent = Cell::default();
    let (result, body, cause) = link.mesh.run_locally(&forwarded, &request, &is_sent).await;
    drop((request, reservation));
    link.runs.borrow_mut().remove(&number);
    let is_kept = link.asks_for_bodies.get() && body.len() > MAX_SHORT_BODY_BYTES;
    let (response, supplement) = {
        let mut node = link.mesh.node.borrow_mut();
        let now = clock::now();
        let load = Some(node.gate().report(now));
        let loads = node.reported_loads(now, forwarded.route.as_ref());
        let is_traced = node.runs().has_traced_locally(now);
        let result = result.for_peer();
        let supplement = match is_kept {
            true => Some(Supplement::BodyKept { bytes: body.len() as u64, loads }),
            false => Supplement::of_result(cause, loads),
        };
        (PeerResponse::RunFinished { result, load, is_traced }, supplement)
    };
    let sent_body = match is_kept {
        true => {
            kept::keep(&link, number, body, deadline, open_request);
            Bytes::new()
        }
        false => body,
    };
    send_response_with(&link, number, response, supplement.as_ref(), sent_body);
}

async fn handle_facts<H: HeaderAdapter, D: Directory>(
    link: Rc<PeerLink<H, D>>,
    number: u64,
    query: Query,
    wait: Duration,
) {
    let mesh = &link.mesh;
    let arrived = clock::now();
    let deadline = tokio::time::Instant::now() + wait;
    let was_reader = mesh.has_read_recently(arrived);
    let confirmed = || mesh.node.borrow().lease().confirmed();
    let confirmed_before = confirmed();
    loop {
        let changed = mesh.state_changed.notified();
        let has_lost_platform = was_reader && !mesh.has_read_recently(clock::now());
        let is_confirmed_again = confirmed() > confirmed_before;
        if mesh.has_news_for(&query) || has_lost_platform || is_confirmed_again {
            break;
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            break;
        }
    }
    let now = clock::now();
    let (message, extension, supplement) = {
        let node = mesh.node.borrow();
        let update = node.facts().update_after(query.after, query.document);
        // A node that is cut off from the platform by itself knows nothing of an outage.
        let is_informed = mesh.has_read_recently(now);
        let outage = node.fleet().last_outage().filter(|_| is_informed);
        let outage_age = outage.map(|at| now - at);
        let position = update.position.revision;
        let (facts, extension, supplement) =
            replication::encode(update, outage_age.map(|age| age.as_millis() as u64));
        let message = PeerResponse::Facts {
            facts,
            position,
            is_reader: mesh.has_read_recently(now),
            confirmed_age_ms: node.lease().confirmed().map(|at| signed_age_ms(at, arrived)),
        };
        (message, extension, supplement)
    };
    link.runs.borrow_mut().remove(&number);
    let attachments = Attachments { extension: Some(&extension), supplement: Some(&supplement) };
    match frame::encode_with(number, message, attachments, Bytes::new()) {
        // If the link broke meanwhile, nobody waits for the response.
        Ok(frame) => drop(link.frames.send(frame)),
        Err(error) => log::warn!(host:% = link.host, error:% = error; "failed to encode facts"),
    }
}

/// Returns the signed time from `from` to `to` in milliseconds, rounded up.
fn signed_age_ms(from: Instant, to: Instant) -> i64 {
    const NANOS_PER_MS: i128 = 1_000_000;
    let nanos = i128::from(to.as_nanos()) - i128::from(from.as_nanos());
    (nanos.div_euclid(NANOS_PER_MS) + 1) as i64
}
