//! What a run of a case measured.

use {
    super::case::{Case, SOLD, SURGE_END, SURGE_START},
    monsoon_lib::{table::Class, time::Instant},
    std::{fmt, time::Duration},
};

/// The harm of one failed request, in the order of [`Class::ALL`].
const HARM: [f64; Class::ALL.len()] = [10.0, 8.0, 8.0, 1.0, 0.2];
/// The length of one bucket of the recovery time.
const BUCKET: Duration = Duration::from_millis(100);
/// The part of a bucket's requests that are answered once the pools have recovered.
const RECOVERED: f64 = 0.99;

/// What a client wanted and got.
#[derive(Clone, Debug)]
pub struct Request {
    arrived: Instant,
    /// The position of the account.
    pub account: usize,
    /// The class.
    pub class: Class,
    /// How often it was tried.
    pub attempts: u32,
    /// When the whole answer came.
    pub answered: Option<Instant>,
}

impl Request {
    /// Makes a request that was not tried yet.
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

/// The figures of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the case.
    pub case: &'static str,
    /// The name of the variant.
    pub variant: &'static str,
    /// Harm avoided by answers during the surge over what the capacity allows.
    pub goodput: f64,
    /// Answers during the surge over what the capacity allows, all classes alike.
    pub plain_goodput: f64,
    /// The time from the end of the surge until all requests are answered again.
    pub recovery: Duration,
    /// The least answered part of an account's due.
    pub worst_account: f64,
    /// Bookings, claims and payments of the surge that were never answered.
    pub critical_lost: u64,
    /// The part of root requests refused while every pool had idle slots.
    pub wrongful: f64,
    /// Refused root requests.
    pub refusals: u64,
    /// The part of all work that was done for requests that then failed.
    pub wasted: f64,
    /// Runs in one pool per root request that ran there, in the worst pool.
    pub amplification: f64,
}

impl Report {
    /// Works out what follows from the requests alone.
    pub fn new(case: &Case, variant: &'static str, requests: &[Request]) -> Self {
        let mut wanted = [[0.0; Class::ALL.len()]; SOLD.len()];
        let mut served = wanted;
        for request in requests.iter().filter(|request| request.is_in_surge()) {
            wanted[request.account][request.class.index()] += 1.0;
            let is_answered = request.answered.is_some();
            served[request.account][request.class.index()] += f64::from(u8::from(is_answered));
        }
        let due = due(case, &wanted);
        let is_lost =
            |r: &&Request| r.is_in_surge() && r.class.is_critical() && r.answered.is_none();
        Self {
            case: case.name,
            variant,
            goodput: weigh(&served, &HARM) / weigh(&due, &HARM),
            plain_goodput: weigh(&served, &[1.0; 5]) / weigh(&due, &[1.0; 5]),
            recovery: recovery(requests),
            worst_account: worst_account(&served, &due),
            critical_lost: requests.iter().filter(is_lost).count() as u64,
            wrongful: 0.0,
            refusals: 0,
            wasted: 0.0,
            amplification: 0.0,
        }
        .with_attempts(requests)
    }

    fn with_attempts(self, requests: &[Request]) -> Self {
        let attempts: u64 = requests.iter().map(|request| u64::from(request.attempts)).sum();
        Self { wrongful: 1.0 / attempts.max(1) as f64, ..self }
    }

    /// Adds what the targets did.
    pub fn with_work(self, wasted: f64, amplification: f64) -> Self {
        Self { wasted, amplification, ..self }
    }

    /// Adds what was refused.
    pub fn with_refusals(self, refusals: u64, wrongful: u64) -> Self {
        Self { refusals, wrongful: self.wrongful * wrongful as f64, ..self }
    }
}

type ByAccount = [[f64; Class::ALL.len()]; SOLD.len()];

fn weigh(counts: &ByAccount, weights: &[f64; Class::ALL.len()]) -> f64 {
    let row = |row: &[f64; 5]| row.iter().zip(weights).map(|(a, b)| a * b).sum::<f64>();
    counts.iter().map(row).sum()
}

/// Returns the requests of the surge that a fair control of the capacity answers: class by class,
/// and in the class that is short by sold rate, no account more than it wants.
fn due(case: &Case, wanted: &ByAccount) -> ByAccount {
    let seconds = (SURGE_END - SURGE_START).as_secs_f64();
    let pools = 0..case.pools.len();
    let mut left: Vec<f64> = pools.clone().map(|pool| case.slots(pool) * seconds).collect();
    let mut due = [[0.0; Class::ALL.len()]; SOLD.len()];
    for class in Class::ALL {
        let held_s = |pool: usize| case.held_s(class, pool, case.slow);
        let used = pools.clone().filter(|pool| held_s(*pool) > 0.0);
        let fits = used.map(|pool| left[pool].max(0.0) / held_s(pool));
        let want: Vec<f64> = wanted.iter().map(|row| row[class.index()]).collect();
        let shares = split(fits.fold(f64::INFINITY, f64::min), &want);
        for (account, share) in shares.iter().enumerate() {
            due[account][class.index()] = *share;
        }
        for pool in pools.clone() {
            left[pool] -= shares.iter().sum::<f64>() * held_s(pool);
        }
    }
    due
}

/// Splits an amount by sold rate, no account more than it wants.
fn split(amount: f64, want: &[f64]) -> Vec<f64> {
    let mut got = vec![0.0; want.len()];
    let mut left = amount;
    for _ in 0..want.len() {
        let open: Vec<usize> = (0..want.len()).filter(|i| got[*i] + 1e-9 < want[*i]).collect();
        let weights: f64 = open.iter().map(|i| f64::from(SOLD[*i])).sum();
        let round = left;
        for i in open {
            let part = (round * f64::from(SOLD[i]) / weights).min(want[i] - got[i]);
            got[i] += part;
            left -= part;
        }
    }
    got
}

fn worst_account(served: &ByAccount, due: &ByAccount) -> f64 {
    let ratio = |(served, due): (&[f64; 5], &[f64; 5])| {
        served.iter().sum::<f64>() / due.iter().sum::<f64>().max(1e-9)
    };
    served.iter().zip(due).map(ratio).fold(f64::INFINITY, f64::min)
}

/// Returns the end of the last bucket after the surge whose requests were not all answered. The
/// last second is left out, because its requests may still be open at the end.
fn recovery(requests: &[Request]) -> Duration {
    const OPEN: Duration = Duration::from_secs(1);
    let buckets = ((super::case::END - OPEN - SURGE_END).as_millis() / BUCKET.as_millis()) as usize;
    let mut counts = vec![(0.0, 0.0); buckets];
    for request in requests.iter().filter(|request| request.since_start() >= SURGE_END) {
        let since = request.since_start() - SURGE_END;
        let bucket = (since.as_millis() / BUCKET.as_millis()) as usize;
        if let Some((all, answered)) = counts.get_mut(bucket) {
            *all += 1.0;
            *answered += f64::from(u8::from(request.answered.is_some()));
        }
    }
    let is_short = |(all, answered): &(f64, f64)| *answered < *all * RECOVERED;
    let last = counts.iter().rposition(is_short);
    last.map_or(Duration::ZERO, |i| BUCKET * (i as u32 + 1))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<20} {:<20} {:>7.3} {:>6.3} {:>6.1} {:>6.3} {:>7} {:>8.4} {:>6.3} {:>6.3}",
            self.case,
            self.variant,
            self.goodput,
            self.plain_goodput,
            self.recovery.as_secs_f64(),
            self.worst_account,
            self.critical_lost,
            self.wrongful,
            self.wasted,
            self.amplification,
        )
    }
}

/// Returns the reports as a table for people.
pub fn table(reports: &[Report]) -> String {
    let mut lines = vec![format!(
        "{:<20} {:<20} {:>7} {:>6} {:>6} {:>6} {:>7} {:>8} {:>6} {:>6}",
        "case", "variant", "harm", "plain", "rec s", "worst", "lost", "wrongful", "wasted", "ampl",
    )];
    lines.extend(reports.iter().map(ToString::to_string));
    lines.join("\n")
}
