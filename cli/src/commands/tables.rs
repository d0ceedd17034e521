//! `monsoonctl tables`: converts table documents to values to publish.

mod split;

use {crate::error::Error, argh::FromArgs, std::process::ExitCode};

/// Converts table documents to values to publish.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tables")]
pub struct Tables {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Split(split::Split),
}

impl Tables {
    /// Runs the selected subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error if the tables have faults or a file can't be read or written.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Split(command) => command.run(),
        }
    }
}
