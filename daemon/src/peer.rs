//! RPC connections between nodes.
//!
//! Each node keeps one link to each peer that it sends to and accepts one from each peer that sends
//! to it. Both ends prove that they know the fleet's shared secret before any call is accepted; see
//! docs/design/peer-links.md.

pub mod codec;
pub mod gate;
pub mod link;
pub mod proof;
