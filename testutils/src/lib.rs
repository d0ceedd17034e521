//! Test doubles of the systems around the nodes, load generators and fault injection, for tests and
//! benchmarks.
//!
//! The platform and targets run inside a test or, with `monsoon-standin`, as separate processes.
//! All listeners use loopback addresses only.

pub mod audit;
pub mod client;
pub mod dark;
pub mod fleet;
pub mod load;
pub mod mesh;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod server;
pub mod target;
