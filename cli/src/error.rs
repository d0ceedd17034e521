//! Why a command could not do its job, with a hint of what to do next.

use {
    monsoon_lib::{id, key},
    std::{io, path::PathBuf},
};

/// The exit code of a command that found something wrong.
pub const EXIT_FOUND: u8 = 1;
/// The exit code of a command that could not do its job.
pub const EXIT_FAILED: u8 = 2;

/// A failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or directory can't be read.
    #[error("can't read {path}: {error}", path = .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// A file can't be written.
    #[error("can't write {path}: {error}", path = .path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// The command needs a path or an address.
    #[error("nothing to do: {0}")]
    Nothing(&'static str),
    /// The tables have faults, so nothing is made of them.
    #[error("faults in the tables: {0}")]
    Faults(usize),
    /// The settings have a fault.
    #[error("{path}: {error}", path = .path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        error: monsoon_lib::settings::Error,
    },
    /// A node did not answer.
    #[error("no answer from {address}: {reason}")]
    NoAnswer {
        /// The admin address of the node.
        address: String,
        /// What went wrong.
        reason: String,
    },
    /// A node answered with something else than expected.
    #[error("{address} answered with status {status}")]
    Status {
        /// The admin address of the node.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// The account's name is not well formed.
    #[error("--account: {0}")]
    Account(#[from] id::Error),
    /// Standard input holds no key.
    #[error("no key on standard input")]
    NoKey,
    /// The text is not a digest.
    #[error(transparent)]
    Digest(#[from] key::Error),
    /// A value can't be written as YAML or JSON.
    #[error("can't write the value: {0}")]
    Format(String),
}

impl Error {
    /// Returns what the operator can do next, if it is not plain.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Read { .. } => {
                Some("check the path; a directory must hold SECTION/NAME.yaml files")
            }
            Self::Write { .. } => {
                Some("check that the directory exists and that you may write to it")
            }
            Self::Nothing(_) => Some("try `monsoonctl COMMAND --help` for an example"),
            Self::Faults(_) => Some("run `monsoonctl check` on the same file to see them all"),
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
