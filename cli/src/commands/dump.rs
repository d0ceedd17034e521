//! `monsoonctl dump`: shows the complete state of one node.

use {
    crate::{error::Error, node},
    argh::FromArgs,
    std::process::ExitCode,
};

/// Shows the complete state of one node, with the reasons behind its decisions.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "dump",
    example = "{command_name} 127.0.0.1:9001",
    example = "{command_name} 127.0.0.1:9001 --json | jq .rate"
)]
pub struct Dump {
    /// print JSON instead of YAML
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
    /// Returns an error if the node doesn't answer.
    pub fn run(self) -> Result<ExitCode, Error> {
        let dump = node::get_blocking(&self.address, "/dump")?;
        println!("{}", node::format(&dump, self.json)?);
        Ok(ExitCode::SUCCESS)
    }
}
