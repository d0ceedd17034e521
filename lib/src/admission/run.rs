//! One call that runs on the target.

use {
    crate::{table::Class, time::Instant},
    std::time::Duration,
};

/// A call that runs, and the time for which the target waited for nested calls of it.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The class of the call.
    pub class: Class,
    open: u32,
    since: Instant,
    nested: Duration,
}

impl Run {
    /// Makes a call without nested calls.
    pub const fn new(class: Class) -> Self {
        Self { class, open: 0, since: Instant::ZERO, nested: Duration::ZERO }
    }

    /// Returns the time for which a nested call was open.
    pub fn nested(&self, now: Instant) -> Duration {
        if self.open == 0 { self.nested } else { self.nested + (now - self.since) }
    }

    /// Notes that a nested call was opened.
    pub fn nest(&mut self, now: Instant) {
        if self.open == 0 {
            self.since = now;
        }
        self.open = self.open.saturating_add(1);
    }

    /// Notes that a nested call ended.
    pub fn unnest(&mut self, now: Instant) {
        self.nested = self.nested(now);
        self.since = now;
        self.open = self.open.saturating_sub(1);
    }
}
