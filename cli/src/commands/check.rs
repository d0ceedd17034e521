//! `monsoonctl check`: validates tables and settings.

use {
    crate::{
        error::{EXIT_FAULT, Error},
        source,
    },
    argh::FromArgs,
    monsoon_lib::{id::DataCentre, settings::Settings, table::Builder, unit::Revision},
    std::{
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Reports every fault in tables and settings, without publishing anything.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} tables.yaml",
    example = "{command_name} published/ --settings bench-1.yaml",
    note = "All paths are combined into one set of tables. A directory contains one file SECTION/NAME.yaml \
            per published value, as `tables split` writes them."
)]
pub struct Check {
    /// a node's settings file; may be given several times
    #[argh(option)]
    settings: Vec<PathBuf>,
    /// files or directories of tables
    #[argh(positional)]
    paths: Vec<PathBuf>,
}

impl Check {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if no path is given or a file can't be read.
    pub fn run(self) -> Result<ExitCode, Error> {
        if self.paths.is_empty() && self.settings.is_empty() {
            return Err(Error::MissingInput("give a file or directory of tables, or --settings"));
        }
        let mut faults = 0;
        for path in &self.settings {
            faults += check_settings(path)?;
        }
        if !self.paths.is_empty() {
            faults += check_tables(&self.paths)?;
        }
        Ok(if faults == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAULT) })
    }
}

fn check_settings(path: &Path) -> Result<usize, Error> {
    match Settings::parse(&source::read(path)?) {
        Ok(settings) => {
            println!("{}: settings of VM {}, no fault", path.display(), settings.vm);
            Ok(0)
        }
        Err(error) => {
            println!("{}: {error}", path.display());
            Ok(1)
        }
    }
}

fn check_tables(paths: &[PathBuf]) -> Result<usize, Error> {
    let mut builder = Builder::new();
    for path in paths {
        source::add_tables(&mut builder, path)?;
    }
    match builder.finish(Revision(1)) {
        Ok(set) => {
            println!(
                "tables: {} routes, {} pools, {} accounts, {} keys, no fault",
                set.routes().len(),
                set.pools().len(),
                set.accounts().len(),
                set.key_count()
            );
            if !set.evacuated().is_empty() {
                let names: Vec<&str> = set.evacuated().iter().map(DataCentre::as_str).collect();
                println!("evacuated data centres: {}", names.join(", "));
            }
            Ok(0)
        }
        Err(errors) => {
            errors.iter().for_each(|error| println!("{error}"));
            println!("Faults: {}. Nodes would keep the tables that they have.", errors.len());
            Ok(errors.len())
        }
    }
}
