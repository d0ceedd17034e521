//! Reading and writing tables as files: single documents, and directories with one file per
//! published value. Reading metrics and log lines of nodes.

use {
    crate::error::Error,
    monsoon_lib::table::{Builder, Section},
    std::{
        collections::BTreeMap,
        fs::{self, File},
        io::{self, BufRead, BufReader},
        path::{Path, PathBuf},
    },
};

const EXTENSION: &str = "yaml";
/// The path that stands for standard input.
pub const STDIN: &str = "-";

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

/// Names nodes by the names of the files that hold their metrics or log lines. Where two files
/// have the same name, the whole paths are used.
///
/// # Errors
///
/// Returns an error if a path is given twice, since its values would count twice.
pub fn node_names(paths: &[PathBuf]) -> Result<Vec<String>, Error> {
    let file_name = |path: &Path| {
        path.file_name()
            .map_or_else(|| path.display().to_string(), |name| name.to_string_lossy().into_owned())
    };
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for (index, path) in paths.iter().enumerate() {
        if paths[..index].contains(path) {
            return Err(Error::RepeatedFile(path.clone()));
        }
        *counts.entry(file_name(path)).or_default() += 1;
    }
    let name = |path: &PathBuf| match counts[&file_name(path)] {
        1 => file_name(path),
        _ => path.display().to_string(),
    };
    Ok(paths.iter().map(name).collect())
}

/// Reads the lines of a file, or of standard input for the path `-`. They need not be UTF-8.
///
/// # Errors
///
/// Returns an error if the file can't be opened. The iterator returns one if reading fails.
pub fn lines(path: &Path) -> Result<impl Iterator<Item = Result<Vec<u8>, Error>>, Error> {
    let path = path.to_owned();
    let reader: Box<dyn BufRead> = match path.as_os_str() == STDIN {
        true => Box::new(io::stdin().lock()),
        false => match File::open(&path) {
            Ok(file) => Box::new(BufReader::new(file)),
            Err(error) => return Err(Error::ReadLines { path, error }),
        },
    };
    let lines = reader.split(b'\n');
    Ok(lines.map(move |line| line.map_err(|error| Error::ReadLines { path: path.clone(), error })))
}
