//! Whether messages still arrive on a link.
//!
//! During a cut of the network the operating system accepts bytes for a link that does not deliver
//! them. A request that may not run twice is therefore sent only if a message came from the peer a
//! moment before.

use {
    std::{cell::Cell, time::Duration},
    tokio::{sync::Notify, time::Instant},
};

/// The age of the last message up to which a link counts as live, and the longest wait for an answer
/// to a ping. Nodes of different data centres answer within about a tenth of it.
pub const MAX_SILENCE: Duration = Duration::from_millis(100);
/// The part of the latency objective of a request that the wait may take.
const OBJECTIVE_DIVISOR: u32 = 8;

/// When messages arrived on a link, and when it was last pinged.
#[derive(Debug, Default)]
pub struct Liveness {
    last_message: Cell<Option<Instant>>,
    last_ping: Cell<Option<Instant>>,
    message_received: Notify,
}

impl Liveness {
    /// Records that a message arrived.
    pub fn record_message(&self) {
        self.last_message.set(Some(Instant::now()));
        self.message_received.notify_waiters();
    }

    /// Returns whether the link is live. Otherwise pings the peer, unless that was done a moment
    /// before, and waits for any message. `objective` is the latency objective of the request.
    pub async fn confirm(&self, objective: Duration, ping: impl FnOnce()) -> bool {
        let is_recent =
            |at: &Cell<Option<Instant>>| at.get().is_some_and(|at| at.elapsed() < MAX_SILENCE);
        if is_recent(&self.last_message) {
            return true;
        }
        // A ping before the last message has been answered already.
        if !is_recent(&self.last_ping) || self.last_ping.get() <= self.last_message.get() {
            self.last_ping.set(Some(Instant::now()));
            ping();
        }
        let wait = MAX_SILENCE.min(objective / OBJECTIVE_DIVISOR);
        tokio::time::timeout(wait, self.message_received.notified()).await.is_ok()
    }
}
