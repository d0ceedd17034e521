//! `monsoonctl tables`: turns documents of tables into values to publish.

mod split;

use {crate::error::Error, argh::FromArgs, std::process::ExitCode};

/// Turns documents of tables into values to publish.
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
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where the tables have faults or a file can't be read or written.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Split(command) => command.run(),
        }
    }
}
