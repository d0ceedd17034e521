//! Times and bounds. All nodes must have the same times.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// When keys are forgotten, and how much is remembered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// For how long a key runs at most once, and its answer is kept where there is room.
    pub window_ms: u64,
    /// How long a ticket is valid. It must be longer than the longest deadline of a route.
    pub ticket_ms: u64,
    /// How long a node relies on what another one said.
    pub fresh_ms: u64,
    /// The time between probes of the other nodes of the pool.
    pub probe_ms: u64,
    /// The time after which an unanswered message is sent again.
    pub resend_ms: u64,
    /// Used keys that a node remembers. New keys beyond them are refused, none is forgotten early.
    pub entries_max: usize,
    /// Answers that a node keeps.
    pub answers_max: usize,
    /// Bytes of answers that a node keeps.
    pub answer_bytes_max: u64,
    /// Whether requests with a key are served at once where no node of the fleet remembers an
    /// earlier life of this VM. Without it they are refused for a window after each full start.
    pub trust_full_start: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window_ms: 300_000,
            ticket_ms: 130_000,
            fresh_ms: 30_000,
            probe_ms: 5_000,
            resend_ms: 100,
            entries_max: 100_000,
            answers_max: 10_000,
            answer_bytes_max: 32 << 20,
            trust_full_start: true,
        }
    }
}

impl Settings {
    pub(super) fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    pub(super) fn ticket(&self) -> Duration {
        Duration::from_millis(self.ticket_ms)
    }

    pub(super) fn fresh(&self) -> Duration {
        Duration::from_millis(self.fresh_ms)
    }

    pub(super) fn probe(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    pub(super) fn resend(&self) -> Duration {
        Duration::from_millis(self.resend_ms)
    }

    /// After this time no node relies any more on a pulse from before. The quarter pays for drift
    /// between clocks.
    pub(super) fn seal(&self) -> Duration {
        self.fresh() * 5 / 4
    }

    /// How long a key is remembered: a ticket may run late, and then the window begins. The
    /// third term of freshness pays for drift between clocks.
    pub(super) fn retention(&self) -> Duration {
        self.window() + self.ticket() + self.fresh() * 3
    }
}
