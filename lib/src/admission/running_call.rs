//! State of a running call.

use {
    crate::{table::Class, time::Instant},
    std::time::Duration,
};

/// A running call and the time for which the target has waited for its nested calls.
#[derive(Clone, Copy, Debug)]
pub struct RunningCall {
    /// The class of the call.
    pub class: Class,
    open_nested: u32,
    nested_since: Instant,
    nested_total: Duration,
}

impl RunningCall {
    /// Creates a call without nested calls.
    pub const fn new(class: Class) -> Self {
        Self { class, open_nested: 0, nested_since: Instant::ZERO, nested_total: Duration::ZERO }
    }

    /// Returns the total time during which at least one nested call was in flight.
    pub fn nested_time(&self, now: Instant) -> Duration {
        if self.open_nested == 0 {
            self.nested_total
        } else {
            self.nested_total + (now - self.nested_since)
        }
    }

    /// Records the start of a nested call.
    pub fn nested_call_started(&mut self, now: Instant) {
        if self.open_nested == 0 {
            self.nested_since = now;
        }
        self.open_nested = self.open_nested.saturating_add(1);
    }

    /// Records the end of a nested call.
    pub fn nested_call_ended(&mut self, now: Instant) {
        self.nested_total = self.nested_time(now);
        self.nested_since = now;
        self.open_nested = self.open_nested.saturating_sub(1);
    }
}
