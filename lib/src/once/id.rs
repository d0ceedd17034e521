//! The identity of an idempotency key, and its owner.

use {
    crate::id::{Account, Route, Vm},
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    siphasher::sip::SipHasher13,
    std::{fmt, hash::Hasher as _},
};

const ID_BYTES: usize = 16;

/// Identifies an idempotency key within its account and route. The key's text is not kept.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id([u8; ID_BYTES]);

impl Id {
    /// Digests a key as it came in the `Idempotency-Key` field.
    pub fn of(account: Option<&Account>, route: &Route, key: &[u8]) -> Self {
        let mut digest = Sha256::new();
        let account = account.map_or("", Account::as_str);
        for part in [account.as_bytes(), route.as_str().as_bytes(), key] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&digest.finalize()[..ID_BYTES]);
        Self(id)
    }

    /// Returns the owner among the VMs of a pool: the one with the highest hash with the key.
    pub fn owner<'a>(&self, vms: impl IntoIterator<Item = &'a Vm>) -> Option<&'a Vm> {
        let weight = |vm: &&'a Vm| {
            let mut hasher = SipHasher13::new_with_keys(0, 0);
            hasher.write(&self.0);
            hasher.write(vm.as_str().as_bytes());
            (hasher.finish(), *vm)
        };
        vms.into_iter().max_by_key(weight)
    }
}

/// Shows only that there is a key.
impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Id(..)")
    }
}
