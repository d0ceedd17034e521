//! Correction of a target's capacity by what its gate observes.

/// The relative change of the factor with each step.
const CHANGE: f64 = 0.01;
const MIN_FACTOR: f64 = 0.7;
const MAX_FACTOR: f64 = 1.5;
/// The fraction of calls that have to wait below which there is room.
const FEW_WAITS: f64 = 0.01;
/// The fraction of calls that have to wait above which there is none.
const MANY_WAITS: f64 = 0.1;
/// The utilisation, as a fraction of the corrected capacity, below which calls wait because of random
/// arrivals. A target with few slots makes a fifth of its calls wait when half of them are used.
const RANDOM_WAITS_UTILISATION: f64 = 0.8;
/// The utilisation below which there is room.
const LOW_UTILISATION: f64 = 0.9;

/// How the calls that arrive at a target compare to the shares that it gives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EntryState {
    /// Entries refuse nothing.
    Open,
    /// More calls arrive, or arrived a moment ago, than the target can run, since entries learn of its
    /// load with a delay. That calls wait is no sign of a lower capacity.
    Exceeding,
    /// Entries admit about what the shares of this target give.
    Limited,
    /// Entries admit less, so another pool limits them, and free slots are no sign of a higher
    /// capacity.
    LimitedElsewhere,
}

/// The factor by which the capacity is corrected. It changes slowly, since the demand that it is
/// compared with follows only after the delays of reports.
#[derive(Debug)]
pub(super) struct Calibration {
    factor: f64,
}

impl Default for Calibration {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Calibration {
    pub(super) fn factor(&self) -> f64 {
        self.factor
    }

    /// Adjusts the factor after a step. `used` is the fraction of the uncorrected capacity in use,
    /// and `waits` the fraction of calls that had to wait.
    pub(super) fn adjust(&mut self, used: f64, waits: f64, entries: EntryState) {
        let has_room = waits < FEW_WAITS && used < LOW_UTILISATION;
        let factor = self.factor;
        let is_short = waits > MANY_WAITS && used > RANDOM_WAITS_UTILISATION * factor;
        self.factor = match entries {
            EntryState::Limited | EntryState::Open if is_short => {
                (factor * (1.0 - CHANGE)).max(MIN_FACTOR)
            }
            EntryState::Limited if has_room => (factor * (1.0 + CHANGE)).min(MAX_FACTOR),
            // The calls that the reduced capacity excludes run without a wait. Nodes of earlier
            // versions go on sending them, so that no other state would follow.
            EntryState::Exceeding if has_room && factor < 1.0 => (factor * (1.0 + CHANGE)).min(1.0),
            // Nothing is refused, so the earlier correction is outdated.
            EntryState::Open if has_room => factor + (1.0 - factor).clamp(-CHANGE, CHANGE),
            _ => factor,
        };
    }
}
