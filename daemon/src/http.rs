//! HTTP towards callers and towards the node's own target's nested calls.

pub mod front;
pub mod message;
pub mod problem;
