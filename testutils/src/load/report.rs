//! The results of a run of the load generator.

use {
    super::plan::{Account, Arrival, Plan},
    crate::client::{Refused, Verdict},
    hdrhistogram::Histogram,
    monsoon_lib::{
        call::{Outcome, Reason},
        table::Class,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The length of one interval of the timeline.
pub const INTERVAL: Duration = Duration::from_millis(100);

/// Counts of the requests of one account in one class.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Intended requests, each counted once regardless of retries.
    pub sent: u64,
    /// Attempts, including retries.
    pub attempts: u64,
    /// Complete answers to the request itself.
    pub correct: u64,
    /// Answers that appear complete but are not the answer to the request.
    pub wrong: u64,
    /// Refusals by reason and outcome.
    pub refused: BTreeMap<Refused, u64>,
    /// Other unsuccessful answers, by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests without an answer, or with one that is visibly truncated.
    pub incomplete: u64,
    /// Requests not sent because too many were in flight.
    pub unsent: u64,
    /// Refusals for the rate although the account was within its rate and burst.
    pub wrongful_refusals: u64,
    /// Requests without a correct answer while the account was within its rate and burst.
    pub failed_within_rate: u64,
    /// Requests sent while the account was within its rate and burst.
    pub within_rate: u64,
    /// Latency of correct answers since the intended arrival, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        const SIGNIFICANT_DIGITS: u8 = 3;
        let latency_us = Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are allowed");
        Self {
            sent: 0,
            attempts: 0,
            correct: 0,
            wrong: 0,
            refused: BTreeMap::new(),
            statuses: BTreeMap::new(),
            incomplete: 0,
            unsent: 0,
            wrongful_refusals: 0,
            failed_within_rate: 0,
            within_rate: 0,
            latency_us,
        }
    }
}

impl Tally {
    /// Returns the number of refusals for a reason.
    pub fn refused_for(&self, reason: Reason) -> u64 {
        let found = self.refused.iter().filter(|(refused, _)| refused.reason == reason);
        found.map(|(_, count)| count).sum()
    }

    /// Returns the number of refusals with an outcome.
    pub fn refused_as(&self, outcome: Outcome) -> u64 {
        let found = self.refused.iter().filter(|(refused, _)| refused.outcome == outcome);
        found.map(|(_, count)| count).sum()
    }

    /// Returns the latency at a quantile between 0 and 1.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency_us.value_at_quantile(quantile))
    }

    /// Adds the counts and latencies of another tally.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.attempts += other.attempts;
        self.correct += other.correct;
        self.wrong += other.wrong;
        self.incomplete += other.incomplete;
        self.unsent += other.unsent;
        self.wrongful_refusals += other.wrongful_refusals;
        self.failed_within_rate += other.failed_within_rate;
        self.within_rate += other.within_rate;
        for (refused, count) in &other.refused {
            *self.refused.entry(*refused).or_default() += count;
        }
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
        self.latency_us.add(&other.latency_us).expect("both histograms resize themselves");
    }

    fn record(&mut self, arrival: &Arrival, verdict: &Verdict, latency: Duration) {
        match verdict {
            Verdict::Correct => {
                self.correct += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.latency_us.record(micros).expect("the histogram resizes itself");
            }
            Verdict::Wrong => self.wrong += 1,
            Verdict::Refused(refused) => *self.refused.entry(*refused).or_default() += 1,
            Verdict::Status(status) => *self.statuses.entry(*status).or_default() += 1,
            Verdict::Incomplete => self.incomplete += 1,
        }
        if !arrival.is_within_rate {
            return;
        }
        if *verdict != Verdict::Correct {
            self.failed_within_rate += 1;
        }
        if matches!(verdict, Verdict::Refused(refused) if refused.reason == Reason::Rate) {
            self.wrongful_refusals += 1;
        }
    }
}

/// Counts of the requests that arrived within one [`INTERVAL`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Interval {
    /// Intended requests in this interval.
    pub sent: u64,
    /// Those that were eventually answered correctly.
    pub correct: u64,
}

/// The results of one run of the generator.
#[derive(Clone, Debug)]
pub struct Report {
    names: Vec<String>,
    classes: Vec<Vec<Class>>,
    tallies: BTreeMap<(usize, Class), Tally>,
    timeline: Vec<Interval>,
}

impl Report {
    pub(super) fn new(plan: &Plan) -> Self {
        let class_list =
            |account: &Account| account.requests.iter().map(|request| request.class).collect();
        Self {
            names: plan.accounts.iter().map(|account| account.name.clone()).collect(),
            classes: plan.accounts.iter().map(class_list).collect(),
            tallies: BTreeMap::new(),
            timeline: Vec::new(),
        }
    }

    /// Returns the sum over all accounts and classes.
    pub fn total(&self) -> Tally {
        self.sum(|_, _| true)
    }

    /// Returns the sum over all classes of an account.
    pub fn account(&self, name: &str) -> Tally {
        self.sum(|account, _| account == name)
    }

    /// Returns the sum over all accounts in a class.
    pub fn class(&self, class: Class) -> Tally {
        self.sum(|_, other| other == class)
    }

    /// Returns the names of the accounts.
    pub fn accounts(&self) -> &[String] {
        &self.names
    }

    /// Returns the intervals in chronological order.
    pub fn timeline(&self) -> &[Interval] {
        &self.timeline
    }

    fn sum(&self, is_included: impl Fn(&str, Class) -> bool) -> Tally {
        let mut sum = Tally::default();
        for ((account, class), tally) in &self.tallies {
            if is_included(&self.names[*account], *class) {
                sum.add(tally);
            }
        }
        sum
    }

    fn tally(&mut self, arrival: &Arrival) -> &mut Tally {
        let class = self.classes[arrival.account][arrival.request];
        self.tallies.entry((arrival.account, class)).or_default()
    }

    fn interval(&mut self, arrival: &Arrival) -> &mut Interval {
        let index = usize::try_from(arrival.at.as_millis() / INTERVAL.as_millis()).unwrap_or(0);
        if self.timeline.len() <= index {
            self.timeline.resize(index + 1, Interval::default());
        }
        &mut self.timeline[index]
    }

    pub(super) fn record_attempt(&mut self, arrival: &Arrival) {
        self.tally(arrival).attempts += 1;
    }

    pub(super) fn record_unsent(&mut self, arrival: &Arrival) {
        self.record_arrival(arrival);
        self.tally(arrival).unsent += 1;
    }

    pub(super) fn record(&mut self, arrival: &Arrival, verdict: &Verdict, latency: Duration) {
        self.record_arrival(arrival);
        self.tally(arrival).record(arrival, verdict, latency);
        if *verdict == Verdict::Correct {
            self.interval(arrival).correct += 1;
        }
    }

    fn record_arrival(&mut self, arrival: &Arrival) {
        let tally = self.tally(arrival);
        tally.sent += 1;
        tally.within_rate += u64::from(arrival.is_within_rate);
        self.interval(arrival).sent += 1;
    }
}
