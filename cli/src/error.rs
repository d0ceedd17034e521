//! Errors of commands, with hints for the operator.

use {
    crate::metrics,
    monsoon_lib::{id, key},
    std::{io, path::PathBuf},
};

/// The exit code of a command that found a fault, or a request that would be refused.
pub const EXIT_FAULT: u8 = 1;
/// The exit code of a command that failed itself.
pub const EXIT_ERROR: u8 = 2;

/// An error that keeps a command from completing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or directory can't be read.
    #[error("can't read {path}: {error}", path = .path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A file with metrics or log lines of a node can't be read.
    #[error("can't read {path}: {error}", path = .path.display())]
    ReadLines {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A file is given twice.
    #[error("{path} is given twice", path = .0.display())]
    RepeatedFile(PathBuf),
    /// A line of metrics can't be read.
    #[error("{path}:{line}: {error}", path = .path.display())]
    Metrics {
        /// The path of the file.
        path: PathBuf,
        /// The number of the line.
        line: usize,
        /// The fault.
        error: metrics::Error,
    },
    /// A file contains no metrics of a node.
    #[error("{path}: no metrics of a node", path = .0.display())]
    NoMetrics(PathBuf),
    /// No log line is about the request.
    #[error("no line is about the request {0}")]
    UnknownRequest(String),
    /// A file can't be written.
    #[error("can't write {path}: {error}", path = .path.display())]
    Write {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// Neither a path nor an address was given.
    #[error("nothing to do: {0}")]
    MissingInput(&'static str),
    /// The tables have faults, so no output was written. Holds the number of faults.
    #[error("faults in the tables: {0}")]
    InvalidTables(usize),
    /// The settings are invalid.
    #[error("{path}: {error}", path = .path.display())]
    Settings {
        /// The path of the file.
        path: PathBuf,
        /// The fault.
        error: monsoon_lib::settings::Error,
    },
    /// A node didn't answer in time, or not with JSON.
    #[error("no answer from {address}: {reason}")]
    NoAnswer {
        /// The admin address of the node.
        address: String,
        /// The error of the HTTP client.
        reason: String,
    },
    /// A node answered with another status than success.
    #[error("{address} answered with status {status}")]
    Status {
        /// The admin address of the node.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// The account's name is invalid.
    #[error("--account: {0}")]
    Account(#[from] id::Error),
    /// Standard input contains no key.
    #[error("no key on standard input")]
    NoKey,
    /// The given digest is invalid.
    #[error(transparent)]
    Digest(#[from] key::Error),
    /// A value can't be serialized or parsed as YAML or JSON.
    #[error("can't write the value: {0}")]
    Format(String),
}

impl Error {
    /// Returns a hint on how to resolve the error, unless the message suffices.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Read { .. } => {
                Some("check the path; a directory must hold SECTION/NAME.yaml files")
            }
            Self::ReadLines { .. } => {
                Some("give files with what one node has written, or `-` for standard input")
            }
            Self::RepeatedFile(_) => Some("give one file for each node"),
            Self::Metrics { error: metrics::Error::Repeated(_), .. } => {
                Some("give one file for each node; this one has the metrics of several")
            }
            Self::Metrics { .. } | Self::NoMetrics(_) => Some(
                "give the whole text that a node of the users' platform serves at its metrics \
                 address, as with `curl http://VM:PORT/metrics`",
            ),
            Self::UnknownRequest(_) => Some(
                "give the logs of all nodes; a request that was answered at its first attempt \
                 leaves no line",
            ),
            Self::Write { .. } => {
                Some("check that the directory exists and that you may write to it")
            }
            Self::MissingInput(_) => Some("try `monsoonctl COMMAND --help` for an example"),
            Self::InvalidTables(_) => {
                Some("run `monsoonctl check` on the same file to see them all")
            }
            Self::Settings { .. } => Some("the fields are described in docs/operate/settings.md"),
            Self::NoAnswer { .. } => Some(
                "give the node's admin address, as in `listen.admin` of its settings; it is \
                 usually open only on the VM itself",
            ),
            Self::Status { .. } => Some("check that the address is a node's admin address"),
            Self::Account(_) => Some("use the name that the accounts table has"),
            Self::NoKey => Some("for example `monsoonctl key digest < key.txt`"),
            Self::Digest(_) | Self::Format(_) => None,
        }
    }
}
