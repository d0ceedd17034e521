//! Snapshot tests of `monsoonctl` sessions.

mod keys;
mod node;
mod nodes;
mod session;
mod tables;
