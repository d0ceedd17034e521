//! The results of an experiment.

use {
    crate::{experiment::Experiment, harm, text},
    monsoon_lib::{call::Reason, table::Class},
    monsoon_testutils::{fleet::Fleet, load::Report},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap},
};

/// Request counts of one class.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClassCounts {
    /// Requests within their client accounts' rates and bursts.
    pub due: u64,
    /// All requests sent.
    pub sent: u64,
    /// Requests that were answered completely and correctly.
    pub whole: u64,
}

impl ClassCounts {
    /// Returns the successful requests, at most as many as the client accounts' rates cover.
    fn served_within_rate(&self) -> u64 {
        self.whole.min(self.due)
    }
}

/// Violated guarantees by kind. All counts must be 0.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Violations {
    /// Requests that may run at most once and ran more often.
    pub repeated: usize,
    /// Answers that looked complete but had wrong content.
    pub wrong: usize,
    /// Runs in which the target received the caller's key.
    pub key_seen: usize,
}

impl Violations {
    /// Returns the sum of all counts.
    pub fn total(&self) -> usize {
        self.repeated + self.wrong + self.key_seen
    }
}

/// The results of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Outcome {
    /// The experiment's description.
    pub experiment: Experiment,
    /// Successful requests over requests within the rates, weighted by harm, at most 1.
    pub goodput: f64,
    /// Successful requests per second, weighted by harm.
    pub goodput_per_s: f64,
    /// The client account with the lowest share of successful requests.
    pub worst_account: String,
    /// Its successful requests over its requests within the rate, at most 1.
    pub worst_share: f64,
    /// Rate-limit refusals of requests that the client accounts' rates and bursts cover.
    pub wrongful: u64,
    /// The share of requests within the rates that were not answered successfully.
    pub failed_within_rate: f64,
    /// Attempts per request, including the callers' retries.
    pub attempts_per_request: f64,
    /// Seconds from the end of the last change of load or fault until 95 % of the requests of an
    /// interval were answered, or `None` if that did not happen.
    pub recovery_s: Option<f64>,
    /// Requests that ended in a refusal or an error, by reason and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Request counts by class.
    pub classes: BTreeMap<Class, ClassCounts>,
    /// Requests sent and answered successfully, per interval of 100 ms.
    pub timeline: Vec<(u64, u64)>,
    /// Violated guarantees.
    pub violations: Violations,
}

impl Outcome {
    /// Computes the results from the reports of the load generator and of the targets.
    pub fn new(experiment: &Experiment, report: &Report, fleet: &Fleet) -> Self {
        let total = report.total();
        let classes: BTreeMap<Class, ClassCounts> =
            Class::ALL.into_iter().map(|class| (class, class_counts(report, class))).collect();
        let weighted_sum = |count: fn(&ClassCounts) -> u64| -> f64 {
            classes.iter().map(|(class, counts)| harm::weight(*class) * count(counts) as f64).sum()
        };
        let due = weighted_sum(|counts| counts.due);
        let count =
            |count: fn(&ClassCounts) -> u64| classes.values().map(count).sum::<u64>() as f64;
        let (worst_account, worst_share) = find_worst_account(report);
        Self {
            goodput: ratio(weighted_sum(ClassCounts::served_within_rate), due),
            goodput_per_s: weighted_sum(|counts| counts.whole) / experiment.seconds,
            worst_account,
            worst_share,
            wrongful: count_wrongful_refusals(report),
            failed_within_rate: 1.0
                - ratio(count(ClassCounts::served_within_rate), count(|counts| counts.due)),
            attempts_per_request: ratio(total.attempts as f64, total.sent as f64),
            recovery_s: recovery_time_s(experiment, report),
            refused: count_refusals(report),
            classes,
            timeline: report
                .timeline()
                .iter()
                .map(|interval| (interval.sent, interval.correct))
                .collect(),
            violations: count_violations(report, fleet),
            experiment: experiment.clone(),
        }
    }

    /// Returns the experiment's row of the results table.
    pub fn row(&self) -> Vec<String> {
        let seconds = |s: Option<f64>| s.map_or("-".into(), |s| format!("{s:.1}"));
        vec![
            self.experiment.name.clone(),
            format!("{:.3}", self.goodput),
            format!("{:.0}", self.goodput_per_s),
            format!("{:.3} {}", self.worst_share, self.worst_account),
            self.wrongful.to_string(),
            format!("{:.4}", self.failed_within_rate),
            format!("{:.2}", self.attempts_per_request),
            seconds(self.recovery_s),
            self.violations.total().to_string(),
        ]
    }
}

/// Prints the number of refused and failed requests of each experiment, by reason and outcome.
pub fn print_refused(outcomes: &[Outcome]) {
    for outcome in outcomes {
        let counts = outcome.refused.iter().filter(|(_, count)| **count > 0);
        let counts: Vec<String> =
            counts.map(|(reason, count)| format!("{reason} {count}")).collect();
        println!("{}: {}", outcome.experiment.name, counts.join(", "));
    }
}

/// Prints the results table.
pub fn print(outcomes: &[Outcome]) {
    const HEADINGS: [&str; 9] = [
        "experiment",
        "goodput",
        "harm/s",
        "worst account",
        "wrongful",
        "failed",
        "sends",
        "recovery s",
        "violations",
    ];
    let rows: Vec<Vec<String>> = outcomes.iter().map(Outcome::row).collect();
    text::print(&HEADINGS, &rows);
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

fn count_refusals(report: &Report) -> BTreeMap<String, u64> {
    let total = report.total();
    let mut counts: BTreeMap<String, u64> = total
        .refused
        .iter()
        .map(|(refused, count)| (format!("{} {}", refused.reason, refused.outcome), *count))
        .collect();
    counts
        .extend(total.statuses.iter().map(|(status, count)| (format!("status {status}"), *count)));
    counts.insert("broken".into(), total.incomplete);
    counts
}

fn class_counts(report: &Report, class: Class) -> ClassCounts {
    let tally = report.class(class);
    ClassCounts { due: tally.within_rate, sent: tally.sent, whole: tally.correct }
}

fn find_worst_account(report: &Report) -> (String, f64) {
    let share = |name: &String| {
        let tally = report.account(name);
        let served = tally.correct.min(tally.within_rate);
        (name.clone(), ratio(served as f64, tally.within_rate as f64))
    };
    let shares = report.accounts().iter().map(share);
    shares.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or_default()
}

/// Returns how many requests were refused for the rate although the client accounts' rates and
/// bursts cover them.
fn count_wrongful_refusals(report: &Report) -> u64 {
    let missing = |name: &String| {
        let tally = report.account(name);
        let admitted = tally.sent - tally.refused_for(Reason::Rate);
        tally.within_rate.saturating_sub(admitted)
    };
    report.accounts().iter().map(missing).sum()
}

fn recovery_time_s(experiment: &Experiment, report: &Report) -> Option<f64> {
    /// The share of an interval's requests that must be answered.
    const RECOVERED_SHARE: f64 = 0.95;
    const INTERVALS_PER_S: f64 = 10.0;
    let end_s = experiment.last_disturbance_end_s()?;
    let first = (end_s * INTERVALS_PER_S).ceil() as usize;
    let intervals = report.timeline().get(first..)?;
    let is_recovered = |interval: &monsoon_testutils::load::Interval| {
        ratio(interval.correct as f64, interval.sent as f64) >= RECOVERED_SHARE
    };
    let elapsed = intervals.iter().position(is_recovered)?;
    Some(elapsed as f64 / INTERVALS_PER_S)
}

fn count_violations(report: &Report, fleet: &Fleet) -> Violations {
    let recorded = fleet.runs();
    let mut runs: HashMap<(&str, &str), usize> = HashMap::new();
    let is_root = |path: &str| path.rsplit('/').next().is_some_and(|last| last.contains('-'));
    for record in &recorded {
        if record.run.method == "POST" && is_root(&record.run.path) {
            *runs.entry((&record.run.method, &record.run.path)).or_default() += 1;
        }
    }
    let saw_key = |record: &&monsoon_testutils::fleet::VmRun| {
        record.run.saw_key || record.run.saw_authorization
    };
    Violations {
        repeated: runs.values().filter(|runs| **runs > 1).count(),
        wrong: usize::try_from(report.total().wrong).unwrap_or(usize::MAX),
        key_seen: recorded.iter().filter(saw_key).count(),
    }
}
