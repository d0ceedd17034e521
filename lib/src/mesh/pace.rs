//! The time that a call takes on a target whose machine changes its pace many times a second.
//!
//! A moving average of the latency follows such changes too late. The node beside the target
//! therefore averages the time that calls take at the usual pace, and multiplies it by the pace that
//! the target named last. See docs/design/uneven-load.md.

use {
    super::announcement::Pace,
    crate::{id, time::Instant},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The age after which a pace no longer tells how fast the target is, so that the usual pace is
/// assumed.
const MAX_AGE: Duration = Duration::from_millis(600);
/// The weight of a new sample in the moving average of the time of calls.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The mean time of calls that is assumed before the first sample.
const INITIAL_MEAN_S: f64 = 0.05;
/// How strongly a change of pace during a call reduces the weight of its time. It is unknown how
/// much of the call ran at which pace; all calls in flight at a change from 100 to 250 together
/// would otherwise replace the mean.
const CHANGE_EXPONENT: i32 = 4;
/// The ratio of the paces at the start and the end of a call down to which they count as the same.
const STEADY_CHANGE: f64 = 0.8;
/// The paces of this many periods of [`RESOLUTION`] are remembered.
const MAX_HISTORY: usize = 128;
/// The shortest period for which a pace is remembered. Paces that follow sooner replace it.
const RESOLUTION: Duration = Duration::from_millis(10);

/// The paces of a target and the mean time of its calls.
#[derive(Debug)]
pub struct Tracker {
    /// The mean time of a call at the usual pace.
    usual_s: f64,
    /// The paces with the times from which they hold, in the order of time.
    history: VecDeque<(Instant, Pace)>,
    /// The last pace and when the target named it.
    last: Option<(Instant, Pace)>,
}

impl Default for Tracker {
    fn default() -> Self {
        Self { usual_s: INITIAL_MEAN_S, history: VecDeque::new(), last: None }
    }
}

impl Tracker {
    /// Records the pace that the target named.
    pub fn record_pace(&mut self, now: Instant, pace: Pace) {
        if let Some((at, last)) = self.last
            && now - at > MAX_AGE
            && last != Pace::USUAL
        {
            self.push(at + MAX_AGE, Pace::USUAL);
        }
        self.last = Some((now, pace));
        match self.history.back() {
            Some((_, last)) if *last == pace => {}
            _ => self.push(now, pace),
        }
    }

    /// Records a call that ended now after it ran for `latency`. Returns the pace at that time, as a
    /// multiple of the usual time, unless it has changed during the call.
    pub fn record_call(&mut self, now: Instant, latency: Duration) -> Option<f64> {
        let at_start = self.pace_at(now - latency).factor();
        let at_end = self.factor(now);
        let change = at_start.min(at_end) / at_start.max(at_end);
        let weight = change.powi(CHANGE_EXPONENT);
        let usual_s = latency.as_secs_f64() / ((at_start + at_end) / 2.0);
        self.usual_s += SAMPLE_WEIGHT * weight * (usual_s - self.usual_s);
        (change >= STEADY_CHANGE).then_some(at_end)
    }

    /// Returns the pace that the target named, unless it is too old.
    pub fn pace(&self, now: Instant) -> Option<Pace> {
        let (at, pace) = self.last?;
        (now - at <= MAX_AGE).then_some(pace)
    }

    /// Returns the time that a call takes at present, in seconds. It is the mean time of calls if
    /// the target names no pace.
    pub fn latency_s(&self, now: Instant) -> f64 {
        self.usual_s * self.factor(now)
    }

    /// Forgets the paces, since another instance has taken the target's place.
    pub fn forget_target(&mut self) {
        self.history.clear();
        self.last = None;
    }

    fn factor(&self, now: Instant) -> f64 {
        self.pace(now).unwrap_or(Pace::USUAL).factor()
    }

    /// Returns the pace at an earlier time, or the first one that is remembered.
    fn pace_at(&self, at: Instant) -> Pace {
        if self.last.is_some_and(|(last, _)| at - last > MAX_AGE) {
            return Pace::USUAL;
        }
        let next = self.history.partition_point(|(from, _)| *from <= at);
        let entry = self.history.get(next.saturating_sub(1));
        entry.map_or(Pace::USUAL, |(_, pace)| *pace)
    }

    fn push(&mut self, from: Instant, pace: Pace) {
        match self.history.back_mut() {
            Some((since, last)) if from - *since < RESOLUTION => *last = pace,
            _ => self.history.push_back((from, pace)),
        }
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

/// How long a pool counts as one whose targets name their pace after the last one did.
const POOL_TTL: Duration = Duration::from_secs(10);

/// The pools whose targets name their pace, as seen by a node that sends them calls.
///
/// The fields of a target's response reach the caller's node, so the pace needs no message.
#[derive(Debug, Default)]
pub struct Pools {
    last_named: BTreeMap<id::Pool, Instant>,
}

impl Pools {
    /// Records that a target of the pool named its pace. Returns whether this is new of the pool.
    pub fn record(&mut self, now: Instant, pool: &id::Pool) -> bool {
        match self.last_named.get_mut(pool) {
            Some(last) => {
                *last = now;
                false
            }
            None => self.last_named.insert(pool.clone(), now).is_none(),
        }
    }

    /// Returns whether targets of the pool name their pace.
    pub fn contains(&self, pool: &id::Pool) -> bool {
        self.last_named.contains_key(pool)
    }

    /// Removes and returns the pools whose targets have ceased to name their pace.
    pub fn take_expired(&mut self, now: Instant) -> Vec<id::Pool> {
        let is_expired = |last: &Instant| now - *last > POOL_TTL;
        let expired = self.last_named.iter().filter(|(_, last)| is_expired(last));
        let expired: Vec<_> = expired.map(|(pool, _)| pool.clone()).collect();
        self.last_named.retain(|_, last| !is_expired(last));
        expired
    }
}
