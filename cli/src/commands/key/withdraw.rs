//! `monsoonctl key withdraw`: names the value to delete.

use {
    super::{read_key, value_name},
    crate::error::Error,
    argh::FromArgs,
    monsoon_lib::key::Digest,
    std::process::ExitCode,
};

/// Names the value whose deletion withdraws a key. The key comes from standard input.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "withdraw",
    example = "{command_name} < chonburi.key",
    example = "{command_name} --digest 5f2b...",
    note = "Delete the value at the configuration service. Nodes refuse the key seconds later, also on \
            connections that are open."
)]
pub struct Withdraw {
    /// the key's digest, where the key itself is not at hand
    #[argh(option)]
    digest: Option<String>,
}

impl Withdraw {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where there is neither a key nor a digest.
    pub fn run(self) -> Result<ExitCode, Error> {
        let digest: Digest = match &self.digest {
            Some(digest) => digest.parse()?,
            None => Digest::of(read_key()?.as_bytes()),
        };
        println!("delete {}", value_name(&digest));
        Ok(ExitCode::SUCCESS)
    }
}
