//! How much of what was queued on a connection the operating system has accepted.
//!
//! TCP delivers a prefix of the accepted bytes, and a receiver acts on a message only once it has
//! all of it. A message whose last byte was not accepted before the connection was closed for
//! writing is therefore never acted on, also if its first bytes are delivered later. Of a message
//! that was accepted whole nothing is known. See docs/design/outcome.md.

use std::cell::Cell;

/// The progress of the bytes that are sent on one connection, in their order.
#[derive(Debug, Default)]
pub struct Progress {
    queued: Cell<u64>,
    accepted: Cell<u64>,
}

/// The position of the end of a message among the bytes of its connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct End(u64);

impl Progress {
    /// Records that a message of `length` bytes was queued behind all earlier ones.
    pub fn queue(&self, length: usize) -> End {
        self.queued.set(self.queued.get() + length as u64);
        End(self.queued.get())
    }

    /// Records that the operating system accepted further bytes.
    pub fn accept(&self, bytes: usize) {
        self.accepted.set(self.accepted.get() + bytes as u64);
    }

    /// Returns whether a message was accepted whole, so that it may arrive.
    pub fn is_accepted(&self, end: End) -> bool {
        self.accepted.get() >= end.0
    }
}
