//! The split of the sold rates over the nodes by their reported demand, on the coordinator.
//!
//! The fraction of a rate that a node uses is taken from what other nodes gave up, so that two
//! coordinators on the two sides of a partition together hand out what one did before. A member that
//! falls silent goes on using its fractions, so they stay with it.

use {
    super::{Demand, Report, Share, Shares},
    crate::{id, time::Instant},
    std::{
        collections::{BTreeMap, HashMap},
        net::IpAddr,
        time::Duration,
    },
};

/// How long the fractions of a silent member stay with it. It may be partitioned and go on using
/// them. They return sooner if it restarts or announces that it leaves.
const SILENT_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// The time without a report after which a member counts as silent. All members report three times in
/// it.
const PRESENT: Duration = Duration::from_millis(1_600);
/// The time without any report after which a coordinator forgets its members: meanwhile the nodes had
/// another one, so what it knows of their fractions is outdated.
const INTERRUPTION: Duration = Duration::from_millis(1_600);
/// How long a new coordinator collects reports before it answers. All nodes report twice in this time.
const WARM_UP: Duration = Duration::from_millis(1_200);
/// The fraction of a rate that is split evenly, so that a node without demand can admit its first
/// requests.
const EVEN_FRACTION: f64 = 0.2;
/// The fraction of a rate that is split evenly for accounts without demand at a node. It is larger
/// than [`EVEN_FRACTION`], since most such accounts have no demand at other nodes either.
const IDLE_FRACTION: f64 = 0.5;
/// The sum of the fractions of all nodes while a rise of one node's demand is not followed yet by the
/// fall of others'. The platform tolerates an excess of a quarter in five seconds.
const MAX_TOTAL: f64 = 1.1;
/// The smallest sum of fractions to which a demand is related.
const MIN_TOTAL: f64 = 0.01;

/// A node that reports to this coordinator.
#[derive(Debug)]
struct Member {
    heard_at: Instant,
    demand: Demand,
    /// The fractions that the node uses of accounts with demand.
    held: BTreeMap<id::Account, f64>,
}

impl Member {
    fn is_present(&self, now: Instant) -> bool {
        now - self.heard_at < PRESENT
    }

    fn demand_of(&self, account: &id::Account) -> f64 {
        f64::from(self.demand.0.get(account).copied().unwrap_or(0.0))
    }
}

/// The sums over the members with demand for an account.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    members: usize,
    demand: f64,
    held: f64,
    /// The fraction that members gave up and that no other has got yet.
    free: f64,
}

/// Splits the rates over the nodes by their reported demand, on the coordinator.
#[derive(Debug, Default)]
pub struct Coordinator {
    members: HashMap<IpAddr, Member>,
    totals: HashMap<id::Account, Totals>,
    since: Option<Instant>,
    updated_at: Option<Instant>,
}

impl Coordinator {
    /// Records the report of a node and returns its shares, or nothing during the warm-up.
    ///
    /// `node_count` is the number of nodes that the coordinator knows of. Those that have not
    /// reported may use fractions that it does not know, so it hands out no more than its members
    /// bring with them.
    pub fn update(
        &mut self,
        now: Instant,
        node: IpAddr,
        report: impl Into<Report>,
        node_count: usize,
    ) -> Option<Shares> {
        if self.updated_at.replace(now).is_none_or(|at| now - at >= INTERRUPTION) {
            self.members.clear();
            self.totals.clear();
            self.since = Some(now);
        }
        self.expire(now);
        let nodes = (self.members.len() + usize::from(!self.members.contains_key(&node)))
            .max(node_count) as f64;
        let report = report.into();
        let accounts: Vec<id::Account> = report.demand.0.keys().cloned().collect();
        self.record(now, node, report, nodes);
        if self.since.is_none_or(|since| now - since < WARM_UP) {
            return None;
        }
        let is_complete = self.members.len() >= node_count;
        let silent = self.members.iter().filter(|(_, member)| !member.is_present(now));
        let silent: Vec<IpAddr> = silent.map(|(host, _)| *host).collect();
        let mut shares =
            Shares { default_fraction: (IDLE_FRACTION / nodes) as f32, ..Shares::default() };
        for account in accounts {
            let share = self.share(node, &account, nodes, is_complete, &silent)?;
            shares.by_account.insert(account, share);
        }
        Some(shares)
    }

    /// Takes back the fractions of a node that has stopped.
    pub fn release(&mut self, node: IpAddr) {
        let Some(member) = self.remove(node) else { return };
        for (account, held) in member.held {
            if let Some(totals) = self.totals.get_mut(&account) {
                totals.free += held;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_expired = |member: &Member| now - member.heard_at >= SILENT_MEMBER_RETENTION;
        let expired = self.members.iter().filter(|(_, member)| is_expired(member));
        let expired: Vec<IpAddr> = expired.map(|(host, _)| *host).collect();
        expired.into_iter().for_each(|host| self.release(host));
    }

    fn insert(&mut self, node: IpAddr, member: Member) {
        for (account, held) in &member.held {
            let totals = self.totals.entry(account.clone()).or_default();
            totals.members += 1;
            totals.demand += member.demand_of(account);
            totals.held += held;
        }
        self.members.insert(node, member);
    }

    fn remove(&mut self, node: IpAddr) -> Option<Member> {
        let member = self.members.remove(&node)?;
        for (account, held) in &member.held {
            if let Some(totals) = self.totals.get_mut(account) {
                totals.members -= 1;
                totals.demand -= member.demand_of(account);
                totals.held -= held;
            }
        }
        Some(member)
    }

    /// Records what a node reports. What it was thought to use and does not is free.
    fn record(&mut self, now: Instant, node: IpAddr, report: Report, nodes: f64) {
        let Report { demand, held } = report;
        let idle = IDLE_FRACTION / nodes;
        let previous = self.remove(node).map(|member| member.held);
        // Nodes of earlier versions do not say what they use.
        let assumed = |account: &id::Account| match &previous {
            Some(previous) => previous.get(account).copied().unwrap_or(idle),
            None => 1.0 / nodes,
        };
        let accounts = demand.0.keys().cloned();
        let held: BTreeMap<id::Account, f64> = match held {
            Some(held) => accounts.zip(held.0.into_iter().map(f64::from)).collect(),
            None => accounts.map(|account| (account.clone(), assumed(&account))).collect(),
        };
        let used =
            |held: &BTreeMap<id::Account, f64>, account| held.get(account).copied().unwrap_or(idle);
        if let Some(previous) = &previous {
            let new = held.keys().filter(|account| !previous.contains_key(*account));
            for account in previous.keys().chain(new) {
                let totals = self.totals.entry(account.clone()).or_default();
                totals.free += used(previous, account) - used(&held, account);
            }
        }
        self.insert(node, Member { heard_at: now, demand, held });
        self.totals.retain(|_, totals| totals.members > 0);
    }

    /// Returns a node's share of the rate of one account, and records that the node uses it.
    fn share(
        &mut self,
        node: IpAddr,
        account: &id::Account,
        nodes: f64,
        is_complete: bool,
        silent: &[IpAddr],
    ) -> Option<Share> {
        let even = EVEN_FRACTION / nodes;
        let totals = self.totals.get_mut(account)?;
        let idle_members = self.members.len() - totals.members;
        let total = totals.held + even * idle_members as f64;
        if is_complete {
            // No other node uses any fraction.
            totals.free = MAX_TOTAL - total;
        }
        let (mut present, mut held, mut demand) = (self.members.len(), total, totals.demand);
        for member in silent.iter().filter_map(|host| self.members.get(host)) {
            present -= 1;
            held -= member.held.get(account).copied().unwrap_or(even);
            demand -= member.demand_of(account);
        }
        // The part of the rate that the present members share.
        let part = (held + totals.free.max(0.0)).clamp(MIN_TOTAL, 1.0);
        let member = self.members.get_mut(&node)?;
        let by_demand = (part - even * present as f64).max(0.0);
        let target = even + by_demand * member.demand_of(account) / demand.max(0.01);
        let used = member.held.get_mut(account)?;
        let fraction = target.min(*used + totals.free).max(even.min(*used));
        totals.free -= fraction - *used;
        totals.held += fraction - *used;
        *used = fraction;
        // Related to the whole rate, so that the members on each side of a partition find whether
        // their demand exceeds their part.
        Some(Share { fraction: fraction as f32, demand: (demand / part) as f32 })
    }
}
