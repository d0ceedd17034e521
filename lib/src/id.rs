//! Identifiers of the objects of the model.
//!
//! Names come from the published tables and are shared by many objects, so they are
//! reference-counted and cheap to clone. Numbers identify short-lived objects such as calls.

use {
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher13,
    std::{fmt, hash::Hasher as _, str::FromStr, sync::Arc},
};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A malformed name or number.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The name is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The name has more than [`MAX_NAME_BYTES`] bytes.
    #[error("a name has at most {MAX_NAME_BYTES} bytes, not {0}")]
    TooLong(usize),
    /// The name has a character other than a letter, digit, `-`, `_` or `.`.
    #[error("a name has only letters, digits, '-', '_' and '.', not {0:?}")]
    InvalidCharacter(char),
    /// The text is not a hexadecimal number with the expected number of digits.
    #[error("expected {0} hexadecimal digits")]
    InvalidHexadecimal(usize),
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

fn check_name(name: &str) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong(name.len()));
    }
    match name.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(Error::InvalidCharacter(c)),
        None => Ok(()),
    }
}

/// Returns the valid characters of a malformed name, followed by a hash that tells it from others.
fn substitute(name: &str) -> String {
    // With the separator and the digits of the hash it is within the maximum length.
    const MAX_CHARACTERS: usize = 40;
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    let replace = |c| if is_allowed(c) { c } else { '_' };
    let readable: String = name.chars().take(MAX_CHARACTERS).map(replace).collect();
    format!("{readable}-{:016x}", hasher.finish())
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the name if it is valid, and otherwise a valid one that stands for it and that
            /// differs for different names. For names that only have to tell objects apart.
            pub fn sanitize(name: &str) -> Self {
                match check_name(name) {
                    Ok(()) => Self(name.into()),
                    Err(_) => Self(substitute(name).into()),
                }
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(name: &str) -> Result<Self, Error> {
                check_name(name)?;
                Ok(Self(name.into()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(name: String) -> Result<Self, Error> {
                name.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// The name of a client account.
    Account
);
name!(
    /// The name of a data centre.
    DataCentre
);
name!(
    /// The name of a pool of targets.
    Pool
);
name!(
    /// The name of a route.
    Route
);
name!(
    /// The name of a VM, which also identifies the node and the target on it.
    Vm
);

/// The number of a call at one node. It is never reused within the lifetime of a process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Call(pub u64);

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number of one process on a VM. A later process on the same VM has a larger number, because
/// the number starts from the wall clock in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The identifier of a root request, shared by all nested calls that it causes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Request(pub u128);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Request {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        const DIGITS: usize = 32;
        if text.len() != DIGITS || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(Error::InvalidHexadecimal(DIGITS));
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| Error::InvalidHexadecimal(DIGITS))
    }
}
