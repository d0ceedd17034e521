//! Links between nodes.
//!
//! Each node keeps one link to each peer that it sends to and accepts one from each that sends to it.
//! Both ends prove that they hold the fleet's secret before any call is taken; see
//! docs/design/peer-links.md.

pub mod codec;
pub mod gate;
pub mod link;
pub mod proof;
