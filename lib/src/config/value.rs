//! Published values and the platform's answers.

use {
    crate::unit::Revision,
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, str::FromStr, sync::Arc},
};

/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// The longest name of a value, in bytes.
pub const MAX_NAME_BYTES: usize = 160;

/// No value can have this name.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a value's name has from 1 to {MAX_NAME_BYTES} printable characters")]
pub struct NameError;

/// The name of a published value. Whether it names a line of a table is for the validator to say.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Makes a bound for a range of names, which need not be a name itself.
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

/// One value of the platform's answer.
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
    /// The revision up to which the answer is whole.
    pub revision: Revision,
    /// Whether the values are the whole set, because the platform can't give the difference.
    #[serde(default)]
    pub reset: bool,
    /// The values.
    pub values: Vec<Value>,
}

/// Why the platform gave no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum ReadError {
    /// The platform is over its limit of reads.
    #[error("the platform is over its limit of reads")]
    TooMany,
    /// The platform can't be reached, or its answer can't be read.
    #[error("the platform does not answer")]
    Failed,
}

/// The state of one value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Entry {
    /// The revision that last changed it.
    pub revision: Revision,
    /// The text, or none where the value was deleted.
    pub text: Option<Arc<str>>,
}
