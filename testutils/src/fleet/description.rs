//! What a fleet is made of, and the tables that its operators publish.

use {
    crate::{
        load,
        platform::Changes,
        target::{Chain, NestedCall, ServiceTime, Settings},
    },
    monsoon_lib::{
        key::Digest,
        table::{Access, Class},
    },
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// One route of a pool.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The class.
    pub class: Class,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// The deadline in milliseconds.
    pub deadline_ms: u64,
    /// Who may use the route.
    pub access: Access,
    /// Further attempts for one root request.
    pub retries: u8,
    /// How often callers use it, relative to the other routes. 0 for nested calls alone.
    pub weight: u32,
}

impl Route {
    /// Makes a keyed route that looks something up.
    pub fn lookup(name: &str, path: &str, class: Class, weight: u32) -> Self {
        Self {
            name: name.into(),
            method: "GET".into(),
            path: path.into(),
            class,
            idempotent: true,
            deadline_ms: 2_000,
            access: Access::Keyed,
            retries: 2,
            weight,
        }
    }

    /// Makes a keyed route whose requests may run once only.
    pub fn once(name: &str, path: &str, class: Class, weight: u32) -> Self {
        let method = "POST".into();
        Self { method, idempotent: false, ..Self::lookup(name, path, class, weight) }
    }

    fn value(&self, pool: &str) -> Value {
        json!({
            "name": self.name,
            "match": { "methods": [self.method], "path": self.path },
            "pool": pool,
            "class": self.class,
            "idempotent": self.idempotent,
            "deadline_ms": self.deadline_ms,
            "access": self.access,
            "retries": self.retries,
        })
    }
}

/// One pool of equal targets.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The name.
    pub name: String,
    /// The number of targets, spread over the data centres in turn.
    pub targets: usize,
    /// The slots of each target.
    pub slots: u32,
    /// The connections of each target.
    pub connections: u32,
    /// How long a run takes.
    pub service: ServiceTime,
    /// How many bytes fill up each answer.
    pub answer_bytes: usize,
    /// The routes.
    pub routes: Vec<Route>,
    /// The nested calls.
    pub chains: Vec<Chain>,
}

impl Pool {
    /// Makes a pool with short runs and one route.
    pub fn new(name: &str, targets: usize, slots: u32, route: Route) -> Self {
        Self {
            name: name.into(),
            targets,
            slots,
            connections: 400,
            service: ServiceTime::default(),
            answer_bytes: 64,
            routes: vec![route],
            chains: Vec::new(),
        }
    }

    /// Adds a route.
    pub fn route(mut self, route: Route) -> Self {
        self.routes.push(route);
        self
    }

    /// Adds a nested call with GET for requests whose path begins with `path`.
    pub fn chain(self, path: &str, nested: &str) -> Self {
        self.chain_with(path, "GET", nested)
    }

    /// Adds a nested call for requests whose path begins with `path`.
    pub fn chain_with(mut self, path: &str, method: &str, nested: &str) -> Self {
        let call = NestedCall { method: method.into(), path: nested.into(), retries: 0 };
        match self.chains.iter_mut().find(|chain| chain.path == path) {
            Some(chain) => chain.calls.push(call),
            None => self.chains.push(Chain { path: path.into(), calls: vec![call] }),
        }
        self
    }

    /// Makes every run take the mean of an exponential distribution.
    pub fn service(self, mean_us: u64) -> Self {
        Self { service: ServiceTime { mean_us, exponential: true }, ..self }
    }
}

/// One client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// The name.
    pub name: String,
    /// Requests a second.
    pub rate: u64,
    /// Requests at once.
    pub burst: u32,
}

impl Account {
    /// Makes an account.
    pub fn new(name: &str, rate: u64, burst: u32) -> Self {
        Self { name: name.into(), rate, burst }
    }
}

/// One VM with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The VM.
    pub vm: String,
    /// Where it is.
    pub data_centre: String,
    /// The pool of its target.
    pub pool: String,
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Description {
    /// The data centres.
    pub data_centres: Vec<String>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The accounts.
    pub accounts: Vec<Account>,
    /// The seed of all stand-ins and of the accounts' keys.
    pub seed: u64,
    /// Whether a proxy stands before each node's listener for peers.
    pub has_proxies: bool,
}

impl Description {
    /// Makes a fleet of pools over a number of data centres, with one large account.
    pub fn new(data_centres: usize, pools: Vec<Pool>) -> Self {
        Self {
            data_centres: (1..=data_centres).map(|n| format!("dc-{n}")).collect(),
            pools,
            accounts: vec![Account::new("chonburi", 10_000, 10_000)],
            seed: 1,
            has_proxies: false,
        }
    }

    /// Returns all VMs with their places.
    pub fn places(&self) -> Vec<Place> {
        let place = |pool: &Pool, number: usize| Place {
            vm: format!("{}-{}", pool.name, number + 1),
            data_centre: self.data_centres[number % self.data_centres.len()].clone(),
            pool: pool.name.clone(),
        };
        let mut places = Vec::new();
        for pool in &self.pools {
            places.extend((0..pool.targets).map(|number| place(pool, number)));
        }
        places
    }

    /// Returns the settings of the target on a VM.
    pub fn target_settings(&self, place: &Place, seed: u64) -> Option<Settings> {
        let pool = self.pools.iter().find(|pool| pool.name == place.pool)?;
        Some(Settings {
            slots: pool.slots,
            queue: pool.slots as usize * 2,
            service: pool.service,
            answer_bytes: pool.answer_bytes,
            seed,
            chains: pool.chains.clone(),
            keys: self.accounts.iter().map(|account| self.key(&account.name)).collect(),
            ..Settings::default()
        })
    }

    /// Returns the key of an account.
    pub fn key(&self, account: &str) -> String {
        format!("{account}-{}", Digest::of(format!("{}/{account}", self.seed).as_bytes()).to_hex())
    }

    /// Returns the four tables as values to publish.
    pub fn tables(&self) -> Changes {
        let mut changes = BTreeMap::new();
        let mut add = |name: String, value: Value| changes.insert(name, Some(value.to_string()));
        for pool in &self.pools {
            for route in &pool.routes {
                add(format!("routes/{}", route.name), route.value(&pool.name));
            }
            add(format!("pools/{}", pool.name), self.pool_value(pool));
        }
        for account in &self.accounts {
            let Account { name, rate, burst } = account;
            let value = json!({ "name": name, "rate": rate, "burst": burst });
            add(format!("accounts/{name}"), value);
            let (value_name, value) = grant(&self.key(name), name);
            add(value_name, value);
        }
        Changes { changes }
    }

    fn pool_value(&self, pool: &Pool) -> Value {
        let places = self.places();
        let places = places.iter().filter(|place| place.pool == pool.name);
        let target = |place: &Place| {
            json!({
                "vm": place.vm,
                "data_centre": place.data_centre,
                "slots": pool.slots,
                "connections": pool.connections,
            })
        };
        json!({ "name": pool.name, "targets": places.map(target).collect::<Vec<_>>() })
    }

    /// Returns the callers of all accounts, each sending at `factor` times its rate.
    pub fn load(&self, factor: f64) -> Vec<load::Account> {
        let routes = self.pools.iter().flat_map(|pool| &pool.routes);
        let requests: Vec<_> = routes.filter(|route| route.weight > 0).map(request).collect();
        let callers = |account: &Account| load::Account {
            name: account.name.clone(),
            key: Some(self.key(&account.name)),
            rate: account.rate as f64 * factor,
            rate_limit: account.rate,
            burst_limit: account.burst,
            requests: requests.clone(),
            retries: 0,
        };
        self.accounts.iter().map(callers).collect()
    }
}

/// Returns the name and the value that grant a key to an account.
pub fn grant(key: &str, account: &str) -> (String, Value) {
    let digest = Digest::of(key.as_bytes()).to_hex();
    let value = json!({ "digest": digest, "account": account });
    (format!("keys/{digest}"), value)
}

fn request(route: &Route) -> load::Request {
    const BODY_BYTES: usize = 200;
    load::Request {
        weight: route.weight,
        method: route.method.clone(),
        path: route.path.clone(),
        class: route.class,
        body_bytes: if route.method == "GET" { 0 } else { BODY_BYTES },
        has_idempotency_key: !route.idempotent,
    }
}
