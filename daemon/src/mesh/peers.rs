//! The listener for peers.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        frame::{self, Answer, Ask, End, Frame, Numbered},
        link, socket,
    },
    crate::{clock, http::message::Request},
    bytes::{Bytes, BytesMut},
    monsoon_lib::{
        call::{Reason, Refusal},
        time::Instant,
        unit::Revision,
    },
    std::{cell::RefCell, collections::HashMap, net::IpAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        task::AbortHandle,
    },
};

/// The longest wait for facts that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// How long the listener rests after it could not take a connection, for want of descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(100);

/// One link that a peer opened.
struct Served<N, D> {
    mesh: Rc<Mesh<N, D>>,
    host: IpAddr,
    frames: mpsc::UnboundedSender<Frame>,
    runs: RefCell<HashMap<u64, AbortHandle>>,
}

impl<N, D> Drop for Served<N, D> {
    fn drop(&mut self) {
        for run in self.runs.borrow().values() {
            run.abort();
        }
    }
}

/// Takes links of peers for as long as the process runs.
pub async fn serve<N: HeaderAdapter, D: Directory>(mesh: Rc<Mesh<N, D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::task::spawn_local(serve_link(mesh.clone(), stream, address.ip()));
            }
            Err(error) => {
                log::warn!(error:% = error; "no link taken");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

async fn serve_link<N: HeaderAdapter, D: Directory>(
    mesh: Rc<Mesh<N, D>>,
    stream: TcpStream,
    host: IpAddr,
) {
    if let Err(error) = socket::prepare(&stream) {
        log::warn!(host:% = host, error:% = error; "link options refused");
    }
    let (mut read, write) = stream.into_split();
    let (frames, queue) = mpsc::unbounded_channel();
    let writer = tokio::task::spawn_local(link::write_frames(write, queue));
    let link = Rc::new(Served { mesh, host, frames, runs: RefCell::default() });
    let mut buffer = BytesMut::new();
    let error = loop {
        match frame::read::<Ask>(&mut read, &mut buffer).await {
            Ok((Numbered { number, message }, body)) => take(&link, number, message, body),
            Err(error) => break error,
        }
    };
    log::debug!(host:% = host, error:% = error; "a link of a peer ended");
    for (_, run) in link.runs.borrow_mut().drain() {
        run.abort();
    }
    writer.abort();
}

fn take<N: HeaderAdapter, D: Directory>(
    link: &Rc<Served<N, D>>,
    number: u64,
    ask: Ask,
    body: Bytes,
) {
    let mesh = &link.mesh;
    let now = clock::now();
    match ask {
        Ask::Hello { data_centre, is_leaving: false } => {
            mesh.node.borrow_mut().peers_mut().started(now, link.host, data_centre);
        }
        Ask::Hello { data_centre, is_leaving: true } => {
            let mut node = mesh.node.borrow_mut();
            node.peers_mut().heard(now, link.host, Some(data_centre));
            node.peers_mut().leaving(now, link.host);
        }
        Ask::Leaving => {
            log::info!(host:% = link.host; "a peer is leaving");
            mesh.node.borrow_mut().peers_mut().leaving(now, link.host);
        }
        Ask::Run { served, .. } if mesh.is_closed.get() => {
            let request = served.request.as_str();
            log::info!(request, host:% = link.host; "refused to a peer, this node is leaving");
            let end = End::Refused(Refusal::not_run(Reason::Leaving));
            answer(link, number, Answer::Ended { end, load: None, is_traced: false }, Bytes::new());
        }
        Ask::Run { served, method, target, fields } => {
            let request = Rc::new(Request { method, target, fields, body });
            let task = run(link.clone(), number, served, request);
            let handle = tokio::task::spawn_local(task);
            link.runs.borrow_mut().insert(number, handle.abort_handle());
        }
        Ask::Cancel => {
            if let Some(run) = link.runs.borrow_mut().remove(&number) {
                run.abort();
            }
        }
        Ask::Facts { after, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            let handle = tokio::task::spawn_local(facts(link.clone(), number, after, wait));
            link.runs.borrow_mut().insert(number, handle.abort_handle());
        }
        Ask::Demand(demand) => {
            let shares = mesh.node.borrow_mut().coordinator().hear(now, link.host, demand);
            answer(link, number, Answer::Shares(shares), Bytes::new());
        }
        Ask::Crashes(message) => {
            log::info!(host:% = link.host, crashes = message.crashes.len(); "heard of crashes");
            mesh.node.borrow_mut().suspects().receive(now, message);
        }
        Ask::Vouch { target } => {
            let link = link.clone();
            tokio::task::spawn_local(async move {
                let is_vouched = link.mesh.vouches_for(&target).await;
                answer(&link, number, Answer::Vouched(is_vouched), Bytes::new());
            });
        }
        Ask::Ping => answer(link, number, Answer::Pong, Bytes::new()),
    }
}

fn answer<N, D>(link: &Served<N, D>, number: u64, message: Answer, body: Bytes) {
    match frame::encode(number, message, body) {
        // A link that broke meanwhile has no one to answer.
        Ok(frame) => drop(link.frames.send(frame)),
        Err(error) => log::warn!(host:% = link.host, error:% = error; "answer not sent"),
    }
}

async fn run<N: HeaderAdapter, D: Directory>(
    link: Rc<Served<N, D>>,
    number: u64,
    served: monsoon_lib::mesh::node::Served,
    request: Rc<Request>,
) {
    let _open = link.mesh.open();
    let (end, body) = link.mesh.run_own(&served, &request).await;
    link.runs.borrow_mut().remove(&number);
    let ended = {
        let mut node = link.mesh.node.borrow_mut();
        let load = Some(node.gate().report());
        Answer::Ended { end, load, is_traced: node.runs().has_traced(clock::now()) }
    };
    answer(&link, number, ended, body);
}

async fn facts<N: HeaderAdapter, D: Directory>(
    link: Rc<Served<N, D>>,
    number: u64,
    after: Revision,
    wait: Duration,
) {
    let mesh = &link.mesh;
    let arrived = clock::now();
    let end = tokio::time::Instant::now() + wait;
    loop {
        let news = mesh.news.notified();
        if mesh.node.borrow().facts().position() > after {
            break;
        }
        if tokio::time::timeout_at(end, news).await.is_err() {
            break;
        }
    }
    let message = {
        let node = mesh.node.borrow();
        Answer::Facts {
            facts: node.facts().after(after),
            position: node.facts().position(),
            is_reader: mesh.has_read(clock::now()),
            confirmed_age_ms: node.lease().confirmed().map(|at| signed_age(at, arrived)),
        }
    };
    link.runs.borrow_mut().remove(&number);
    answer(&link, number, message, Bytes::new());
}

/// The time from one moment to another in milliseconds, rounded up.
fn signed_age(from: Instant, to: Instant) -> i64 {
    const NANOS_PER_MS: i128 = 1_000_000;
    let nanos = i128::from(to.as_nanos()) - i128::from(from.as_nanos());
    (nanos.div_euclid(NANOS_PER_MS) + 1) as i64
}
