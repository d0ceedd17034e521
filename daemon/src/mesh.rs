//! The process of a node that discovers its targets through a platform adapter.
//!
//! The process is single-threaded: each request is a task, and all decisions are calls into
//! [`monsoon_lib::mesh::node::Node`]. See docs/design/platform.md.

pub mod adapter;
mod buffer;
mod cancellation;
mod cause;
mod cold;
mod frame;
mod front;
mod kept;
mod linger;
mod link;
mod metrics;
mod own;
mod peers;
mod process;
mod progress;
mod relay;
mod replication;
mod scarcity;
mod search;
mod socket;
mod sync;
mod target;
mod transfer;
mod unread;
mod upkeep;
mod vouch;

pub use {
    buffer::DEFAULT_MEMORY_BYTES,
    process::{Error, Settings, run},
    socket::connect_from,
};

use {
    adapter::{Directory, HeaderAdapter},
    buffer::{Buffer, ResponseBuffers},
    cancellation::Cancellations,
    link::Links,
    metrics::Metrics,
    monsoon_lib::{
        id,
        mesh::{
            gate::Release,
            node::{Node, NotReady},
        },
        time::Instant,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    target::Target,
    tokio::sync::{Notify, oneshot},
    unread::UnreadAnswers,
    vouch::VouchState,
};

/// The state that all tasks of the process share.
struct Mesh<H, D> {
    node: RefCell<Node>,
    header_adapter: H,
    directory: D,
    links: Links,
    target: Target,
    metrics: Metrics,
    /// The memory for request bodies.
    buffer: Buffer,
    /// The memory for response bodies from peers.
    peer_responses: ResponseBuffers,
    unread_answers: UnreadAnswers,
    /// Why the node was not ready when this was last logged.
    last_readiness: Cell<Result<(), NotReady>>,
    /// Whether the facts were behind the store when this was last logged.
    is_behind: Cell<bool>,
    queued_calls: RefCell<HashMap<id::Call, oneshot::Sender<Release>>>,
    cancellations: Cancellations,
    /// Notified when a call begins to wait at the gate, so that an exchange of a cancelled run ends.
    call_queued: Notify,
    /// Whether a task starts queued calls at the rate that the target takes.
    is_pacing: Cell<bool>,
    last_call_number: Cell<u64>,
    open_requests: Cell<usize>,
    /// Whether new requests are refused, since the node has announced that it is leaving.
    is_closed: Cell<bool>,
    state_changed: Notify,
    last_platform_read: Cell<Option<Instant>>,
    /// Since when the last confirmation of the document has been too old, as far as it was logged.
    stale_since: Cell<Option<Instant>>,
    /// Whether the document is to be read before the next regular read.
    is_read_due: Cell<bool>,
    /// Notified when the platform's store was restored, so that a waiting watch is given up.
    store_restored: Notify,
    /// Notified after each read of the document.
    document_read: Notify,
    /// Whether the entries of targets, by which a starting node finds its peers, were read or are not
    /// to be had.
    has_discovered_peers: Cell<bool>,
    vouching: VouchState,
    /// Whether a task asks the own target whether it is cold.
    is_asking_target: Cell<bool>,
    /// Calls whose connections to the node's own target broke, until a probe has shown whether the
    /// target crashed.
    broken_calls: RefCell<Vec<id::Call>>,
}

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Returns a call ID that is unique within this process.
    fn next_call_id(&self) -> id::Call {
        self.last_call_number.set(self.last_call_number.get() + 1);
        id::Call(self.last_call_number.get())
    }

    /// Counts a request as open until the returned guard is dropped.
    fn track_request(self: &Rc<Self>) -> OpenRequest<H, D> {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest(self.clone())
    }
}

/// A guard that keeps a request counted as open.
struct OpenRequest<H, D>(Rc<Mesh<H, D>>);

impl<H, D> Drop for OpenRequest<H, D> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
