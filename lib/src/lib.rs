//! The sans-I/O core of monsoonstack, called the model: all decisions, without input or output.
//!
//! A driver passes events with its clock reading and executes the returned actions. The same model
//! runs in the daemon over sockets and in tests over virtual time. See docs/design/overview.md.

pub mod admission;
pub mod balance;
pub mod call;
pub mod config;
pub mod context;
pub mod crash;
pub mod id;
pub mod key;
pub mod member;
pub mod mesh;
pub mod node;
pub mod once;
pub mod pressure;
pub mod rate;
pub mod retry;
pub mod settings;
pub mod table;
pub mod time;
pub mod unit;
