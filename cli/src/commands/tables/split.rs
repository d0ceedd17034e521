//! `monsoonctl tables split`: writes one file for each value to publish.

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

/// Checks a document that holds all tables, and writes one file for each value to publish.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "split",
    example = "{command_name} tables.yaml --out published",
    note = "The files are named SECTION/NAME.yaml. Publish each under SECTION/NAME. Files of values that \
            the document no longer has are left alone."
)]
pub struct Split {
    /// the directory for the files
    #[argh(option)]
    out: PathBuf,
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

impl Split {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where the tables have faults or a file can't be read or written.
    pub fn run(self) -> Result<ExitCode, Error> {
        let text = source::read(&self.file)?;
        let mut builder = Builder::new();
        builder.add_document(&self.file.display().to_string(), &text);
        builder.finish(Revision(1)).map_err(|errors| Error::Faults(errors.len()))?;
        let format = |error: &dyn std::fmt::Display| Error::Format(error.to_string());
        let document: BTreeMap<Section, Vec<Value>> =
            serde_saphyr::from_str(&text).map_err(|error| format(&error))?;
        for (section, lines) in document {
            for line in lines {
                let name = name(section, &line);
                let text = serde_saphyr::to_string(&line).map_err(|error| format(&error))?;
                let path = source::write(&self.out, &format!("{section}/{name}"), &text)?;
                println!("{}", path.display());
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn name(section: Section, line: &Value) -> &str {
    let field = if section == Section::Keys { "digest" } else { "name" };
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}
