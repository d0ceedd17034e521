//! Settings for times and limits. The times must be the same on all nodes.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How long keys are retained, and how many of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The time during which a key runs at most once. Its answer is stored that long if space
    /// permits.
    pub window_ms: u64,
    /// The lifetime of a ticket. It must be longer than the longest deadline of any route.
    pub ticket_ms: u64,
    /// How long a node relies on the last reply of another node.
    pub fresh_ms: u64,
    /// The interval between probes of the other nodes of the pool.
    pub probe_ms: u64,
    /// The interval after which an unanswered message is resent.
    pub resend_ms: u64,
    /// The maximum number of used keys that a node stores. When it is reached, new keys are
    /// refused; stored keys are never evicted early.
    pub entries_max: usize,
    /// The maximum number of answers that a node stores.
    pub answers_max: usize,
    /// The maximum total size in bytes of the answers that a node stores.
    pub answer_bytes_max: u64,
    /// Whether requests with a key are served immediately if no node of the fleet knows an earlier
    /// incarnation of this VM. Otherwise they are refused for a window after each full start.
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

    pub(super) fn ticket_lifetime(&self) -> Duration {
        Duration::from_millis(self.ticket_ms)
    }

    pub(super) fn freshness(&self) -> Duration {
        Duration::from_millis(self.fresh_ms)
    }

    pub(super) fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    pub(super) fn resend_interval(&self) -> Duration {
        Duration::from_millis(self.resend_ms)
    }

    /// The time after which no node relies on an earlier probe reply. The additional quarter allows
    /// for clock drift between nodes.
    pub(super) fn seal_wait(&self) -> Duration {
        self.freshness() * 5 / 4
    }

    /// How long a key is retained. The window begins only when the request runs, which can be as
    /// late as the end of its ticket's lifetime. The third freshness period allows for clock drift
    /// between nodes.
    pub(super) fn retention(&self) -> Duration {
        self.window() + self.ticket_lifetime() + self.freshness() * 3
    }
}
