//! `monsoonctl key digest`: creates the table entry that grants an existing key.

use {
    super::{output_grant, read_key},
    crate::error::Error,
    argh::FromArgs,
    monsoon_lib::{id::Account, key::Digest},
    std::{path::PathBuf, process::ExitCode},
};

/// Reads a key from standard input and creates the table entry that grants it to a client account.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest", example = "{command_name} --account chonburi < chonburi.key")]
pub struct DigestKey {
    /// the client account that the key authenticates
    #[argh(option)]
    account: String,
    /// the directory to write the table entry to; it is printed otherwise
    #[argh(option)]
    out: Option<PathBuf>,
}

impl DigestKey {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if standard input contains no key, the account's name is invalid, or the
    /// table entry can't be written.
    pub fn run(self) -> Result<ExitCode, Error> {
        let account: Account = self.account.parse()?;
        let digest = Digest::of(read_key()?.as_bytes());
        output_grant(&digest, &account, self.out.as_deref())?;
        Ok(ExitCode::SUCCESS)
    }
}
