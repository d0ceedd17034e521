//! The subcommands of `monsoon-bench` and their errors.

pub mod compare;
pub mod control;
pub mod demo;
pub mod latency;
pub mod overload;
pub mod run;

use std::{io, path::PathBuf};

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// An experiment's description is invalid.
    #[error("{path}: {message}\nHint: docs/operate/bench.md lists all fields.")]
    Description {
        /// The path of the file.
        path: PathBuf,
        /// The first line of the parser's message.
        message: String,
    },
    /// A result file can't be parsed.
    #[error("{path}: {error}\nHint: give a file that `run --json` wrote.")]
    Result {
        /// The path of the file.
        path: PathBuf,
        /// The error of the JSON parser.
        error: serde_json::Error,
    },
    /// The fleet can't be started or queried.
    #[error(transparent)]
    Fleet(#[from] monsoon_testutils::fleet::Error),
    /// A node process can't be started or signalled.
    #[error(transparent)]
    Process(#[from] monsoon_testutils::process::Error),
    /// A fake service can't be started, or the load generator failed.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A plot can't be drawn.
    #[error("can't draw the plot: {0}")]
    Plot(String),
    /// Guarantees were violated. Holds the number of violations.
    #[error("{0} violations; the table above counts them by kind")]
    Violations(usize),
}
