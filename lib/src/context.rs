//! Opaque call contexts, by which a target's nested calls inherit from the call that it runs.
//!
//! A node gives its own target a [`Token`] with each call. The target passes it back with every
//! nested call, and the node finds the account, class, deadline and retry budget of the open call by
//! it, so that the target never holds a key. A token is valid only at the node that made it and only
//! while its call is open. See docs/design/cancellation.md.

use {
    crate::id,
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha20Rng,
    serde::{Deserialize, Serialize},
    slotmap::{Key as _, KeyData, SlotMap},
    std::{collections::HashMap, fmt, str::FromStr},
    subtle::ConstantTimeEq as _,
};

/// The bytes of a seed from the operating system's source of randomness.
pub const SEED_BYTES: usize = 32;

const SECRET_BYTES: usize = 16;
const SLOT_DIGITS: usize = 16;
const TOKEN_DIGITS: usize = SLOT_DIGITS + 2 * SECRET_BYTES;

slotmap::new_key_type! {
    struct Slot;
}

/// Why a context cannot be opened or read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// As many calls are open as the settings allow.
    #[error("{0} call contexts are open, which is the bound")]
    Full(usize),
    /// The text is not a token.
    #[error("a call context is {TOKEN_DIGITS} hexadecimal digits")]
    Malformed,
}

/// Bounds on open contexts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How many calls may be open at once.
    pub open_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { open_max: 16_384 }
    }
}

/// What a target holds of its call: the place of the call at the node, and a secret.
#[derive(Clone, Copy)]
pub struct Token {
    slot: Slot,
    secret: [u8; SECRET_BYTES],
}

/// Shows only that there is a token, so that none reaches a log by accident.
impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Writes the text for the target. Nothing else may print it.
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
        // Reading a slot corrects numbers that stand for none, which would give two spellings.
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

/// The calls that run at a node's own target, each with what its nested calls inherit.
pub struct Registry<T> {
    settings: Settings,
    open: SlotMap<Slot, OpenCall<T>>,
    slots: HashMap<id::Call, Slot>,
    random: ChaCha20Rng,
}

/// Counts only, because the state of the generator would foretell the tokens to come.
impl<T> fmt::Debug for Registry<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registry").field("open", &self.open.len()).finish_non_exhaustive()
    }
}

impl<T> Registry<T> {
    /// Makes an empty registry. The seed must come from the operating system and be used only here.
    pub fn new(settings: Settings, seed: [u8; SEED_BYTES]) -> Self {
        Self {
            settings,
            open: SlotMap::with_key(),
            slots: HashMap::new(),
            random: ChaCha20Rng::from_seed(seed),
        }
    }

    /// Opens the context of a call that is about to be sent to the node's own target.
    ///
    /// A second context for one call makes the first one void.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] where the bound on open contexts is reached.
    pub fn open(&mut self, call: id::Call, data: T) -> Result<Token, Error> {
        self.close(call);
        if self.open.len() >= self.settings.open_max {
            return Err(Error::Full(self.open.len()));
        }
        let mut secret = [0; SECRET_BYTES];
        self.random.fill_bytes(&mut secret);
        let slot = self.open.insert(OpenCall { call, secret, data });
        self.slots.insert(call, slot);
        Ok(Token { slot, secret })
    }

    /// Returns the open call that the token stands for, and what its nested calls inherit.
    pub fn find(&self, token: &Token) -> Option<(id::Call, &T)> {
        let open = self.open.get(token.slot)?;
        let is_same: bool = open.secret.ct_eq(&token.secret).into();
        is_same.then_some((open.call, &open.data))
    }

    /// Returns what the nested calls of the token's call inherit, to be changed.
    pub fn find_mut(&mut self, token: &Token) -> Option<(id::Call, &mut T)> {
        let open = self.open.get_mut(token.slot)?;
        let is_same: bool = open.secret.ct_eq(&token.secret).into();
        is_same.then_some((open.call, &mut open.data))
    }

    /// Returns what the nested calls of a call inherit, where the call is open.
    pub fn get_mut(&mut self, call: id::Call) -> Option<&mut T> {
        let slot = *self.slots.get(&call)?;
        self.open.get_mut(slot).map(|open| &mut open.data)
    }

    /// Ends the context of a call, from which moment its token is void.
    pub fn close(&mut self, call: id::Call) -> Option<T> {
        let slot = self.slots.remove(&call)?;
        self.open.remove(slot).map(|open| open.data)
    }

    /// Returns the number of open contexts.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Tells whether no context is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the state for operators, without any token.
    pub fn dump(&self) -> Dump {
        let mut calls: Vec<_> = self.slots.keys().copied().collect();
        calls.sort_unstable();
        Dump { open_max: self.settings.open_max, calls }
    }
}

/// The open contexts as operators see them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// The bound on open contexts.
    pub open_max: usize,
    /// The calls whose contexts are open.
    pub calls: Vec<id::Call>,
}
