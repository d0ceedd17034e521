//! A budget for resending requests to one pool.
//!
//! The platform limits how many times requests arrive beyond the first time, over all nodes. It
//! also counts the calls of a repeated run as repeats. Each node enforces the limit on the requests
//! that it forwards; first sends that belong to repeated runs consume the budget first.
//!
//! When the budget is short, urgent classes go first: the others use only what the needs of more
//! urgent ones leave. Within a class, requests that go to the pool directly come before calls of
//! runs, since one resend completes them. Within these, requests with low hash fractions are resent
//! as often as needed and the others not at all, because a request with several calls succeeds only
//! if all of them do. See part A of docs/design/declining-pools.md.

use {
    super::scarcity::{Class, MAX_CLASSES},
    crate::{retry::Window, time::Instant},
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// The interval at which the fraction of eligible requests is adjusted and needs are counted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// The factor applied to the fraction after an interval in which the budget ran out.
const DECREASE_FACTOR: f64 = 0.8;
/// The increment of the fraction after an interval in which the budget sufficed.
const INCREASE_STEP: f64 = 0.05;
/// The lower limit of the fraction.
const MIN_ELIGIBLE_FRACTION: f64 = 0.04;
/// The weight of the last interval in the mean of the resends asked for, which covers about 1 s.
const MEAN_WEIGHT: f64 = 0.25;
/// The change of the resends asked for that counts at once, in standard deviations of a Poisson
/// count of the mean. A decline begins within one interval, and less urgent classes would use up the
/// budget before the mean has followed.
const CHANGE_DEVIATIONS: f64 = 2.0;
/// The time for which the need of a class is reserved: the longest timeout of urgent callers. A
/// request that is waiting now must still find a resend at its end.
const RESERVED_TIME: Duration = Duration::from_secs(5);
/// The periods in each of which first sends must cover the resends of less urgent classes when the
/// budget is short. First sends become fewer when chains fail, so that resends covered by a calm time
/// would exceed the limit once it is forgotten, and urgent requests would get none for a while.
const PACED_PERIODS: [Duration; 4] = [
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
];
/// What less urgent classes leave in these periods beside the resends that urgent ones have taken, as
/// a fraction of the need of urgent ones. Without it, they use all random excess of the budget and
/// urgent requests suffer from random lack.
const PACED_MARGIN: f64 = 0.05;

/// A request to be resent.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The class of the request.
    pub class: Class,
    /// Whether a client sent the request to the pool, and not a run.
    pub is_direct: bool,
    /// The hash fraction of the request.
    pub hash_fraction: f64,
    /// The fraction of the budget that may be used.
    pub share: f64,
}

/// The reasons for which a request is not resent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Denied {
    /// The budget ran out.
    #[error("the resend budget ran out")]
    Budget,
    /// The rest of the budget is kept for more urgent classes.
    #[error("the rest of the resend budget is reserved")]
    Reserved,
    /// The hash fraction of the request is not eligible.
    #[error("the hash fraction is not eligible for a resend")]
    Fraction,
}

impl Denied {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::Budget, Self::Reserved, Self::Fraction];

    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Reserved => "reserved",
            Self::Fraction => "fraction",
        }
    }
}

/// The decisions on resends to one pool since the budget was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// The resends that were allowed.
    pub allowed: u64,
    /// The resends that were denied, in the order of [`Denied::ALL`].
    denied: [u64; Denied::ALL.len()],
}

impl Counts {
    /// Returns the number of resends that were denied for a reason.
    pub fn denied(&self, reason: Denied) -> u64 {
        self.denied[reason as usize]
    }
}

/// The order in which resends are served. Within a class, direct requests go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Order {
    class: Class,
    is_call: bool,
}

/// The resends that requests of one order ask for.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Requests with a hash fraction up to this value may be resent.
    eligible_fraction: f64,
    /// The reason for the last resend denied since the last adjustment.
    denied: Option<Denied>,
    /// Whether the fraction was last decreased for the needs of more urgent classes.
    is_below_reserve: bool,
    /// The resends asked for since the last adjustment.
    asked: u32,
    /// The mean number of resends asked for in one interval.
    mean: f64,
}

impl Default for Demand {
    fn default() -> Self {
        let (asked, mean) = (0, 0.0);
        Self { eligible_fraction: 1.0, denied: None, is_below_reserve: false, asked, mean }
    }
}

impl Demand {
    fn adjust(&mut self, intervals: f64) {
        if let Some(denied) = self.denied.take() {
            self.eligible_fraction =
                (self.eligible_fraction * DECREASE_FACTOR).max(MIN_ELIGIBLE_FRACTION);
            self.is_below_reserve = denied == Denied::Reserved;
        } else {
            self.eligible_fraction = (self.eligible_fraction + INCREASE_STEP).min(1.0);
        }
        // Each request for a resend is preceded by an adjustment if the interval is over, so that all
        // have arrived in the first interval.
        let asked = std::mem::take(&mut self.asked).into();
        self.update_mean(asked, 1.0);
        self.update_mean(0.0, (intervals - 1.0).floor());
    }

    fn update_mean(&mut self, asked: f64, intervals: f64) {
        let weight = match self.is_beyond_chance(asked) && intervals > 0.0 {
            true => 1.0,
            // The weight grows with the time that the count covers.
            false => 1.0 - (1.0 - MEAN_WEIGHT).powf(intervals),
        };
        self.mean += weight * (asked - self.mean);
    }

    fn is_beyond_chance(&self, asked: f64) -> bool {
        (asked - self.mean).abs() > CHANGE_DEVIATIONS * self.mean.max(1.0).sqrt()
    }

    /// Returns the resends that are expected to be asked for within a period.
    fn expected(&self, period: Duration) -> f64 {
        let asked = f64::from(self.asked);
        let weight = if self.is_beyond_chance(asked) { 1.0 } else { MEAN_WEIGHT };
        // The interval is not over, so a lower count says nothing yet.
        let in_interval = self.mean + weight * (asked - self.mean).max(0.0);
        in_interval * period.as_secs_f64() / ADJUST_INTERVAL.as_secs_f64()
    }

    /// Returns whether the demand can be forgotten without an effect.
    fn is_idle(&self) -> bool {
        self.eligible_fraction >= 1.0 && self.expected(RESERVED_TIME) < 1.0
    }
}

/// The budget of resends to one pool.
#[derive(Debug)]
pub struct ResendBudget {
    window: Window,
    length: Duration,
    demands: BTreeMap<Order, Demand>,
    adjusted_at: Instant,
    counts: Counts,
}

impl ResendBudget {
    /// Creates a budget of `permille` resends per thousand first sends in a sliding window.
    pub fn new(now: Instant, permille: u32, length: Duration) -> Self {
        let window = Window::new(now, permille, length);
        let (demands, counts) = (BTreeMap::new(), Counts::default());
        Self { window, length, demands, adjusted_at: now, counts }
    }

    /// Counts a first send. One that belongs to a repeated run consumes the budget instead of
    /// adding to it.
    pub fn record_first_send(&mut self, now: Instant, is_repeat: bool) {
        match is_repeat {
            true => self.window.record_resend(now),
            false => self.window.record_first_send(now),
        }
    }

    /// Takes one resend from the budget.
    ///
    /// # Errors
    ///
    /// Returns why the request is not resent.
    pub fn try_acquire(&mut self, now: Instant, need: Need) -> Result<(), Denied> {
        let result = self.decide(now, need);
        match result {
            Ok(()) => {
                self.window.record_resend(now);
                self.counts.allowed += 1;
            }
            Err(denied) => self.counts.denied[denied as usize] += 1,
        }
        result
    }

    /// Returns the number of decisions so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn decide(&mut self, now: Instant, need: Need) -> Result<(), Denied> {
        self.adjust(now);
        let order = Order { class: need.class, is_call: !need.is_direct };
        let demand = self.demand_of(order);
        demand.asked += 1;
        let is_eligible = need.hash_fraction <= demand.eligible_fraction;
        if !is_eligible && !self.is_reserve_over(now, order) {
            return Err(Denied::Fraction);
        }
        let result = self.test(now, order, need.share);
        if let Err(denied) = result {
            self.demand_of(order).denied = Some(denied);
        }
        result
    }

    /// Tests whether the budget has a resend for a request.
    fn test(&mut self, now: Instant, order: Order, share: f64) -> Result<(), Denied> {
        let unusable = (1.0 - share) * self.window.limit(now);
        let left = self.window.left(now) - unusable;
        if left < 1.0 {
            return Err(Denied::Budget);
        }
        let reserved = self.expected_before(order, RESERVED_TIME);
        if reserved < 1.0 {
            return Ok(());
        }
        let is_short = left < self.expected_up_to(order);
        let is_covered = left >= reserved + 1.0 && (!is_short || self.is_paced(now, order));
        match is_covered {
            true => Ok(()),
            false => Err(Denied::Reserved),
        }
    }

    /// Returns whether the first sends of each recent period cover a further resend.
    fn is_paced(&mut self, now: Instant, order: Order) -> bool {
        PACED_PERIODS.into_iter().all(|period| {
            let margin = PACED_MARGIN * self.expected_before(order, period);
            self.window.left_of_last(now, period, margin) >= 1.0
        })
    }

    /// Returns whether the fraction of an order was decreased for more urgent needs, and these have
    /// become so small that the budget covers all. The decline has ended then, and requests need
    /// not wait until the fraction has risen.
    fn is_reserve_over(&mut self, now: Instant, order: Order) -> bool {
        let is_over = self.demand_of(order).is_below_reserve
            && self.window.left(now) >= self.expected_up_to(order) + 1.0;
        if is_over {
            let demand = self.demand_of(order);
            demand.eligible_fraction = 1.0;
            demand.is_below_reserve = false;
        }
        is_over
    }

    /// Returns the resends that more urgent requests are expected to ask for within a period.
    fn expected_before(&self, order: Order, period: Duration) -> f64 {
        self.demands.range(..order).map(|(_, demand)| demand.expected(period)).sum()
    }

    /// Returns the resends that requests of an order and more urgent ones are expected to ask for
    /// within a window.
    fn expected_up_to(&self, order: Order) -> f64 {
        let own = self.demands.get(&order).map_or(0.0, |demand| demand.expected(self.length));
        own + self.expected_before(order, self.length)
    }

    fn demand_of(&mut self, order: Order) -> &mut Demand {
        if self.demands.len() >= MAX_CLASSES && !self.demands.contains_key(&order) {
            // The least urgent requests lose nothing but their threshold.
            self.demands.pop_last();
        }
        self.demands.entry(order).or_default()
    }

    fn adjust(&mut self, now: Instant) {
        let elapsed = now - self.adjusted_at;
        if elapsed < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let intervals = elapsed.as_secs_f64() / ADJUST_INTERVAL.as_secs_f64();
        self.demands.retain(|_, demand| {
            demand.adjust(intervals);
            !demand.is_idle()
        });
    }
}
