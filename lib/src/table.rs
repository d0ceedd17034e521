//! What operators publish: routes, pools, client accounts and key digests.
//!
//! The four tables are joined by names and are valid only as a whole. [`Set`] is such a whole; it
//! can only be made by [`Builder::finish`], which finds every fault and not just the first. The
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
        collections::{BTreeMap, HashMap},
        fmt,
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
};

/// What a request is for, which decides who goes first when not all can be served.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A payment or deposit.
    Payment,
    /// A certification claim.
    Claim,
    /// A booking of a bench or station.
    Booking,
    /// A look-up that a person waits for.
    Browse,
    /// A notice, which can come later.
    Notice,
}

impl Class {
    /// All classes, in the order in which they are served when not all can be.
    pub const ALL: [Self; 5] =
        [Self::Payment, Self::Claim, Self::Booking, Self::Browse, Self::Notice];

    /// Tells whether the class is shed only after all others.
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

/// The text is not the name of a class.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected payment, claim, booking, browse or notice, not {0:?}")]
pub struct ClassError(String);

impl FromStr for Class {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        let found = Self::ALL.into_iter().find(|class| class.as_str() == text);
        found.ok_or_else(|| ClassError(text.into()))
    }
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Only callers with a valid key.
    #[default]
    Keyed,
    /// Every caller, without a key and without an account's rate.
    Open,
}

/// One line of the table of routes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The name, unique in the table.
    pub name: id::Route,
    /// The HTTP methods that match, in capitals.
    pub methods: Vec<String>,
    /// The path prefix that matches, on whole segments.
    pub path: Path,
    /// The pool that serves the route.
    pub pool: id::Pool,
    /// The class of its requests.
    pub class: Class,
    /// Whether a request may be run twice without harm.
    pub idempotent: bool,
    /// The time a caller's request may take from its arrival at the first node.
    pub deadline: Duration,
    /// Who may use the route.
    pub access: Access,
    /// How many further attempts one root request on this route may cause in the whole chain.
    pub retries: u8,
}

/// One target of a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The VM that the target and its node run on.
    pub vm: id::Vm,
    /// Where the VM is.
    pub data_centre: id::DataCentre,
    /// How many requests the target is built to run at once.
    pub slots: u32,
    /// How many connections the target holds at most.
    pub connections: u32,
}

/// One line of the table of pools.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// The name, unique in the table.
    pub name: id::Pool,
    /// The targets, ordered by VM.
    pub targets: Vec<Target>,
}

/// What one client account has bought.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Account {
    /// The name, unique in the table.
    pub name: id::Account,
    /// Root requests a second, summed over all VMs.
    pub rate: Rate,
    /// Root requests that may come at once after a quiet time, summed over all VMs.
    pub burst: u32,
    /// The weight of each data centre in the static split of rate and burst. Empty for equal weights.
    pub shares: BTreeMap<id::DataCentre, u32>,
}

/// A key's digest and the account that it speaks for. The key itself is never published.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The digest of the key.
    pub digest: Digest,
    /// The account whose requests the key starts.
    pub account: id::Account,
}

/// All tables of one revision, valid as a whole.
///
/// A node replaces the whole set when it accepts a new one and never changes one in place.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Set {
    revision: Revision,
    routes: Vec<Arc<Route>>,
    pools: BTreeMap<id::Pool, Arc<Pool>>,
    accounts: BTreeMap<id::Account, Arc<Account>>,
    #[serde(skip)]
    keys: HashMap<Digest, id::Account>,
}

impl Set {
    /// Returns the revision that these tables were published at.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the routes, the most specific path first.
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

    /// Returns the number of keys in force.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the account that a key's digest speaks for.
    ///
    /// The map is keyed by a hash of the digest and compares digests in constant time, so a
    /// caller learns nothing of other keys from how long the answer takes.
    pub fn account_of(&self, digest: &Digest) -> Option<&id::Account> {
        self.keys.get(digest)
    }

    /// Returns the route with the longest path prefix that matches, if any.
    pub fn route(&self, method: &str, path: &Path) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| {
            route.path.is_prefix_of(path) && route.methods.iter().any(|m| m == method)
        })
    }

    /// Returns the target on the given VM and its pool, if a pool names the VM.
    pub fn target(&self, vm: &id::Vm) -> Option<(&Arc<Pool>, &Target)> {
        self.pools.values().find_map(|pool| {
            let target = pool.targets.iter().find(|target| target.vm == *vm)?;
            Some((pool, target))
        })
    }
}
