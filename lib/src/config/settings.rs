//! Settings of the configuration protocol.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Periods, timeouts and bounds. The defaults and what they cost are in
/// docs/operate/configuration.md.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How often a node compares revisions with one peer, in milliseconds.
    pub period_ms: u64,
    /// How many nodes of each data centre watch the platform.
    pub watchers: usize,
    /// How long the platform may hold a watch that has no news, in milliseconds.
    pub watch_wait_ms: u64,
    /// How often a node reads the platform's list of VMs, in milliseconds.
    pub list_interval_ms: u64,
    /// The first read of the list comes within this time after the start, in milliseconds.
    pub start_spread_ms: u64,
    /// A node that heard of no confirmation for this time reads the platform, in milliseconds.
    pub fallback_ms: u64,
    /// A node that has no values after this time reads the platform, in milliseconds.
    pub start_fallback_ms: u64,
    /// How many such reads the whole fleet makes a second, about.
    pub fallback_reads_per_second: u64,
    /// How many peers a node asks before it admits its first key.
    pub ask_peers: usize,
    /// How long it waits for their answers, in milliseconds.
    pub ask_wait_ms: u64,
    /// How long a node waits for a page of values, in milliseconds.
    pub fetch_timeout_ms: u64,
    /// How many bytes of values one page holds, about.
    pub page_bytes: usize,
    /// How many bytes of values a node serves to its peers a second, at most.
    pub serve_bytes_per_second: u64,
    /// How many peers a node tells of a new revision or a withdrawn key at once.
    pub eager_peers: usize,
    /// Keyed requests are refused when the platform has not been heard of for this time, neither
    /// directly nor through peers, in milliseconds.
    pub max_key_age_ms: u64,
    /// How long a peer's word that a key is withdrawn counts without the value, in milliseconds.
    pub withdrawal_ms: u64,
    /// How long a peer that made empty claims is not asked again, in milliseconds.
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

/// Settings that can't work together.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A setting is zero.
    #[error("node.config.{0} is 0; set it to 1 or more")]
    Zero(&'static str),
    /// A key would be refused between two confirmations in the ordinary course.
    #[error("node.config.max_key_age_ms must be at least four times node.config.watch_wait_ms")]
    KeyAge,
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that can't work.
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
