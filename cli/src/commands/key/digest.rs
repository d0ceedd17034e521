//! `monsoonctl key digest`: makes the edit that grants an existing key.

use {
    super::{grant, read_key},
    crate::error::Error,
    argh::FromArgs,
    monsoon_lib::{id::Account, key::Digest},
    std::{path::PathBuf, process::ExitCode},
};

/// Reads a key from standard input and makes the edit that grants it to an account.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest", example = "{command_name} --account chonburi < chonburi.key")]
pub struct DigestKey {
    /// the client account that the key speaks for
    #[argh(option)]
    account: String,
    /// a directory for the edit
    #[argh(option)]
    out: Option<PathBuf>,
}

impl DigestKey {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where there is no key or account, or the edit can't be written.
    pub fn run(self) -> Result<ExitCode, Error> {
        let account: Account = self.account.parse()?;
        let digest = Digest::of(read_key()?.as_bytes());
        grant(&digest, &account, self.out.as_deref())?;
        Ok(ExitCode::SUCCESS)
    }
}
