//! The commands of the tool, one file each.

pub mod compare;
pub mod control;
pub mod demo;
pub mod latency;
pub mod overload;
pub mod run;

use std::{io, path::PathBuf};

/// Why a command can't be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// An experiment's description is not valid.
    #[error("{path}: {message}\nHint: docs/operate/bench.md lists all fields.")]
    Description {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// A result can't be read.
    #[error("{path}: {error}\nHint: give a file that `run --json` wrote.")]
    Result {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// The fleet can't be started or used.
    #[error(transparent)]
    Fleet(#[from] monsoon_testutils::fleet::Error),
    /// A node can't be started or signalled.
    #[error(transparent)]
    Process(#[from] monsoon_testutils::process::Error),
    /// A stand-in can't be started.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A plot can't be drawn.
    #[error("can't draw the plot: {0}")]
    Plot(String),
    /// A promise was broken.
    #[error("{0} violations; the table above counts them by kind")]
    Violations(usize),
}
