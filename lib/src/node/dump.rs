//! The state of a node for operators, and the reason for what it would decide.

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
    std::{collections::BTreeMap, time::Duration},
};

/// What the node did since it started.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests that came from callers and from the node's own target.
    pub arrived: u64,
    /// Calls that peers sent to the node's own target.
    pub offered: u64,
    /// Calls that ended with a target's answer.
    pub answered: u64,
    /// Calls that ended with a refusal, by reason.
    pub refused: BTreeMap<Reason, u64>,
}

/// What the node is at this moment, in numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gauges {
    /// Calls that are not over yet.
    pub calls: u64,
    /// Calls that the node's own target runs.
    pub in_flight: u64,
    /// Calls that it may run at once.
    pub limit: u64,
    /// Calls that wait for it.
    pub waiting: u64,
    /// Other VMs that can be reached.
    pub members: u64,
    /// The revision of the tables in force.
    pub revision: Revision,
    /// Whether keys are admitted.
    pub has_usable_keys: bool,
}

impl Counts {
    pub(super) fn refused(&mut self, reason: Reason) {
        *self.refused.entry(reason).or_default() += 1;
    }
}

/// The state of all modules of a node. It shows no key, no digest and no body.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The VM.
    pub vm: id::Vm,
    /// Where the VM is.
    pub data_centre: id::DataCentre,
    /// This life of the process.
    pub incarnation: id::Incarnation,
    /// Whether the node is leaving.
    pub is_draining: bool,
    /// The revision of the tables in force.
    pub revision: Revision,
    /// The calls in flight, with those that wait.
    pub calls: usize,
    /// What the node did since it started.
    pub counts: Counts,
    /// Admission in front of the node's own target.
    pub admission: admission::Dump,
    /// The targets of each pool, as this node would pick them.
    pub balance: BTreeMap<id::Pool, balance::Dump>,
    /// Tables and keys.
    pub config: config::Dump,
    /// Requests that crash targets.
    pub crash: crash::Dump,
    /// The fleet's members.
    pub member: member::Dump,
    /// Idempotency keys.
    pub once: once::Dump,
    /// The pressure on the pools.
    pub pressure: pressure::Dump,
    /// The shares, loans and homes of the accounts' rates.
    pub rate: rate::Dump,
    /// Further attempts, by pool.
    pub retry: Vec<retry::Dump>,
}

/// What a node would decide on a request, and why.
#[derive(Debug, Serialize)]
pub struct Explanation {
    /// The revision of the tables that the answer rests on.
    pub revision: Revision,
    /// The route that matches.
    pub route: Option<id::Route>,
    /// The pool that serves the route.
    pub pool: Option<id::Pool>,
    /// The class of the route.
    pub class: Option<Class>,
    /// The time that the request would get.
    pub deadline: Option<Duration>,
    /// The refusal that the request would meet at this node, or none where it would be sent on.
    pub refusal: Option<Refusal>,
    /// The reason in words.
    pub because: &'static str,
}

impl Node {
    /// Returns the state of all modules.
    pub fn dump(&self, now: Instant) -> Dump {
        let balance = self.pickers.iter().map(|(pool, picker)| (pool.clone(), picker.dump(now)));
        Dump {
            vm: self.me.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            is_draining: self.draining_since.is_some(),
            revision: self.revision(),
            calls: self.calls.len(),
            counts: self.counts.clone(),
            admission: self.gate.dump(now),
            balance: balance.collect(),
            config: self.store.dump(now),
            crash: self.suspects.dump(now),
            member: self.view.dump(now),
            once: self.once.dump(now),
            pressure: self.board.dump(now),
            rate: self.ledger.dump(now),
            retry: self.retries.dump(now),
        }
    }

    /// Returns what the node did since it started.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns what the node is at this moment, in numbers.
    pub fn gauges(&self, now: Instant) -> Gauges {
        Gauges {
            calls: self.calls.len() as u64,
            in_flight: self.gate.in_flight() as u64,
            limit: self.gate.pressure(now).limit.into(),
            waiting: self.gate.waiting() as u64,
            members: self.view.live().count() as u64,
            revision: self.revision(),
            has_usable_keys: self.store.keys_usable(now).is_ok(),
        }
    }

    fn revision(&self) -> Revision {
        self.tables.as_ref().map_or(Revision(0), |tables| tables.revision())
    }

    /// Says what the node would decide on a caller's request now, without deciding it.
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
        if self.is_closed() {
            return Err(refused(Reason::Leaving, "The node is leaving."));
        }
        if route.access == Access::Keyed {
            let named = account.ok_or(refused(Reason::Key, "The route needs a key."))?;
            if !tables.accounts().contains_key(named) {
                return Err(refused(Reason::Key, "The account is not in the tables."));
            }
            if self.store.keys_usable(now).is_err() {
                let because = "The node's keys are too old to be trusted.";
                return Err(refused(Reason::NoTables, because));
            }
            if self.ledger.limit(named).is_none_or(|limit| limit.remaining == 0) {
                let because = "This node holds no token of the account and would ask another node.";
                return Err(refused(Reason::Rate, because));
            }
        }
        Ok(())
    }
}
