//! `monsoonctl dump`: shows the whole state of one node.

use {
    crate::{error::Error, node},
    argh::FromArgs,
    std::process::ExitCode,
};

/// Shows the whole state of one node, with the reasons for it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "dump",
    example = "{command_name} 127.0.0.1:9001",
    example = "{command_name} 127.0.0.1:9001 --json | jq .rate"
)]
pub struct Dump {
    /// print JSON for programs
    #[argh(switch)]
    json: bool,
    /// the admin address of the node
    #[argh(positional)]
    address: String,
}

impl Dump {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where the node doesn't answer.
    pub fn run(self) -> Result<ExitCode, Error> {
        let dump = node::ask(&self.address, "/dump")?;
        println!("{}", node::text(&dump, self.json)?);
        Ok(ExitCode::SUCCESS)
    }
}
