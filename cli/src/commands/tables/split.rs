//! `monsoonctl tables split`: writes one file per value to publish.

use {
    crate::{error::Error, source},
    argh::FromArgs,
    monsoon_lib::{
        table::{Builder, Section},
        unit::Revision,
    },
    serde_json::Value,
    std::{collections::BTreeMap, path::PathBuf, process::ExitCode},
};

/// Checks a document that contains all tables, and writes one file per value to publish.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "split",
    example = "{command_name} tables.yaml --out published",
    note = "The files are named SECTION/NAME.yaml. Publish each under SECTION/NAME. Files of values that \
            are no longer in the document are not deleted."
)]
pub struct Split {
    /// the directory to write the files to
    #[argh(option)]
    out: PathBuf,
    /// the document to split
    #[argh(positional)]
    file: PathBuf,
}

impl Split {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the tables have faults or a file can't be read or written.
    pub fn run(self) -> Result<ExitCode, Error> {
        let text = source::read(&self.file)?;
        let mut builder = Builder::new();
        builder.add_document(&self.file.display().to_string(), &text);
        builder.finish(Revision(1)).map_err(|errors| Error::InvalidTables(errors.len()))?;
        let format_error = |error: &dyn std::fmt::Display| Error::Format(error.to_string());
        let document: BTreeMap<Section, Vec<Value>> =
            serde_saphyr::from_str(&text).map_err(|error| format_error(&error))?;
        for (section, entries) in document {
            for entry in entries {
                let name = entry_name(section, &entry);
                let text = serde_saphyr::to_string(&entry).map_err(|error| format_error(&error))?;
                let path = source::write(&self.out, &format!("{section}/{name}"), &text)?;
                println!("{}", path.display());
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn entry_name(section: Section, entry: &Value) -> &str {
    let name = match section {
        Section::Evacuated => Some(entry),
        Section::Keys => entry.get("digest"),
        Section::Routes | Section::Pools | Section::Accounts => entry.get("name"),
    };
    name.and_then(Value::as_str).unwrap_or_default()
}
