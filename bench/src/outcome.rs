//! What an experiment showed.

use {
    crate::{experiment::Experiment, harm, text},
    monsoon_lib::{call::Reason, table::Class},
    monsoon_testutils::{fleet::Fleet, load::Report},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap},
};

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClassRow {
    /// Requests that their accounts' rates and bursts cover.
    pub due: u64,
    /// All requests.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
}

impl ClassRow {
    /// Returns the whole answers that the accounts' rates cover.
    fn served(&self) -> u64 {
        self.whole.min(self.due)
    }
}

/// Broken promises by kind. All must be 0.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Violations {
    /// Requests that may run once and ran more often.
    pub repeated: usize,
    /// Answers that passed for whole and were wrong.
    pub wrong: usize,
    /// Runs that saw a key.
    pub key_seen: usize,
}

impl Violations {
    /// Returns the number of all.
    pub fn total(&self) -> usize {
        self.repeated + self.wrong + self.key_seen
    }
}

/// What an experiment showed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Outcome {
    /// The experiment.
    pub experiment: Experiment,
    /// Whole answers over requests that the rates cover, weighted by harm, at most 1.
    pub goodput: f64,
    /// Whole answers weighted by harm, a second.
    pub goodput_per_s: f64,
    /// The account served worst.
    pub worst_account: String,
    /// Its whole answers over the requests that its rate covers, at most 1.
    pub worst_share: f64,
    /// Refusals for the rate beyond those that the accounts' rates and bursts explain.
    pub wrongful: u64,
    /// Requests that the rates cover without a whole answer, over all that they cover.
    pub failed_within_rate: f64,
    /// Runs of root requests for each request sent.
    pub attempts_per_request: f64,
    /// Seconds from the end of the last surge or fault until 95 of 100 requests in a slot were
    /// answered, if they were.
    pub recovery_s: Option<f64>,
    /// Requests that ended with a refusal, by reason and outcome.
    pub refused: BTreeMap<String, u64>,
    /// By class.
    pub classes: BTreeMap<Class, ClassRow>,
    /// Requests that arrived and were answered, by slot of 100 ms.
    pub timeline: Vec<(u64, u64)>,
    /// Broken promises.
    pub violations: Violations,
}

impl Outcome {
    /// Sums up what a generator and the targets saw.
    pub fn new(experiment: &Experiment, report: &Report, fleet: &Fleet) -> Self {
        let total = report.total();
        let classes: BTreeMap<Class, ClassRow> =
            Class::ALL.into_iter().map(|class| (class, class_row(report, class))).collect();
        let weighed = |count: fn(&ClassRow) -> u64| -> f64 {
            classes.iter().map(|(class, row)| harm::weight(*class) * count(row) as f64).sum()
        };
        let due = weighed(|row| row.due);
        let count = |count: fn(&ClassRow) -> u64| classes.values().map(count).sum::<u64>() as f64;
        let (worst_account, worst_share) = worst(report);
        Self {
            goodput: ratio(weighed(ClassRow::served), due),
            goodput_per_s: weighed(|row| row.whole) / experiment.seconds,
            worst_account,
            worst_share,
            wrongful: wrongful(report),
            failed_within_rate: 1.0 - ratio(count(ClassRow::served), count(|row| row.due)),
            attempts_per_request: ratio(total.attempts as f64, total.sent as f64),
            recovery_s: recovery(experiment, report),
            refused: refused(report),
            classes,
            timeline: report.timeline().iter().map(|slot| (slot.sent, slot.correct)).collect(),
            violations: violations(report, fleet),
            experiment: experiment.clone(),
        }
    }

    /// Returns the row of the closing table.
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

/// Prints how many requests of each experiment were refused, by reason and outcome.
pub fn print_refused(outcomes: &[Outcome]) {
    for outcome in outcomes {
        let counts = outcome.refused.iter().filter(|(_, count)| **count > 0);
        let counts: Vec<String> =
            counts.map(|(reason, count)| format!("{reason} {count}")).collect();
        println!("{}: {}", outcome.experiment.name, counts.join(", "));
    }
}

/// Prints the closing table.
pub fn print(outcomes: &[Outcome]) {
    const HEAD: [&str; 9] = [
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
    text::print(&HEAD, &rows);
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

fn refused(report: &Report) -> BTreeMap<String, u64> {
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

fn class_row(report: &Report, class: Class) -> ClassRow {
    let tally = report.class(class);
    ClassRow { due: tally.within_rate, sent: tally.sent, whole: tally.correct }
}

fn worst(report: &Report) -> (String, f64) {
    let share = |name: &String| {
        let tally = report.account(name);
        let served = tally.correct.min(tally.within_rate);
        (name.clone(), ratio(served as f64, tally.within_rate as f64))
    };
    let shares = report.accounts().iter().map(share);
    shares.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or_default()
}

/// Returns by how many requests the accounts got less admitted than their rates and bursts cover.
fn wrongful(report: &Report) -> u64 {
    let missing = |name: &String| {
        let tally = report.account(name);
        let admitted = tally.sent - tally.refused_for(Reason::Rate);
        tally.within_rate.saturating_sub(admitted)
    };
    report.accounts().iter().map(missing).sum()
}

fn recovery(experiment: &Experiment, report: &Report) -> Option<f64> {
    /// The part of a slot's requests that must be answered.
    const SERVED: f64 = 0.95;
    const SLOTS_PER_S: f64 = 10.0;
    let calm = experiment.calm_from_s()?;
    let first = (calm * SLOTS_PER_S).ceil() as usize;
    let slots = report.timeline().get(first..)?;
    let is_served = |slot: &monsoon_testutils::load::Interval| {
        ratio(slot.correct as f64, slot.sent as f64) >= SERVED
    };
    let waited = slots.iter().position(is_served)?;
    Some(waited as f64 / SLOTS_PER_S)
}

fn violations(report: &Report, fleet: &Fleet) -> Violations {
    let found = fleet.runs();
    let mut runs: HashMap<(&str, &str), usize> = HashMap::new();
    let is_root = |path: &str| path.rsplit('/').next().is_some_and(|last| last.contains('-'));
    for found in &found {
        if found.run.method == "POST" && is_root(&found.run.path) {
            *runs.entry((&found.run.method, &found.run.path)).or_default() += 1;
        }
    }
    let saw_key =
        |found: &&monsoon_testutils::fleet::VmRun| found.run.saw_key || found.run.saw_authorization;
    Violations {
        repeated: runs.values().filter(|runs| **runs > 1).count(),
        wrong: usize::try_from(report.total().wrong).unwrap_or(usize::MAX),
        key_seen: found.iter().filter(saw_key).count(),
    }
}
