//! A node's state for operators.

use {
    super::Node,
    crate::{
        balance, id,
        mesh::{announcement::Pace, position::Position, resend, scarcity::PoolState, standing},
        time::Instant,
        unit::{RequestRate, Revision},
    },
    serde::Serialize,
    std::collections::BTreeMap,
};

/// A summary of the state of a node for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The name of the VM that the node runs on.
    pub vm: id::Vm,
    /// The revision of the routing table in force.
    pub table: Option<Revision>,
    /// The position up to which the facts are complete.
    pub position: Position,
    /// The position at which the last read found the store.
    pub store: Position,
    /// The time since the document was last known to be the newest one.
    pub confirmed_age_ms: Option<u64>,
    /// The number of targets.
    pub targets: usize,
    /// The evacuated data centres.
    pub evacuated: Vec<id::DataCentre>,
    /// The number of peers.
    pub peers: usize,
    /// The number of calls running on the local target.
    pub in_flight: usize,
    /// The number of calls queued for the local target.
    pub waiting: usize,
    /// The limit on requests per second that the local target names.
    pub target_limit: Option<f64>,
    /// The client requests refused since a pool below their route is scarce.
    pub entry_refusals: standing::Refusals,
    /// The pace that the local target names, in percent of the usual time.
    pub target_pace: Option<u32>,
    /// The number of calls that may run on the local target at the same time.
    pub concurrency_limit: usize,
    /// Whether the local target is cold.
    pub is_target_cold: bool,
    /// The number of calls that the bound on a cold target has held back.
    pub held_back_by_cold: u64,
    /// The state of load balancing by pool.
    pub pools: BTreeMap<id::Pool, balance::Dump>,
    /// The latest loads of the own pool and of pools under pressure.
    pub loads: BTreeMap<id::Pool, PoolState>,
    /// The decisions on resends by pool, of the pools in the table.
    pub resends: BTreeMap<id::Pool, resend::Counts>,
}

impl Node {
    /// Returns a summary of the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            vm: self.settings.vm.clone(),
            table: self.table.as_ref().map(|table| table.revision()),
            position: self.facts.position(),
            store: self.lag.latest(),
            confirmed_age_ms: self.lease.age(now).map(|age| age.as_millis() as u64),
            targets: self.fleet.iter().count(),
            evacuated: self.evacuations.iter().cloned().collect(),
            peers: self.peers.len(),
            in_flight: self.gate.in_flight(),
            waiting: self.gate.waiting(),
            target_limit: self.gate.limit().map(RequestRate::per_second),
            entry_refusals: self.entry_refusals,
            loads: self.pool_states(now),
            target_pace: self.gate.pace(now).map(Pace::percent),
            concurrency_limit: self.gate.concurrency_limit(),
            is_target_cold: self.gate.cold().is_cold(now),
            held_back_by_cold: self.gate.cold().held_back(),
            pools: self
                .pickers
                .iter()
                .map(|(pool, picker)| (pool.clone(), picker.dump(now)))
                .collect(),
            resends: self
                .resend_budgets
                .iter()
                .map(|(pool, budget)| (pool.clone(), budget.counts()))
                .collect(),
        }
    }
}
