//! The static split of an account's rate and burst over its minters.
//!
//! Every node derives the same split from the same tables, so the nodes need no agreement on it.
//! The split depends only on the published tables, never on which nodes are considered alive. See
//! docs/design/rate.md.

use {
    super::Settings,
    crate::{id, table, unit::Tokens},
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher13,
    std::{
        collections::BTreeMap,
        fmt,
        hash::{Hash, Hasher},
    },
};

/// Identifies a split by a digest of all its inputs. Zero stands for an account that the tables do
/// not contain.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Digest(pub u64);

impl Digest {
    /// The digest for an account that the tables do not contain.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A part of an account's rate and burst.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Tokens minted per second.
    pub rate: Tokens,
    /// Maximum number of tokens in existence at the same time.
    pub cap: Tokens,
}

impl Share {
    /// The empty share: no rate and no burst.
    pub const NONE: Self = Self { rate: Tokens::ZERO, cap: Tokens::ZERO };

    /// Returns the smaller rate and the smaller cap of both shares.
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), cap: self.cap.min(other.cap) }
    }

    /// Returns the larger rate and the larger cap of both shares.
    pub fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), cap: self.cap.max(other.cap) }
    }

    /// Returns the sum of both shares, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_add(other.rate), cap: self.cap.saturating_add(other.cap) }
    }

    /// Returns the difference of both shares, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_sub(other.rate), cap: self.cap.saturating_sub(other.cap) }
    }

    /// Returns whether neither the rate nor the cap exceeds that of `other`.
    pub fn is_within(self, other: Self) -> bool {
        self.rate <= other.rate && self.cap <= other.cap
    }

    /// Returns `part / whole` of the share, rounded down.
    pub fn scale(self, part: u64, whole: u64) -> Self {
        let scale = |tokens: Tokens| {
            let scaled = u128::from(tokens.0) * u128::from(part) / u128::from(whole.max(1));
            Tokens(u64::try_from(scaled).unwrap_or(u64::MAX))
        };
        Self { rate: scale(self.rate), cap: scale(self.cap) }
    }
}

/// A VM that mints a part of an account's tokens.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Minter {
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The share that the VM mints.
    pub share: Share,
}

/// The split of one account's rate and burst over its minters.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Split {
    /// Identifies this split.
    pub digest: Digest,
    /// The minters, by VM.
    pub minters: BTreeMap<id::Vm, Minter>,
}

/// The VMs in the published pools, by data centre.
pub type VmsByDataCentre = BTreeMap<id::DataCentre, Vec<id::Vm>>;

/// Collects the VMs of all pools by data centre.
pub fn vms_by_data_centre(set: &table::Set) -> VmsByDataCentre {
    let mut vms_by_data_centre = VmsByDataCentre::new();
    for target in set.pools().values().flat_map(|pool| &pool.targets) {
        vms_by_data_centre.entry(target.data_centre.clone()).or_default().push(target.vm.clone());
    }
    vms_by_data_centre
}

/// Returns the rendezvous-hashing weight of a VM or data centre for an account. The highest weight
/// is preferred.
pub fn rendezvous_weight(account: &id::Account, name: &str, salt: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    (account.as_str(), name, salt).hash(&mut hasher);
    hasher.finish()
}

impl Split {
    /// Derives the split of an account.
    ///
    /// If the burst does not give each data centre [`Settings::least_cap`] whole tokens, the
    /// account is split over fewer data centres, because fractions of a token serve no request.
    pub fn new(
        settings: &Settings,
        account: &table::Account,
        vms_by_data_centre: &VmsByDataCentre,
    ) -> Self {
        let portions = portions(settings, account, vms_by_data_centre);
        let whole: u64 = portions.iter().map(|portion| u64::from(portion.weight)).sum();
        let full = full_share(settings, account);
        let mut minters = BTreeMap::new();
        for portion in portions {
            let share = full.scale(portion.weight.into(), whole);
            let vms = choose_minters(settings, account, portion.vms, share);
            let count = vms.len() as u64;
            for vm in vms {
                let data_centre = portion.data_centre.clone();
                minters.insert(vm, Minter { data_centre, share: share.scale(1, count) });
            }
        }
        let digest = digest(account, &minters);
        Self { digest, minters }
    }

    /// Returns the share of a VM, which is empty if the VM is not a minter.
    pub fn share(&self, vm: &id::Vm) -> Share {
        self.minters.get(vm).map_or(Share::NONE, |minter| minter.share)
    }
}

struct Portion<'a> {
    data_centre: &'a id::DataCentre,
    weight: u32,
    vms: &'a [id::Vm],
}

fn full_share(settings: &Settings, account: &table::Account) -> Share {
    const MILLION: u64 = 1_000_000;
    let rate = Tokens::whole(account.rate.0);
    let cap = Tokens::whole(account.burst.into());
    let reduced = Share { rate, cap }.scale(MILLION - settings.margin_ppm.min(MILLION), MILLION);
    Share { rate: reduced.rate, cap }
}

fn portions<'a>(
    settings: &Settings,
    account: &table::Account,
    vms_by_data_centre: &'a VmsByDataCentre,
) -> Vec<Portion<'a>> {
    let weight_of = |data_centre| match account.shares.is_empty() {
        true => 1,
        false => account.shares.get(data_centre).copied().unwrap_or(0),
    };
    let mut portions: Vec<_> = vms_by_data_centre
        .iter()
        .map(|(data_centre, vms)| Portion { data_centre, weight: weight_of(data_centre), vms })
        .filter(|portion| portion.weight > 0 && !portion.vms.is_empty())
        .collect();
    let sort_key = |portion: &Portion<'_>| {
        (portion.weight, rendezvous_weight(&account.name, portion.data_centre.as_str(), ""))
    };
    portions.sort_by_cached_key(|portion| std::cmp::Reverse(sort_key(portion)));
    while portions.len() > 1 && !has_enough_burst(settings, account, &portions) {
        portions.pop();
    }
    portions
}

fn has_enough_burst(
    settings: &Settings,
    account: &table::Account,
    portions: &[Portion<'_>],
) -> bool {
    let whole: u64 = portions.iter().map(|portion| u64::from(portion.weight)).sum();
    let min_weight = portions.iter().map(|portion| u64::from(portion.weight)).min().unwrap_or(0);
    u64::from(account.burst) * min_weight >= u64::from(settings.least_cap) * whole
}

fn choose_minters(
    settings: &Settings,
    account: &table::Account,
    vms: &[id::Vm],
    share: Share,
) -> Vec<id::Vm> {
    const VMS_PER_MINTER: usize = 16;
    const MIN_MINTERS: usize = 2;
    const MAX_MINTERS: usize = 8;
    let count_by_size = vms.len().div_ceil(VMS_PER_MINTER).clamp(MIN_MINTERS, MAX_MINTERS);
    let count_by_cap = share.cap.0 / Tokens::whole(settings.least_cap.max(1).into()).0;
    let count = count_by_size.min(usize::try_from(count_by_cap).unwrap_or(usize::MAX)).max(1);
    let mut vms = vms.to_vec();
    vms.sort_by_cached_key(|vm| {
        std::cmp::Reverse(rendezvous_weight(&account.name, vm.as_str(), ""))
    });
    vms.truncate(count);
    vms
}

fn digest(account: &table::Account, minters: &BTreeMap<id::Vm, Minter>) -> Digest {
    let mut hasher = SipHasher13::new();
    (account.name.as_str(), account.rate.0, account.burst).hash(&mut hasher);
    for (vm, minter) in minters {
        let Share { rate, cap } = minter.share;
        (vm.as_str(), minter.data_centre.as_str(), rate.0, cap.0).hash(&mut hasher);
    }
    Digest(hasher.finish().max(1))
}
