//! State dumps for operators, and explanations of routing decisions.

use {
    super::Node,
    crate::{
        admission, balance,
        call::{Reason, Refusal},
        config, crash, id, member, once, pressure, rate, retry,
        table::{Access, Class, Path},
        time::Instant,
        unit::Revision,
    },
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests received from callers and from the node's own target.
    pub arrived: u64,
    /// Calls received from peers for the node's own target.
    pub offered: u64,
    /// Calls that ended with a target's answer.
    pub answered: u64,
    /// Calls that ended with a refusal, by reason.
    pub refused: BTreeMap<Reason, u64>,
}

/// Current values for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gauges {
    /// Open calls.
    pub calls: u64,
    /// Calls running on the node's own target.
    pub in_flight: u64,
    /// The concurrency limit of the node's own target.
    pub limit: u64,
    /// Calls queued for the node's own target.
    pub waiting: u64,
    /// Other VMs that are reachable.
    pub members: u64,
    /// The revision of the tables in force.
    pub revision: Revision,
    /// Whether the node's keys are recent enough to be accepted.
    pub has_usable_keys: bool,
}

impl Counts {
    pub(super) fn refused(&mut self, reason: Reason) {
        *self.refused.entry(reason).or_default() += 1;
    }
}

/// The state of all modules of a node. It contains no keys, key digests or bodies.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The VM.
    pub vm: id::Vm,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The incarnation of the process.
    pub incarnation: id::Incarnation,
    /// Whether the node is leaving.
    pub is_draining: bool,
    /// The revision of the tables in force.
    pub revision: Revision,
    /// The number of open calls, including queued ones.
    pub calls: usize,
    /// Counters since the start of the process.
    pub counts: Counts,
    /// Admission in front of the node's own target.
    pub admission: admission::Dump,
    /// Load balancing state of each pool's targets.
    pub balance: BTreeMap<id::Pool, balance::Dump>,
    /// Tables and keys.
    pub config: config::Dump,
    /// Crash tracking.
    pub crash: crash::Dump,
    /// Membership of the fleet.
    pub member: member::Dump,
    /// Idempotency keys.
    pub once: once::Dump,
    /// Backpressure from the pools.
    pub pressure: pressure::Dump,
    /// Rate limits of the accounts: shares, loans and home VMs.
    pub rate: rate::Dump,
    /// Retries, by pool.
    pub retry: Vec<retry::Dump>,
}

/// The decision that a node would make on a request, and the reason.
#[derive(Debug, Serialize)]
pub struct Explanation {
    /// The revision of the tables used.
    pub revision: Revision,
    /// The route that matches.
    pub route: Option<id::Route>,
    /// The pool that serves the route.
    pub pool: Option<id::Pool>,
    /// The class of the route.
    pub class: Option<Class>,
    /// The timeout of the route.
    pub deadline: Option<Duration>,
    /// The evacuated data centres, whose targets would not get the request.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated: BTreeSet<id::DataCentre>,
    /// The refusal that this node would return, or none if it would send the request to a target.
    pub refusal: Option<Refusal>,
    /// The reason as text.
    pub because: &'static str,
}

impl Node {
    /// Returns the state of all modules.
    pub fn dump(&self, now: Instant) -> Dump {
        let balance = self.pickers.iter().map(|(pool, picker)| (pool.clone(), picker.dump(now)));
        Dump {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            is_draining: self.draining_since.is_some(),
            revision: self.revision(),
            calls: self.calls.len(),
            counts: self.counts.clone(),
            admission: self.admission.dump(now),
            balance: balance.collect(),
            config: self.config.dump(now),
            crash: self.crash_tracker.dump(now),
            member: self.members.dump(now),
            once: self.deduplicator.dump(now),
            pressure: self.pressure.dump(now),
            rate: self.limiter.dump(now),
            retry: self.retry_policy.dump(now),
        }
    }

    /// Returns the counters since the start of the process.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the current values for metrics.
    pub fn gauges(&self, now: Instant) -> Gauges {
        Gauges {
            calls: self.calls.len() as u64,
            in_flight: self.admission.in_flight() as u64,
            limit: self.admission.pressure(now).limit.into(),
            waiting: self.admission.waiting() as u64,
            members: self.members.live().count() as u64,
            revision: self.revision(),
            has_usable_keys: self.config.keys_usable(now).is_ok(),
        }
    }

    fn revision(&self) -> Revision {
        self.tables.as_ref().map_or(Revision(0), |tables| tables.revision())
    }

    /// Returns the decision that the node would make on a caller's request, without side effects.
    pub fn explain(
        &self,
        now: Instant,
        method: &str,
        path: &str,
        account: Option<&id::Account>,
    ) -> Explanation {
        let mut explanation = Explanation {
            revision: self.revision(),
            route: None,
            pool: None,
            class: None,
            deadline: None,
            evacuated: BTreeSet::new(),
            refusal: None,
            because: "The request would be sent to a target of the pool.",
        };
        if let Err((refusal, because)) =
            self.explain_into(&mut explanation, now, method, path, account)
        {
            explanation.refusal = Some(refusal);
            explanation.because = because;
        }
        explanation
    }

    fn explain_into(
        &self,
        explanation: &mut Explanation,
        now: Instant,
        method: &str,
        path: &str,
        account: Option<&id::Account>,
    ) -> Result<(), (Refusal, &'static str)> {
        let refused = |reason, because| (Refusal::not_run(reason), because);
        let tables = self
            .tables
            .as_ref()
            .ok_or(refused(Reason::NoTables, "The node has accepted no tables yet."))?;
        let path: Path = path
            .parse()
            .map_err(|_| refused(Reason::Malformed, "The path is not in normal form."))?;
        let route = tables
            .route(method, &path)
            .ok_or(refused(Reason::NoRoute, "No route matches the method and path."))?;
        explanation.route = Some(route.name.clone());
        explanation.pool = Some(route.pool.clone());
        explanation.class = Some(route.class);
        explanation.deadline = Some(route.deadline);
        explanation.evacuated = tables.evacuated().clone();
        if self.is_closed() {
            return Err(refused(Reason::Leaving, "The node is leaving."));
        }
        if route.access == Access::Keyed {
            let named = account.ok_or(refused(Reason::Key, "The route needs a key."))?;
            if !tables.accounts().contains_key(named) {
                return Err(refused(Reason::Key, "The account is not in the tables."));
            }
            if self.config.keys_usable(now).is_err() {
                let because = "The node's keys are too old to be trusted.";
                return Err(refused(Reason::NoTables, because));
            }
            if self.limiter.limit(named).is_none_or(|limit| limit.remaining == 0) {
                let because = "This node holds no token of the account and would ask another node.";
                return Err(refused(Reason::Rate, because));
            }
        }
        let pool = tables.pools().get(&route.pool);
        if pool.is_some_and(|pool| pool.targets_outside(tables.evacuated()).next().is_none()) {
            let because = "All data centres with targets of the pool are evacuated.";
            return Err(refused(Reason::NoTarget, because));
        }
        Ok(())
    }
}
