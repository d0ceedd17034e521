//! The routing table: routes by host and prefix, client accounts and limits, published by the
//! operator.
//!
//! Unlike [`crate::table::Set`], a table names pools without listing their targets, splits a route
//! over pools by weight and ranks requests by number. A document is put in force also if a part of
//! it is invalid, since it may withdraw keys. Requests that such a part concerns are refused, see
//! docs/design/platform.md.

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
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// The reason why a part of a document is not put in force as published.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A route names no host. Its requests are refused, whatever their host.
    #[error("route {0} has no host")]
    NoHost(id::Route),
    /// A prefix does not begin and end with a slash. Paths that begin with it are refused.
    #[error("route {route}: the prefix {prefix:?} must begin and end with '/'")]
    Prefix {
        /// The route.
        route: id::Route,
        /// The invalid prefix.
        prefix: String,
    },
    /// Two routes have the same host and prefix. Unless they differ only in their names, their
    /// requests are refused.
    #[error("routes {first} and {second} have the same host and prefix")]
    Ambiguous {
        /// The first of the two routes.
        first: id::Route,
        /// The second of the two routes.
        second: id::Route,
    },
    /// No pool of a route has a weight above 0. Its requests are refused.
    #[error("route {0} has no pool with a weight above 0")]
    NoWeightedPool(id::Route),
    /// Two accounts hold the same key. Requests with it are refused.
    #[error("accounts {first} and {second} hold the same key")]
    SharedKey {
        /// The first of the two accounts.
        first: id::Account,
        /// The second of the two accounts.
        second: id::Account,
    },
    /// An account is listed more than once. It holds all its keys and the lowest of its limits.
    #[error("account {0} is listed more than once")]
    RepeatedAccount(id::Account),
}

/// The host of routes that match requests of all hosts.
pub const ANY_HOST: &str = "";

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
    /// The host of matching requests, without a port, in lower case, or [`ANY_HOST`] if it can't be
    /// understood. Requests of a host go to its own routes first if the prefixes are equally long.
    pub host: String,
    /// The path prefix of matching requests. It begins and ends with a slash, or is empty if it can't
    /// be understood. All requests of the host are then refused, since each may belong to the route.
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

    /// Returns why the requests of this route can't be handled as published.
    fn error(&self) -> Option<Error> {
        let name = || self.name.clone();
        if self.host == ANY_HOST {
            return Some(Error::NoHost(name()));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Some(Error::Prefix { route: name(), prefix: self.prefix.clone() });
        }
        let has_weight = self.pools.iter().any(|pool| pool.weight > 0);
        (!has_weight).then(|| Error::NoWeightedPool(name()))
    }

    /// Makes all requests of this route be refused as not run.
    pub fn refuse(&mut self) {
        self.kind = Kind::Unsupported;
        self.is_open = false;
        self.pools.clear();
        // All paths begin with a slash, so that the prefix would match none without one.
        if !self.prefix.is_empty() && !self.prefix.starts_with('/') {
            self.prefix.insert(0, '/');
        }
    }

    /// Returns the order in which routes that match a request are preferred. The highest goes first.
    fn precedence(&self) -> usize {
        match self.prefix.len() {
            0 => usize::MAX,
            length => length,
        }
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

impl Account {
    /// Adds the keys of another entry of the same account, and lowers the limits to those of it.
    fn merge(&mut self, other: &Self) {
        self.rank = self.rank.max(other.rank);
        self.rate = self.rate.into_iter().chain(other.rate).min();
        self.burst = self.burst.min(other.burst);
        self.keys.extend_from_slice(&other.keys);
    }
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

impl Default for Bounds {
    fn default() -> Self {
        Self {
            head: Bytes(64 << 10),
            body: Bytes(64 << 20),
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
        }
    }
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
    shared_keys: HashSet<Digest>,
    requires_key: bool,
    errors: Vec<Error>,
    pools: BTreeSet<id::Pool>,
    health: BTreeMap<id::Pool, String>,
    bounds: Bounds,
    cold: Option<BTreeMap<id::Pool, cold::Limit>>,
}

impl Table {
    /// Validates and indexes a document. [`Table::errors`] tells which parts are invalid.
    pub fn new(document: Document) -> Self {
        let mut table = Self {
            revision: document.revision,
            by_host: HashMap::new(),
            accounts: BTreeMap::new(),
            by_key: HashMap::new(),
            shared_keys: HashSet::new(),
            requires_key: document.requires_key,
            errors: Vec::new(),
            pools: BTreeSet::new(),
            health: document.health,
            bounds: document.bounds,
            cold: document.cold,
        };
        for route in document.routes {
            table.add_route(route);
        }
        for account in document.accounts {
            table.add_account(account);
        }
        for routes in table.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.precedence()));
        }
        table
    }

    fn add_route(&mut self, mut route: Route) {
        self.pools.extend(route.pools.iter().map(|pool| pool.pool.clone()));
        if route.kind != Kind::Unsupported
            && let Some(error) = route.error()
        {
            self.errors.push(error);
            route.refuse();
        }
        let others = self.by_host.entry(route.host.clone()).or_default();
        let Some(other) = others.iter_mut().find(|other| other.prefix == route.prefix) else {
            return others.push(Arc::new(route));
        };
        let (first, second) = (other.name.clone(), route.name.clone());
        self.errors.push(Error::Ambiguous { first: first.clone(), second });
        if **other != (Route { name: first, ..route }) {
            Arc::make_mut(other).refuse();
        }
    }

    fn add_account(&mut self, mut account: Account) {
        if let Some(listed) = self.accounts.get(&account.name) {
            self.errors.push(Error::RepeatedAccount(account.name.clone()));
            account.merge(listed);
        }
        let account = Arc::new(account);
        for key in &account.keys {
            let holder = self.by_key.insert(*key, account.clone());
            if let Some(other) = holder.filter(|other| other.name != account.name) {
                let (first, second) = (other.name.clone(), account.name.clone());
                self.errors.push(Error::SharedKey { first, second });
                self.shared_keys.insert(*key);
            }
        }
        self.accounts.insert(account.name.clone(), account);
    }

    /// Returns which parts of the document are not in force as published.
    pub fn errors(&self) -> &[Error] {
        &self.errors
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
        let own = self.longest_match(host, path);
        let precedence = own.map_or(0, |route| route.precedence());
        let other = self.longest_match(ANY_HOST, path);
        other.filter(|route| route.precedence() > precedence).or(own)
    }

    fn longest_match(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the account that a key belongs to.
    pub fn account_of(&self, key: &Digest) -> Option<&Arc<Account>> {
        self.by_key.get(key).filter(|_| !self.is_shared(key))
    }

    /// Returns whether it is not known which account a key belongs to, as several hold it.
    pub fn is_shared(&self, key: &Digest) -> bool {
        self.shared_keys.contains(key)
    }
}
