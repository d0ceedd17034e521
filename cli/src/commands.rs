//! The commands, one module each.

mod check;
mod dump;
mod explain;
mod key;
mod status;
mod tables;

use {crate::error::Error, argh::FromArgs, std::process::ExitCode};

/// Checks tables, makes table edits and asks monsoon nodes for their state.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Check tables and settings before publishing:\n  {command_name} check tables.yaml --settings bench-1.yaml",
    error_code(0, "All is well."),
    error_code(1, "Something is wrong with what was checked or asked."),
    error_code(2, "The command could not do its job.")
)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    Dump(dump::Dump),
    Explain(explain::Explain),
    Key(key::Key),
    Status(status::Status),
    Tables(tables::Tables),
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where the command could not do its job.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Check(command) => command.run(),
            Command::Dump(command) => command.run(),
            Command::Explain(command) => command.run(),
            Command::Key(command) => command.run(),
            Command::Status(command) => command.run(),
            Command::Tables(command) => command.run(),
        }
    }
}
