//! The memory for request bodies that the node holds, over all requests.

use {
    monsoon_lib::call::{Reason, Refusal},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// The largest number of body bytes that the node holds at a time. The smallest VMs have 160 MB, and
/// a body is held up to twice while it is copied to a link.
const MAX_HELD_BYTES: usize = 40 << 20;
/// The retry delay given to callers whose body does not fit.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Counts the body bytes that the node holds.
#[derive(Debug, Default)]
pub struct Buffer {
    held: Rc<Cell<usize>>,
}

/// A part of the buffer. It is released on drop.
#[derive(Debug)]
pub struct Reservation {
    held: Rc<Cell<usize>>,
    bytes: usize,
}

impl Buffer {
    /// Returns an empty reservation, which grows with the body.
    pub fn reservation(&self) -> Reservation {
        Reservation { held: self.held.clone(), bytes: 0 }
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
    /// Returns a refusal, marked as not run, if the buffer is full.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Refusal> {
        let held = self.held.get().saturating_add(bytes);
        if held > MAX_HELD_BYTES {
            return Err(Refusal::not_run(Reason::Overload).after(RETRY_AFTER));
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
