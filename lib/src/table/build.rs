//! Joins the four tables by name and finds every fault in them.

use {
    super::{
        Account, ClassError, Grant, Path, PathError, Pool, Route, Set, Target,
        wire::{self, Document, Section, SectionError},
    },
    crate::{
        id, key,
        unit::{Rate, Revision},
    },
    serde::de::DeserializeOwned,
    serde_saphyr::Spanned,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        fmt,
        sync::Arc,
        time::Duration,
    },
};

/// The longest deadline that a route may give, in milliseconds.
const MAX_DEADLINE_MS: u64 = 120_000;
/// The most further attempts that a route may allow one root request.
const MAX_RETRIES: u8 = 3;

/// Where a line of a table stands.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The file, or the name of the published value.
    pub source: String,
    /// The line in it, from 1, or 0 where the whole value is meant.
    pub line: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.source, self.line)
    }
}

/// What is wrong with one line of a table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The text is not YAML of the expected form.
    #[error("{0}")]
    Syntax(String),
    /// The published value's name is not `SECTION/NAME`.
    #[error("the value's name {0:?} is not SECTION/NAME; expected for example routes/book-bench")]
    ValueName(String),
    /// The published value's name names no section.
    #[error(transparent)]
    Section(#[from] SectionError),
    /// The published value's name and the name inside it differ.
    #[error("the value is named {published:?} but its name is {found:?}; make them the same")]
    NameMismatch {
        /// The name under which the value is published.
        published: String,
        /// The name inside the value.
        found: String,
    },
    /// Two lines have one name.
    #[error("{section} has {name:?} twice, first at {first}; remove or rename one")]
    Duplicate {
        /// The table.
        section: Section,
        /// The name that stands twice.
        name: String,
        /// Where the name stands first.
        first: Place,
    },
    /// A name that no other line defines.
    #[error("no {section} line is named {name:?}; add one or correct the name")]
    UndefinedReference {
        /// The table in which the name was looked up.
        section: Section,
        /// The name.
        name: String,
    },
    /// Two routes match the same requests.
    #[error("the route matches {method} {path} as \"{other}\" does; change one path or method")]
    OverlappingRoute {
        /// A method that both match.
        method: String,
        /// The path that both match.
        path: Path,
        /// The name of the other route.
        other: id::Route,
    },
    /// A number that is zero or too large.
    #[error("{field} is {found}; set it from {min} to {max}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// What stands there.
        found: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// A route that matches no method.
    #[error("methods is {0:?}; give HTTP methods in capitals, for example [GET]")]
    Methods(Vec<String>),
    /// A pool without targets.
    #[error("targets is empty; name at least one VM")]
    NoTargets,
    /// A VM that runs two targets.
    #[error("VM {vm} is already a target of pool {other}; one VM runs one target")]
    SharedVm {
        /// The VM.
        vm: id::Vm,
        /// The pool that names it first.
        other: id::Pool,
    },
    /// The shares of an account are all zero.
    #[error("all shares are 0; give one data centre a weight or leave shares out")]
    NoShares,
    /// The path is not in normal form.
    #[error(transparent)]
    Path(#[from] PathError),
    /// The class is unknown.
    #[error(transparent)]
    Class(#[from] ClassError),
    /// The digest is not one.
    #[error(transparent)]
    Digest(#[from] key::Error),
}

/// A fault and where it stands.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{place}: {fault}")]
pub struct Error {
    /// Where the fault stands.
    pub place: Place,
    /// What is wrong there.
    pub fault: Fault,
}

/// Collects lines from documents and published values and makes a [`Set`] of them.
#[derive(Debug, Default)]
pub struct Builder {
    routes: Vec<(Place, wire::Route)>,
    pools: Vec<(Place, wire::Pool)>,
    accounts: Vec<(Place, wire::Account)>,
    grants: Vec<(Place, wire::Grant)>,
    errors: Vec<Error>,
}

impl Builder {
    /// Makes an empty builder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the lines of a document that holds all tables, or some of their lines.
    pub fn add_document(&mut self, source: &str, text: &str) {
        let Some(document) = self.parse::<Document>(source, text) else { return };
        self.routes.extend(placed(source, document.routes));
        self.pools.extend(placed(source, document.pools));
        self.accounts.extend(placed(source, document.accounts));
        self.grants.extend(placed(source, document.keys));
    }

    /// Adds one published value, whose name is `SECTION/NAME`.
    pub fn add_value(&mut self, name: &str, text: &str) {
        let place = Place { source: name.into(), line: 1 };
        let Some((section, rest)) = name.split_once('/') else {
            return self.push(place, Fault::ValueName(name.into()));
        };
        let section = match section.parse() {
            Ok(section) => section,
            Err(error) => return self.push(place, Fault::Section(error)),
        };
        let found = match section {
            Section::Routes => {
                self.parse(name, text).map(|line| push_line(&mut self.routes, &place, line))
            }
            Section::Pools => {
                self.parse(name, text).map(|line| push_line(&mut self.pools, &place, line))
            }
            Section::Accounts => {
                self.parse(name, text).map(|line| push_line(&mut self.accounts, &place, line))
            }
            Section::Keys => {
                self.parse(name, text).map(|line| push_line(&mut self.grants, &place, line))
            }
        };
        if let Some(found) = found
            && found != rest
        {
            // A key's digest is not repeated in an error, because errors reach the log.
            let shown = |name: &str| match section {
                Section::Keys => "(digest)".to_owned(),
                _ => name.to_owned(),
            };
            let fault = Fault::NameMismatch { published: shown(rest), found: shown(&found) };
            self.push(place, fault);
        }
    }

    /// Joins the tables.
    ///
    /// # Errors
    ///
    /// Returns every fault of every line, ordered by place, and no set.
    pub fn finish(mut self, revision: Revision) -> Result<Set, Vec<Error>> {
        let pools = self.join_pools();
        let accounts = self.join_accounts();
        let routes = self.join_routes(&pools);
        let keys = self.join_keys(&accounts);
        if !self.errors.is_empty() {
            self.errors.sort_by(|a, b| a.place.cmp(&b.place));
            return Err(self.errors);
        }
        Ok(Set { revision, routes, pools, accounts, keys })
    }

    fn push(&mut self, place: Place, fault: Fault) {
        self.errors.push(Error { place, fault });
    }

    fn parse<T: DeserializeOwned>(&mut self, source: &str, text: &str) -> Option<T> {
        match serde_saphyr::from_str(text) {
            Ok(value) => Some(value),
            Err(error) => {
                let line = error.location().map_or(0, |location| location.line());
                let place = Place { source: source.into(), line };
                let message = error.to_string();
                let message = message.lines().next().unwrap_or("not valid YAML").to_owned();
                self.push(place, Fault::Syntax(message));
                None
            }
        }
    }

    fn range(&mut self, place: &Place, field: &'static str, found: u64, min: u64, max: u64) {
        if !(min..=max).contains(&found) {
            self.push(place.clone(), Fault::OutOfRange { field, found, min, max });
        }
    }

    fn duplicate(&mut self, section: Section, name: &str, first: Place, place: Place) {
        self.push(place, Fault::Duplicate { section, name: name.into(), first });
    }

    fn join_pools(&mut self) -> BTreeMap<id::Pool, Arc<Pool>> {
        let mut places = HashMap::new();
        let mut owners: HashMap<id::Vm, id::Pool> = HashMap::new();
        let mut joined = BTreeMap::new();
        for (place, pool) in std::mem::take(&mut self.pools) {
            if let Some(first) = places.insert(pool.name.clone(), place.clone()) {
                self.duplicate(Section::Pools, pool.name.as_str(), first, place.clone());
            }
            if pool.targets.is_empty() {
                self.push(place.clone(), Fault::NoTargets);
            }
            let mut targets = Vec::new();
            for target in pool.targets {
                self.range(&place, "slots", target.slots.into(), 1, u64::from(u16::MAX));
                self.range(&place, "connections", target.connections.into(), 1, 1_000_000);
                if let Some(other) = owners.insert(target.vm.clone(), pool.name.clone()) {
                    let fault = Fault::SharedVm { vm: target.vm.clone(), other };
                    self.push(place.clone(), fault);
                }
                targets.push(Target {
                    vm: target.vm,
                    data_centre: target.data_centre,
                    slots: target.slots,
                    connections: target.connections,
                });
            }
            targets.sort_by(|a, b| a.vm.cmp(&b.vm));
            joined.insert(pool.name.clone(), Arc::new(Pool { name: pool.name, targets }));
        }
        joined
    }

    fn join_accounts(&mut self) -> BTreeMap<id::Account, Arc<Account>> {
        const MAX_RATE: u64 = 1_000_000;
        let mut places = HashMap::new();
        let mut joined = BTreeMap::new();
        for (place, account) in std::mem::take(&mut self.accounts) {
            if let Some(first) = places.insert(account.name.clone(), place.clone()) {
                self.duplicate(Section::Accounts, account.name.as_str(), first, place.clone());
            }
            self.range(&place, "rate", account.rate, 1, MAX_RATE);
            self.range(&place, "burst", account.burst.into(), 1, MAX_RATE);
            if !account.shares.is_empty() && account.shares.values().all(|weight| *weight == 0) {
                self.push(place.clone(), Fault::NoShares);
            }
            let name = account.name.clone();
            let line = Account {
                name: account.name,
                rate: Rate(account.rate),
                burst: account.burst,
                shares: account.shares,
            };
            joined.insert(name, Arc::new(line));
        }
        joined
    }

    fn join_routes(&mut self, pools: &BTreeMap<id::Pool, Arc<Pool>>) -> Vec<Arc<Route>> {
        let mut places = HashMap::new();
        let mut rules: HashMap<(String, Path), id::Route> = HashMap::new();
        let mut joined = Vec::new();
        for (place, route) in std::mem::take(&mut self.routes) {
            if let Some(first) = places.insert(route.name.clone(), place.clone()) {
                self.duplicate(Section::Routes, route.name.as_str(), first, place.clone());
            }
            self.range(&place, "deadline_ms", route.deadline_ms, 1, MAX_DEADLINE_MS);
            self.range(&place, "retries", route.retries.into(), 0, MAX_RETRIES.into());
            if !pools.contains_key(&route.pool) {
                let name = route.pool.to_string();
                self.push(
                    place.clone(),
                    Fault::UndefinedReference { section: Section::Pools, name },
                );
            }
            let methods = route.rule.methods;
            let is_method = |m: &String| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
            if methods.is_empty() || !methods.iter().all(is_method) {
                self.push(place.clone(), Fault::Methods(methods.clone()));
            }
            let path: Path = match route.rule.path.parse() {
                Ok(path) => path,
                Err(error) => {
                    self.push(place, Fault::Path(error));
                    continue;
                }
            };
            for method in methods.iter().collect::<HashSet<_>>() {
                let rule = (method.clone(), path.clone());
                if let Some(other) = rules.insert(rule, route.name.clone()) {
                    let fault = Fault::OverlappingRoute {
                        method: method.clone(),
                        path: path.clone(),
                        other,
                    };
                    self.push(place.clone(), fault);
                }
            }
            joined.push(Arc::new(Route {
                name: route.name,
                methods,
                path,
                pool: route.pool,
                class: route.class,
                idempotent: route.idempotent,
                deadline: Duration::from_millis(route.deadline_ms),
                access: route.access,
                retries: route.retries,
            }));
        }
        joined.sort_by(|a, b| {
            let longest_first = b.path.as_str().len().cmp(&a.path.as_str().len());
            longest_first.then_with(|| a.name.cmp(&b.name))
        });
        joined
    }

    fn join_keys(
        &mut self,
        accounts: &BTreeMap<id::Account, Arc<Account>>,
    ) -> HashMap<key::Digest, id::Account> {
        let mut places = HashMap::new();
        let mut joined = HashMap::new();
        for (place, line) in std::mem::take(&mut self.grants) {
            let digest: key::Digest = match line.digest.parse() {
                Ok(digest) => digest,
                Err(error) => {
                    self.push(place, Fault::Digest(error));
                    continue;
                }
            };
            if let Some(first) = places.insert(digest, place.clone()) {
                self.duplicate(Section::Keys, "(digest)", first, place.clone());
            }
            if !accounts.contains_key(&line.account) {
                let name = line.account.to_string();
                self.push(place, Fault::UndefinedReference { section: Section::Accounts, name });
            }
            let grant = Grant { digest, account: line.account };
            joined.insert(grant.digest, grant.account);
        }
        joined
    }
}

fn placed<T>(source: &str, lines: Vec<Spanned<T>>) -> Vec<(Place, T)> {
    let place =
        |line: &Spanned<T>| Place { source: source.to_owned(), line: line.referenced.line() };
    lines.into_iter().map(|line| (place(&line), line.value)).collect()
}

trait Named {
    fn name(&self) -> String;
}

impl Named for wire::Route {
    fn name(&self) -> String {
        self.name.to_string()
    }
}

impl Named for wire::Pool {
    fn name(&self) -> String {
        self.name.to_string()
    }
}

impl Named for wire::Account {
    fn name(&self) -> String {
        self.name.to_string()
    }
}

impl Named for wire::Grant {
    fn name(&self) -> String {
        self.digest.clone()
    }
}

fn push_line<T: Named>(lines: &mut Vec<(Place, T)>, place: &Place, line: T) -> String {
    let name = line.name();
    lines.push((place.clone(), line));
    name
}
