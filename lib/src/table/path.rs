//! Paths in a unique normal form, so that no alternative spelling of a path bypasses a route.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// The maximum length of a path, in bytes.
const MAX_PATH_BYTES: usize = 4096;

/// A path with a leading slash and without a query, empty segments or dot segments.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Path(String);

/// A path that is not in normal form.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PathError {
    /// The path does not begin with a slash.
    #[error("a path must begin with '/'")]
    Relative,
    /// The path is too long.
    #[error("a path must have at most {MAX_PATH_BYTES} bytes")]
    TooLong,
    /// The path has an empty, `.` or `..` segment.
    #[error("a path must not have an empty, '.' or '..' segment")]
    InvalidSegment,
    /// The path has a character that must be escaped, or an ambiguous escape: a slash, backslash,
    /// dot or NUL.
    #[error("a path must not have unescaped or ambiguous characters, found {0:?}")]
    InvalidCharacter(char),
}

impl Path {
    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether `other` is this path or a descendant of it.
    pub fn is_prefix_of(&self, other: &Path) -> bool {
        if self.0 == "/" {
            return true;
        }
        match other.0.strip_prefix(&self.0) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Path {
    type Err = PathError;

    fn from_str(path: &str) -> Result<Self, PathError> {
        if path.len() > MAX_PATH_BYTES {
            return Err(PathError::TooLong);
        }
        let rest = path.strip_prefix('/').ok_or(PathError::Relative)?;
        let rest = rest.strip_suffix('/').unwrap_or(rest);
        if rest.is_empty() {
            return Ok(Self("/".into()));
        }
        rest.split('/').try_for_each(check_segment)?;
        Ok(Self(format!("/{rest}")))
    }
}

impl TryFrom<String> for Path {
    type Error = PathError;

    fn try_from(path: String) -> Result<Self, PathError> {
        path.parse()
    }
}

impl From<Path> for String {
    fn from(path: Path) -> String {
        path.0
    }
}

fn check_segment(segment: &str) -> Result<(), PathError> {
    if matches!(segment, "" | "." | "..") {
        return Err(PathError::InvalidSegment);
    }
    let lower = segment.to_ascii_lowercase();
    // With these escapes, two spellings of the same path could match different routes.
    if ["%2f", "%2e", "%5c", "%00"].iter().any(|escape| lower.contains(escape)) {
        return Err(PathError::InvalidCharacter('%'));
    }
    let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '\\');
    match segment.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(PathError::InvalidCharacter(c)),
        None => Ok(()),
    }
}
