//! `monsoonctl key`: creates and revokes client accounts' keys as changes to the tables.

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

/// Creates and revokes client accounts' keys as changes to the tables.
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
    /// Runs the selected subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error if a key, digest or account name is missing or invalid, or if a file can't
    /// be read or written.
    pub fn run(self) -> Result<ExitCode, Error> {
        match self.command {
            Command::Digest(command) => command.run(),
            Command::New(command) => command.run(),
            Command::Withdraw(command) => command.run(),
        }
    }
}

/// Returns the name of the published value that grants a key.
fn value_name(digest: &Digest) -> String {
    format!("{}/{}", Section::Keys, digest.to_hex())
}

/// Returns the YAML text of the published value that grants a key to a client account.
fn value_text(digest: &Digest, account: &Account) -> String {
    format!("digest: \"{}\"\naccount: {account}\n", digest.to_hex())
}

/// Prints the table entry that grants a key, or writes it below a directory.
fn output_grant(digest: &Digest, account: &Account, out: Option<&Path>) -> Result<(), Error> {
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

/// Reads a key from standard input. As a command-line argument it would show in process listings.
fn read_key() -> Result<String, Error> {
    let mut text = String::new();
    let read = io::stdin().read_to_string(&mut text);
    read.map_err(|error| Error::Read { path: "standard input".into(), error })?;
    let key = text.trim();
    if key.is_empty() { Err(Error::NoKey) } else { Ok(key.to_owned()) }
}
