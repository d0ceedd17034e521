//! `monsoonctl key`: makes and withdraws keys of client accounts as edits of the tables.

mod digest;
mod new;
mod withdraw;

use {
    crate::{error::Error, source},
    argh::FromArgs,
    monsoon_lib::{id::Account, key::Digest, table::Section},
    std::{
        io::{self, Read as _},
        path::Path,
        process::ExitCode,
    },
};

/// Makes and withdraws keys of client accounts as edits of the tables.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Digest(digest::DigestKey),
    New(new::New),
    Withdraw(withdraw::Withdraw),
}

impl Key {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where there is no key or account, or a file can't be written.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Digest(command) => command.run(),
            Command::New(command) => command.run(),
            Command::Withdraw(command) => command.run(),
        }
    }
}

/// Returns the name of the value that grants a key.
fn value_name(digest: &Digest) -> String {
    format!("{}/{}", Section::Keys, digest.to_hex())
}

/// Returns the text of the value that grants a key to an account.
fn value_text(digest: &Digest, account: &Account) -> String {
    format!("digest: \"{}\"\naccount: {account}\n", digest.to_hex())
}

/// Shows the edit that grants a key, or writes it below a directory.
fn grant(digest: &Digest, account: &Account, out: Option<&Path>) -> Result<(), Error> {
    let (name, text) = (value_name(digest), value_text(digest, account));
    match out {
        Some(directory) => {
            let path = source::write(directory, &name, &text)?;
            eprintln!("wrote {}", path.display());
        }
        None => print!("publish {name}:\n{text}"),
    }
    Ok(())
}

/// Reads a key from standard input, so that it stands in no list of processes.
fn read_key() -> Result<String, Error> {
    let mut text = String::new();
    let read = io::stdin().read_to_string(&mut text);
    read.map_err(|error| Error::Read { path: "standard input".into(), error })?;
    let key = text.trim();
    if key.is_empty() { Err(Error::NoKey) } else { Ok(key.to_owned()) }
}
