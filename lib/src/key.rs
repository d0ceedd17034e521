//! Digests of client account keys. The keys themselves are not stored.
//!
//! A key has at least 32 random bytes, so it cannot be guessed and a plain SHA-256 digest is
//! enough. Digests must not be logged or dumped; see docs/operate/tables.md.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::{
        fmt,
        hash::{Hash, Hasher},
        str::FromStr,
    },
    subtle::ConstantTimeEq,
};

const DIGEST_BYTES: usize = 32;

/// A malformed digest.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a key digest is 64 hexadecimal digits")]
pub struct Error;

/// The SHA-256 digest of a key.
#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of a key as received in the `Authorization` header.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the 64 hexadecimal digits, as written in a table. Must not be used for logs or
    /// dumps.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Digest {}

impl Hash for Digest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Hides the content, so that digests do not end up in logs.
impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(Error);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| Error)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_hex()
    }
}
