//! The times in which a node could not learn what the store says.

use std::time::{Duration, Instant};

/// What keeps nodes from learning what the store says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The store does not answer, or its watches report no changes.
    Store,
    /// The store lost its last writes to a restore from a copy, and they are not written again yet.
    Restore,
    /// The machine is cut off from the store.
    Cut(usize),
    /// The node of the machine is paused.
    Pause(usize),
}

impl Cause {
    fn affects(self, machine: usize) -> bool {
        match self {
            Self::Store | Self::Restore => true,
            Self::Cut(other) | Self::Pause(other) => other == machine,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    cause: Cause,
    from: Instant,
    until: Option<Instant>,
}

/// All disturbances of a soak.
#[derive(Clone, Debug, Default)]
pub struct Log {
    disturbances: Vec<Disturbance>,
}

impl Log {
    /// Records that a cause begins. It may have begun already.
    pub fn begin(&mut self, at: Instant, cause: Cause) {
        if !self.disturbances.iter().any(|other| other.cause == cause && other.until.is_none()) {
            self.disturbances.push(Disturbance { cause, from: at, until: None });
        }
    }

    /// Records that a cause has ended.
    pub fn end(&mut self, at: Instant, cause: Cause) {
        let open = |other: &&mut Disturbance| other.cause == cause && other.until.is_none();
        if let Some(disturbance) = self.disturbances.iter_mut().find(open) {
            disturbance.until = Some(at);
        }
    }

    /// Returns when the node of a machine has to comply with what was written at a time, if it has
    /// `limit` for that from when nothing keeps it from learning. `None` if that never came.
    pub fn binds_from(&self, machine: usize, written: Instant, limit: Duration) -> Option<Instant> {
        let mut binds_from = written + limit;
        // They are in the order of their starts, so that each can only move the time further.
        let of_machine = self.disturbances.iter().filter(|other| other.cause.affects(machine));
        for disturbance in of_machine {
            if disturbance.from >= binds_from {
                continue;
            }
            let until = disturbance.until?;
            if until > written {
                binds_from = binds_from.max(until + limit);
            }
        }
        Some(binds_from)
    }
}
