//! The cases that are scripts, by name.

mod crash_memory;
mod cut_watch;
mod queued_departure;

use crate::{Error, Verdict};

/// Runs a case with or without its disruption.
pub fn run(case: &str, has_trouble: bool) -> Result<Verdict, Error> {
    match case {
        "crash-memory" => crash_memory::run(has_trouble),
        "cut-watch" => cut_watch::run(has_trouble),
        "queued-departure" => queued_departure::run(has_trouble),
        _ => Err(format!("there is no case {case:?}").into()),
    }
}
