//! `monsoonctl key new`: generates a key.

use {
    super::output_grant,
    crate::error::Error,
    argh::FromArgs,
    monsoon_lib::{id::Account, key::Digest},
    std::{path::PathBuf, process::ExitCode},
};

const KEY_BYTES: usize = 32;

/// Generates a key and the table entry that grants it. The key is printed once and not stored.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "new",
    example = "{command_name} --account chonburi",
    example = "{command_name} --account chonburi --out edits > chonburi.key"
)]
pub struct New {
    /// the client account that the key authenticates
    #[argh(option)]
    account: String,
    /// the directory to write the table entry to; only the key is then printed
    #[argh(option)]
    out: Option<PathBuf>,
}

impl New {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the account's name is invalid or the table entry can't be written.
    pub fn run(self) -> Result<ExitCode, Error> {
        let account: Account = self.account.parse()?;
        let secret: [u8; KEY_BYTES] = rand::random();
        let key: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
        let digest = Digest::of(key.as_bytes());
        if self.out.is_none() {
            print!("key: ");
        }
        println!("{key}");
        output_grant(&digest, &account, self.out.as_deref())?;
        Ok(ExitCode::SUCCESS)
    }
}
