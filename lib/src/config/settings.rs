//! Settings of the configuration protocol.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Periods, timeouts and bounds. docs/operate/configuration.md lists the defaults and their costs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How often a node compares revisions with one peer, in milliseconds.
    pub period_ms: u64,
    /// How many nodes of each data centre watch the platform.
    pub watchers: usize,
    /// How long the platform may hold a watch open without a change, in milliseconds.
    pub watch_wait_ms: u64,
    /// How often a node reads the platform's list of VMs, in milliseconds.
    pub list_interval_ms: u64,
    /// The first read of the list happens at a random time within this period after the start, in
    /// milliseconds.
    pub start_spread_ms: u64,
    /// A node that received no confirmation for this time reads the platform itself, in
    /// milliseconds.
    pub fallback_ms: u64,
    /// A node without any confirmation this long after its start reads the platform itself, in
    /// milliseconds.
    pub start_fallback_ms: u64,
    /// The approximate number of such fallback reads per second over the whole fleet.
    pub fallback_reads_per_second: u64,
    /// How many peers a starting node queries before it admits its first key.
    pub ask_peers: usize,
    /// How long it waits for their answers, in milliseconds.
    pub ask_wait_ms: u64,
    /// How long a node waits for a page of values, in milliseconds.
    pub fetch_timeout_ms: u64,
    /// The approximate size of a page of values, in bytes.
    pub page_bytes: usize,
    /// The most bytes of values that a node serves to its peers per second.
    pub serve_bytes_per_second: u64,
    /// How many peers a node immediately notifies of a new revision or a withdrawn key.
    pub eager_peers: usize,
    /// Keyed requests are refused when the platform has not confirmed the values for this time,
    /// neither directly nor through peers, in milliseconds.
    pub max_key_age_ms: u64,
    /// How long a withdrawal reported by a peer takes effect without the value that confirms it, in
    /// milliseconds.
    pub withdrawal_ms: u64,
    /// How long a peer that did not deliver what it claimed is ignored, in milliseconds.
    pub mute_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period_ms: 500,
            watchers: 3,
            watch_wait_ms: 10_000,
            list_interval_ms: 15_000,
            start_spread_ms: 2_500,
            fallback_ms: 10_000,
            start_fallback_ms: 2_000,
            fallback_reads_per_second: 100,
            ask_peers: 12,
            ask_wait_ms: 3_000,
            fetch_timeout_ms: 1_000,
            page_bytes: 16_384,
            serve_bytes_per_second: 262_144,
            eager_peers: 4,
            max_key_age_ms: 14_400_000,
            withdrawal_ms: 60_000,
            mute_ms: 60_000,
        }
    }
}

/// Invalid settings.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A setting is zero.
    #[error("node.config.{0} is 0; set it to 1 or more")]
    Zero(&'static str),
    /// The values would become too old between two regular confirmations, and keys would be
    /// refused.
    #[error("node.config.max_key_age_ms must be at least four times node.config.watch_wait_ms")]
    KeyAge,
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), Error> {
        const MIN_WATCHES_PER_KEY_AGE: u64 = 4;
        let nonzero = [
            ("period_ms", self.period_ms),
            ("watchers", self.watchers as u64),
            ("watch_wait_ms", self.watch_wait_ms),
            ("list_interval_ms", self.list_interval_ms),
            ("fallback_reads_per_second", self.fallback_reads_per_second),
            ("ask_peers", self.ask_peers as u64),
            ("fetch_timeout_ms", self.fetch_timeout_ms),
            ("page_bytes", self.page_bytes as u64),
            ("serve_bytes_per_second", self.serve_bytes_per_second),
        ];
        if let Some((name, _)) = nonzero.into_iter().find(|(_, value)| *value == 0) {
            return Err(Error::Zero(name));
        }
        if self.max_key_age_ms < MIN_WATCHES_PER_KEY_AGE * self.watch_wait_ms {
            return Err(Error::KeyAge);
        }
        Ok(())
    }

    pub(super) const fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    pub(super) const fn fetch_timeout(&self) -> Duration {
        Duration::from_millis(self.fetch_timeout_ms)
    }
}
