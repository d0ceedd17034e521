//! Bounds on the requests per second of targets that are cold.
//!
//! A target that has just started, or that became cold again, takes only few requests per second,
//! and crashes under many more. The node beside it sees all its requests, so it keeps the bound, by
//! what the nearest witnesses say. See docs/design/uneven-load.md.

use {
    super::{
        bucket::{BURST, Bucket, MIN_RATE, rate_under},
        fact::Heartbeat,
    },
    crate::{time::Instant, unit::RequestRate},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// The starts of this time before the target became cold count against the bound, which holds in each
/// span of one second.
const SPAN_S: f64 = 1.0;
/// The time in which the rate doubles after the end of the cold time.
const DOUBLING: Duration = Duration::from_millis(250);
/// The number of doublings after which there is no bound. The rate is then 4,096 times that of the
/// cold target, which is above that of any warm one.
const MAX_DOUBLINGS: f64 = 12.0;
/// The shortest time between two health checks while it is not known whether the target is cold.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same time after a connection broke though the target is up. Health checks are priced, and a
/// target may break connections again and again.
const BROKEN_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The time without a new entry after which the target itself is asked. Targets renew their entries
/// about every two seconds, so the node or the target is cut off from the store.
const SILENCE: Duration = Duration::from_secs(3);
/// A stated remaining time counts for at most the configured cold time, times this number. A target
/// may state one in another unit by mistake.
const MAX_STATED_COLD_TIMES: u32 = 2;
/// The end of a cold time that is not known yet.
const UNKNOWN_END: Instant = Instant::from_nanos(u64::MAX);
/// Keeps rounding from delaying a start by another wait.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// The bound on the targets of a pool while they are cold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limit {
    /// How long a target is cold after its start.
    pub duration: Duration,
    /// How many requests per second a cold target takes from all nodes together.
    pub rate: RequestRate,
}

impl Limit {
    /// Returns the longest remaining time that a target may state.
    pub fn max_remaining(&self) -> Duration {
        self.duration.saturating_mul(MAX_STATED_COLD_TIMES)
    }
}

/// By what a target is known to be cold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Witness {
    /// The node has just started, and its target may have started with it.
    Start,
    /// The target's entry in the store.
    Entry,
    /// The target crashed or did not accept connections.
    Observation,
    /// The target's answer to a health check.
    Health,
}

impl Witness {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Entry => "entry",
            Self::Observation => "observation",
            Self::Health => "health",
        }
    }
}

/// A change of the target's state, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The target has become cold.
    Began {
        /// The witness with the latest end.
        witness: Witness,
        /// How long the target stays cold, if known.
        remaining: Option<Duration>,
    },
    /// The target is not cold any more.
    Ended,
}

/// What one witness says.
#[derive(Clone, Copy, Debug)]
struct Claim {
    made_at: Instant,
    until: Instant,
    /// The remaining time that the target stated, and when that was received.
    stated: Option<(Instant, Duration)>,
}

impl Claim {
    fn new(made_at: Instant, until: Instant) -> Self {
        Self { made_at, until, stated: None }
    }

    fn stated(made_at: Instant, now: Instant, remaining: Duration) -> Self {
        Self { made_at, until: now + remaining, stated: Some((now, remaining)) }
    }

    /// Shortens a remaining time that exceeds what the bound allows, and returns it if it does.
    fn restrict(&mut self, limit: Limit) -> Option<Duration> {
        let (at, remaining) = self.stated?;
        self.until = at + remaining.min(limit.max_remaining());
        (remaining > limit.max_remaining()).then_some(remaining)
    }
}

/// Whether the target stated a longer remaining time than counts.
#[derive(Clone, Copy, Debug, Default)]
enum Excess {
    #[default]
    None,
    /// It did, and it is not logged yet.
    Unreported(Duration),
    Reported,
}

/// The bound on the starts of calls at the node's own target. It does nothing without a [`Limit`].
#[derive(Clone, Debug, Default)]
pub struct Guard {
    limit: Option<Limit>,
    claims: BTreeMap<Witness, Claim>,
    /// Whether a witness other than the start of the node has spoken.
    has_witness: bool,
    /// The heartbeat of the last entry and the remaining cold time in it.
    entry: Option<(Heartbeat, Duration)>,
    /// When an entry or a health answer was last received.
    received_at: Instant,
    /// The end of the cold time, also while the rate rises after it.
    cold_until: Option<Instant>,
    /// Whether only the start of the node speaks for the cold time.
    is_assumed: bool,
    /// Counts the starts also while the target is not cold, so that it is in debt when the target
    /// becomes cold.
    bucket: Option<Bucket>,
    /// The bucket of the time after the cold time.
    ramp: Option<Bucket>,
    last_check: Option<Instant>,
    is_check_requested: bool,
    was_cold: bool,
    held_back: u64,
    excess: Excess,
}

impl Guard {
    /// Sets the bound on cold targets of the own pool.
    ///
    /// The first one of a node makes its target count as cold until a witness says otherwise.
    pub fn set_limit(&mut self, now: Instant, limit: Option<Limit>) {
        let is_first = self.limit.is_none() && limit.is_some() && self.bucket.is_none();
        self.limit = limit;
        let Some(limit) = limit else { return };
        let rate = base_rate(limit);
        let new = Bucket::new(now, rate, capacity(rate));
        self.bucket.get_or_insert(new).advance(now, rate, capacity(rate));
        if is_first {
            self.received_at = self.received_at.max(now);
            if !self.has_witness {
                self.claims.insert(Witness::Start, Claim::new(now, now + limit.duration));
            }
        }
        self.update(now);
    }

    /// Records an entry of the target. Its remaining time is counted from now, since it is not known
    /// when it was written. A bound that holds for too long costs less than one that ends too early.
    pub fn record_entry(&mut self, now: Instant, heartbeat: Heartbeat, remaining: Duration) {
        let is_taken = match self.entry {
            None => true,
            Some((last, _)) if heartbeat > last => {
                // The target has written this after the node's first look at its entry.
                self.claims.remove(&Witness::Start);
                self.has_witness = true;
                true
            }
            // Nodes of earlier versions pass on entries without the remaining time.
            Some((last, known)) => heartbeat == last && remaining > known,
        };
        if is_taken {
            self.entry = Some((heartbeat, remaining));
            self.received_at = now;
            self.claims.insert(Witness::Entry, Claim::stated(now, now, remaining));
        }
        self.update(now);
    }

    /// Records the answer to a health check that was sent at `asked_at`. It ends what was claimed
    /// before that.
    pub fn record_health(&mut self, asked_at: Instant, now: Instant, remaining: Duration) {
        self.claims.retain(|_, claim| claim.made_at > asked_at);
        self.claims.insert(Witness::Health, Claim::stated(asked_at, now, remaining));
        self.has_witness = true;
        self.received_at = now;
        self.is_check_requested = false;
        self.update(now);
    }

    /// Records that the target crashed or does not accept connections.
    pub fn record_down(&mut self, now: Instant) {
        if self.limit.is_some() {
            self.claims.insert(Witness::Observation, Claim::new(now, UNKNOWN_END));
            self.update(now);
        }
    }

    /// Records that the target accepts connections again.
    pub fn record_up(&mut self, now: Instant) {
        let Some(limit) = self.limit.filter(|_| self.is_down()) else { return };
        let claim = Claim::new(now, now + limit.duration);
        self.claims.insert(Witness::Observation, claim);
        self.update(now);
    }

    /// Returns whether the target did not accept connections when this was last tried. It is not
    /// known without a bound, since no connection is tried for it then.
    pub fn is_down(&self) -> bool {
        let observation = self.claims.get(&Witness::Observation);
        self.limit.is_some() && observation.is_some_and(|claim| claim.until == UNKNOWN_END)
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.limit.is_some() && self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the rate at which calls may start now, if there is a bound.
    pub fn rate(&self, now: Instant) -> Option<RequestRate> {
        self.rate_per_second(now).and_then(|rate| rate.try_into().ok())
    }

    /// Returns whether a call may start now.
    pub fn may_start(&mut self, now: Instant) -> bool {
        if let (Some(limit), Some(bucket)) = (self.limit, &mut self.bucket) {
            let rate = base_rate(limit);
            bucket.advance(now, rate, capacity(rate));
        }
        if let Some(rate) = self.rate_per_second(now).filter(|_| !self.is_cold(now)) {
            let mut ramp = self.ramp_bucket(now);
            ramp.advance(now, rate, capacity(rate));
            self.ramp = Some(ramp);
        }
        self.wait(now, 0).is_zero()
    }

    /// Counts the start of a call.
    pub fn record_start(&mut self, now: Instant) {
        if let (Some(limit), Some(bucket)) = (self.limit, &mut self.bucket) {
            let rate = base_rate(limit);
            bucket.advance(now, rate, capacity(rate));
            bucket.take(rate * SPAN_S);
        }
        if let Some(ramp) = &mut self.ramp {
            ramp.take(f64::INFINITY);
        }
    }

    /// Counts a call that found a free slot and had to wait or was refused because of the bound.
    pub fn record_held_back(&mut self) {
        self.held_back += 1;
    }

    /// Returns the number of calls that were held back by the bound.
    pub fn held_back(&self) -> u64 {
        self.held_back
    }

    /// Returns the time until a call may start before which `ahead` others start.
    pub fn wait(&self, now: Instant, ahead: usize) -> Duration {
        let Some(rate) = self.rate_per_second(now) else { return Duration::ZERO };
        let bucket = match self.is_cold(now) {
            true => self.bucket,
            false => Some(self.ramp_bucket(now)),
        };
        let missing = bucket.map_or((ahead + 1) as f64, |bucket| bucket.missing(now, ahead));
        match missing > TOKEN_TOLERANCE {
            true => Duration::from_secs_f64(missing / rate),
            false => Duration::ZERO,
        }
    }

    /// Asks for a health check, since the target may have started again unnoticed.
    pub fn request_check(&mut self) {
        self.is_check_requested = true;
    }

    /// Returns whether a health check of the target is due.
    pub fn is_check_due(&self, now: Instant) -> bool {
        let is_active = |witness| self.claims.get(&witness).is_some_and(|claim| now < claim.until);
        let is_unsure = is_active(Witness::Start) || is_active(Witness::Observation);
        let (since, interval) = match (is_unsure, self.is_check_requested) {
            (true, _) => (self.last_check, CHECK_INTERVAL),
            (false, true) => (self.last_check, BROKEN_CHECK_INTERVAL),
            (false, false) => (self.last_check.max(Some(self.received_at)), SILENCE),
        };
        self.limit.is_some() && since.is_none_or(|at| now - at >= interval)
    }

    /// Records that a health check was sent.
    pub fn record_check(&mut self, now: Instant) {
        self.last_check = Some(now);
        self.is_check_requested = false;
    }

    /// Returns whether the target has become cold or ceased to be since the last call.
    pub fn take_change(&mut self, now: Instant) -> Option<Change> {
        let is_cold = self.is_cold(now);
        if std::mem::replace(&mut self.was_cold, is_cold) == is_cold {
            return None;
        }
        let latest = self.claims.iter().max_by_key(|(_, claim)| claim.until);
        match latest.filter(|_| is_cold) {
            Some((witness, claim)) => Some(Change::Began {
                witness: *witness,
                remaining: (claim.until != UNKNOWN_END).then(|| claim.until - now),
            }),
            None => Some(Change::Ended),
        }
    }

    /// Returns the remaining time that the target stated, if that was more than counts and was not
    /// returned since another instance took the target's place.
    pub fn take_excess(&mut self) -> Option<Duration> {
        let Excess::Unreported(remaining) = self.excess else { return None };
        self.excess = Excess::Reported;
        Some(remaining)
    }

    /// Makes the next remaining time that is too long count as the first, since another instance has
    /// taken the target's place.
    pub fn forget_excess(&mut self) {
        self.excess = Excess::None;
    }

    /// Derives the end of the cold time from the claims.
    fn update(&mut self, now: Instant) {
        if let Some(limit) = self.limit {
            let excess = self.claims.values_mut().filter_map(|claim| claim.restrict(limit)).max();
            if let (Some(remaining), Excess::None) = (excess, self.excess) {
                self.excess = Excess::Unreported(remaining);
            }
        }
        let was_cold = self.cold_until.is_some_and(|until| now < until);
        self.claims.retain(|_, claim| now < claim.until);
        let latest = self.claims.values().map(|claim| claim.until).max();
        let cold_until = match latest {
            Some(until) => Some(until),
            // Where nothing but the start of the node spoke for it, the target was warm all along.
            None if was_cold => (!self.is_assumed).then_some(now),
            None => self.cold_until,
        };
        self.is_assumed = self.claims.keys().all(|witness| *witness == Witness::Start);
        if cold_until != self.cold_until {
            self.cold_until = cold_until;
            self.ramp = None;
        }
    }

    fn ramp_bucket(&self, now: Instant) -> Bucket {
        let rate = self.limit.map_or(MIN_RATE, base_rate);
        self.ramp.unwrap_or(Bucket::new(self.cold_until.unwrap_or(now), rate, capacity(rate)))
    }

    fn rate_per_second(&self, now: Instant) -> Option<f64> {
        let (limit, until) = (self.limit?, self.cold_until?);
        if now < until {
            return Some(base_rate(limit));
        }
        let doublings = (now - until).as_secs_f64() / DOUBLING.as_secs_f64();
        (doublings < MAX_DOUBLINGS).then(|| base_rate(limit) * doublings.exp2())
    }
}

fn base_rate(limit: Limit) -> f64 {
    rate_under(limit.rate)
}

/// Returns how many calls may start at once: one in addition to what has accumulated.
fn capacity(rate: f64) -> f64 {
    rate * BURST.as_secs_f64() + 1.0
}
