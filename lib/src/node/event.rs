//! What a driver tells a node and what a node asks its driver to do.

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

/// A request's head, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP method in capitals.
    pub method: String,
    /// The path without the query, as it came.
    pub path: String,
    /// The digest of the key, where one came.
    pub key: Option<key::Digest>,
    /// The call context, where one came.
    pub context: Option<String>,
    /// The caller's own idempotency key, where one came.
    pub idempotency_key: Option<String>,
    /// The time that the caller gives the request, where it says so.
    pub deadline: Option<Duration>,
    /// A hash of method, path, query and body.
    pub digest: u64,
}

/// Through which of the node's listeners a request came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Door {
    /// The listener for callers of the provider.
    Caller,
    /// The listener for the node's own target.
    Target,
}

/// How a run on the node's own target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The target gave a whole answer with this status and, where it reported one, its load.
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
    /// The connection broke, or the answer was cut or over the bound.
    Broken,
}

/// What a peer node made of a call that was forwarded to it.
#[derive(Clone, Copy, Debug)]
pub enum Returned {
    /// The peer's target gave a whole answer, which the driver holds.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The size of the answer.
        size: Bytes,
    },
    /// The peer or a node below it refused the call.
    Refused(Refusal),
    /// No link to the peer could be made, so the call was not sent.
    Unreachable,
    /// The link broke after the call may have been sent.
    Broken,
}

/// News that travels back with each answer between nodes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Trailer {
    /// Attempts that were given to the call and not spent.
    pub unspent: u8,
    /// The pressure on the peer's own target and on targets further down.
    pub pressure: Vec<pressure::RelayedReport>,
    /// Pools that the call went on to, directly or further down.
    pub pools: Vec<id::Pool>,
}

/// What a driver tells a node.
#[derive(Debug)]
pub enum Event {
    /// A whole request came in from a caller or from the node's own target.
    Arrived {
        /// The driver's number for the request.
        call: id::Call,
        /// The listener that it came through.
        door: Door,
        /// Its head.
        head: Head,
    },
    /// A peer asks for a run on the node's own target.
    Offered {
        /// The driver's number for the request.
        call: id::Call,
        /// The peer.
        from: id::Vm,
        /// The request.
        offer: Offer,
    },
    /// A forwarded call came back.
    Returned {
        /// The call.
        call: id::Call,
        /// What became of it.
        returned: Returned,
        /// News from the peer, where it sent any.
        trailer: Trailer,
    },
    /// A run on the node's own target ended.
    Ended {
        /// The call.
        call: id::Call,
        /// How it ended.
        ended: Ended,
    },
    /// A kept answer was fetched, or is not there.
    Fetched {
        /// The call.
        call: id::Call,
        /// Whether the driver now holds the answer for the call.
        is_found: bool,
    },
    /// Whether the node's own target takes connections, after [`Action::Probe`].
    Probed {
        /// Whether it does.
        is_alive: bool,
    },
    /// The one who waits for the call has gone.
    Gone {
        /// The call.
        call: id::Call,
    },
    /// Control messages came from a peer.
    Received {
        /// The peer, as its link proved it.
        from: id::Vm,
        /// The peer's life.
        incarnation: id::Incarnation,
        /// The messages.
        messages: Vec<Message>,
    },
    /// A read of the platform's values ended.
    Published(Result<config::Difference, config::ReadError>),
    /// A read of the platform's VM list ended.
    Listed(Result<Vec<member::Vm>, config::ReadError>),
    /// The driver's regular tick.
    Ticked,
    /// The operator asks the process to end gracefully.
    Draining,
}

/// What a node asks its driver to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the node's own target.
    Run {
        /// The call.
        call: id::Call,
        /// The context that the target gets for calls further down.
        context: context::Token,
        /// What is known of the request.
        offer: Offer,
    },
    /// Send the request to a peer.
    Forward {
        /// The call.
        call: id::Call,
        /// The peer.
        to: id::Vm,
        /// What the peer needs to know.
        offer: Offer,
    },
    /// Pass on the answer that the driver holds for the call. The call is over.
    Answer {
        /// The call.
        call: id::Call,
        /// News for the one who waits, where it is a peer.
        trailer: Trailer,
    },
    /// Refuse the call. The call is over.
    Refuse {
        /// The call.
        call: id::Call,
        /// The refusal.
        refusal: Refusal,
        /// News for the one who waits, where it is a peer.
        trailer: Trailer,
        /// What the account has left, where its rate decided.
        limit: Option<rate::Limit>,
    },
    /// Keep the answer that the driver holds for the call, until [`Action::Forget`].
    Keep {
        /// The call.
        call: id::Call,
    },
    /// Fetch the answer that a node keeps for an earlier call, hold it for this call, and report
    /// [`Event::Fetched`].
    Fetch {
        /// The call.
        call: id::Call,
        /// The node that keeps the answer, which may be this one.
        from: id::Vm,
        /// The life of that node in which it keeps the answer.
        incarnation: id::Incarnation,
        /// The earlier call, by that node's number.
        kept: id::Call,
    },
    /// Forget the answer that is kept for a call.
    Forget {
        /// The call.
        kept: id::Call,
    },
    /// Stop the call's run or forward and close its connection or stream.
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
    Read {
        /// The revision after which values are wanted.
        after: Revision,
        /// How long the platform may hold the read when there is nothing new.
        wait: Duration,
    },
    /// Read the platform's VM list.
    List,
    /// New tables are in force.
    InForce(Arc<table::Set>),
    /// All work is finished after [`Event::Draining`]; the process may end.
    Exit,
}
