//! Limits the ratio of retries to first sends for one pool over a sliding window.

use {super::Settings, crate::time::Instant, std::time::Duration};

const PERMILLE: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    first_sends: u64,
    retries: u64,
}

/// The sends to one pool, counted in two halves of the window.
///
/// Retries are limited by these counts instead of a token bucket, so that an idle period does not
/// accumulate retries that could be spent in a later overload.
#[derive(Debug)]
pub struct Ratio {
    permille: u64,
    half: Duration,
    floor_per_second: u64,
    half_start: Instant,
    current: Counts,
    previous: Counts,
    floor_start: Instant,
    floor_used: u64,
    withheld: u64,
}

impl Ratio {
    /// Creates a ratio without sends.
    pub fn new(now: Instant, settings: &Settings) -> Self {
        Self {
            permille: settings.ratio_permille.into(),
            half: Duration::from_millis((settings.window_ms / 2).max(1)),
            floor_per_second: settings.floor_per_second.into(),
            half_start: now,
            current: Counts::default(),
            previous: Counts::default(),
            floor_start: now,
            floor_used: 0,
            withheld: 0,
        }
    }

    /// Records a first send.
    pub fn record_first_send(&mut self, now: Instant) {
        self.advance_window(now);
        self.current.first_sends += 1;
    }

    /// Takes one retry if the ratio allows it.
    ///
    /// Without overload, a small floor is allowed in addition, so that a call to a pool with little
    /// traffic can still be retried when its target is leaving.
    pub fn try_take(&mut self, now: Instant, is_overload: bool) -> bool {
        self.advance_window(now);
        let sends = self.current.first_sends + self.previous.first_sends;
        let retries = self.current.retries + self.previous.retries;
        if (retries + 1) * PERMILLE <= sends * self.permille {
            self.current.retries += 1;
            return true;
        }
        let is_taken = !is_overload && self.try_take_floor(now);
        if !is_taken {
            self.withheld += 1;
        }
        is_taken
    }

    /// Returns the number of first sends in the window.
    pub fn first_sends(&self, now: Instant) -> u64 {
        self.counts_at(now).iter().map(|count| count.first_sends).sum()
    }

    /// Returns the number of retries in the window, without those allowed by the floor.
    pub fn retries(&self, now: Instant) -> u64 {
        self.counts_at(now).iter().map(|count| count.retries).sum()
    }

    /// Returns the number of retries denied so far.
    pub fn withheld(&self) -> u64 {
        self.withheld
    }

    fn counts_at(&self, now: Instant) -> [Counts; 2] {
        let age = now - self.half_start;
        if age < self.half {
            [self.current, self.previous]
        } else if age < self.half * 2 {
            [Counts::default(), self.current]
        } else {
            [Counts::default(); 2]
        }
    }

    fn advance_window(&mut self, now: Instant) {
        let age = now - self.half_start;
        if age < self.half {
            return;
        }
        [self.current, self.previous] = self.counts_at(now);
        let halves = age.as_nanos() / self.half.as_nanos();
        let halves = u32::try_from(halves).unwrap_or(u32::MAX);
        self.half_start += self.half.saturating_mul(halves);
    }

    fn try_take_floor(&mut self, now: Instant) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        if now - self.floor_start >= SECOND {
            self.floor_start = now;
            self.floor_used = 0;
        }
        let is_allowed = self.floor_used < self.floor_per_second;
        self.floor_used += u64::from(is_allowed);
        is_allowed
    }
}
