//! The memory for bodies that the node holds, over all requests.
//!
//! A response body counts until its last byte is written, to a caller or to a peer. Where there is no
//! room, the source waits: the target's connection is not read, or the peer keeps the body. See
//! docs/design/memory.md.

use {
    bytes::Bytes,
    monsoon_lib::call::{Reason, Refusal},
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The memory of the VM if the settings do not state it, in bytes: that of the smallest VMs.
pub const DEFAULT_MEMORY_BYTES: usize = 160 << 20;
/// The size up to which a body counts as short, in bytes. Short and long bodies have room of their
/// own, so that long ones do not stop short ones.
pub const MAX_SHORT_BODY_BYTES: usize = 64 << 10;
/// The largest response body that is accepted from a target, in bytes. A target in trouble may send
/// bytes until the node closes the connection.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
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

/// The parts of a VM's memory that hold bodies, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Request bodies.
    pub requests: usize,
    /// Long response bodies from the own target, and as many from peers.
    pub long_responses: usize,
    /// The same for short ones.
    pub short_responses: usize,
}

impl Limits {
    /// Returns the limits for a VM with this memory, in bytes. They sum up to two thirds of it.
    pub fn for_memory(memory: usize) -> Self {
        Self {
            requests: memory / 4,
            // A single response of the largest size always fits.
            long_responses: (memory / 20 * 3).max(MAX_RESPONSE_BYTES),
            short_responses: memory / 20,
        }
    }
}

/// Counts the bytes of bodies that the node holds.
#[derive(Debug)]
pub struct Buffer {
    free: Arc<Semaphore>,
    max_bytes: usize,
    waiting: Rc<Cell<usize>>,
}

/// A part of the buffer. It is released on drop.
#[derive(Debug)]
pub struct Reservation {
    free: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

/// Counts a reservation as waiting until it is dropped.
struct Waiting(Rc<Cell<usize>>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Buffer {
    /// Creates an empty buffer for this number of bytes.
    pub fn new(max_bytes: usize) -> Self {
        let max_bytes = max_bytes.min(Semaphore::MAX_PERMITS);
        let free = Arc::new(Semaphore::new(max_bytes));
        Self { free, max_bytes, waiting: Rc::default() }
    }

    /// Returns an empty reservation, which grows with the body.
    pub fn reservation(&self) -> Reservation {
        Reservation { free: self.free.clone(), permit: None }
    }

    /// Waits until there is room for this number of bytes, or for all that the buffer can hold if that
    /// is less. Room is given in the order of the calls.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        self.waiting.set(self.waiting.get() + 1);
        let _waiting = Waiting(self.waiting.clone());
        let bytes = to_permits(bytes.min(self.max_bytes));
        // The semaphore is never closed.
        let permit = self.free.clone().acquire_many_owned(bytes).await.ok();
        Reservation { free: self.free.clone(), permit }
    }

    /// Returns whether a reservation waits for room.
    pub fn is_contended(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.max_bytes - self.free.available_permits()
    }
}

impl Reservation {
    /// Adds bytes to the reservation.
    ///
    /// # Errors
    ///
    /// Fails if the buffer is full. The reservation stays as it was.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let added = self.free.clone().try_acquire_many_owned(to_permits(bytes));
        let added = added.map_err(|_| Full)?;
        match &mut self.permit {
            Some(permit) => permit.merge(added),
            None => self.permit = Some(added),
        }
        Ok(())
    }

    /// Releases all but this number of bytes.
    pub fn shrink(&mut self, bytes: usize) {
        if let Some(permit) = &mut self.permit {
            drop(permit.split(permit.num_permits().saturating_sub(bytes)));
        }
    }

    /// Returns the same bytes, which hold the reservation until their last reference is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        with_guard(body, self.permit)
    }
}

/// Bytes that keep a guard.
struct Guarded<G> {
    body: Bytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for Guarded<G> {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns the same bytes, whose last reference drops the guard. That of an empty body is dropped at
/// once.
pub fn with_guard<G: Send + 'static>(body: Bytes, guard: G) -> Bytes {
    match body.is_empty() {
        true => body,
        false => Bytes::from_owner(Guarded { body, _guard: guard }),
    }
}

/// The room for response bodies from one kind of source.
#[derive(Debug)]
pub struct ResponseBuffers {
    long: Buffer,
    short: Buffer,
}

impl ResponseBuffers {
    /// Creates empty buffers.
    pub fn new(limits: Limits) -> Self {
        let Limits { long_responses, short_responses, .. } = limits;
        Self { long: Buffer::new(long_responses), short: Buffer::new(short_responses) }
    }

    /// Waits until there is room for a body of this length.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        match bytes <= MAX_SHORT_BODY_BYTES {
            true => self.short.reserve(bytes).await,
            false => self.long.reserve(bytes).await,
        }
    }

    /// Returns whether a body waits for room.
    pub fn is_contended(&self) -> bool {
        self.long.is_contended() || self.short.is_contended()
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.long.held_bytes() + self.short.held_bytes()
    }
}

/// Converts a number of bytes. More than the semaphore can count are never held.
fn to_permits(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
