//! Reading and writing tables as files: single documents, and directories with one file per
//! published value.

use {
    crate::error::Error,
    monsoon_lib::table::{Builder, Section},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const EXTENSION: &str = "yaml";

/// Adds the tables at a path to a builder. The path is a document, or a directory of
/// `SECTION/NAME.yaml` files.
///
/// # Errors
///
/// Returns an error if a file or directory can't be read. The builder reports faults in the tables.
pub fn add_tables(builder: &mut Builder, path: &Path) -> Result<(), Error> {
    if !path.is_dir() {
        builder.add_document(&path.display().to_string(), &read(path)?);
        return Ok(());
    }
    for section in Section::ALL {
        let directory = path.join(section.as_str());
        if !directory.is_dir() {
            continue;
        }
        for file in yaml_files(&directory)? {
            let name = file.file_stem().unwrap_or_default().to_string_lossy();
            builder.add_value(&format!("{section}/{name}"), &read(&file)?);
        }
    }
    Ok(())
}

/// Reads a UTF-8 text file.
///
/// # Errors
///
/// Returns an error if the file can't be read or is not UTF-8.
pub fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::Read { path: path.into(), error })
}

/// Writes the text of one published value to `NAME.yaml` below a directory, and returns the path.
///
/// # Errors
///
/// Returns an error if the file or its directory can't be written.
pub fn write(directory: &Path, name: &str, text: &str) -> Result<PathBuf, Error> {
    let path = directory.join(format!("{name}.{EXTENSION}"));
    let write_error = |error| Error::Write { path: path.clone(), error };
    if let Some(parent) = path.parent() {
        fs::create_dir_all(parent).map_err(write_error)?;
    }
    fs::write(&path, text).map_err(write_error)?;
    Ok(path)
}

fn yaml_files(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let read_error = |error| Error::Read { path: directory.into(), error };
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        if path.extension().is_some_and(|extension| extension == EXTENSION) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
