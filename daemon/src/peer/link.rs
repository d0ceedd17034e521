//! The client end of a link: connects, authenticates both ends and sends calls.
//!
//! A link is opened on first use and reopened after a failure. The outcome that a caller receives
//! for a failed call depends on whether the call may have reached the peer; see
//! docs/design/outcome.md.

use {
    super::{
        codec,
        gate::{MAX_BATCH_BYTES, reader_options},
        proof::{Endpoint, Role, Transcript},
    },
    crate::{
        http::message::{Answer, Request},
        machine::{Completion, Reply},
        peer_capnp::{gate, peer},
    },
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::AsyncReadExt,
    monsoon_lib::{call::Offer, id, node::Message, settings::Secret},
    serde::Serialize,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, sync::Mutex},
    tokio_util::compat::TokioAsyncReadCompatExt,
};

/// Time limit for opening a link, including authentication.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of concurrent exchanges of control messages on one link.
const MAX_EXCHANGES: u32 = 8;

/// An error of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The link could not be opened, so the call was not sent.
    #[error("can't open the link: {0}")]
    Unreachable(OpenError),
    /// The link failed after the call may have been sent.
    #[error("the link failed: {0}")]
    Broken(#[from] codec::Error),
}

/// An error while opening a link.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The TCP connection could not be established.
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    /// The link was not open within the time limit.
    #[error("timed out")]
    Timeout,
    /// An RPC of the handshake failed.
    #[error("{0}")]
    Handshake(#[from] capnp::Error),
    /// The peer's handshake message is malformed.
    #[error("{0}")]
    Malformed(#[from] codec::Error),
    /// The peer did not prove that it is the expected VM of this fleet.
    #[error("the peer failed to authenticate as {0} of this fleet")]
    Unverified(id::Vm),
}

/// The identity of this node on links to its peers.
#[derive(Clone)]
pub struct Identity {
    /// The VM of this node.
    pub vm: id::Vm,
    /// The incarnation of this process.
    pub incarnation: id::Incarnation,
    /// The shared secret of the fleet.
    pub secret: Secret,
    /// Maximum size of a body, in bytes.
    pub body_bytes: u64,
}

/// An authenticated connection to a peer.
struct Connection {
    peer: peer::Client,
    is_open: Rc<Cell<bool>>,
}

/// The link to one peer, with or without a connection.
struct Link {
    vm: id::Vm,
    address: SocketAddr,
    identity: Rc<Identity>,
    connection: Mutex<Option<Connection>>,
    exchanges: Cell<u32>,
}

impl Link {
    async fn open(&self) -> Result<peer::Client, OpenError> {
        let mut connection = self.connection.lock().await;
        if let Some(connection) = connection.as_ref()
            && connection.is_open.get()
        {
            return Ok(connection.peer.clone());
        }
        *connection = None;
        let opened = tokio::time::timeout(OPEN_TIMEOUT, self.connect()).await;
        let opened = opened.map_err(|_| OpenError::Timeout)??;
        let peer = opened.peer.clone();
        *connection = Some(opened);
        Ok(peer)
    }

    async fn connect(&self) -> Result<Connection, OpenError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let options = reader_options(self.identity.body_bytes);
        let (reader, writer) = stream.compat().split();
        let network = VatNetwork::new(reader, writer, Side::Client, options);
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        let is_open = Rc::new(Cell::new(true));
        let closed = is_open.clone();
        let vm = self.vm.clone();
        actix_rt::spawn(async move {
            let ended = system.await;
            closed.set(false);
            if let Err(error) = ended {
                log::debug!("link to {vm} closed: {error}");
            }
        });
        let peer = self.handshake(&gate).await?;
        Ok(Connection { peer, is_open })
    }

    async fn handshake(&self, gate: &gate::Client) -> Result<peer::Client, OpenError> {
        let client = Endpoint::new(self.identity.vm.clone(), self.identity.incarnation);
        let mut hello = gate.hello_request();
        let mut to = hello.get();
        to.set_vm(client.vm.as_str());
        to.set_incarnation(client.incarnation.0);
        to.set_nonce(&client.nonce);
        let answer = hello.send().promise.await?;
        let answer = answer.get()?;
        let vm = answer.get_vm()?.to_str().map_err(codec::Error::Text)?;
        let server = Endpoint {
            vm: vm.parse().map_err(codec::Error::Name)?,
            incarnation: id::Incarnation(answer.get_incarnation()),
            nonce: answer.get_nonce()?.to_vec(),
        };
        let transcript = Transcript { client, server };
        let secret = &self.identity.secret;
        let is_verified = transcript.verify(secret, Role::Server, answer.get_proof()?);
        if !is_verified || transcript.server.vm != self.vm {
            return Err(OpenError::Unverified(self.vm.clone()));
        }
        let mut enter = gate.enter_request();
        enter.get().set_proof(&transcript.prove(secret, Role::Client));
        let entered = enter.send().promise.await?;
        Ok(entered.get()?.get_peer()?)
    }

    async fn call(&self, offer: &Offer, request: &Request) -> Result<Completion, Error> {
        let peer = self.open().await.map_err(Error::Unreachable)?;
        let mut call = peer.call_request();
        codec::write_request(call.get().init_request(), offer, request);
        let answer = call.send().promise.await.map_err(codec::Error::Capnp)?;
        let answer = answer.get().map_err(codec::Error::Capnp)?;
        Ok(codec::read_reply(answer.get_reply().map_err(codec::Error::Capnp)?)?)
    }

    async fn fetch_stored_answer(
        &self,
        call: id::Call,
        incarnation: id::Incarnation,
    ) -> Result<Completion, Error> {
        let peer = self.open().await.map_err(Error::Unreachable)?;
        let mut request = peer.kept_request();
        request.get().set_call(call.0);
        request.get().set_incarnation(incarnation.0);
        let answer = request.send().promise.await.map_err(codec::Error::Capnp)?;
        let answer = answer.get().map_err(codec::Error::Capnp)?;
        Ok(codec::read_reply(answer.get_reply().map_err(codec::Error::Capnp)?)?)
    }

    async fn exchange(&self, batch: &[u8]) -> Result<(), Error> {
        let peer = self.open().await.map_err(Error::Unreachable)?;
        let mut exchange = peer.exchange_request();
        exchange.get().set_batch(batch);
        exchange.send().promise.await.map_err(codec::Error::Capnp)?;
        Ok(())
    }
}

/// Counters of the control messages sent since the process started.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// The number of exchanges.
    pub exchanges: u64,
    /// The total size of the encoded messages without framing, in bytes.
    pub bytes: u64,
}

/// The outbound links of this node.
pub struct Links {
    traffic: Cell<Traffic>,
    identity: Rc<Identity>,
    links: RefCell<HashMap<id::Vm, Rc<Link>>>,
}

impl Links {
    /// Creates an empty set of links.
    pub fn new(identity: Identity) -> Self {
        let links = RefCell::default();
        Self { traffic: Cell::default(), identity: Rc::new(identity), links }
    }

    /// Returns the counters of the control messages sent so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Returns the link to a peer. Creates a new one if the peer's address has changed.
    fn link(&self, vm: &id::Vm, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(vm)
            && link.address == address
        {
            return link.clone();
        }
        let link = Rc::new(Link {
            vm: vm.clone(),
            address,
            identity: self.identity.clone(),
            connection: Mutex::default(),
            exchanges: Cell::new(0),
        });
        links.insert(vm.clone(), link.clone());
        link
    }

    /// Drops the link to a peer that has left. Calls in flight on it fail.
    pub fn drop_link(&self, vm: &id::Vm) {
        self.links.borrow_mut().remove(vm);
    }

    /// Sends a call and waits for its result. Dropping the future cancels the call.
    pub fn call(
        &self,
        vm: &id::Vm,
        address: SocketAddr,
        offer: Offer,
        request: Rc<Request>,
    ) -> impl Future<Output = Result<Completion, Error>> + use<> {
        let link = self.link(vm, address);
        async move { link.call(&offer, &request).await }
    }

    /// Fetches the answer that a peer stores for an earlier call. Returns `None` if the peer no
    /// longer has it or can't be reached.
    pub fn fetch_stored_answer(
        &self,
        vm: &id::Vm,
        address: SocketAddr,
        call: id::Call,
        incarnation: id::Incarnation,
    ) -> impl Future<Output = Option<Answer>> + use<> {
        let link = self.link(vm, address);
        async move {
            match link.fetch_stored_answer(call, incarnation).await {
                Ok(Completion { reply: Reply::Answer(answer), .. }) => Some(answer),
                Ok(_) => None,
                Err(error) => {
                    log::debug!("failed to fetch a stored answer from {}: {error}", link.vm);
                    None
                }
            }
        }
    }

    /// Sends control messages, or drops them if too many exchanges are in flight on the link. All
    /// protocols of the node tolerate loss, but none tolerates an unbounded queue.
    pub fn exchange(&self, vm: &id::Vm, address: SocketAddr, messages: &[Message]) {
        let link = self.link(vm, address);
        let batch = match postcard::to_stdvec(messages) {
            Ok(batch) if batch.len() <= MAX_BATCH_BYTES => batch,
            _ => return log::error!("Batch for {vm} not sent: encoding failed or too large."),
        };
        if link.exchanges.get() >= MAX_EXCHANGES {
            return;
        }
        link.exchanges.set(link.exchanges.get() + 1);
        let sent = self.traffic.get();
        let bytes = sent.bytes + batch.len() as u64;
        self.traffic.set(Traffic { exchanges: sent.exchanges + 1, bytes });
        actix_rt::spawn(async move {
            if let Err(error) = link.exchange(&batch).await {
                log::debug!("exchange with {} failed: {error}", link.vm);
            }
            link.exchanges.set(link.exchanges.get() - 1);
        });
    }
}
