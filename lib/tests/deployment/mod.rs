//! Documents, routes, targets and settings of a small deployment on the users' platform.

// Each test file uses a part of this module.
#![allow(dead_code)]

use {
    monsoon_lib::{
        mesh::{
            fact::Target,
            node::Settings,
            table::{Account, Bounds, Document, Kind, Route, Table, WeightedPool},
        },
        time::Instant,
        unit::{Bytes, Rate, Revision},
    },
    std::{collections::BTreeMap, net::IpAddr, time::Duration},
};

/// Returns the address of a VM.
pub fn host(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// Returns a document without bounds on cold targets.
pub fn document(routes: Vec<Route>, accounts: Vec<Account>) -> Document {
    let bounds = Bounds {
        head: Bytes(1 << 14),
        body: Bytes(1 << 20),
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Document {
        revision: Revision(1),
        routes,
        requires_key: !accounts.is_empty(),
        accounts,
        health: BTreeMap::new(),
        bounds,
        cold: Some(BTreeMap::new()),
    }
}

/// Returns a route to the pool `desk` that needs a key.
pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.parse().expect("a name"),
        host: "shop.example".into(),
        prefix: prefix.into(),
        pools: vec![WeightedPool { pool: "desk".parse().expect("a name"), weight: 1 }],
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        rank: 0,
        attempts: 2,
        is_open: false,
    }
}

/// Returns a table of one account with a rate.
pub fn table_with_rate(account: &str, rate: u64) -> Table {
    let account = Account {
        name: account.parse().expect("a name"),
        rank: 1,
        rate: Some(Rate(rate)),
        burst: rate,
        keys: Vec::new(),
    };
    Table::new(document(Vec::new(), vec![account]))
}

/// Returns the settings of the first VM's node, whose target is in the given pool.
pub fn settings(pool: &str) -> Settings {
    Settings {
        vm: "m1".parse().expect("a name"),
        host: host(1),
        data_centre: "za".parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        target: (host(1), 80).into(),
        withdrawal: Duration::from_secs(5),
        drain: Duration::from_secs(2),
        resend_permille: 140,
        resend_window: Duration::from_secs(10),
        is_entry_admission_enabled: false,
        is_linger_enabled: false,
        requires_key: false,
    }
}

/// Returns a target of the pool `desk` in the first data centre.
pub fn target(name: &str, address: &str, started_at_ms: u64) -> Target {
    Target {
        name: name.parse().expect("a name"),
        pool: "desk".parse().expect("a name"),
        address: address.parse().expect("an address"),
        data_centre: "za".parse().expect("a name"),
        slots: 4,
        is_leaving: false,
        started_at_ms,
        cold_remaining: Duration::ZERO,
    }
}

/// The window over which the platform counts the requests of an account.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);

/// Returns the most requests that the platform tolerates in a window.
pub const fn max_per_window(rate: u64) -> u64 {
    (rate * QUOTA_WINDOW.as_secs() + rate) * 5 / 4 + 20
}

/// Returns the most requests in any window, by their times in order.
pub fn worst_window(admitted: &[Instant]) -> u64 {
    let (mut first, mut worst) = (0, 0);
    for (last, at) in admitted.iter().enumerate() {
        while *at - admitted[first] >= QUOTA_WINDOW {
            first += 1;
        }
        worst = worst.max(last - first + 1);
    }
    worst as u64
}
