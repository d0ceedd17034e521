//! Identifier of an idempotency key, and the selection of its owner.

use {
    crate::id::{Account, Route, Vm},
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    siphasher::sip::SipHasher13,
    std::{fmt, hash::Hasher as _},
};

const ID_BYTES: usize = 16;

/// A digest that identifies an idempotency key within its account and route.
///
/// The text of the key is not stored.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id([u8; ID_BYTES]);

impl Id {
    /// Computes the identifier from the value of the `Idempotency-Key` field as received.
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

    /// Selects the owner among the VMs of a pool by rendezvous hashing: the VM whose hash together
    /// with the key is the highest.
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

/// Omits the digest.
impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Id(..)")
    }
}
