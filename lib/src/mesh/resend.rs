//! Resends to one pool, bounded over the fleet.
//!
//! The platform bounds the arrivals beyond the first of each request, and counts the calls of a run
//! that repeats an earlier one as repeats too. Each node keeps the bound for the requests that it
//! sends on itself, and what its calls inherit uses the bound up first.
//!
//! Where the bound does not suffice, the requests with the lowest lots are resent as often as they
//! need and the others not at all: a request with several calls succeeds only if all of them do.

use {
    crate::{
        retry::{self, Ratio},
        time::Instant,
    },
    std::time::Duration,
};

/// How often the part of the requests that may be resent is adapted.
const PERIOD: Duration = Duration::from_millis(250);
/// What is left of the part after a period in which the bound did not suffice.
const SHRINK: f64 = 0.8;
/// What the part grows by in a period in which it did.
const GROW: f64 = 0.05;
/// The least part.
const LEAST: f64 = 0.04;

/// The resends to one pool.
#[derive(Debug)]
pub struct Resends {
    ratio: Ratio,
    /// The part of the requests, by lot, that may be resent.
    part: f64,
    adapted: Instant,
    is_short: bool,
}

impl Resends {
    /// Makes a bound of so many resends for a thousand first sends in a window.
    pub fn new(now: Instant, permille: u32, window: Duration) -> Self {
        let settings = retry::Settings {
            ratio_permille: permille,
            window_ms: window.as_millis() as u64,
            floor_per_second: 0,
            ..retry::Settings::default()
        };
        Self { ratio: Ratio::new(now, &settings), part: 1.0, adapted: now, is_short: false }
    }

    /// Counts a first send. One that belongs to a repeated run uses the bound up instead.
    pub fn first_send(&mut self, now: Instant, is_repeat: bool) {
        match is_repeat {
            true => self.ratio.record_retry(now),
            false => self.ratio.record_first_send(now),
        }
    }

    /// Takes one resend for a request with a lot. `share` is the part of the bound that this node
    /// may use.
    pub fn take(&mut self, now: Instant, lot: f64, share: f64) -> bool {
        self.adapt(now);
        if lot > self.part {
            return false;
        }
        let is_taken = self.ratio.try_take_share(now, share);
        self.is_short |= !is_taken;
        is_taken
    }

    fn adapt(&mut self, now: Instant) {
        if now - self.adapted < PERIOD {
            return;
        }
        self.adapted = now;
        self.part = match std::mem::take(&mut self.is_short) {
            true => (self.part * SHRINK).max(LEAST),
            false => (self.part + GROW).min(1.0),
        };
    }
}
