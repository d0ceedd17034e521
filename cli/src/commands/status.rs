//! `monsoonctl status`: shows all nodes side by side.

use {
    crate::{
        error::{EXIT_FOUND, Error},
        node, source,
    },
    argh::FromArgs,
    monsoon_lib::settings::Settings,
    serde_json::Value,
    std::{
        collections::BTreeSet,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Shows all nodes side by side, one line each.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} 10.0.0.1:9001 10.0.0.2:9001",
    example = "{command_name} --list nodes.txt",
    note = "Exits with 1 where a node doesn't answer or the nodes have different tables."
)]
pub struct Status {
    /// a file with one admin address a line; `#` begins a comment
    #[argh(option)]
    list: Vec<PathBuf>,
    /// a node's settings file, whose `listen.admin` is asked
    #[argh(option)]
    settings: Vec<PathBuf>,
    /// admin addresses
    #[argh(positional)]
    addresses: Vec<String>,
}

/// One node's line.
struct Line {
    address: String,
    dump: Result<Value, Error>,
}

impl Status {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where no address is given or a file can't be read.
    pub fn run(self) -> Result<ExitCode, Error> {
        let mut addresses = self.addresses;
        for path in &self.list {
            addresses.extend(listed(path)?);
        }
        for path in &self.settings {
            let settings = Settings::parse(&source::read(path)?);
            let failed = |error| Error::Settings { path: path.clone(), error };
            addresses.push(settings.map_err(failed)?.listen.admin.to_string());
        }
        if addresses.is_empty() {
            return Err(Error::Nothing("give admin addresses, --list or --settings"));
        }
        let lines = actix_rt::System::new().block_on(ask_all(addresses));
        print(&lines);
        let is_well = lines.iter().all(|line| line.dump.is_ok()) && revisions(&lines).len() <= 1;
        Ok(if is_well { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FOUND) })
    }
}

fn listed(path: &Path) -> Result<Vec<String>, Error> {
    let text = source::read(path)?;
    let address = |line: &str| line.split('#').next().unwrap_or_default().trim().to_owned();
    Ok(text.lines().map(address).filter(|address| !address.is_empty()).collect())
}

async fn ask_all(addresses: Vec<String>) -> Vec<Line> {
    let ask = |address: String| {
        actix_rt::spawn(async move {
            let dump = node::get(&address, "/dump").await;
            Line { address, dump }
        })
    };
    let asked: Vec<_> = addresses.into_iter().map(ask).collect();
    let mut lines = Vec::new();
    for line in asked {
        lines.extend(line.await);
    }
    lines
}

fn revisions(lines: &[Line]) -> BTreeSet<u64> {
    let dumps = lines.iter().filter_map(|line| line.dump.as_ref().ok());
    dumps.filter_map(|dump| dump["revision"].as_u64()).collect()
}

fn print(lines: &[Line]) {
    println!(
        "{:21} {:16} {:12} {:>9} {:>7} {:9}",
        "ADDRESS", "VM", "DATA CENTRE", "REVISION", "CALLS", "STATE"
    );
    for Line { address, dump } in lines {
        match dump {
            Ok(dump) => println!("{address:21} {}", columns(dump)),
            Err(error) => println!("{address:21} {error}"),
        }
    }
    let revisions = revisions(lines);
    if revisions.len() > 1 {
        let (first, last) = (revisions.first(), revisions.last());
        let (first, last) = (first.copied().unwrap_or(0), last.copied().unwrap_or(0));
        println!("The nodes have tables of r{first} to r{last}; they should agree within seconds.");
    }
}

fn columns(dump: &Value) -> String {
    let text = |field: &str| dump[field].as_str().unwrap_or("?").to_owned();
    let revision = dump["revision"].as_u64().map_or("?".to_owned(), |number| format!("r{number}"));
    let calls = dump["calls"].as_u64().map_or("?".to_owned(), |number| number.to_string());
    let state = if dump["is_draining"] == Value::Bool(true) { "leaving" } else { "serving" };
    let (vm, data_centre) = (text("vm"), text("data_centre"));
    format!("{vm:16} {data_centre:12} {revision:>9} {calls:>7} {state}")
}
