//! The process of a node whose targets are discovered, for platforms that an adapter translates.
//!
//! One thread does everything: each request is a task, and decisions are calls into
//! [`monsoon_lib::mesh::node::Node`]. See docs/design/platform.md.

pub mod adapter;
mod frame;
mod front;
mod link;
mod metrics;
mod own;
mod peers;
mod process;
mod relay;
mod socket;
mod sync;
mod target;
mod vouch;

pub use {
    process::{Error, Settings, run},
    socket::connect_from,
};

use {
    adapter::{Directory, HeaderAdapter},
    link::Links,
    metrics::Metrics,
    monsoon_lib::{
        id,
        mesh::{gate::Release, node::Node},
        time::Instant,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    target::Target,
    tokio::sync::{Notify, oneshot},
    vouch::Vouch,
};

/// What all tasks of the process share.
struct Mesh<N, D> {
    node: RefCell<Node>,
    header_adapter: N,
    directory: D,
    links: Links,
    target: Target,
    metrics: Metrics,
    waits: RefCell<HashMap<id::Call, oneshot::Sender<Release>>>,
    numbers: Cell<u64>,
    open: Cell<usize>,
    /// Whether peers are refused, because the node has told them that it leaves.
    is_closed: Cell<bool>,
    news: Notify,
    read: Cell<Option<Instant>>,
    vouch: Vouch,
    /// Calls whose connections to the own target broke, until it is known whether it crashed.
    broken: RefCell<Vec<id::Call>>,
}

impl<N: HeaderAdapter, D: Directory> Mesh<N, D> {
    /// Returns a number that no other call of this process has.
    fn next_call(&self) -> id::Call {
        self.numbers.set(self.numbers.get() + 1);
        id::Call(self.numbers.get())
    }

    /// Counts a request as open until the guard is dropped.
    fn open(self: &Rc<Self>) -> Open<N, D> {
        self.open.set(self.open.get() + 1);
        Open(self.clone())
    }
}

/// Keeps a request counted as open.
struct Open<N, D>(Rc<Mesh<N, D>>);

impl<N, D> Drop for Open<N, D> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
