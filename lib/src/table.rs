//! The tables that operators publish: routes, pools, client accounts and key digests.
//!
//! The four tables refer to each other by name and are validated together. A valid [`Set`] is
//! created only by [`Builder::finish`], which reports all faults rather than just the first. The
//! fields, units and defaults are described in docs/operate/tables.md.

mod build;
mod path;
mod wire;

pub use {
    build::{Builder, Error, Fault, Place},
    path::{Path, PathError},
    wire::{Document, Section},
};

use {
    crate::{
        id,
        key::Digest,
        unit::{Rate, Revision},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        fmt,
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
};

/// The class of a request, which sets its priority under overload.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A payment or deposit.
    Payment,
    /// A certification claim.
    Claim,
    /// A booking of a bench or station.
    Booking,
    /// An interactive look-up.
    Browse,
    /// A notice, which may be delayed.
    Notice,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 5] =
        [Self::Payment, Self::Claim, Self::Booking, Self::Browse, Self::Notice];

    /// Returns whether the class is shed only after all non-critical classes.
    pub const fn is_critical(self) -> bool {
        matches!(self, Self::Payment | Self::Claim | Self::Booking)
    }

    /// Returns the position in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in tables and on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Payment => "payment",
            Self::Claim => "claim",
            Self::Booking => "booking",
            Self::Browse => "browse",
            Self::Notice => "notice",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An unknown class name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected payment, claim, booking, browse or notice, not {0:?}")]
pub struct ClassError(String);

impl FromStr for Class {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        let class = Self::ALL.into_iter().find(|class| class.as_str() == text);
        class.ok_or_else(|| ClassError(text.into()))
    }
}

/// The access control of a route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Callers need a valid key.
    #[default]
    Keyed,
    /// No key is needed, and no account's rate limit applies.
    Open,
}

/// An entry of the routes table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The name, unique in the table.
    pub name: id::Route,
    /// The HTTP methods that match, in upper case.
    pub methods: Vec<String>,
    /// The path prefix that matches, in whole segments.
    pub path: Path,
    /// The pool that serves the route.
    pub pool: id::Pool,
    /// The class of its requests.
    pub class: Class,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The timeout of a request, from its arrival at the first node.
    pub deadline: Duration,
    /// The access control.
    pub access: Access,
    /// The maximum number of retries for one root request, across the whole chain of nested calls.
    pub retries: u8,
}

/// One target of a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The VM that the target and its node run on.
    pub vm: id::Vm,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The number of requests that the target is designed to run concurrently.
    pub slots: u32,
    /// The maximum number of connections that the target accepts.
    pub connections: u32,
}

/// An entry of the pools table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// The name, unique in the table.
    pub name: id::Pool,
    /// The targets, ordered by VM.
    pub targets: Vec<Target>,
}

impl Pool {
    /// Returns the targets that are not in one of these data centres.
    pub fn targets_outside<'a>(
        &'a self,
        evacuated: &'a BTreeSet<id::DataCentre>,
    ) -> impl Iterator<Item = &'a Target> {
        self.targets.iter().filter(|target| !evacuated.contains(&target.data_centre))
    }
}

/// An entry of the accounts table: the rate limit of a client account.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Account {
    /// The name, unique in the table.
    pub name: id::Account,
    /// Root requests per second, summed over all VMs.
    pub rate: Rate,
    /// The maximum burst of root requests after an idle period, summed over all VMs.
    pub burst: u32,
    /// The weight of each data centre in the static split of rate and burst. If empty, all weights
    /// are equal.
    pub shares: BTreeMap<id::DataCentre, u32>,
}

/// An entry of the keys table: a key's digest and the account that the key authenticates. The key
/// itself is never published.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The digest of the key.
    pub digest: Digest,
    /// The account that the key authenticates.
    pub account: id::Account,
}

/// The validated tables of one revision.
///
/// A set is immutable. A node replaces the whole set when it accepts a new revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Set {
    revision: Revision,
    routes: Vec<Arc<Route>>,
    pools: BTreeMap<id::Pool, Arc<Pool>>,
    accounts: BTreeMap<id::Account, Arc<Account>>,
    #[serde(skip)]
    keys: HashMap<Digest, id::Account>,
    evacuated: BTreeSet<id::DataCentre>,
}

impl Set {
    /// Returns the revision that these tables were published at.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the routes, the longest path first.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns the pools by name.
    pub fn pools(&self) -> &BTreeMap<id::Pool, Arc<Pool>> {
        &self.pools
    }

    /// Returns the accounts by name.
    pub fn accounts(&self) -> &BTreeMap<id::Account, Arc<Account>> {
        &self.accounts
    }

    /// Returns the evacuated data centres, whose targets get no new requests.
    pub fn evacuated(&self) -> &BTreeSet<id::DataCentre> {
        &self.evacuated
    }

    /// Returns the number of valid keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the account that the key with this digest authenticates.
    ///
    /// The map hashes digests and compares them in constant time, so response times reveal nothing
    /// about other keys.
    pub fn account_of(&self, digest: &Digest) -> Option<&id::Account> {
        self.keys.get(digest)
    }

    /// Returns the matching route with the longest path prefix, if any.
    pub fn route(&self, method: &str, path: &Path) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| {
            route.path.is_prefix_of(path) && route.methods.iter().any(|m| m == method)
        })
    }

    /// Returns the target on a VM and its pool, if any pool contains the VM.
    pub fn target(&self, vm: &id::Vm) -> Option<(&Arc<Pool>, &Target)> {
        self.pools.values().find_map(|pool| {
            let target = pool.targets.iter().find(|target| target.vm == *vm)?;
            Some((pool, target))
        })
    }
}
