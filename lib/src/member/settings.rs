//! Settings of the membership protocol.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Periods, timeouts and bounds. docs/operate/membership.md lists the defaults and their costs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How often a node probes one peer, in milliseconds.
    pub period_ms: u64,
    /// How long a node waits for a direct answer before it requests indirect probes, in
    /// milliseconds.
    pub probe_timeout_ms: u64,
    /// How many peers a node asks for an indirect probe.
    pub indirect_peers: usize,
    /// How long a suspect has to refute before it is declared dead, in milliseconds.
    pub suspicion_ms: u64,
    /// A longer gap between two ticks means that the process was paused, in milliseconds.
    pub pause_ms: u64,
    /// The most rumours piggybacked on one message.
    pub rumours: usize,
    /// How many peers an urgent rumour is sent to immediately.
    pub eager_peers: usize,
    /// The most messages that a node sends per period for urgent rumours.
    pub eager_messages: usize,
    /// How often a node compares a page of facts with a peer, in milliseconds.
    pub sync_ms: u64,
    /// How often a node that has just started fetches a page of facts, in milliseconds.
    pub join_ms: u64,
    /// How long a VM is kept that neither answers nor is listed or published, in milliseconds.
    pub forget_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period_ms: 500,
            probe_timeout_ms: 200,
            indirect_peers: 3,
            suspicion_ms: 5_000,
            pause_ms: 1_000,
            rumours: 8,
            eager_peers: 4,
            eager_messages: 32,
            sync_ms: 5_000,
            join_ms: 200,
            forget_ms: 600_000,
        }
    }
}

/// Invalid settings.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A setting is zero.
    #[error("node.member.{0} is 0; set it to 1 or more")]
    Zero(&'static str),
    /// The direct answer would be awaited for the whole period, which leaves no time for indirect
    /// probes.
    #[error("node.member.probe_timeout_ms must be less than node.member.period_ms")]
    Timeout,
    /// A suspect would not have enough time to refute.
    #[error("node.member.suspicion_ms must be at least twice node.member.period_ms")]
    Suspicion,
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), Error> {
        let nonzero = [
            ("period_ms", self.period_ms),
            ("probe_timeout_ms", self.probe_timeout_ms),
            ("pause_ms", self.pause_ms),
            ("sync_ms", self.sync_ms),
            ("join_ms", self.join_ms),
        ];
        if let Some((name, _)) = nonzero.into_iter().find(|(_, value)| *value == 0) {
            return Err(Error::Zero(name));
        }
        if self.probe_timeout_ms >= self.period_ms {
            return Err(Error::Timeout);
        }
        if self.suspicion_ms < 2 * self.period_ms {
            return Err(Error::Suspicion);
        }
        Ok(())
    }

    pub(super) const fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    pub(super) const fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    pub(super) const fn suspicion(&self) -> Duration {
        Duration::from_millis(self.suspicion_ms)
    }
}
