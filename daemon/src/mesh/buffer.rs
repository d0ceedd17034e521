//! The memory for bodies that the node holds, over all requests.

use {
    monsoon_lib::call::{Reason, Refusal},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// The largest number of bytes of request bodies that the node holds at a time. The smallest VMs have
/// 160 MB, and a body is held up to twice while it is copied to a link.
const MAX_REQUEST_BYTES: usize = 40 << 20;
/// The same for response bodies while they are received from the target.
const MAX_RESPONSE_BYTES: usize = 24 << 20;
/// The retry delay given to callers whose body does not fit.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A body does not fit into the memory for bodies.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the bodies of all requests fill the memory for them")]
pub struct Full;

impl From<Full> for Refusal {
    fn from(_: Full) -> Self {
        Self::not_run(Reason::Overload).after(RETRY_AFTER)
    }
}

/// Counts the bytes of bodies that the node holds.
#[derive(Debug)]
pub struct Buffer {
    held: Rc<Cell<usize>>,
    max_bytes: usize,
}

/// A part of the buffer. It is released on drop.
#[derive(Debug)]
pub struct Reservation {
    held: Rc<Cell<usize>>,
    max_bytes: usize,
    bytes: usize,
}

impl Buffer {
    /// Creates the buffer for request bodies.
    pub fn for_requests() -> Self {
        Self { held: Rc::default(), max_bytes: MAX_REQUEST_BYTES }
    }

    /// Creates the buffer for response bodies.
    pub fn for_responses() -> Self {
        Self { held: Rc::default(), max_bytes: MAX_RESPONSE_BYTES }
    }

    /// Returns an empty reservation, which grows with the body.
    pub fn reservation(&self) -> Reservation {
        Reservation { held: self.held.clone(), max_bytes: self.max_bytes, bytes: 0 }
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.held.get()
    }
}

impl Reservation {
    /// Adds bytes to the reservation.
    ///
    /// # Errors
    ///
    /// Fails if the buffer is full. The reservation stays as it was.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let held = self.held.get().saturating_add(bytes);
        if held > self.max_bytes {
            return Err(Full);
        }
        self.held.set(held);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}
