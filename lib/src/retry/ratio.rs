//! The ratio of retries to first sends for one pool, over a sliding window.

use {super::Settings, crate::time::Instant, std::time::Duration};

const PERMILLE: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    first_sends: u64,
    retries: u64,
}

/// Counts sends to one pool in two halves of the window.
///
/// Counts, and not saved tokens, bound the retries, so that a quiet time earns nothing for the
/// overload after it.
#[derive(Debug)]
pub struct Ratio {
    permille: u64,
    half: Duration,
    floor_per_second: u64,
    half_start: Instant,
    current: Count,
    previous: Count,
    floor_start: Instant,
    floor_used: u64,
    withheld: u64,
}

impl Ratio {
    /// Makes a ratio without sends.
    pub fn new(now: Instant, settings: &Settings) -> Self {
        Self {
            permille: settings.ratio_permille.into(),
            half: Duration::from_millis((settings.window_ms / 2).max(1)),
            floor_per_second: settings.floor_per_second.into(),
            half_start: now,
            current: Count::default(),
            previous: Count::default(),
            floor_start: now,
            floor_used: 0,
            withheld: 0,
        }
    }

    /// Counts a first send.
    pub fn record_first_send(&mut self, now: Instant) {
        self.slide(now);
        self.current.first_sends += 1;
    }

    /// Counts a send that belongs to a retry made elsewhere.
    pub fn record_retry(&mut self, now: Instant) {
        self.slide(now);
        self.current.retries += 1;
    }

    /// Takes one retry, if a part of the ratio, between 0 and 1, has room for it.
    pub fn try_take_share(&mut self, now: Instant, part: f64) -> bool {
        self.slide(now);
        let sends = self.current.first_sends + self.previous.first_sends;
        let retries = self.current.retries + self.previous.retries;
        let bound = (sends * self.permille) as f64 * part;
        let has_room = ((retries + 1) * PERMILLE) as f64 <= bound;
        match has_room {
            true => self.current.retries += 1,
            false => self.withheld += 1,
        }
        has_room
    }

    /// Takes one retry, if the ratio has room for it.
    ///
    /// Without overload a small floor applies besides, so that a pool with little traffic gets a
    /// retry away from a target that is leaving.
    pub fn try_take(&mut self, now: Instant, is_overload: bool) -> bool {
        self.slide(now);
        let sends = self.current.first_sends + self.previous.first_sends;
        let retries = self.current.retries + self.previous.retries;
        if (retries + 1) * PERMILLE <= sends * self.permille {
            self.current.retries += 1;
            return true;
        }
        let is_taken = !is_overload && self.take_floor(now);
        if !is_taken {
            self.withheld += 1;
        }
        is_taken
    }

    /// Returns the first sends in the window.
    pub fn first_sends(&self, now: Instant) -> u64 {
        self.at(now).iter().map(|count| count.first_sends).sum()
    }

    /// Returns the retries in the window, without those of the floor.
    pub fn retries(&self, now: Instant) -> u64 {
        self.at(now).iter().map(|count| count.retries).sum()
    }

    /// Returns the number of retries withheld so far.
    pub fn withheld(&self) -> u64 {
        self.withheld
    }

    fn at(&self, now: Instant) -> [Count; 2] {
        let age = now - self.half_start;
        if age < self.half {
            [self.current, self.previous]
        } else if age < self.half * 2 {
            [Count::default(), self.current]
        } else {
            [Count::default(); 2]
        }
    }

    fn slide(&mut self, now: Instant) {
        let age = now - self.half_start;
        if age < self.half {
            return;
        }
        [self.current, self.previous] = self.at(now);
        let halves = age.as_nanos() / self.half.as_nanos();
        let halves = u32::try_from(halves).unwrap_or(u32::MAX);
        self.half_start += self.half.saturating_mul(halves);
    }

    fn take_floor(&mut self, now: Instant) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        if now - self.floor_start >= SECOND {
            self.floor_start = now;
            self.floor_used = 0;
        }
        let has_room = self.floor_used < self.floor_per_second;
        self.floor_used += u64::from(has_room);
        has_room
    }
}
