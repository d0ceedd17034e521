//! The results of a simulated case.

use {
    super::case::{Case, SOLD_RATES, SURGE_END, SURGE_START},
    monsoon_lib::{table::Class, time::Instant},
    std::{fmt, time::Duration},
};

/// The weights of the classes in goodput, by the harm of a failed request, in the order of
/// [`Class::ALL`].
const CLASS_WEIGHTS: [f64; Class::ALL.len()] = [10.0, 8.0, 8.0, 1.0, 0.2];
/// The length of the intervals in which recovery is measured.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(100);
/// The share of an interval's requests that must be answered for the pools to count as recovered.
const RECOVERED_SHARE: f64 = 0.99;

/// A client's request and its outcome.
#[derive(Clone, Debug)]
pub struct Request {
    arrived: Instant,
    /// The position of the client account.
    pub account: usize,
    /// The class.
    pub class: Class,
    /// The number of attempts so far.
    pub attempts: u32,
    /// When the complete answer arrived, if it did.
    pub answered: Option<Instant>,
}

impl Request {
    /// Creates a request without attempts.
    pub fn new(arrived: Instant, account: usize, class: Class) -> Self {
        Self { arrived, account, class, attempts: 0, answered: None }
    }

    fn since_start(&self) -> Duration {
        self.arrived - Instant::ZERO
    }

    fn is_in_surge(&self) -> bool {
        (SURGE_START..SURGE_END).contains(&self.since_start())
    }
}

/// The results of one run of a case.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the case.
    pub case: &'static str,
    /// The name of the variant.
    pub variant: &'static str,
    /// Requests answered during the surge over the requests that the capacity allows, weighted by
    /// class.
    pub goodput: f64,
    /// Requests answered during the surge over the requests that the capacity allows, unweighted.
    pub unweighted_goodput: f64,
    /// The time from the end of the surge until requests are answered again.
    pub recovery: Duration,
    /// The lowest ratio of an account's answered requests to its fair share.
    pub worst_account: f64,
    /// Requests of critical classes that arrived during the surge and were never answered.
    pub critical_unanswered: u64,
    /// The share of attempts that were refused while every pool had idle slots.
    pub wrongful: f64,
    /// The number of refused attempts.
    pub refusals: u64,
    /// The share of all work that was done for attempts that then failed.
    pub wasted: f64,
    /// Runs in a pool per attempt that ran there, in the pool with the highest ratio.
    pub amplification: f64,
}

impl Report {
    /// Computes the results that depend on the requests only.
    pub fn new(case: &Case, variant: &'static str, requests: &[Request]) -> Self {
        let mut demand = [[0.0; Class::ALL.len()]; SOLD_RATES.len()];
        let mut served = demand;
        for request in requests.iter().filter(|request| request.is_in_surge()) {
            demand[request.account][request.class.index()] += 1.0;
            let is_answered = request.answered.is_some();
            served[request.account][request.class.index()] += f64::from(u8::from(is_answered));
        }
        let fair = fair_shares(case, &demand);
        let is_unanswered =
            |r: &&Request| r.is_in_surge() && r.class.is_critical() && r.answered.is_none();
        Self {
            case: case.name,
            variant,
            goodput: weighted_sum(&served, &CLASS_WEIGHTS) / weighted_sum(&fair, &CLASS_WEIGHTS),
            unweighted_goodput: weighted_sum(&served, &[1.0; 5]) / weighted_sum(&fair, &[1.0; 5]),
            recovery: recovery_time(requests),
            worst_account: lowest_fair_ratio(&served, &fair),
            critical_unanswered: requests.iter().filter(is_unanswered).count() as u64,
            wrongful: 0.0,
            refusals: 0,
            wasted: 0.0,
            amplification: 0.0,
        }
        .with_attempts(requests)
    }

    /// Sets `wrongful` to the share of a single attempt. [`Self::with_refusals`] multiplies it by
    /// the number of wrongful refusals.
    fn with_attempts(self, requests: &[Request]) -> Self {
        let attempts: u64 = requests.iter().map(|request| u64::from(request.attempts)).sum();
        Self { wrongful: 1.0 / attempts.max(1) as f64, ..self }
    }

    /// Sets the results that depend on the targets' work.
    pub fn with_work(self, wasted: f64, amplification: f64) -> Self {
        Self { wasted, amplification, ..self }
    }

    /// Sets the results that depend on refusals.
    pub fn with_refusals(self, refusals: u64, wrongful: u64) -> Self {
        Self { refusals, wrongful: self.wrongful * wrongful as f64, ..self }
    }
}

/// Request counts by client account and class.
type ByAccount = [[f64; Class::ALL.len()]; SOLD_RATES.len()];

fn weighted_sum(counts: &ByAccount, weights: &[f64; Class::ALL.len()]) -> f64 {
    let row = |row: &[f64; 5]| row.iter().zip(weights).map(|(a, b)| a * b).sum::<f64>();
    counts.iter().map(row).sum()
}

/// Returns the requests of the surge that an ideal fair control would answer. It serves class by
/// class in the order of [`Class::ALL`], and splits the capacity for a class among the accounts by
/// purchased rate, with no account above its demand.
fn fair_shares(case: &Case, demand: &ByAccount) -> ByAccount {
    let seconds = (SURGE_END - SURGE_START).as_secs_f64();
    let pools = 0..case.pools.len();
    let mut remaining: Vec<f64> =
        pools.clone().map(|pool| case.useful_slots(pool) * seconds).collect();
    let mut fair = [[0.0; Class::ALL.len()]; SOLD_RATES.len()];
    for class in Class::ALL {
        let slot_time_s = |pool: usize| case.slot_time_s(class, pool, case.slow);
        let used = pools.clone().filter(|pool| slot_time_s(*pool) > 0.0);
        let limits = used.map(|pool| remaining[pool].max(0.0) / slot_time_s(pool));
        let class_demand: Vec<f64> = demand.iter().map(|row| row[class.index()]).collect();
        let shares = split_by_rate(limits.fold(f64::INFINITY, f64::min), &class_demand);
        for (account, share) in shares.iter().enumerate() {
            fair[account][class.index()] = *share;
        }
        for pool in pools.clone() {
            remaining[pool] -= shares.iter().sum::<f64>() * slot_time_s(pool);
        }
    }
    fair
}

/// Splits an amount among the accounts by purchased rate, with no account above its demand.
fn split_by_rate(amount: f64, demand: &[f64]) -> Vec<f64> {
    let mut allocated = vec![0.0; demand.len()];
    let mut remaining = amount;
    for _ in 0..demand.len() {
        let unsatisfied: Vec<usize> =
            (0..demand.len()).filter(|i| allocated[*i] + 1e-9 < demand[*i]).collect();
        let weights: f64 = unsatisfied.iter().map(|i| f64::from(SOLD_RATES[*i])).sum();
        let round = remaining;
        for i in unsatisfied {
            let part = (round * f64::from(SOLD_RATES[i]) / weights).min(demand[i] - allocated[i]);
            allocated[i] += part;
            remaining -= part;
        }
    }
    allocated
}

fn lowest_fair_ratio(served: &ByAccount, fair: &ByAccount) -> f64 {
    let ratio = |(served, fair): (&[f64; 5], &[f64; 5])| {
        served.iter().sum::<f64>() / fair.iter().sum::<f64>().max(1e-9)
    };
    served.iter().zip(fair).map(ratio).fold(f64::INFINITY, f64::min)
}

/// Returns the end of the last interval after the surge in which fewer than [`RECOVERED_SHARE`] of
/// the requests were answered. The last second is excluded, because its requests may still be
/// pending at the end of the simulation.
fn recovery_time(requests: &[Request]) -> Duration {
    const PENDING_PERIOD: Duration = Duration::from_secs(1);
    let intervals = ((super::case::END - PENDING_PERIOD - SURGE_END).as_millis()
        / RECOVERY_INTERVAL.as_millis()) as usize;
    let mut counts = vec![(0.0, 0.0); intervals];
    for request in requests.iter().filter(|request| request.since_start() >= SURGE_END) {
        let since = request.since_start() - SURGE_END;
        let interval = (since.as_millis() / RECOVERY_INTERVAL.as_millis()) as usize;
        if let Some((all, answered)) = counts.get_mut(interval) {
            *all += 1.0;
            *answered += f64::from(u8::from(request.answered.is_some()));
        }
    }
    let is_unrecovered = |(all, answered): &(f64, f64)| *answered < *all * RECOVERED_SHARE;
    let last = counts.iter().rposition(is_unrecovered);
    last.map_or(Duration::ZERO, |i| RECOVERY_INTERVAL * (i as u32 + 1))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<20} {:<20} {:>7.3} {:>6.3} {:>6.1} {:>6.3} {:>7} {:>8.4} {:>6.3} {:>6.3}",
            self.case,
            self.variant,
            self.goodput,
            self.unweighted_goodput,
            self.recovery.as_secs_f64(),
            self.worst_account,
            self.critical_unanswered,
            self.wrongful,
            self.wasted,
            self.amplification,
        )
    }
}

/// Formats reports as a plain-text table.
pub fn table(reports: &[Report]) -> String {
    let mut lines = vec![format!(
        "{:<20} {:<20} {:>7} {:>6} {:>6} {:>6} {:>7} {:>8} {:>6} {:>6}",
        "case", "variant", "harm", "plain", "rec s", "worst", "lost", "wrongful", "wasted", "ampl",
    )];
    lines.extend(reports.iter().map(ToString::to_string));
    lines.join("\n")
}
