//! The routing table: routes by host and prefix, client accounts and limits, published by the
//! operator.
//!
//! A table is validated and put in force as a whole. Unlike [`crate::table::Set`], it names pools
//! without listing their targets, splits a route over pools by weight and ranks requests by number.

mod exchange;

use {
    super::cold,
    crate::{
        id,
        key::Digest,
        unit::{Bytes, Rate, Revision},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// The reason why a document can't be put in force.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A prefix does not begin and end with a slash.
    #[error("route {route}: the prefix {prefix:?} must begin and end with '/'")]
    Prefix {
        /// The route.
        route: id::Route,
        /// The invalid prefix.
        prefix: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    Ambiguous {
        /// The first of the two routes.
        first: id::Route,
        /// The second of the two routes.
        second: id::Route,
    },
    /// No pool of a route has a weight above 0.
    #[error("route {0} has no pool with a weight above 0")]
    NoWeightedPool(id::Route),
    /// Two accounts hold the same key.
    #[error("accounts {first} and {second} hold the same key")]
    SharedKey {
        /// The first of the two accounts.
        first: id::Account,
        /// The second of the two accounts.
        second: id::Account,
    },
}

/// A pool with its weight in the traffic split of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedPool {
    /// The name of the pool.
    pub pool: id::Pool,
    /// The pool's share of the requests, relative to the weights of the other pools.
    pub weight: u32,
}

/// What may be done with the requests of a route.
///
/// Nodes exchange the position of the variant. The first two positions equal those of the flag that
/// earlier versions exchanged, so that both versions can run side by side.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Requests may run at most once.
    NonIdempotent,
    /// Requests may safely run more than once.
    Idempotent,
    /// Requests have large bodies and may run at most once.
    Upload,
    /// The operator's record can't be understood. Requests are refused as not run, since another
    /// route could send them to a pool that they must not reach.
    Unsupported,
}

/// A route: which requests it matches, the pools they go to, and how they are handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The name of the route.
    pub name: id::Route,
    /// The host of matching requests, without a port, in lower case.
    pub host: String,
    /// The path prefix of matching requests. It begins and ends with a slash.
    pub prefix: String,
    /// The pools that requests are split over.
    pub pools: Vec<WeightedPool>,
    /// What may be done with matching requests.
    pub kind: Kind,
    /// The longest time until a caller gets an answer.
    pub timeout: Duration,
    /// The latency objective. A later answer is worth less to the caller.
    pub objective: Duration,
    /// The admission rank. Requests of rank 0 go first.
    pub rank: u32,
    /// The largest number of targets that may run one request.
    pub attempts: u32,
    /// Whether the route accepts requests without a key.
    pub is_open: bool,
}

impl Route {
    /// Returns whether requests may safely run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind == Kind::Idempotent
    }
}

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// The name of the account.
    pub name: id::Account,
    /// The admission rank. It takes precedence over the rank of the route.
    pub rank: u32,
    /// The sold rate, or none if the account is not limited.
    pub rate: Option<Rate>,
    /// The number of requests that may arrive at once in excess of the rate.
    pub burst: u64,
    /// The digests of the account's keys.
    pub keys: Vec<Digest>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bounds {
    /// The largest size of a request head.
    pub head: Bytes,
    /// The largest size of a request body.
    pub body: Bytes,
    /// The longest time for receiving a request head.
    pub head_timeout: Duration,
    /// The longest time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// The operator's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "exchange::Document", into = "exchange::Document")]
pub struct Document {
    /// The operator's revision number. Later documents have larger numbers.
    pub revision: Revision,
    /// The routes in any order.
    pub routes: Vec<Route>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// Whether the operator publishes client accounts, so that requests need a key. An operator that
    /// has taken the keys of the last account away publishes none.
    pub requires_key: bool,
    /// The health check paths of pools that have one.
    pub health: BTreeMap<id::Pool, String>,
    /// The limits on requests and connections.
    pub bounds: Bounds,
    /// The bounds on cold targets, by pool, or `None` if they are not known because the document came
    /// from a node of an earlier version. Nodes exchange them beside the document, which those
    /// versions read without them.
    pub cold: Option<BTreeMap<id::Pool, cold::Limit>>,
}

impl Document {
    /// Returns whether this document has the bounds on cold targets that another one of the same
    /// revision lacks.
    pub(super) fn completes(&self, other: &Self) -> bool {
        self.revision == other.revision && self.cold.is_some() && other.cold.is_none()
    }
}

/// A validated document, indexed for lookups.
#[derive(Debug)]
pub struct Table {
    revision: Revision,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    accounts: BTreeMap<id::Account, Arc<Account>>,
    by_key: HashMap<Digest, Arc<Account>>,
    requires_key: bool,
    pools: BTreeSet<id::Pool>,
    health: BTreeMap<id::Pool, String>,
    bounds: Bounds,
    cold: Option<BTreeMap<id::Pool, cold::Limit>>,
}

impl Table {
    /// Validates and indexes a document.
    ///
    /// # Errors
    ///
    /// Fails if a prefix is invalid, routes or keys are ambiguous, or a route has no weighted pool.
    pub fn new(document: Document) -> Result<Self, Error> {
        let mut table = Self {
            revision: document.revision,
            by_host: HashMap::new(),
            accounts: BTreeMap::new(),
            by_key: HashMap::new(),
            requires_key: document.requires_key,
            pools: BTreeSet::new(),
            health: document.health,
            bounds: document.bounds,
            cold: document.cold,
        };
        for route in document.routes {
            table.add_route(route)?;
        }
        for account in document.accounts {
            table.add_account(Arc::new(account))?;
        }
        for routes in table.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(table)
    }

    fn add_route(&mut self, route: Route) -> Result<(), Error> {
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(Error::Prefix { route: route.name, prefix: route.prefix });
        }
        let is_supported = route.kind != Kind::Unsupported;
        if is_supported && route.pools.iter().all(|pool| pool.weight == 0) {
            return Err(Error::NoWeightedPool(route.name));
        }
        self.pools.extend(route.pools.iter().map(|pool| pool.pool.clone()));
        let others = self.by_host.entry(route.host.clone()).or_default();
        if let Some(other) = others.iter().find(|other| other.prefix == route.prefix) {
            return Err(Error::Ambiguous { first: other.name.clone(), second: route.name });
        }
        others.push(Arc::new(route));
        Ok(())
    }

    fn add_account(&mut self, account: Arc<Account>) -> Result<(), Error> {
        for key in &account.keys {
            let previous = self.by_key.insert(*key, account.clone());
            if let Some(other) = previous.filter(|other| other.name != account.name) {
                let (first, second) = (other.name.clone(), account.name.clone());
                return Err(Error::SharedKey { first, second });
            }
        }
        self.accounts.insert(account.name.clone(), account);
        Ok(())
    }

    /// Returns the operator's revision number of the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the limits on requests and connections.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Returns the health check path of a pool, if it has one.
    pub fn health(&self, pool: &id::Pool) -> Option<&str> {
        self.health.get(pool).map(String::as_str)
    }

    /// Returns whether the bounds on cold targets are known.
    pub fn has_cold_limits(&self) -> bool {
        self.cold.is_some()
    }

    /// Returns the bound on the cold targets of a pool, if it has one that is known.
    pub fn cold_limit(&self, pool: &id::Pool) -> Option<cold::Limit> {
        self.cold.as_ref()?.get(pool).copied()
    }

    /// Returns the pools of all routes.
    pub fn pools(&self) -> &BTreeSet<id::Pool> {
        &self.pools
    }

    /// Returns the pools of all routes, and those that the operator lists without one.
    pub fn known_pools(&self) -> BTreeSet<id::Pool> {
        let limited = self.cold.iter().flat_map(BTreeMap::keys);
        self.pools.iter().chain(self.health.keys()).chain(limited).cloned().collect()
    }

    /// Returns the client accounts by name.
    pub fn accounts(&self) -> &BTreeMap<id::Account, Arc<Account>> {
        &self.accounts
    }

    /// Returns whether requests need a key, except on open routes. There may be no account that
    /// holds one.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the account that a key belongs to.
    pub fn account_of(&self, key: &Digest) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }
}
