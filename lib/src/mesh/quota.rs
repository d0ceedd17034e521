//! Distributed enforcement of the sold rates of client accounts over discovered nodes.
//!
//! Each node reports its demand by account to one node, the coordinator, which answers with the
//! node's share of the rates. Each node determines the coordinator on its own; nodes that reach the
//! same peers choose the same one. A node without an answer keeps its last shares. The coordinator
//! counts a node that it does not hear from for `SILENT_NODE_RETENTION`, because that node may be
//! partitioned and go on using its share.
//!
//! While the demand of all nodes is somewhat above the rate, each node refuses the same fraction of
//! the account's requests. On many nodes the share of one node is less than a request per second, and
//! buckets so small that together they hold the rate refuse most requests that arrive close
//! together. The buckets bound what is admitted before the nodes know of a rise, and under demand far
//! above the rate.

use {
    super::table::Table,
    crate::{id, time::Instant, unit::Rate},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        net::IpAddr,
        time::Duration,
    },
};

/// The interval at which a node reports its demand to the coordinator.
pub const PERIOD: Duration = Duration::from_millis(500);
/// How long the coordinator counts a node that it does not hear from. Partitions last about this
/// long.
const SILENT_NODE_RETENTION: Duration = Duration::from_secs(8);
/// How long a new coordinator collects demands before it answers. All nodes report theirs twice in
/// this time.
const WARM_UP: Duration = Duration::from_millis(1_200);
/// The weight of the last period in the moving average of the demand of an account.
const DEMAND_WEIGHT: f64 = 0.5;
/// The fraction of a rate that is split evenly, so that a node without demand can admit its first
/// requests.
const EVEN_FRACTION: f64 = 0.2;
/// The fraction of a rate that is split evenly for accounts without demand at a node. It is larger
/// than [`EVEN_FRACTION`], since most such accounts have no demand at other nodes either.
const IDLE_FRACTION: f64 = 0.5;
/// The smallest capacity of a bucket, in requests, so that a small share is not lost to rounding.
const MIN_CAPACITY: f64 = 3.0;
/// The smallest capacity of a bucket under demand above [`OVERLOAD_DEMAND`]. On many nodes, larger
/// buckets add up to more than the platform tolerates.
const MIN_OVERLOAD_CAPACITY: f64 = 1.0;
/// The rate that all nodes together admit under demand above the sold rate, as a multiple of it.
/// Nodes may briefly disagree on the demand, and the platform tolerates an excess of a quarter in
/// five seconds.
const OVERLOAD_MARGIN: f64 = 1.08;
/// The rate at which a bucket refills under demand up to [`OVERLOAD_DEMAND`], as a multiple of the
/// node's share of the sold rate. The demand of one node varies more than that of all nodes, and
/// refusing a request below the sold rate is wrongful.
const REFILL_MARGIN: f64 = 1.3;
/// The demand, as a multiple of the sold rate, above which the buckets alone hold the rate. The
/// measured demand of an account with few requests is at times a third above its mean, and full
/// buckets must not be emptied for that.
const OVERLOAD_DEMAND: f64 = 1.6;
/// The longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The demand at one node, in requests per second by account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand(pub BTreeMap<id::Account, f32>);

/// A node's share of the rate of one account.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The fraction of the rate that the node may use.
    pub fraction: f32,
    /// The demand at all nodes, in requests per second.
    pub demand: f32,
}

/// A node's shares of the rates of all accounts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Shares {
    /// The shares of accounts with demand at the node.
    pub by_account: BTreeMap<id::Account, Share>,
    /// The fraction of the rate of every other account.
    pub default_fraction: f32,
}

/// How a node keeps to its share of a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Enforcement {
    /// The fraction of the requests that may take a token.
    admitted: f64,
    /// The rate at which the bucket refills, as a multiple of the share.
    margin: f64,
    /// The smallest capacity of the bucket, in requests.
    min_capacity: f64,
}

impl Enforcement {
    /// Selects the enforcement by the demand at all nodes, in requests per second. `None` if no
    /// coordinator has answered yet.
    fn of(demand: Option<f64>, rate: Rate) -> Self {
        let rate = rate.0 as f64;
        match demand {
            None => Self { admitted: 1.0, margin: OVERLOAD_MARGIN, min_capacity: MIN_CAPACITY },
            Some(demand) if demand > OVERLOAD_DEMAND * rate => {
                Self { admitted: 1.0, margin: OVERLOAD_MARGIN, min_capacity: MIN_OVERLOAD_CAPACITY }
            }
            Some(demand) => {
                let sold = OVERLOAD_MARGIN * rate;
                let admitted = if demand > sold { sold / demand } else { 1.0 };
                Self { admitted, margin: REFILL_MARGIN, min_capacity: MIN_CAPACITY }
            }
        }
    }
}

#[derive(Debug)]
struct TokenBucket {
    rate: Rate,
    burst: u64,
    /// The node's share of the rate.
    fraction: f64,
    /// The share of each node if all had the same.
    even_fraction: f64,
    enforcement: Enforcement,
    tokens: f64,
    refilled_at: Instant,
    requests: u32,
    demand: f64,
}

impl TokenBucket {
    fn capacity(&self) -> f64 {
        // An account whose record can't be understood has this rate, so that it is refused.
        if self.rate == Rate(0) {
            return 0.0;
        }
        // The share follows the demand of the last seconds, which says little about the next
        // requests of an account that sends few of them to each node.
        (self.burst as f64 * self.fraction.max(self.even_fraction))
            .max(self.enforcement.min_capacity)
    }

    fn refill_per_s(&self) -> f64 {
        self.rate.0 as f64 * self.fraction * self.enforcement.margin
    }

    fn refill(&mut self, now: Instant) {
        let new_tokens = self.refill_per_s() * (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + new_tokens).min(self.capacity());
        self.refilled_at = now;
    }
}

/// Enforces this node's shares of the sold rates with one token bucket per account.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<id::Account, TokenBucket>,
    shares: Option<Shares>,
    /// The demand of all accounts with demand and a rate, divided by the sum of their rates.
    mean_usage: Option<f64>,
    node_count: usize,
}

impl RateLimiter {
    /// Sets the sold rates and drops the buckets of accounts without one.
    pub fn set_table(&mut self, now: Instant, table: &Table) {
        self.buckets.retain(|name, _| table.accounts().contains_key(name));
        for account in table.accounts().values() {
            let Some(rate) = account.rate else {
                self.buckets.remove(&account.name);
                continue;
            };
            let fraction = self.fraction_for(&account.name);
            let bucket = self.buckets.entry(account.name.clone()).or_insert_with(|| TokenBucket {
                rate,
                burst: account.burst,
                fraction,
                even_fraction: 0.0,
                enforcement: Enforcement::of(None, rate),
                // A restarted node must not grant the burst a second time.
                tokens: 1.0,
                refilled_at: now,
                requests: 0,
                demand: 0.0,
            });
            bucket.refill(now);
            (bucket.rate, bucket.burst) = (rate, account.burst);
            bucket.tokens = bucket.tokens.min(bucket.capacity());
        }
        self.update_mean_usage();
    }

    /// Sets the number of nodes. Until the first answer of a coordinator, rates are split evenly.
    pub fn set_node_count(&mut self, now: Instant, node_count: usize) {
        self.node_count = node_count;
        if self.shares.is_none() {
            self.apply(now);
        }
    }

    /// Sets the shares that the coordinator assigned.
    pub fn set_shares(&mut self, now: Instant, shares: Shares) {
        self.shares = Some(shares);
        self.apply(now);
        self.update_mean_usage();
    }

    /// Takes one token from the bucket of an account. Accounts without a rate are not limited.
    /// `hash_fraction` is that of the request.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if the request is not in the admitted fraction, or the bucket is empty.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        account: &id::Account,
        hash_fraction: f64,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(account) else { return Ok(()) };
        bucket.refill(now);
        bucket.requests += 1;
        let admitted = bucket.enforcement.admitted;
        if hash_fraction > admitted {
            // The further the demand is above the rate, the longer it takes to fall.
            return Err(MAX_RETRY_AFTER.mul_f64(1.0 - admitted));
        }
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - bucket.tokens) / bucket.refill_per_s().max(0.1);
        Err(Duration::from_secs_f64(wait_s).min(MAX_RETRY_AFTER))
    }

    /// Counts a request that is refused before its token is taken, so that the demand of the account
    /// includes it.
    pub fn record_refused(&mut self, account: &id::Account) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.requests += 1;
        }
    }

    /// Returns the demand of an account at all nodes, divided by its sold rate. `None` if it has no
    /// rate or no demand at this node, or the coordinator has not answered yet.
    pub fn usage(&self, account: &id::Account) -> Option<f64> {
        let demand = self.shares.as_ref()?.by_account.get(account)?.demand;
        let rate = self.buckets.get(account)?.rate;
        (rate.0 > 0).then(|| f64::from(demand) / rate.0 as f64)
    }

    /// Returns the same ratio over all accounts with demand at this node: the sum of their demands,
    /// divided by the sum of their rates.
    pub fn mean_usage(&self) -> Option<f64> {
        self.mean_usage
    }

    /// Returns the token of a request that did not run to the bucket.
    pub fn refund(&mut self, account: &id::Account) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.capacity());
        }
    }

    /// Updates and returns the average demand. Must be called once per [`PERIOD`]; `elapsed` is the
    /// time since the last call.
    pub fn demand(&mut self, elapsed: Duration) -> Demand {
        let elapsed_s = elapsed.as_secs_f64().max(0.001);
        let mut demand = Demand::default();
        for (account, bucket) in &mut self.buckets {
            let last = f64::from(std::mem::take(&mut bucket.requests)) / elapsed_s;
            bucket.demand += DEMAND_WEIGHT * (last - bucket.demand);
            if bucket.demand > 0.01 {
                demand.0.insert(account.clone(), bucket.demand as f32);
            }
        }
        demand
    }

    /// Returns the share of each node if all had the same.
    fn even_fraction(&self) -> f64 {
        match self.node_count {
            // Until the node knows how many others there are, it must not refill its buckets.
            0 => 0.0,
            count => 1.0 / count as f64,
        }
    }

    fn fraction_for(&self, account: &id::Account) -> f64 {
        match &self.shares {
            None => self.even_fraction(),
            Some(shares) => f64::from(
                shares
                    .by_account
                    .get(account)
                    .map_or(shares.default_fraction, |share| share.fraction),
            ),
        }
    }

    fn update_mean_usage(&mut self) {
        let by_account = self.shares.iter().flat_map(|shares| &shares.by_account);
        let with_rate = by_account.filter_map(|(account, share)| {
            let rate = self.buckets.get(account).map(|bucket| bucket.rate.0 as f64)?;
            (rate > 0.0).then(|| (f64::from(share.demand), rate))
        });
        let (demand, rate) = with_rate
            .fold((0.0, 0.0), |(demands, rates), (demand, rate)| (demands + demand, rates + rate));
        self.mean_usage = (rate > 0.0).then(|| demand / rate);
    }

    fn apply(&mut self, now: Instant) {
        let fractions: Vec<(id::Account, f64)> =
            self.buckets.keys().map(|name| (name.clone(), self.fraction_for(name))).collect();
        let even_fraction = self.even_fraction();
        for (name, fraction) in fractions {
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.refill(now);
                let demand = self.shares.as_ref().map(|shares| {
                    let share = shares.by_account.get(&name);
                    share.map_or(0.0, |share| f64::from(share.demand))
                });
                let enforcement = Enforcement::of(demand, bucket.rate);
                if enforcement.min_capacity < bucket.enforcement.min_capacity {
                    // The full buckets of idle nodes together hold more than the rate allows.
                    bucket.tokens = bucket.tokens.min(bucket.burst as f64 * fraction);
                }
                bucket.enforcement = enforcement;
                bucket.fraction = fraction;
                bucket.even_fraction = even_fraction;
                bucket.tokens = bucket.tokens.min(bucket.capacity());
            }
        }
    }
}

/// Splits the rates over the nodes by their reported demand, on the coordinator.
#[derive(Debug, Default)]
pub struct Coordinator {
    demands: HashMap<IpAddr, (Instant, Demand)>,
    since: Option<Instant>,
}

impl Coordinator {
    /// Records the demand of a node and returns its shares, or nothing during the warm-up.
    ///
    /// `node_count` is the number of nodes that the coordinator knows of. Those that have not
    /// reported may still use an even part of the rates, so it is left to them.
    pub fn update(
        &mut self,
        now: Instant,
        node: IpAddr,
        demand: Demand,
        node_count: usize,
    ) -> Option<Shares> {
        self.demands.retain(|_, (at, _)| now - *at < SILENT_NODE_RETENTION);
        if self.demands.is_empty() {
            self.since = Some(now);
        }
        self.demands.insert(node, (now, demand.clone()));
        let nodes = self.demands.len().max(node_count) as f64;
        let reported = self.demands.len() as f64 / nodes;
        let even = EVEN_FRACTION / nodes;
        let mut shares =
            Shares { default_fraction: (IDLE_FRACTION / nodes) as f32, ..Shares::default() };
        for (account, own) in demand.0 {
            let demand_of = |(_, demand): &(Instant, Demand)| {
                f64::from(demand.0.get(&account).copied().unwrap_or(0.0))
            };
            let sum: f64 = self.demands.values().map(demand_of).sum();
            let by_demand = reported * (1.0 - EVEN_FRACTION);
            let fraction = even + by_demand * f64::from(own) / sum.max(0.01);
            shares
                .by_account
                .insert(account, Share { fraction: fraction as f32, demand: sum as f32 });
        }
        self.since.is_some_and(|since| now - since >= WARM_UP).then_some(shares)
    }
}
