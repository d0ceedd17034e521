//! The HTTP listeners for callers and for nested calls of the local target.

pub mod front;
pub mod message;
pub mod problem;
