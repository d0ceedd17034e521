//! Settings of a node.

use {
    crate::{admission, balance, config, context, crash, member, once, pressure, rate, retry},
    serde::Deserialize,
};

/// Settings of a node. Every field has a default; see docs/operate/settings.md.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long a leaving node still accepts new requests, in milliseconds, while its peers learn
    /// that it leaves.
    pub leave_grace_ms: u64,
    /// Admission in front of the node's own target.
    pub admission: admission::Settings,
    /// Load balancing.
    pub balance: balance::Settings,
    /// Tables and keys.
    pub config: config::Settings,
    /// Call contexts.
    pub context: context::Settings,
    /// Crash tracking.
    pub crash: crash::Settings,
    /// Membership.
    pub member: member::Settings,
    /// Idempotency keys.
    pub once: once::Settings,
    /// Backpressure: refusal of requests that a downstream pool would refuse.
    pub pressure: pressure::Settings,
    /// Rates of client accounts.
    pub rate: rate::Settings,
    /// Retries.
    pub retry: retry::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            leave_grace_ms: 1_000,
            admission: admission::Settings::default(),
            balance: balance::Settings::default(),
            config: config::Settings::default(),
            context: context::Settings::default(),
            crash: crash::Settings::default(),
            member: member::Settings::default(),
            once: once::Settings::default(),
            pressure: pressure::Settings::default(),
            rate: rate::Settings::default(),
            retry: retry::Settings::default(),
        }
    }
}
