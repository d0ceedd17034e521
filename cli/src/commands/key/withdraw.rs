//! `monsoonctl key withdraw`: prints the name of the value whose deletion revokes a key.

use {
    super::{read_key, value_name},
    crate::error::Error,
    argh::FromArgs,
    monsoon_lib::key::Digest,
    std::process::ExitCode,
};

/// Prints the name of the value whose deletion revokes a key. The key is read from standard input.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "withdraw",
    example = "{command_name} < chonburi.key",
    example = "{command_name} --digest 5f2b...",
    note = "Delete the value at the configuration service. Nodes reject the key within seconds, also on \
            open connections."
)]
pub struct Withdraw {
    /// the key's digest, to use instead of the key on standard input
    #[argh(option)]
    digest: Option<String>,
}

impl Withdraw {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the digest is invalid, or if there is neither a digest nor a key.
    pub fn run(self) -> Result<ExitCode, Error> {
        let digest: Digest = match &self.digest {
            Some(digest) => digest.parse()?,
            None => Digest::of(read_key()?.as_bytes()),
        };
        println!("delete {}", value_name(&digest));
        Ok(ExitCode::SUCCESS)
    }
}
