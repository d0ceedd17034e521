//! Validation of the four tables and resolution of the references between them.

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
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        fmt,
        sync::Arc,
        time::Duration,
    },
};

/// The maximum deadline of a route, in milliseconds.
const MAX_DEADLINE_MS: u64 = 120_000;
/// The maximum number of retries that a route may allow for one root request.
const MAX_RETRIES: u8 = 3;

/// The location of a table entry.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The file, or the name of the published value.
    pub source: String,
    /// The line number, from 1, or 0 if unknown.
    pub line: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.source, self.line)
    }
}

/// A fault in a table entry.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The text is not valid YAML, or a field is missing, unknown or of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// The published value's name is not `SECTION/NAME`.
    #[error("the value's name {0:?} is not SECTION/NAME; expected for example routes/book-bench")]
    ValueName(String),
    /// The published value's name does not begin with a known section.
    #[error(transparent)]
    Section(#[from] SectionError),
    /// The name under which a value is published differs from the name in the value.
    #[error("the value is named {published:?} but its name is {found:?}; make them the same")]
    NameMismatch {
        /// The name under which the value is published.
        published: String,
        /// The name in the value.
        found: String,
    },
    /// Two entries of a table have the same name.
    #[error("{section} has {name:?} twice, first at {first}; remove or rename one")]
    Duplicate {
        /// The table.
        section: Section,
        /// The duplicate name.
        name: String,
        /// The location of the first entry with the name.
        first: Place,
    },
    /// A reference to an entry that does not exist.
    #[error("no {section} line is named {name:?}; add one or correct the name")]
    UndefinedReference {
        /// The table to which the reference points.
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
    /// A number is out of range.
    #[error("{field} is {found}; set it from {min} to {max}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The value found.
        found: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// A route has no methods, or a malformed one.
    #[error("methods is {0:?}; give HTTP methods in capitals, for example [GET]")]
    Methods(Vec<String>),
    /// A pool has no targets.
    #[error("targets is empty; name at least one VM")]
    NoTargets,
    /// A VM is listed as a target more than once.
    #[error("VM {vm} is already a target of pool {other}; one VM runs one target")]
    SharedVm {
        /// The VM.
        vm: id::Vm,
        /// The pool that lists it first.
        other: id::Pool,
    },
    /// All shares of an account are zero.
    #[error("all shares are 0; give one data centre a weight or leave shares out")]
    NoShares,
    /// No target is in an evacuated data centre.
    #[error(
        "no target is in data centre {:?}; correct the name, or leave it out of evacuated",
        .0.as_str()
    )]
    UnknownDataCentre(id::DataCentre),
    /// The path is not in normal form.
    #[error(transparent)]
    Path(#[from] PathError),
    /// The class is unknown.
    #[error(transparent)]
    Class(#[from] ClassError),
    /// The digest is malformed.
    #[error(transparent)]
    Digest(#[from] key::Error),
}

/// A fault with its location.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{place}: {fault}")]
pub struct Error {
    /// The location of the fault.
    pub place: Place,
    /// The fault.
    pub fault: Fault,
}

/// Collects table entries from documents and published values, and builds a [`Set`] from them.
#[derive(Debug, Default)]
pub struct Builder {
    routes: Vec<(Place, wire::Route)>,
    pools: Vec<(Place, wire::Pool)>,
    accounts: Vec<(Place, wire::Account)>,
    grants: Vec<(Place, wire::Grant)>,
    evacuated: Vec<(Place, id::DataCentre)>,
    errors: Vec<Error>,
}

impl Builder {
    /// Creates an empty builder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the entries of a document that contains all tables or parts of them.
    pub fn add_document(&mut self, source: &str, text: &str) {
        let Some(document) = self.parse::<Document>(source, text) else { return };
        self.routes.extend(with_places(source, document.routes));
        self.pools.extend(with_places(source, document.pools));
        self.accounts.extend(with_places(source, document.accounts));
        self.grants.extend(with_places(source, document.keys));
        self.evacuated.extend(with_places(source, document.evacuated));
    }

    /// Adds one published value, whose name is `SECTION/NAME`.
    pub fn add_value(&mut self, name: &str, text: &str) {
        let place = Place { source: name.into(), line: 1 };
        let Some((section, rest)) = name.split_once('/') else {
            return self.push_error(place, Fault::ValueName(name.into()));
        };
        let section = match section.parse() {
            Ok(section) => section,
            Err(error) => return self.push_error(place, Fault::Section(error)),
        };
        let found = match section {
            Section::Routes => {
                self.parse(name, text).map(|entry| push_entry(&mut self.routes, &place, entry))
            }
            Section::Pools => {
                self.parse(name, text).map(|entry| push_entry(&mut self.pools, &place, entry))
            }
            Section::Accounts => {
                self.parse(name, text).map(|entry| push_entry(&mut self.accounts, &place, entry))
            }
            Section::Keys => {
                self.parse(name, text).map(|entry| push_entry(&mut self.grants, &place, entry))
            }
            Section::Evacuated => {
                self.parse(name, text).map(|entry| push_entry(&mut self.evacuated, &place, entry))
            }
        };
        if let Some(found) = found
            && found != rest
        {
            // Errors are logged, so they must not contain key digests.
            let redacted = |name: &str| match section {
                Section::Keys => "(digest)".to_owned(),
                _ => name.to_owned(),
            };
            let fault = Fault::NameMismatch { published: redacted(rest), found: redacted(&found) };
            self.push_error(place, fault);
        }
    }

    /// Validates the tables and resolves the references between them.
    ///
    /// # Errors
    ///
    /// Returns the faults of all entries, ordered by location.
    pub fn finish(mut self, revision: Revision) -> Result<Set, Vec<Error>> {
        let pools = self.build_pools();
        let accounts = self.build_accounts();
        let routes = self.build_routes(&pools);
        let keys = self.build_keys(&accounts);
        let evacuated = self.build_evacuated(&pools);
        if !self.errors.is_empty() {
            self.errors.sort_by(|a, b| a.place.cmp(&b.place));
            return Err(self.errors);
        }
        Ok(Set { revision, routes, pools, accounts, keys, evacuated })
    }

    fn push_error(&mut self, place: Place, fault: Fault) {
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
                self.push_error(place, Fault::Syntax(message));
                None
            }
        }
    }

    fn check_range(&mut self, place: &Place, field: &'static str, found: u64, min: u64, max: u64) {
        if !(min..=max).contains(&found) {
            self.push_error(place.clone(), Fault::OutOfRange { field, found, min, max });
        }
    }

    fn push_duplicate(&mut self, section: Section, name: &str, first: Place, place: Place) {
        self.push_error(place, Fault::Duplicate { section, name: name.into(), first });
    }

    fn build_pools(&mut self) -> BTreeMap<id::Pool, Arc<Pool>> {
        let mut places = HashMap::new();
        let mut pool_of_vm: HashMap<id::Vm, id::Pool> = HashMap::new();
        let mut pools = BTreeMap::new();
        for (place, pool) in std::mem::take(&mut self.pools) {
            if let Some(first) = places.insert(pool.name.clone(), place.clone()) {
                self.push_duplicate(Section::Pools, pool.name.as_str(), first, place.clone());
            }
            if pool.targets.is_empty() {
                self.push_error(place.clone(), Fault::NoTargets);
            }
            let mut targets = Vec::new();
            for target in pool.targets {
                self.check_range(&place, "slots", target.slots.into(), 1, u64::from(u16::MAX));
                self.check_range(&place, "connections", target.connections.into(), 1, 1_000_000);
                if let Some(other) = pool_of_vm.insert(target.vm.clone(), pool.name.clone()) {
                    let fault = Fault::SharedVm { vm: target.vm.clone(), other };
                    self.push_error(place.clone(), fault);
                }
                targets.push(Target {
                    vm: target.vm,
                    data_centre: target.data_centre,
                    slots: target.slots,
                    connections: target.connections,
                });
            }
            targets.sort_by(|a, b| a.vm.cmp(&b.vm));
            pools.insert(pool.name.clone(), Arc::new(Pool { name: pool.name, targets }));
        }
        pools
    }

    fn build_accounts(&mut self) -> BTreeMap<id::Account, Arc<Account>> {
        const MAX_RATE: u64 = 1_000_000;
        let mut places = HashMap::new();
        let mut accounts = BTreeMap::new();
        for (place, account) in std::mem::take(&mut self.accounts) {
            if let Some(first) = places.insert(account.name.clone(), place.clone()) {
                self.push_duplicate(Section::Accounts, account.name.as_str(), first, place.clone());
            }
            self.check_range(&place, "rate", account.rate, 1, MAX_RATE);
            self.check_range(&place, "burst", account.burst.into(), 1, MAX_RATE);
            if !account.shares.is_empty() && account.shares.values().all(|weight| *weight == 0) {
                self.push_error(place.clone(), Fault::NoShares);
            }
            let name = account.name.clone();
            let entry = Account {
                name: account.name,
                rate: Rate(account.rate),
                burst: account.burst,
                shares: account.shares,
            };
            accounts.insert(name, Arc::new(entry));
        }
        accounts
    }

    fn build_routes(&mut self, pools: &BTreeMap<id::Pool, Arc<Pool>>) -> Vec<Arc<Route>> {
        let mut places = HashMap::new();
        let mut route_of_rule: HashMap<(String, Path), id::Route> = HashMap::new();
        let mut routes = Vec::new();
        for (place, route) in std::mem::take(&mut self.routes) {
            if let Some(first) = places.insert(route.name.clone(), place.clone()) {
                self.push_duplicate(Section::Routes, route.name.as_str(), first, place.clone());
            }
            self.check_range(&place, "deadline_ms", route.deadline_ms, 1, MAX_DEADLINE_MS);
            self.check_range(&place, "retries", route.retries.into(), 0, MAX_RETRIES.into());
            if !pools.contains_key(&route.pool) {
                let name = route.pool.to_string();
                self.push_error(
                    place.clone(),
                    Fault::UndefinedReference { section: Section::Pools, name },
                );
            }
            let methods = route.rule.methods;
            let is_method = |m: &String| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
            if methods.is_empty() || !methods.iter().all(is_method) {
                self.push_error(place.clone(), Fault::Methods(methods.clone()));
            }
            let path: Path = match route.rule.path.parse() {
                Ok(path) => path,
                Err(error) => {
                    self.push_error(place, Fault::Path(error));
                    continue;
                }
            };
            for method in methods.iter().collect::<HashSet<_>>() {
                let rule = (method.clone(), path.clone());
                if let Some(other) = route_of_rule.insert(rule, route.name.clone()) {
                    let fault = Fault::OverlappingRoute {
                        method: method.clone(),
                        path: path.clone(),
                        other,
                    };
                    self.push_error(place.clone(), fault);
                }
            }
            routes.push(Arc::new(Route {
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
        routes.sort_by(|a, b| {
            let longest_first = b.path.as_str().len().cmp(&a.path.as_str().len());
            longest_first.then_with(|| a.name.cmp(&b.name))
        });
        routes
    }

    fn build_evacuated(
        &mut self,
        pools: &BTreeMap<id::Pool, Arc<Pool>>,
    ) -> BTreeSet<id::DataCentre> {
        let targets = pools.values().flat_map(|pool| &pool.targets);
        let known: HashSet<&id::DataCentre> = targets.map(|target| &target.data_centre).collect();
        let mut places = HashMap::new();
        let mut evacuated = BTreeSet::new();
        for (place, data_centre) in std::mem::take(&mut self.evacuated) {
            if let Some(first) = places.insert(data_centre.clone(), place.clone()) {
                let name = data_centre.as_str();
                self.push_duplicate(Section::Evacuated, name, first, place.clone());
            }
            if !known.contains(&data_centre) {
                self.push_error(place, Fault::UnknownDataCentre(data_centre.clone()));
            }
            evacuated.insert(data_centre);
        }
        evacuated
    }

    fn build_keys(
        &mut self,
        accounts: &BTreeMap<id::Account, Arc<Account>>,
    ) -> HashMap<key::Digest, id::Account> {
        let mut places = HashMap::new();
        let mut keys = HashMap::new();
        for (place, entry) in std::mem::take(&mut self.grants) {
            let digest: key::Digest = match entry.digest.parse() {
                Ok(digest) => digest,
                Err(error) => {
                    self.push_error(place, Fault::Digest(error));
                    continue;
                }
            };
            if let Some(first) = places.insert(digest, place.clone()) {
                self.push_duplicate(Section::Keys, "(digest)", first, place.clone());
            }
            if !accounts.contains_key(&entry.account) {
                let name = entry.account.to_string();
                self.push_error(
                    place,
                    Fault::UndefinedReference { section: Section::Accounts, name },
                );
            }
            let grant = Grant { digest, account: entry.account };
            keys.insert(grant.digest, grant.account);
        }
        keys
    }
}

fn with_places<T>(source: &str, entries: Vec<Spanned<T>>) -> Vec<(Place, T)> {
    let place =
        |entry: &Spanned<T>| Place { source: source.to_owned(), line: entry.referenced.line() };
    entries.into_iter().map(|entry| (place(&entry), entry.value)).collect()
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

impl Named for id::DataCentre {
    fn name(&self) -> String {
        self.to_string()
    }
}

impl Named for wire::Grant {
    fn name(&self) -> String {
        self.digest.clone()
    }
}

fn push_entry<T: Named>(entries: &mut Vec<(Place, T)>, place: &Place, entry: T) -> String {
    let name = entry.name();
    entries.push((place.clone(), entry));
    name
}
