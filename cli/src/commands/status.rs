//! `monsoonctl status`: shows a table of nodes.

use {
    crate::{
        error::{EXIT_FAULT, Error},
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

/// Shows the state of several nodes, one line each.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} 10.0.0.1:9001 10.0.0.2:9001",
    example = "{command_name} --list nodes.txt",
    note = "Exits with 1 where a node doesn't answer or the nodes have different tables."
)]
pub struct Status {
    /// a file with one admin address per line; `#` starts a comment
    #[argh(option)]
    list: Vec<PathBuf>,
    /// a node's settings file; its `listen.admin` is queried
    #[argh(option)]
    settings: Vec<PathBuf>,
    /// admin addresses
    #[argh(positional)]
    addresses: Vec<String>,
}

/// The state of one node, or the error of fetching it.
struct NodeState {
    address: String,
    dump: Result<Value, Error>,
}

impl Status {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is given or a settings or list file can't be read.
    pub fn run(self) -> Result<ExitCode, Error> {
        let mut addresses = self.addresses;
        for path in &self.list {
            addresses.extend(read_address_list(path)?);
        }
        for path in &self.settings {
            let settings = Settings::parse(&source::read(path)?);
            let settings_error = |error| Error::Settings { path: path.clone(), error };
            addresses.push(settings.map_err(settings_error)?.listen.admin.to_string());
        }
        if addresses.is_empty() {
            return Err(Error::MissingInput("give admin addresses, --list or --settings"));
        }
        let states = actix_rt::System::new().block_on(fetch_all(addresses));
        print(&states);
        let is_healthy =
            states.iter().all(|state| state.dump.is_ok()) && revisions(&states).len() <= 1;
        Ok(if is_healthy { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAULT) })
    }
}

fn read_address_list(path: &Path) -> Result<Vec<String>, Error> {
    let text = source::read(path)?;
    let address = |line: &str| line.split('#').next().unwrap_or_default().trim().to_owned();
    Ok(text.lines().map(address).filter(|address| !address.is_empty()).collect())
}

async fn fetch_all(addresses: Vec<String>) -> Vec<NodeState> {
    let spawn_fetch = |address: String| {
        actix_rt::spawn(async move {
            let dump = node::get(&address, "/dump").await;
            NodeState { address, dump }
        })
    };
    let tasks: Vec<_> = addresses.into_iter().map(spawn_fetch).collect();
    let mut states = Vec::new();
    for task in tasks {
        states.extend(task.await);
    }
    states
}

fn revisions(states: &[NodeState]) -> BTreeSet<u64> {
    let dumps = states.iter().filter_map(|state| state.dump.as_ref().ok());
    dumps.filter_map(|dump| dump["revision"].as_u64()).collect()
}

fn print(states: &[NodeState]) {
    println!(
        "{:21} {:16} {:12} {:>9} {:>7} {:9}",
        "ADDRESS", "VM", "DATA CENTRE", "REVISION", "CALLS", "STATE"
    );
    for NodeState { address, dump } in states {
        match dump {
            Ok(dump) => println!("{address:21} {}", columns(dump)),
            Err(error) => println!("{address:21} {error}"),
        }
    }
    let revisions = revisions(states);
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
