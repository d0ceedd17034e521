//! The server end of a link: authenticates both ends and serves the calls of the peer.

use {
    super::{
        codec,
        proof::{Endpoint, Role, Transcript},
    },
    crate::{
        http::front::CallIds,
        machine::{
            CallGuard, Completion, Driver, GetStoredAnswer, IsMember, Offered, Received, Reply,
        },
        peer_capnp::{gate, peer},
    },
    actix::Addr,
    capnp::{Error, capability::Rc, message::ReaderOptions},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::{AsyncReadExt, FutureExt},
    monsoon_lib::{
        call::{Reason, Refusal},
        id,
        node::Trailer,
        settings::Secret,
    },
    std::{cell::RefCell, io, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::oneshot,
    },
    tokio_util::compat::TokioAsyncReadCompatExt,
};

/// Time limit for a new connection to authenticate.
const PROOF_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the control messages in one exchange, in bytes.
pub const MAX_BATCH_BYTES: usize = 2 << 20;
/// Maximum size of an RPC message beyond the maximum size of a body, in bytes.
const OVERHEAD_BYTES: u64 = 4 << 20;

/// The state that all accepted links share.
#[derive(Clone)]
pub struct AcceptorContext {
    /// The VM of this node.
    pub vm: id::Vm,
    /// The incarnation of this process.
    pub incarnation: id::Incarnation,
    /// The shared secret of the fleet.
    pub secret: Secret,
    /// The driver that receives the calls.
    pub driver: Addr<Driver>,
    /// The generator of call ids.
    pub call_ids: CallIds,
    /// Maximum size of a body, in bytes.
    pub body_bytes: u64,
}

/// Returns reader options that bound the memory that a message from a peer can make this process
/// allocate.
pub fn reader_options(body_bytes: u64) -> ReaderOptions {
    const WORD_BYTES: u64 = 8;
    let words = usize::try_from((body_bytes + OVERHEAD_BYTES) / WORD_BYTES).unwrap_or(usize::MAX);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options
}

/// Accepts links until the listener fails.
///
/// # Errors
///
/// Returns an error if the listener can't accept connections any more.
pub async fn serve(listener: TcpListener, context: AcceptorContext) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let context = context.clone();
        actix_rt::spawn(async move {
            if let Err(error) = serve_link(stream, context).await {
                log::debug!("inbound link closed: {error}");
            }
        });
    }
}

async fn serve_link(stream: TcpStream, context: AcceptorContext) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let options = reader_options(context.body_bytes);
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(reader, writer, Side::Server, options);
    let (auth_sender, auth_receiver) = oneshot::channel();
    let bootstrap =
        Gate { context, client: RefCell::new(None), auth_sender: RefCell::new(Some(auth_sender)) };
    let bootstrap: gate::Client = capnp_rpc::new_client(bootstrap);
    let mut system = RpcSystem::new(Box::new(network), Some(bootstrap.client)).fuse();
    let proof = tokio::time::timeout(PROOF_TIMEOUT, auth_receiver);
    futures::select! {
        ended = system => return ended,
        verified = proof.fuse() => if !matches!(verified, Ok(Ok(()))) {
            return Err(Error::failed("the peer did not prove itself".into()));
        },
    }
    system.await
}

/// The bootstrap interface, which is all that an unauthenticated connection can call.
struct Gate {
    context: AcceptorContext,
    client: RefCell<Option<Transcript>>,
    auth_sender: RefCell<Option<oneshot::Sender<()>>>,
}

impl gate::Server for Gate {
    async fn hello(
        self: Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let client = Endpoint {
            vm: params.get_vm()?.to_str()?.parse().map_err(codec::Error::Name)?,
            incarnation: id::Incarnation(params.get_incarnation()),
            nonce: params.get_nonce()?.to_vec(),
        };
        let server = Endpoint::new(self.context.vm.clone(), self.context.incarnation);
        let transcript = Transcript { client, server };
        let mut to = results.get();
        to.set_vm(transcript.server.vm.as_str());
        to.set_incarnation(transcript.server.incarnation.0);
        to.set_nonce(&transcript.server.nonce);
        to.set_proof(&transcript.prove(&self.context.secret, Role::Server));
        self.client.replace(Some(transcript));
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let invalid_proof = || Error::failed("the proof is not valid".into());
        let transcript = self.client.take().ok_or_else(invalid_proof)?;
        let proof = params.get()?.get_proof()?;
        if !transcript.verify(&self.context.secret, Role::Client, proof) {
            return Err(invalid_proof());
        }
        let client = transcript.client;
        let is_member = self.context.driver.send(IsMember(client.vm.clone())).await;
        if !is_member.unwrap_or(false) {
            log::debug!("Rejected a link from {}, which is not a VM of this fleet.", client.vm);
            return Err(invalid_proof());
        }
        if let Some(auth_sender) = self.auth_sender.take() {
            let _ = auth_sender.send(());
        }
        let authenticated_peer =
            Peer { context: self.context.clone(), vm: client.vm, incarnation: client.incarnation };
        results.get().set_peer(capnp_rpc::new_client(authenticated_peer));
        Ok(())
    }
}

/// The interface for an authenticated peer.
struct Peer {
    context: AcceptorContext,
    vm: id::Vm,
    incarnation: id::Incarnation,
}

impl peer::Server for Peer {
    async fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), Error> {
        let (offer, request) = codec::read_request(params.get()?.get_request()?)?;
        drop(params);
        if request.body.len() as u64 > self.context.body_bytes {
            return Err(Error::failed("the body is over the bound".into()));
        }
        let call = self.context.call_ids.next();
        let (reply, result) = oneshot::channel();
        let driver = self.context.driver.clone();
        let guard = CallGuard::new(call, driver.clone());
        driver.do_send(Offered { call, from: self.vm.clone(), offer, request, reply });
        let completion = result.await.map_err(|_| Error::failed("the node is leaving".into()))?;
        guard.disarm();
        codec::write_reply(results.get().init_reply(), &completion)?;
        Ok(())
    }

    async fn kept(
        self: Rc<Self>,
        params: peer::KeptParams,
        mut results: peer::KeptResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let call = id::Call(params.get_call());
        let incarnation = id::Incarnation(params.get_incarnation());
        let stored =
            self.context.driver.send(GetStoredAnswer(call, incarnation)).await.ok().flatten();
        let absent = Reply::Refuse { refusal: Refusal::unknown(Reason::Duplicate), limit: None };
        let reply = stored.map_or(absent, Reply::Answer);
        let completion = Completion { reply, trailer: Trailer::default() };
        codec::write_reply(results.get().init_reply(), &completion)?;
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        _results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let batch = params.get()?.get_batch()?;
        if batch.len() > MAX_BATCH_BYTES {
            return Err(Error::failed("the batch is over the bound".into()));
        }
        let messages = postcard::from_bytes(batch).map_err(codec::Error::Trailer)?;
        let from = self.vm.clone();
        self.context.driver.do_send(Received { from, incarnation: self.incarnation, messages });
        Ok(())
    }
}
