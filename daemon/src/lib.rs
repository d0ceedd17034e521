//! The monsoonstack daemon, which runs on each VM.
//!
//! The daemon is the I/O layer around [`monsoon_lib::node::Node`]: it translates network input into
//! events of the node and carries out the node's actions. All decisions are made in `monsoon_lib`.
//! One thread owns the node, the links to peers and the connections to the target. The HTTP
//! listeners run on their own threads and communicate with it by message passing.

pub mod admin;
pub mod clock;
pub mod http;
pub mod logging;
pub mod machine;
pub mod mesh;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod process;
pub mod target;

/// Code generated from `schema/peer.capnp`.
#[allow(clippy::all, clippy::pedantic, clippy::restriction, missing_docs)]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
