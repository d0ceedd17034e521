//! `monsoonctl key new`: makes a key.

use {
    super::grant,
    crate::error::Error,
    argh::FromArgs,
    monsoon_lib::{id::Account, key::Digest},
    std::{path::PathBuf, process::ExitCode},
};

const KEY_BYTES: usize = 32;

/// Makes a key and the edit that grants it. The key is shown this once and kept nowhere.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "new",
    example = "{command_name} --account chonburi",
    example = "{command_name} --account chonburi --out edits > chonburi.key"
)]
pub struct New {
    /// the client account that the key speaks for
    #[argh(option)]
    account: String,
    /// a directory for the edit; only the key is then printed
    #[argh(option)]
    out: Option<PathBuf>,
}

impl New {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where the account's name is not well formed or the edit can't be written.
    pub fn run(self) -> Result<ExitCode, Error> {
        let account: Account = self.account.parse()?;
        let secret: [u8; KEY_BYTES] = rand::random();
        let key: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
        let digest = Digest::of(key.as_bytes());
        if self.out.is_none() {
            print!("key: ");
        }
        println!("{key}");
        grant(&digest, &account, self.out.as_deref())?;
        Ok(ExitCode::SUCCESS)
    }
}
