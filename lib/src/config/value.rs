//! Published values and the platform's answers to reads.

use {
    crate::unit::Revision,
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, str::FromStr, sync::Arc},
};

/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// The longest name of a value, in bytes.
pub const MAX_NAME_BYTES: usize = 160;

/// The name is empty, too long or contains characters that can't be printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the name of a value must have 1 to {MAX_NAME_BYTES} printable ASCII characters")]
pub struct NameError;

/// The name of a published value. The validator decides whether it belongs to a table.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Makes a bound for a range of names. The text need not be a valid name.
    pub(super) fn bound(text: &str) -> Self {
        Self(text.into())
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let is_printable = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !is_printable {
            return Err(NameError);
        }
        Ok(Self(text.into()))
    }
}

/// A value in the platform's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Value {
    /// The name.
    pub name: String,
    /// The revision that last changed it.
    pub revision: Revision,
    /// The text, or none where the value was deleted.
    pub text: Option<String>,
}

/// The platform's answer to a read: every value that changed after the revision that was asked for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// The revision up to which the answer is complete.
    pub revision: Revision,
    /// Whether the values are the full state, because the platform can't provide the difference.
    #[serde(default)]
    pub reset: bool,
    /// The changed values, or all values after a reset.
    pub values: Vec<Value>,
}

/// The reason why a read of the platform failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum ReadError {
    /// The platform refused the read because its limit of reads is exceeded.
    #[error("the platform's limit of reads is exceeded")]
    TooMany,
    /// The platform can't be reached, or its answer is malformed.
    #[error("the platform can't be reached, or its answer is malformed")]
    Failed,
}

/// The stored state of a value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Entry {
    /// The revision that last changed it.
    pub revision: Revision,
    /// The text, or none where the value was deleted.
    pub text: Option<Arc<str>>,
}
