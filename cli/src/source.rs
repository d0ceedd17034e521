//! Tables in files: whole documents, and directories with one file for each published value.

use {
    crate::error::Error,
    monsoon_lib::table::{Builder, Section},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const EXTENSION: &str = "yaml";

/// Adds the tables at a path to a builder. A directory holds `SECTION/NAME.yaml` files.
///
/// # Errors
///
/// Fails where something can't be read. Faults in the tables are found by the builder.
pub fn add(builder: &mut Builder, path: &Path) -> Result<(), Error> {
    if !path.is_dir() {
        builder.add_document(&path.display().to_string(), &read(path)?);
        return Ok(());
    }
    for section in Section::ALL {
        let directory = path.join(section.as_str());
        if !directory.is_dir() {
            continue;
        }
        for file in files(&directory)? {
            let name = file.file_stem().unwrap_or_default().to_string_lossy();
            builder.add_value(&format!("{section}/{name}"), &read(&file)?);
        }
    }
    Ok(())
}

/// Reads a text file.
///
/// # Errors
///
/// Fails where it can't be read as text.
pub fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::Read { path: path.into(), error })
}

/// Writes the text of one published value below a directory.
///
/// # Errors
///
/// Fails where the file can't be written.
pub fn write(directory: &Path, name: &str, text: &str) -> Result<PathBuf, Error> {
    let path = directory.join(format!("{name}.{EXTENSION}"));
    let failed = |error| Error::Write { path: path.clone(), error };
    if let Some(parent) = path.parent() {
        fs::create_dir_all(parent).map_err(failed)?;
    }
    fs::write(&path, text).map_err(failed)?;
    Ok(path)
}

fn files(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let failed = |error| Error::Read { path: directory.into(), error };
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_some_and(|extension| extension == EXTENSION) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
