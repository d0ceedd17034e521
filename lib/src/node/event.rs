//! Events that a driver passes to a node, and actions that the node returns.

use {
    super::control::Message,
    crate::{
        call::{Offer, Refusal},
        config, context, id, key, member, pressure, rate, table,
        unit::{Bytes, Revision},
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// The parts of a request that the node's decisions depend on. The body stays with the driver.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP method in capitals.
    pub method: String,
    /// The path without the query, as received.
    pub path: String,
    /// The digest of the key, if the request had one.
    pub key: Option<key::Digest>,
    /// The call context, if the request had one.
    pub context: Option<String>,
    /// The caller's idempotency key, if the request had one.
    pub idempotency_key: Option<String>,
    /// The timeout that the caller requested, if any.
    pub deadline: Option<Duration>,
    /// A hash of method, path, query and body.
    pub digest: u64,
}

/// The listener on which a request was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// The listener for external callers.
    Caller,
    /// The listener for the node's own target.
    Target,
}

/// The result of running a request on the node's own target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// The target sent a complete answer, with its load if it reported one.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The fraction of slots in use that the target reported, in thousandths.
        load: Option<u16>,
        /// The size of the answer.
        size: Bytes,
    },
    /// The target declared that it did not run the request.
    Shed,
    /// No connection to the target could be made, so no byte of the request reached it.
    Unreachable,
    /// The connection broke, or the answer was truncated or over the size limit.
    Broken,
}

/// The result of forwarding a call to a peer.
#[derive(Clone, Copy, Debug)]
pub enum ForwardResult {
    /// The peer's target sent a complete answer, which the driver holds.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The size of the answer.
        size: Bytes,
    },
    /// The peer or a node below it refused the call.
    Refused(Refusal),
    /// No link to the peer could be opened, so the call was not sent.
    Unreachable,
    /// The link broke after the call may have been sent.
    Broken,
}

/// Data that a peer returns with each answer or refusal of a forwarded call.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Trailer {
    /// Retries that were assigned to the call and not used.
    pub unspent: u8,
    /// The load on the peer's own target and on targets further downstream.
    pub pressure: Vec<pressure::RelayedReport>,
    /// Pools that the call reached through nested calls, at any depth.
    pub pools: Vec<id::Pool>,
}

/// An input to a node.
#[derive(Debug)]
pub enum Event {
    /// A complete request was received from a caller or from the node's own target.
    Arrived {
        /// The number that the driver assigned to the request.
        call: id::Call,
        /// The listener that received it.
        listener: Listener,
        /// The request without its body.
        head: Head,
    },
    /// A peer asks this node to run a request on its own target.
    Offered {
        /// The number that the driver assigned to the request.
        call: id::Call,
        /// The peer.
        from: id::Vm,
        /// The request.
        offer: Offer,
    },
    /// A forwarded call ended.
    Returned {
        /// The call.
        call: id::Call,
        /// The result.
        result: ForwardResult,
        /// The peer's trailer, or the default if it sent none.
        trailer: Trailer,
    },
    /// A run on the node's own target ended.
    RunEnded {
        /// The call.
        call: id::Call,
        /// The result.
        result: RunResult,
    },
    /// A fetch of a stored answer, requested by [`Action::FetchAnswer`], ended.
    Fetched {
        /// The call.
        call: id::Call,
        /// Whether the driver now holds the answer for the call.
        is_found: bool,
    },
    /// The probe requested by [`Action::Probe`] ended.
    Probed {
        /// Whether the node's own target accepts connections.
        is_alive: bool,
    },
    /// The caller, target or peer that waited for the call has disconnected.
    Disconnected {
        /// The call.
        call: id::Call,
    },
    /// Control messages were received from a peer.
    Received {
        /// The peer, as authenticated by its link.
        from: id::Vm,
        /// The incarnation of the peer's process.
        incarnation: id::Incarnation,
        /// The messages.
        messages: Vec<Message>,
    },
    /// A read of the platform's values succeeded or failed.
    ValuesRead(Result<config::Difference, config::ReadError>),
    /// A read of the platform's VM list succeeded or failed.
    VmsRead(Result<Vec<member::Vm>, config::ReadError>),
    /// The driver's timer fired.
    Ticked,
    /// The operator requested a graceful shutdown.
    Drain,
}

/// An operation that a node requests from its driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the node's own target.
    Run {
        /// The call.
        call: id::Call,
        /// The context that the target passes back with nested calls.
        context: context::Token,
        /// The request's routing data.
        offer: Offer,
    },
    /// Send the request to a peer.
    Forward {
        /// The call.
        call: id::Call,
        /// The peer.
        to: id::Vm,
        /// The routing data for the peer.
        offer: Offer,
    },
    /// Return the answer that the driver holds for the call. The call is over.
    Answer {
        /// The call.
        call: id::Call,
        /// The trailer, sent only if a peer waits for the call.
        trailer: Trailer,
    },
    /// Refuse the call. The call is over.
    Refuse {
        /// The call.
        call: id::Call,
        /// The refusal.
        refusal: Refusal,
        /// The trailer, sent only if a peer waits for the call.
        trailer: Trailer,
        /// The account's remaining rate, if the rate limit caused the refusal.
        limit: Option<rate::Limit>,
    },
    /// Store the answer that the driver holds for the call until [`Action::DiscardAnswer`].
    StoreAnswer {
        /// The call.
        call: id::Call,
    },
    /// Fetch the answer that a node stores for an earlier call, hold it for this call, and report
    /// [`Event::Fetched`].
    FetchAnswer {
        /// The call.
        call: id::Call,
        /// The node that stores the answer, which may be this one.
        from: id::Vm,
        /// The incarnation of that node's process that stores the answer.
        incarnation: id::Incarnation,
        /// The earlier call, as numbered by that node.
        original: id::Call,
    },
    /// Delete the answer that is stored for a call.
    DiscardAnswer {
        /// The call.
        call: id::Call,
    },
    /// Cancel the call's run or forward and close its connection or stream.
    Abort {
        /// The call.
        call: id::Call,
    },
    /// Send control messages to a peer.
    Send {
        /// The peer.
        to: id::Vm,
        /// The messages.
        messages: Vec<Message>,
    },
    /// Try to connect to the node's own target, and report [`Event::Probed`].
    Probe,
    /// Read the platform's values.
    ReadValues {
        /// Return only values that are newer than this revision.
        after: Revision,
        /// How long the platform may delay its response while no value is newer (long poll).
        wait: Duration,
    },
    /// Read the platform's VM list.
    ReadVms,
    /// The node has switched to new tables.
    TablesApplied(Arc<table::Set>),
    /// All calls have ended after [`Event::Drain`], so the process may exit.
    Exit,
}
