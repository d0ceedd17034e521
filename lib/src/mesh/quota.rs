//! Sold rates over nodes that no table lists.
//!
//! One node, the coordinator, hears how much each node was asked for by each account and answers
//! with each node's share of the rate. Nodes choose the coordinator by themselves, the same one
//! while they reach the same peers. A node that hears nothing keeps its last shares. A node that
//! the coordinator does not hear keeps counting for [`SILENT_KEPT`], because it may be cut off and
//! go on with its share.

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

/// How often a node tells the coordinator what it was asked for.
pub const PERIOD: Duration = Duration::from_millis(500);
/// How long the coordinator counts a node that it does not hear. A cut lasts about this long.
const SILENT_KEPT: Duration = Duration::from_secs(8);
/// How long a node hears demands before it answers as the coordinator. All nodes tell theirs twice
/// in this time.
const WARM_UP: Duration = Duration::from_millis(1_200);
/// The weight of the last period in the demand of an account.
const DEMAND_WEIGHT: f64 = 0.35;
/// The part of a rate that is split evenly, so that a node without demand can serve its first
/// requests.
const EVEN_PART: f64 = 0.2;
/// The part of a rate that is split evenly while a node has no demand of its account. It is more than
/// the even part, since most such accounts have no demand at other nodes either.
const REST_PART: f64 = 0.5;
/// The smallest bucket, in requests, so that a small share is not lost to rounding.
const MIN_BUCKET: f64 = 3.0;
/// The same under demand well above the sold rate. On many nodes larger buckets add up to more than the
/// platform tolerates.
const MIN_FULL_BUCKET: f64 = 1.0;
/// The rate that nodes admit together under demand above the sold one, in parts of it. Nodes
/// disagree on shares for a moment, and the platform tolerates a quarter in five seconds.
const FULL_MARGIN: f64 = 1.08;
/// The same under demand of about the sold rate or less, which can't pass what the platform tolerates.
/// The demand of one node varies more than that of all nodes, and a request that is refused below the
/// sold rate is a wrongful refusal. A rise of the demand reaches all nodes within two periods.
const CALM_MARGIN: f64 = 1.3;
/// The demand in parts of the sold rate below which the calm margin applies.
const CALM_DEMAND: f64 = 1.1;
/// The demand in parts of the sold rate above which the full margin applies.
const FULL_DEMAND: f64 = 1.3;
/// The longest wait that a refused caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What a node was asked for, in requests a second by account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand(pub BTreeMap<id::Account, f32>);

/// The part of an account's rate that a node may use.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The part.
    pub fraction: f32,
    /// What all nodes were asked for, in requests a second.
    pub demand: f32,
}

/// The parts of the rates that a node may use, by account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Shares {
    /// The shares of accounts with demand.
    pub by_account: BTreeMap<id::Account, Share>,
    /// The share of every other account.
    pub default_fraction: f32,
}

#[derive(Debug)]
struct Meter {
    rate: Rate,
    burst: u64,
    share: f64,
    least: f64,
    margin: f64,
    tokens: f64,
    filled: Instant,
    offered: u32,
    demand: f64,
}

impl Meter {
    fn cap(&self) -> f64 {
        (self.burst as f64 * self.share).max(self.least)
    }

    fn per_s(&self) -> f64 {
        self.rate.0 as f64 * self.share * self.margin
    }

    fn fill(&mut self, now: Instant) {
        let minted = self.per_s() * (now - self.filled).as_secs_f64();
        self.tokens = (self.tokens + minted).min(self.cap());
        self.filled = now;
    }
}

/// The part of the rates that this node may use.
#[derive(Debug, Default)]
pub struct RateLimiter {
    meters: HashMap<id::Account, Meter>,
    shares: Option<Shares>,
    nodes: usize,
}

impl RateLimiter {
    /// Takes in the sold rates.
    pub fn set_table(&mut self, now: Instant, table: &Table) {
        self.meters.retain(|name, _| table.accounts().contains_key(name));
        for account in table.accounts().values() {
            let Some(rate) = account.rate else {
                self.meters.remove(&account.name);
                continue;
            };
            let share = self.share_of(&account.name);
            let meter = self.meters.entry(account.name.clone()).or_insert_with(|| Meter {
                rate,
                burst: account.burst,
                share,
                least: MIN_BUCKET,
                margin: FULL_MARGIN,
                // A node that starts again must not hand out its burst once more.
                tokens: 1.0,
                filled: now,
                offered: 0,
                demand: 0.0,
            });
            meter.fill(now);
            (meter.rate, meter.burst) = (rate, account.burst);
            meter.tokens = meter.tokens.min(meter.cap());
        }
    }

    /// Takes in the number of nodes, which gives the shares until the first answer of a coordinator.
    pub fn set_node_count(&mut self, now: Instant, nodes: usize) {
        self.nodes = nodes;
        if self.shares.is_none() {
            self.apply(now);
        }
    }

    /// Takes in the coordinator's answer.
    pub fn set_shares(&mut self, now: Instant, shares: Shares) {
        self.shares = Some(shares);
        self.apply(now);
    }

    /// Takes one request out of an account's share, or returns when to come back.
    ///
    /// # Errors
    ///
    /// Fails where the share is used up.
    pub fn try_acquire(&mut self, now: Instant, account: &id::Account) -> Result<(), Duration> {
        let Some(meter) = self.meters.get_mut(account) else { return Ok(()) };
        meter.fill(now);
        meter.offered += 1;
        if meter.tokens >= 1.0 {
            meter.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - meter.tokens) / meter.per_s().max(0.1);
        Err(Duration::from_secs_f64(wait_s).min(MAX_RETRY_AFTER))
    }

    /// Gives back what was taken for a request that did not run.
    pub fn refund(&mut self, account: &id::Account) {
        if let Some(meter) = self.meters.get_mut(account) {
            meter.tokens = (meter.tokens + 1.0).min(meter.cap());
        }
    }

    /// Returns what was asked for lately. It is called once in a [`PERIOD`].
    pub fn demand(&mut self, elapsed: Duration) -> Demand {
        let elapsed_s = elapsed.as_secs_f64().max(0.001);
        let mut demand = Demand::default();
        for (account, meter) in &mut self.meters {
            let last = f64::from(std::mem::take(&mut meter.offered)) / elapsed_s;
            meter.demand += DEMAND_WEIGHT * (last - meter.demand);
            if meter.demand > 0.01 {
                demand.0.insert(account.clone(), meter.demand as f32);
            }
        }
        demand
    }

    fn share_of(&self, account: &id::Account) -> f64 {
        match &self.shares {
            None => 1.0 / self.nodes.max(1) as f64,
            Some(shares) => f64::from(
                shares
                    .by_account
                    .get(account)
                    .map_or(shares.default_fraction, |share| share.fraction),
            ),
        }
    }

    fn apply(&mut self, now: Instant) {
        let shares: Vec<(id::Account, f64)> =
            self.meters.keys().map(|name| (name.clone(), self.share_of(name))).collect();
        for (name, share) in shares {
            if let Some(meter) = self.meters.get_mut(&name) {
                meter.fill(now);
                let demand = self.shares.as_ref().map(|shares| {
                    let share = shares.by_account.get(&name);
                    share.map_or(0.0, |share| f64::from(share.demand))
                });
                meter.margin = demand.map_or(FULL_MARGIN, |demand| margin(demand, meter.rate));
                let bound = CALM_DEMAND * meter.rate.0 as f64;
                let is_over = demand.is_some_and(|demand| demand > bound);
                let least = if is_over { MIN_FULL_BUCKET } else { MIN_BUCKET };
                if least < meter.least {
                    // Nodes that were not asked lately hold more together than the rate.
                    meter.tokens = meter.tokens.min(meter.burst as f64 * share);
                }
                meter.least = least;
                meter.share = share;
                meter.tokens = meter.tokens.min(meter.cap());
            }
        }
    }
}

/// The margin for a demand, falling from calm to full.
fn margin(demand: f64, rate: Rate) -> f64 {
    let load = demand / (rate.0 as f64).max(1.0);
    let fullness = ((load - CALM_DEMAND) / (FULL_DEMAND - CALM_DEMAND)).clamp(0.0, 1.0);
    CALM_MARGIN + (FULL_MARGIN - CALM_MARGIN) * fullness
}

/// The demand of all nodes, as the coordinator hears it.
#[derive(Debug, Default)]
pub struct Coordinator {
    heard: HashMap<IpAddr, (Instant, Demand)>,
    since: Option<Instant>,
}

impl Coordinator {
    /// Takes a node's demand and returns its shares, once all nodes had the time to tell theirs.
    pub fn update(&mut self, now: Instant, node: IpAddr, demand: Demand) -> Option<Shares> {
        self.heard.retain(|_, (at, _)| now - *at < SILENT_KEPT);
        if self.heard.is_empty() {
            self.since = Some(now);
        }
        self.heard.insert(node, (now, demand.clone()));
        let nodes = self.heard.len() as f64;
        let even = EVEN_PART / nodes;
        let mut shares =
            Shares { default_fraction: (REST_PART / nodes) as f32, ..Shares::default() };
        for (account, own) in demand.0 {
            let of = |(_, demand): &(Instant, Demand)| {
                f64::from(demand.0.get(&account).copied().unwrap_or(0.0))
            };
            let sum: f64 = self.heard.values().map(of).sum();
            let share = even + (1.0 - EVEN_PART) * f64::from(own) / sum.max(0.01);
            shares.by_account.insert(account, Share { fraction: share as f32, demand: sum as f32 });
        }
        self.since.is_some_and(|since| now - since >= WARM_UP).then_some(shares)
    }
}
