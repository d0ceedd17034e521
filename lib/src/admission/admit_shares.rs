//! The fraction of each class's and account's calls that the nodes upstream should send.
//!
//! A share is lowered until only a small fraction of the arriving calls is refused here, and raised
//! as soon as there is spare capacity. This bounds the work that upstream pools waste on calls that
//! are refused here, while arrivals still slightly exceed the capacity. See
//! docs/design/pressure.md.

use {
    crate::{id, pressure, table::Class, time::Instant},
    std::{collections::BTreeMap, time::Duration},
};

/// The interval at which shares are updated.
const WINDOW: Duration = Duration::from_millis(100);
/// The fraction of arriving calls that may be refused without lowering the share.
const REFUSED_GOAL: f64 = 0.05;
/// Minimum number of arrivals in a window for a significant refusal rate.
const MIN_OFFERED: u32 = 20;
/// The factor applied to a share after a window with few refusals.
const SLOW_GROWTH: f64 = 1.1;
/// The factor applied to a share after a window at whose end the class has a standing queue.
const STANDING_DECREASE: f64 = 0.9;
/// The factor applied to a share after a window in which the target had spare capacity.
const FAST_GROWTH: f64 = 2.0;
/// The fraction of a window during which capacity must have been spare for the window to count as
/// one with spare capacity.
const SPARE_TIME_SHARE: f64 = 0.2;
/// The lower bound of a share. Some calls must still arrive to show when capacity is available.
const MIN_SHARE: f64 = 0.02;
/// The maximum number of tracked pairs of class and account.
const MAX_SLICES: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct ShareState {
    admit: f64,
    offered: u32,
    refused: u32,
}

impl Default for ShareState {
    fn default() -> Self {
        Self { admit: 1.0, offered: 0, refused: 0 }
    }
}

impl ShareState {
    fn update(&mut self, had_spare_capacity: bool, is_standing: bool) {
        let refused_share = f64::from(self.refused) / f64::from(self.offered.max(1));
        let factor = if had_spare_capacity {
            FAST_GROWTH
        } else if refused_share <= REFUSED_GOAL && is_standing {
            STANDING_DECREASE
        } else if refused_share <= REFUSED_GOAL {
            SLOW_GROWTH
        } else {
            (1.0 - refused_share) / (1.0 - REFUSED_GOAL)
        };
        self.admit = (self.admit * factor).clamp(MIN_SHARE, 1.0);
        self.offered = 0;
        self.refused = 0;
    }

    fn is_idle(&self) -> bool {
        self.admit >= 1.0 && self.offered == 0
    }
}

/// The shares of all classes and accounts for one target.
#[derive(Clone, Debug)]
pub struct AdmitShares {
    shares: BTreeMap<(Class, Option<id::Account>), ShareState>,
    window_start: Instant,
    last_tick: Instant,
    has_spare_capacity: bool,
    spare_time: Duration,
}

impl AdmitShares {
    /// Starts with full shares.
    pub fn new(now: Instant) -> Self {
        Self {
            shares: BTreeMap::new(),
            window_start: now,
            last_tick: now,
            has_spare_capacity: false,
            spare_time: Duration::ZERO,
        }
    }

    /// Records an arriving call.
    pub fn record_offered(&mut self, class: Class, account: &Option<id::Account>) {
        let key = (class, account.clone());
        if self.shares.len() < MAX_SLICES || self.shares.contains_key(&key) {
            self.shares.entry(key).or_default().offered += 1;
        }
    }

    /// Records the refusal of a call that had arrived.
    pub fn record_refused(&mut self, class: Class, account: &Option<id::Account>) {
        if let Some(share) = self.shares.get_mut(&(class, account.clone())) {
            share.refused += 1;
        }
    }

    /// Updates the shares at the end of each window.
    pub fn tick(
        &mut self,
        now: Instant,
        has_spare_capacity: bool,
        is_standing: [bool; Class::ALL.len()],
    ) {
        if self.has_spare_capacity {
            self.spare_time += now - self.last_tick;
        }
        self.last_tick = now;
        self.has_spare_capacity = has_spare_capacity;
        let window = now - self.window_start;
        if window < WINDOW {
            return;
        }
        let had_spare_capacity = self.spare_time >= window.mul_f64(SPARE_TIME_SHARE);
        self.shares.retain(|_, share| !share.is_idle());
        for ((class, _), share) in &mut self.shares {
            let is_significant = share.offered >= MIN_OFFERED || share.refused == 0;
            if is_significant || had_spare_capacity {
                share.update(had_spare_capacity, is_standing[class.index()]);
            }
        }
        self.window_start = now;
        self.spare_time = Duration::ZERO;
    }

    /// Returns the shares below one in ascending order, at most [`pressure::MAX_SLICES`].
    pub fn slices(&self) -> Vec<pressure::Slice> {
        let reduced = self.shares.iter().filter(|(_, share)| share.admit < 1.0);
        let mut slices: Vec<_> = reduced
            .map(|((class, account), share)| pressure::Slice {
                class: *class,
                account: account.clone(),
                admit: pressure::Share::from_f64(share.admit),
            })
            .collect();
        slices.sort_by_key(|slice| slice.admit);
        slices.truncate(pressure::MAX_SLICES);
        slices
    }
}
