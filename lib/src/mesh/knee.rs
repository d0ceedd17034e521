//! The concurrency limit of a target that slows down when nearly all of its slots are used.
//!
//! Some targets need longer for each call when they run more than about 95 % of their slots, so that
//! they finish more calls per second with a few slots less. Whether a target does is found by a
//! trial while calls wait for a slot, since only then the limit matters.
//! See docs/design/uneven-load.md.

use {crate::time::Instant, std::time::Duration};

/// The fraction of the slots that the reduced limit uses. The slowdown begins at 95 %.
const REDUCED_FRACTION: f64 = 0.94;
/// The smallest number of slots for which limits are tried. With fewer, one slot is more than 6 %.
const MIN_SLOTS: usize = 16;
/// The duration of the trial of one limit.
const TRIAL: Duration = Duration::from_millis(400);
/// The duration of the trial of one limit after which it is dropped for lack of calls.
const MAX_TRIAL: Duration = Duration::from_secs(2);
/// The number of calls that a limit is judged by.
const MIN_CALLS: u32 = 200;
/// How long the better limit is kept.
const KEEP: Duration = Duration::from_secs(5);
/// The reduced limit is given up if no call has waited for a slot for this long. It must outlast
/// short gaps in the queue, or else the target would be filled and slowed down after each of them.
const QUEUE_MEMORY: Duration = Duration::from_secs(1);
/// The gain by which the reduced limit must be better. With 200 calls whose times vary by half, the
/// measured gain is off by 5 %; the gain at a target that slows down by 1.3 is 22 %.
const MIN_GAIN: f64 = 1.05;
/// The relative difference of the mean paces in the two trials above which both are repeated. The
/// pace has probably changed for another cause, which would be taken for an effect of the limit.
const MAX_PACE_DIFFERENCE: f64 = 0.1;
/// The number of times after which the mean of all trials decides. If the pace differs each time, it
/// does so because of the limit.
const MAX_ROUNDS: u32 = 4;

/// A concurrency limit relative to the slots of the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Limit {
    /// All slots.
    #[default]
    All,
    /// A few slots less than all.
    Reduced,
}

impl Limit {
    /// Returns the number of concurrent calls that it allows at a target with this many slots.
    pub fn of(self, slots: usize) -> usize {
        match self {
            Self::All => slots,
            Self::Reduced => (slots as f64 * REDUCED_FRACTION) as usize,
        }
    }
}

/// A change of the limit that is kept, as opposed to one that is tried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit that is kept from now on.
    pub limit: Limit,
    /// The calls finished per second with the reduced limit relative to all slots, if the change
    /// follows from a trial.
    pub gain: Option<f64>,
}

/// What was measured at one limit.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    calls: u32,
    latency_s: f64,
    pace: f64,
}

impl Sample {
    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.latency_s += other.latency_s;
        self.pace += other.pace;
    }

    fn mean_latency_s(&self) -> f64 {
        self.latency_s / f64::from(self.calls)
    }

    fn mean_pace(&self) -> f64 {
        self.pace / f64::from(self.calls)
    }
}

/// What was measured at both limits.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    all: Sample,
    reduced: Sample,
}

impl Comparison {
    fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.reduced.add(&other.reduced);
    }

    /// Returns whether the target's pace was about the same at both limits.
    fn is_even(&self) -> bool {
        let ratio = self.all.mean_pace() / self.reduced.mean_pace();
        (ratio - 1.0).abs() <= MAX_PACE_DIFFERENCE
    }

    /// Returns the calls finished per second with the reduced limit, relative to all slots.
    fn gain(&self) -> f64 {
        REDUCED_FRACTION * self.all.mean_latency_s() / self.reduced.mean_latency_s()
    }
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    limit: Limit,
    started: Instant,
    /// Calls that end before this time ran in part under the previous limit.
    settled: Instant,
    round: u32,
    current: Comparison,
    earlier_rounds: Comparison,
}

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// No call waits, so that all slots are used.
    #[default]
    Idle,
    Trying(Trial),
    /// The limit in [`Knee::kept`] is kept until this time.
    Keeping(Instant),
}

/// The trial of limits at one target, and the limit that follows from it.
#[derive(Debug, Default)]
pub struct Knee {
    phase: Phase,
    kept: Limit,
    last_contended: Option<Instant>,
}

impl Knee {
    /// Returns the limit in use.
    pub fn limit(&self) -> Limit {
        match self.phase {
            Phase::Idle => Limit::All,
            Phase::Trying(trial) => trial.limit,
            Phase::Keeping(_) => self.kept,
        }
    }

    /// Records a call that ended now. `pace` is the time that work takes on the target's machine, as
    /// a multiple of the usual time. Calls during which it changed are not recorded, since they would
    /// count for the wrong pace.
    pub fn record_call(&mut self, now: Instant, latency: Duration, pace: f64) {
        let Phase::Trying(trial) = &mut self.phase else { return };
        if now < trial.settled {
            return;
        }
        let sample = match trial.limit {
            Limit::All => &mut trial.current.all,
            Limit::Reduced => &mut trial.current.reduced,
        };
        sample.add(&Sample { calls: 1, latency_s: latency.as_secs_f64(), pace });
    }

    /// Begins, continues or ends a trial. `is_contended` tells whether calls wait although as many
    /// run as the limit allows, and `latency_s` is the mean time of calls.
    pub fn tick(
        &mut self,
        now: Instant,
        slots: usize,
        is_contended: bool,
        latency_s: f64,
    ) -> Option<Change> {
        if is_contended {
            self.last_contended = Some(now);
        }
        let settled = now + Duration::from_secs_f64(latency_s);
        match self.phase {
            _ if slots < MIN_SLOTS => self.stop(),
            Phase::Idle | Phase::Keeping(_) if !self.has_queue(now) => self.stop(),
            Phase::Keeping(until) if now < until => None,
            Phase::Idle | Phase::Keeping(_) if is_contended => {
                self.phase = Phase::Trying(Trial::new(now, settled));
                None
            }
            Phase::Idle | Phase::Keeping(_) => None,
            // The target keeps up with all of its slots.
            Phase::Trying(Trial { limit: Limit::All, .. }) if !is_contended => self.stop(),
            Phase::Trying(trial) if !trial.is_complete(now) => {
                match now - trial.started >= MAX_TRIAL {
                    true => self.stop(),
                    false => None,
                }
            }
            Phase::Trying(trial) => self.finish_trial(now, settled, trial),
        }
    }

    /// Forgets everything, since another instance has taken the target's place or its number of
    /// slots has changed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn has_queue(&self, now: Instant) -> bool {
        self.last_contended.is_some_and(|at| now - at < QUEUE_MEMORY)
    }

    /// Uses all slots until calls wait again.
    fn stop(&mut self) -> Option<Change> {
        self.phase = Phase::Idle;
        self.keep(Limit::All, None)
    }

    fn keep(&mut self, limit: Limit, gain: Option<f64>) -> Option<Change> {
        let last = std::mem::replace(&mut self.kept, limit);
        (last != limit).then_some(Change { limit, gain })
    }

    /// Goes on with the other limit, or keeps the better one.
    fn finish_trial(&mut self, now: Instant, settled: Instant, trial: Trial) -> Option<Change> {
        let Trial { limit, round, current, mut earlier_rounds, .. } = trial;
        if limit == Limit::All {
            let limit = Limit::Reduced;
            self.phase = Phase::Trying(Trial { limit, started: now, settled, ..trial });
            return None;
        }
        earlier_rounds.add(&current);
        if !current.is_even() && round < MAX_ROUNDS {
            let round = round + 1;
            self.phase = Phase::Trying(Trial { round, earlier_rounds, ..Trial::new(now, settled) });
            return None;
        }
        let gain = if current.is_even() { current.gain() } else { earlier_rounds.gain() };
        let limit = if gain >= MIN_GAIN { Limit::Reduced } else { Limit::All };
        self.phase = Phase::Keeping(now + KEEP);
        self.keep(limit, Some(gain))
    }
}

impl Trial {
    fn new(now: Instant, settled: Instant) -> Self {
        Self {
            limit: Limit::All,
            started: now,
            settled,
            round: 1,
            current: Comparison::default(),
            earlier_rounds: Comparison::default(),
        }
    }

    fn is_complete(&self, now: Instant) -> bool {
        let Sample { calls, .. } = match self.limit {
            Limit::All => self.current.all,
            Limit::Reduced => self.current.reduced,
        };
        now - self.started >= TRIAL && calls >= MIN_CALLS
    }
}
