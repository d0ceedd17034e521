//! Snapshot tests of `monsoonctl` sessions.

mod keys;
mod node;
mod nodes;
mod operator;
mod session;
mod tables;
