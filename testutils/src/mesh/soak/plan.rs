//! The faults that a soak plays only if they are enabled, since they need a configuration of their
//! own.

use super::audit::cold::{COLD_PER_S, COLD_START_S};

/// What a soak plays beside the faults of every seed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Whether servers become cold. The configuration then limits requests to cold servers.
    pub is_cold_enabled: bool,
    /// Whether the operator evacuates zones.
    pub is_evacuation_enabled: bool,
    /// Whether the last pool declines a part of its requests for some time.
    pub is_decline_enabled: bool,
    /// Whether servers that decline requests send each of these answers once more, late.
    pub is_repeat_enabled: bool,
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug)]
pub(super) enum Planned {
    /// A server becomes cold.
    Cold,
    /// A zone is evacuated.
    Evacuation,
    /// The last pool declines a part of its requests.
    Decline,
}

impl Plan {
    /// Returns the faults of the plan, each as often as it is to be played for each of the 12 other
    /// draws.
    pub(super) fn weights(self) -> Vec<Planned> {
        let cold = if self.is_cold_enabled { 3 } else { 0 };
        let evacuations = if self.is_evacuation_enabled { 2 } else { 0 };
        let mut planned = vec![Planned::Cold; cold];
        planned.extend(vec![Planned::Evacuation; evacuations]);
        let declines = if self.is_decline_enabled { 2 } else { 0 };
        planned.extend(vec![Planned::Decline; declines]);
        planned
    }

    /// Returns the seconds that servers are cold and the requests per second that they take then.
    pub(super) fn cold_limit(self) -> Option<(u64, u64)> {
        self.is_cold_enabled.then_some((COLD_START_S, COLD_PER_S))
    }
}
