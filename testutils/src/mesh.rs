//! A test double of the users' platform: its store and its servers, with real nodes on each
//! machine.
//!
//! Each machine has its own address in 127.0.0.0/8, because the platform uses the same ports on all
//! machines.

pub mod client;
pub mod machine;
pub mod server;
pub mod soak;
pub mod store;

pub use {
    client::{Reply, Request, send},
    machine::{Deployment, Machine, wait_for},
    server::{Behaviour, Server},
    store::{Copy, Fault, Store},
};
