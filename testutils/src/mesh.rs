//! A stand-in of the users' platform: its store, its servers, and real nodes beside them.
//!
//! Each machine has an address of its own in 127.0.0.0/8, since the platform uses the same ports on
//! all machines.

pub mod client;
pub mod machine;
pub mod server;
pub mod soak;
pub mod store;

pub use {
    client::{Reply, Request, send},
    machine::{Deployment, Machine, wait_for},
    server::{Behaviour, Server},
    store::{Fault, Store},
};
