//! The share of each class and account that the nodes upstream should send.
//!
//! A share falls until only a small part of what arrives is refused here, and rises as soon as there
//! is room. Work that upstream pools do for a call that is then refused here stays small that way,
//! and what arrives still exceeds the capacity a little. See docs/design/pressure.md.

use {
    crate::{id, pressure, table::Class, time::Instant},
    std::{collections::BTreeMap, time::Duration},
};

/// The time between two changes of a share.
const WINDOW: Duration = Duration::from_millis(100);
/// The part of the arriving calls that may be refused without a fall of the share.
const REFUSED_GOAL: f64 = 0.05;
/// Fewer arrivals in a window say too little about a share.
const MIN_OFFERED: u32 = 20;
/// The growth of a share in a window with few refusals.
const SLOW_GROWTH: f64 = 1.1;
/// The fall of a share in a window at whose end calls of the class stand.
const STANDING_FALL: f64 = 0.9;
/// The growth of a share in a window in which the target had room.
const FAST_GROWTH: f64 = 2.0;
/// The part of a window in which the target must have had room to count as having room.
const ROOM_SHARE: f64 = 0.2;
/// The smallest share, so that some calls still arrive and show when there is room.
const MIN_SHARE: f64 = 0.02;
/// The most classes and accounts that are tracked.
const MAX_SLICES: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Share {
    admit: f64,
    offered: u32,
    refused: u32,
}

impl Default for Share {
    fn default() -> Self {
        Self { admit: 1.0, offered: 0, refused: 0 }
    }
}

impl Share {
    fn step(&mut self, had_room: bool, is_standing: bool) {
        let refused = f64::from(self.refused) / f64::from(self.offered.max(1));
        let factor = if had_room {
            FAST_GROWTH
        } else if refused <= REFUSED_GOAL && is_standing {
            STANDING_FALL
        } else if refused <= REFUSED_GOAL {
            SLOW_GROWTH
        } else {
            (1.0 - refused) / (1.0 - REFUSED_GOAL)
        };
        self.admit = (self.admit * factor).clamp(MIN_SHARE, 1.0);
        self.offered = 0;
        self.refused = 0;
    }

    fn is_idle(&self) -> bool {
        self.admit >= 1.0 && self.offered == 0
    }
}

/// The shares of all classes and accounts at one target.
#[derive(Clone, Debug)]
pub struct Levels {
    shares: BTreeMap<(Class, Option<id::Account>), Share>,
    start: Instant,
    last: Instant,
    has_room: bool,
    room: Duration,
}

impl Levels {
    /// Starts with full shares.
    pub fn new(now: Instant) -> Self {
        Self {
            shares: BTreeMap::new(),
            start: now,
            last: now,
            has_room: false,
            room: Duration::ZERO,
        }
    }

    /// Notes a call that arrived.
    pub fn offered(&mut self, class: Class, account: &Option<id::Account>) {
        let key = (class, account.clone());
        if self.shares.len() < MAX_SLICES || self.shares.contains_key(&key) {
            self.shares.entry(key).or_default().offered += 1;
        }
    }

    /// Notes a call that was refused after it arrived.
    pub fn refused(&mut self, class: Class, account: &Option<id::Account>) {
        if let Some(share) = self.shares.get_mut(&(class, account.clone())) {
            share.refused += 1;
        }
    }

    /// Changes the shares at the end of a window.
    pub fn tick(&mut self, now: Instant, has_room: bool, is_standing: [bool; Class::ALL.len()]) {
        if self.has_room {
            self.room += now - self.last;
        }
        self.last = now;
        self.has_room = has_room;
        let window = now - self.start;
        if window < WINDOW {
            return;
        }
        let had_room = self.room >= window.mul_f64(ROOM_SHARE);
        self.shares.retain(|_, share| !share.is_idle());
        for ((class, _), share) in &mut self.shares {
            let is_telling = share.offered >= MIN_OFFERED || share.refused == 0;
            if is_telling || had_room {
                share.step(had_room, is_standing[class.index()]);
            }
        }
        self.start = now;
        self.room = Duration::ZERO;
    }

    /// Returns the shares below one, the smallest first, at most [`pressure::MAX_SLICES`].
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
