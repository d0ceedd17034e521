//! Command-line arguments and the subcommands of `monsoonctl`.

mod check;
mod dump;
mod explain;
mod key;
mod pools;
mod status;
mod tables;
mod trace;

use {crate::error::Error, argh::FromArgs, std::process::ExitCode};

/// Checks tables, creates table entries and queries the state of monsoon nodes.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Check tables and settings before publishing:\n  {command_name} check tables.yaml --settings bench-1.yaml",
    error_code(0, "No fault was found."),
    error_code(1, "The command found a fault, or a request would be refused."),
    error_code(2, "The command itself failed.")
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
    Pools(pools::Pools),
    Status(status::Status),
    Tables(tables::Tables),
    Trace(trace::Trace),
}

impl Arguments {
    /// Runs the selected subcommand.
    ///
    /// # Errors
    ///
    /// Returns the error of the subcommand if it could not complete.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Check(command) => command.run(),
            Command::Dump(command) => command.run(),
            Command::Explain(command) => command.run(),
            Command::Key(command) => command.run(),
            Command::Pools(command) => command.run(),
            Command::Status(command) => command.run(),
            Command::Tables(command) => command.run(),
            Command::Trace(command) => command.run(),
        }
    }
}
