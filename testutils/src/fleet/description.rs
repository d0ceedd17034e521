//! The description of a fleet, and the tables that its operators publish.

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

/// A route of a pool.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The HTTP method that it matches.
    pub method: String,
    /// The path that it matches.
    pub path: String,
    /// The class of its requests.
    pub class: Class,
    /// Whether requests may be run more than once.
    pub idempotent: bool,
    /// The deadline of requests, in milliseconds.
    pub deadline_ms: u64,
    /// Who may use the route.
    pub access: Access,
    /// The maximum number of retries of a root request.
    pub retries: u8,
    /// The share of callers' requests, relative to other routes. 0 if only nested calls use it.
    pub weight: u32,
}

impl Route {
    /// Creates a keyed GET route whose requests are idempotent.
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

    /// Creates a keyed POST route whose requests may be run at most once.
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

/// A pool of equal targets.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The name of the pool.
    pub name: String,
    /// The number of targets, distributed over the data centres in turn.
    pub targets: usize,
    /// The number of slots of each target.
    pub slots: u32,
    /// The number of connections of each target.
    pub connections: u32,
    /// The service time of each target.
    pub service: ServiceTime,
    /// The length of the padding of each answer.
    pub answer_bytes: usize,
    /// The routes to the pool.
    pub routes: Vec<Route>,
    /// The nested calls that targets make.
    pub chains: Vec<Chain>,
}

impl Pool {
    /// Creates a pool with a short service time and one route.
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

    /// Sets an exponentially distributed service time with the given mean, in microseconds.
    pub fn service(self, mean_us: u64) -> Self {
        Self { service: ServiceTime { mean_us, exponential: true }, ..self }
    }
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// The name of the account.
    pub name: String,
    /// The rate limit, in requests per second.
    pub rate: u64,
    /// The burst limit, in requests.
    pub burst: u32,
}

impl Account {
    /// Creates an account with the given limits.
    pub fn new(name: &str, rate: u64, burst: u32) -> Self {
        Self { name: name.into(), rate, burst }
    }
}

/// The name of a VM, its data centre and the pool of its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The name of the VM.
    pub vm: String,
    /// The data centre that it is in.
    pub data_centre: String,
    /// The pool of its target.
    pub pool: String,
}

/// The description of a fleet.
#[derive(Clone, Debug)]
pub struct Description {
    /// The names of the data centres.
    pub data_centres: Vec<String>,
    /// The pools of targets.
    pub pools: Vec<Pool>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The seed of all targets and proxies and of the accounts' keys.
    pub seed: u64,
    /// Whether peers reach each node through a proxy.
    pub has_proxies: bool,
}

impl Description {
    /// Creates a fleet of pools over a number of data centres, with one account with high limits.
    pub fn new(data_centres: usize, pools: Vec<Pool>) -> Self {
        Self {
            data_centres: (1..=data_centres).map(|n| format!("dc-{n}")).collect(),
            pools,
            accounts: vec![Account::new("chonburi", 10_000, 10_000)],
            seed: 1,
            has_proxies: false,
        }
    }

    /// Returns all VMs, with one target each.
    pub fn placements(&self) -> Vec<Placement> {
        let placement = |pool: &Pool, number: usize| Placement {
            vm: format!("{}-{}", pool.name, number + 1),
            data_centre: self.data_centres[number % self.data_centres.len()].clone(),
            pool: pool.name.clone(),
        };
        let mut placements = Vec::new();
        for pool in &self.pools {
            placements.extend((0..pool.targets).map(|number| placement(pool, number)));
        }
        placements
    }

    /// Returns the settings of the target on a VM.
    pub fn target_settings(&self, placement: &Placement, seed: u64) -> Option<Settings> {
        let pool = self.pools.iter().find(|pool| pool.name == placement.pool)?;
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

    /// Returns the key of an account, which is derived from the seed.
    pub fn key(&self, account: &str) -> String {
        format!("{account}-{}", Digest::of(format!("{}/{account}", self.seed).as_bytes()).to_hex())
    }

    /// Returns the tables of routes, pools, accounts and keys as values to publish.
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
        let placements = self.placements();
        let placements = placements.iter().filter(|placement| placement.pool == pool.name);
        let target = |placement: &Placement| {
            json!({
                "vm": placement.vm,
                "data_centre": placement.data_centre,
                "slots": pool.slots,
                "connections": pool.connections,
            })
        };
        json!({ "name": pool.name, "targets": placements.map(target).collect::<Vec<_>>() })
    }

    /// Returns the load of all accounts, each sending at `factor` times its rate limit.
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

/// Returns the name and value of the table entry that grants a key to an account.
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
