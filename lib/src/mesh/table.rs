//! Routes by host and prefix, client accounts and bounds, as the operator publishes them.
//!
//! The table is taken as a whole. Unlike [`crate::table::Set`] it names pools without listing their
//! targets, splits a route over pools by weight and ranks requests by number.

use {
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

/// A table that can't be put in force.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A prefix does not begin and end with a slash.
    #[error("route {route}: the prefix {prefix:?} must begin and end with '/'")]
    Prefix {
        /// The route.
        route: id::Route,
        /// What stands there.
        prefix: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    Ambiguous {
        /// One of them.
        first: id::Route,
        /// The other.
        second: id::Route,
    },
    /// No part of a route has a weight.
    #[error("route {0} leads to no pool; give one part a weight above 0")]
    NoWeightedPool(id::Route),
    /// Two accounts hold the same key.
    #[error("accounts {first} and {second} hold the same key")]
    SharedKey {
        /// One of them.
        first: id::Account,
        /// The other.
        second: id::Account,
    },
}

/// One of the pools that a route is split over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedPool {
    /// The pool.
    pub pool: id::Pool,
    /// The pool's share of the requests, relative to the weights of the other parts.
    pub weight: u32,
}

/// Where requests go, and how they are treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The name.
    pub name: id::Route,
    /// The host that the request names, without a port, in lower case.
    pub host: String,
    /// The start of the path. It begins and ends with a slash.
    pub prefix: String,
    /// The pools.
    pub pools: Vec<WeightedPool>,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The latency objective: a later answer is worth less.
    pub objective: Duration,
    /// The rank. Requests of rank 0 go first.
    pub rank: u32,
    /// The most targets that one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub is_open: bool,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// The name.
    pub name: id::Account,
    /// The rank. It goes before the rank of the route.
    pub rank: u32,
    /// The sold rate, or none where it is not limited.
    pub rate: Option<Rate>,
    /// The requests that may come at once beyond the rate.
    pub burst: u64,
    /// The digests of its keys.
    pub keys: Vec<Digest>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bounds {
    /// The largest head of a request.
    pub head: Bytes,
    /// The largest body of a request.
    pub body: Bytes,
    /// The longest time for the head of a request.
    pub head_timeout: Duration,
    /// The longest time without a request on a connection.
    pub idle_timeout: Duration,
}

/// What an operator publishes, as it travels between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// The operator's own number. Later documents have larger numbers.
    pub revision: Revision,
    /// The routes.
    pub routes: Vec<Route>,
    /// The accounts. Without any, no request needs a key.
    pub accounts: Vec<Account>,
    /// The paths of health checks, for pools that have one.
    pub health: BTreeMap<id::Pool, String>,
    /// The bounds.
    pub bounds: Bounds,
}

/// A valid document, indexed for look-ups.
#[derive(Debug)]
pub struct Table {
    revision: Revision,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    accounts: BTreeMap<id::Account, Arc<Account>>,
    by_key: HashMap<Digest, Arc<Account>>,
    pools: BTreeSet<id::Pool>,
    health: BTreeMap<id::Pool, String>,
    bounds: Bounds,
}

impl Table {
    /// Checks and indexes a document.
    ///
    /// # Errors
    ///
    /// Fails where routes or keys are ambiguous, or a route leads nowhere.
    pub fn new(document: Document) -> Result<Self, Error> {
        let mut table = Self {
            revision: document.revision,
            by_host: HashMap::new(),
            accounts: BTreeMap::new(),
            by_key: HashMap::new(),
            pools: BTreeSet::new(),
            health: document.health,
            bounds: document.bounds,
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
        if route.pools.iter().all(|part| part.weight == 0) {
            return Err(Error::NoWeightedPool(route.name));
        }
        self.pools.extend(route.pools.iter().map(|part| part.pool.clone()));
        let others = self.by_host.entry(route.host.clone()).or_default();
        if let Some(other) = others.iter().find(|other| other.prefix == route.prefix) {
            return Err(Error::Ambiguous { first: other.name.clone(), second: route.name });
        }
        others.push(Arc::new(route));
        Ok(())
    }

    fn add_account(&mut self, account: Arc<Account>) -> Result<(), Error> {
        for key in &account.keys {
            let before = self.by_key.insert(*key, account.clone());
            if let Some(other) = before.filter(|other| other.name != account.name) {
                let (first, second) = (other.name.clone(), account.name.clone());
                return Err(Error::SharedKey { first, second });
            }
        }
        self.accounts.insert(account.name.clone(), account);
        Ok(())
    }

    /// Returns the operator's number of the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Returns the path of a pool's health checks, where it has one.
    pub fn health(&self, pool: &id::Pool) -> Option<&str> {
        self.health.get(pool).map(String::as_str)
    }

    /// Returns the pools that routes lead to.
    pub fn pools(&self) -> &BTreeSet<id::Pool> {
        &self.pools
    }

    /// Returns the accounts.
    pub fn accounts(&self) -> &BTreeMap<id::Account, Arc<Account>> {
        &self.accounts
    }

    /// Tells whether requests need a key, but for those on open routes.
    pub fn requires_key(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the account that holds a key.
    pub fn account_of(&self, key: &Digest) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }
}
