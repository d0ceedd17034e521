//! Opaque call contexts, through which nested calls inherit from their parent call.
//!
//! A node sends a [`Token`] with each call to its own target. The target returns it with every
//! nested call, and the node uses it to look up the account, class, deadline and retry budget of
//! the parent call, so that the target never holds a key. A token is valid only at the node that
//! issued it and only while its call is open. See docs/design/cancellation.md.

use {
    crate::id,
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha20Rng,
    serde::{Deserialize, Serialize},
    slotmap::{Key as _, KeyData, SlotMap},
    std::{collections::HashMap, fmt, str::FromStr},
    subtle::ConstantTimeEq as _,
};

/// The length of a seed, which must come from the operating system's random number generator.
pub const SEED_BYTES: usize = 32;

const SECRET_BYTES: usize = 16;
const SLOT_DIGITS: usize = 16;
const TOKEN_DIGITS: usize = SLOT_DIGITS + 2 * SECRET_BYTES;

slotmap::new_key_type! {
    struct Slot;
}

/// An error in opening a context or parsing a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The limit on open contexts is reached.
    #[error("too many open call contexts: the limit is {0}")]
    Full(usize),
    /// The text is not a valid token.
    #[error("a call context must have {TOKEN_DIGITS} hexadecimal digits")]
    Malformed,
}

/// Limits on open contexts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The maximum number of open contexts.
    pub open_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { open_max: 16_384 }
    }
}

/// The token that a target receives with a call: the call's slot in the registry, and a secret.
#[derive(Clone, Copy)]
pub struct Token {
    slot: Slot,
    secret: [u8; SECRET_BYTES],
}

/// Hides the content, so that tokens do not end up in logs.
impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Writes the token as sent to the target. Must not be used for logs or dumps.
impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:032x}", self.slot.data().as_ffi(), u128::from_be_bytes(self.secret))
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != TOKEN_DIGITS || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(Error::Malformed);
        }
        let (slot, secret) = text.split_at(SLOT_DIGITS);
        let number = u64::from_str_radix(slot, 16).map_err(|_| Error::Malformed)?;
        let secret = u128::from_str_radix(secret, 16).map_err(|_| Error::Malformed)?;
        let slot = KeyData::from_ffi(number);
        // `from_ffi` normalises invalid numbers. Accepting those would give a token two spellings.
        if slot.as_ffi() != number {
            return Err(Error::Malformed);
        }
        Ok(Self { slot: slot.into(), secret: secret.to_be_bytes() })
    }
}

#[derive(Debug)]
struct OpenCall<T> {
    call: id::Call,
    secret: [u8; SECRET_BYTES],
    data: T,
}

/// The calls that run on a node's own target, each with the data that its nested calls inherit.
pub struct Registry<T> {
    settings: Settings,
    open: SlotMap<Slot, OpenCall<T>>,
    slots: HashMap<id::Call, Slot>,
    rng: ChaCha20Rng,
}

/// Shows only the number of contexts, because the state of the random number generator would reveal
/// future tokens.
impl<T> fmt::Debug for Registry<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registry").field("open", &self.open.len()).finish_non_exhaustive()
    }
}

impl<T> Registry<T> {
    /// Creates an empty registry. The seed must come from the operating system's random number
    /// generator and must not be used elsewhere.
    pub fn new(settings: Settings, seed: [u8; SEED_BYTES]) -> Self {
        Self {
            settings,
            open: SlotMap::with_key(),
            slots: HashMap::new(),
            rng: ChaCha20Rng::from_seed(seed),
        }
    }

    /// Opens the context of a call that is about to be sent to the node's own target.
    ///
    /// A second context for the same call invalidates the first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] if the limit on open contexts is reached.
    pub fn open(&mut self, call: id::Call, data: T) -> Result<Token, Error> {
        self.close(call);
        if self.open.len() >= self.settings.open_max {
            return Err(Error::Full(self.open.len()));
        }
        let mut secret = [0; SECRET_BYTES];
        self.rng.fill_bytes(&mut secret);
        let slot = self.open.insert(OpenCall { call, secret, data });
        self.slots.insert(call, slot);
        Ok(Token { slot, secret })
    }

    /// Returns the token's open call and the data that its nested calls inherit.
    pub fn find(&self, token: &Token) -> Option<(id::Call, &T)> {
        let open = self.open.get(token.slot)?;
        let is_match: bool = open.secret.ct_eq(&token.secret).into();
        is_match.then_some((open.call, &open.data))
    }

    /// Returns the token's open call and mutable access to the data that its nested calls inherit.
    pub fn find_mut(&mut self, token: &Token) -> Option<(id::Call, &mut T)> {
        let open = self.open.get_mut(token.slot)?;
        let is_match: bool = open.secret.ct_eq(&token.secret).into();
        is_match.then_some((open.call, &mut open.data))
    }

    /// Returns mutable access to the data that a call's nested calls inherit, if the call is open.
    pub fn get_mut(&mut self, call: id::Call) -> Option<&mut T> {
        let slot = *self.slots.get(&call)?;
        self.open.get_mut(slot).map(|open| &mut open.data)
    }

    /// Closes the context of a call, which invalidates its token, and returns the inherited data.
    pub fn close(&mut self, call: id::Call) -> Option<T> {
        let slot = self.slots.remove(&call)?;
        self.open.remove(slot).map(|open| open.data)
    }

    /// Returns the number of open contexts.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no context is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the state for operators. It contains no tokens.
    pub fn dump(&self) -> Dump {
        let mut calls: Vec<_> = self.slots.keys().copied().collect();
        calls.sort_unstable();
        Dump { open_max: self.settings.open_max, calls }
    }
}

/// The state of a registry for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// The maximum number of open contexts.
    pub open_max: usize,
    /// The calls whose contexts are open.
    pub calls: Vec<id::Call>,
}
