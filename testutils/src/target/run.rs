//! The record of the runs of a target.

use {
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// A request that a target ran, or began to run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The sequence number of the run, from 0.
    pub number: u64,
    /// The id of the root request, from the `Monsoon-Request` field.
    pub request: Option<String>,
    /// The call context, from the `Monsoon-Context` field.
    pub context: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The client account, from the `Monsoon-Account` field.
    pub account: Option<String>,
    /// The digest of the method, the path and the body.
    pub digest: String,
    /// The idempotency key, from the `Idempotency-Key` field.
    pub idempotency_key: Option<String>,
    /// Whether the request had an `Authorization` field.
    pub saw_authorization: bool,
    /// Whether one of the configured keys occurred anywhere in the request.
    pub saw_key: bool,
    /// When the run began, in milliseconds since the start of the target.
    pub started_ms: u64,
    /// When the run ended with an answer, in milliseconds since the start of the target.
    pub finished_ms: Option<u64>,
    /// Whether the caller closed the connection before the answer.
    pub cancelled: bool,
    /// The number of attempts of nested calls.
    pub nested: u32,
    /// The number of nested calls that failed after all retries.
    pub nested_failed: u32,
}

/// Counts of requests since the start of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Runs that began.
    pub started: u64,
    /// Runs that ended with an answer.
    pub finished: u64,
    /// Runs whose caller closed the connection.
    pub cancelled: u64,
    /// Requests that were refused and declared not run.
    pub shed: u64,
}

/// The most recent runs of a target, and counts of all.
#[derive(Debug)]
pub struct Runs {
    max: usize,
    first: u64,
    runs: VecDeque<Run>,
    counts: Counts,
}

impl Runs {
    /// Creates a record that retains the most recent `max` runs.
    pub fn new(max: usize) -> Self {
        Self { max, first: 0, runs: VecDeque::new(), counts: Counts::default() }
    }

    /// Records the start of a run and returns its number.
    pub fn begin(&mut self, run: Run) -> u64 {
        let number = self.counts.started;
        self.counts.started += 1;
        self.runs.push_back(Run { number, ..run });
        if self.runs.len() > self.max {
            self.runs.pop_front();
            self.first += 1;
        }
        number
    }

    /// Returns a run by its number, if it is still retained.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut Run> {
        let index = usize::try_from(number.checked_sub(self.first)?).ok()?;
        self.runs.get_mut(index)
    }

    /// Records the end of a run: its time, or none if the run was cancelled.
    pub fn end(&mut self, number: u64, finished_ms: Option<u64>) {
        match finished_ms {
            Some(_) => self.counts.finished += 1,
            None => self.counts.cancelled += 1,
        }
        if let Some(run) = self.get_mut(number) {
            run.finished_ms = finished_ms;
            run.cancelled = finished_ms.is_none();
        }
    }

    /// Counts a request that was shed.
    pub fn shed(&mut self) {
        self.counts.shed += 1;
    }

    /// Returns the retained runs, oldest first.
    pub fn list(&self) -> Vec<Run> {
        self.runs.iter().cloned().collect()
    }

    /// Returns the counts since the start of the target.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}
