//! Settings of all decisions of a node.

use {
    crate::{admission, balance, config, context, crash, member, once, pressure, rate, retry},
    serde::Deserialize,
};

/// Settings of all decisions. Each part has defaults; see docs/operate/settings.md.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long a leaving node still takes new work, in milliseconds, while the fleet hears of it.
    pub leave_grace_ms: u64,
    /// Admission in front of the node's own target.
    pub admission: admission::Settings,
    /// Choice of targets.
    pub balance: balance::Settings,
    /// Tables and keys.
    pub config: config::Settings,
    /// Call contexts.
    pub context: context::Settings,
    /// Requests that crash targets.
    pub crash: crash::Settings,
    /// Membership.
    pub member: member::Settings,
    /// Idempotency keys.
    pub once: once::Settings,
    /// Early refusal.
    pub pressure: pressure::Settings,
    /// Rates of client accounts.
    pub rate: rate::Settings,
    /// Further attempts.
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
