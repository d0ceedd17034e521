//! Metrics in the Prometheus text format.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        cause::Cause,
        scarcity, target,
    },
    crate::clock,
    monsoon_lib::{
        call::Refusal,
        id,
        mesh::{
            resend::{Counts, Denied},
            standing,
        },
    },
    prometheus::{
        Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The bucket bounds of the latency histogram, in seconds: from one network hop to the longest
/// deadline.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0];

/// The decisions on resends by pool.
struct Resends {
    allowed: IntCounterVec,
    denied: IntCounterVec,
}

impl Resends {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let allowed = counter("monsoon_resends_total", "Resends to a pool.", &["pool"])?;
        let denied = counter(
            "monsoon_resends_denied_total",
            "Requests to a pool that were not resent, by the reason.",
            &["pool", "cause"],
        )?;
        Ok(Self { allowed, denied })
    }

    /// Replaces the values. Pools that are not in the tables any more have none.
    fn set(&self, pools: &BTreeMap<id::Pool, Counts>) {
        self.allowed.reset();
        self.denied.reset();
        for (pool, counts) in pools {
            self.allowed.with_label_values(&[pool.as_str()]).inc_by(counts.allowed);
            for cause in Denied::ALL {
                let labels = [pool.as_str(), cause.as_str()];
                self.denied.with_label_values(&labels).inc_by(counts.denied(cause));
            }
        }
    }
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    answered: Histogram,
    refused: IntCounterVec,
    unknown_outcomes: IntCounterVec,
    refused_by_standing: IntCounterVec,
    sent_to_target: IntCounter,
    in_flight: IntGauge,
    waiting: IntGauge,
    peers: IntGauge,
    evacuated: IntGauge,
    tables: IntGauge,
    facts_revision: IntGauge,
    store_revision: IntGauge,
    target_limit: Gauge,
    entry_refused: IntCounterVec,
    pool_loads: scarcity::Gauges,
    resends: Resends,
    connections: target::Counters,
    target_pace: IntGauge,
    concurrency_limit: IntGauge,
    target_cold: IntGauge,
    held_back: IntCounter,
    confirmed_age: IntGauge,
    stale: IntCounter,
    held_bytes: IntGauge,
    held_response_bytes: IntGauge,
}

impl Metrics {
    /// Registers all metrics with zero values.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let latency = HistogramOpts::new("monsoon_answer_seconds", "Time to a target's answer.");
        let answered = Histogram::with_opts(latency.buckets(LATENCY_BOUNDS.to_vec()))?;
        registry.register(Box::new(answered.clone()))?;
        let refused = Opts::new("monsoon_refused_total", "Requests without a target's answer.");
        let refused = IntCounterVec::new(refused, &["reason", "outcome"])?;
        registry.register(Box::new(refused.clone()))?;
        let unknown_outcomes = Opts::new(
            "monsoon_unknown_outcomes_total",
            "Requests refused although they may have run, by why nobody knows.",
        );
        let unknown_outcomes = IntCounterVec::new(unknown_outcomes, &["cause"])?;
        registry.register(Box::new(unknown_outcomes.clone()))?;
        for cause in Cause::ALL {
            unknown_outcomes.with_label_values(&[cause.as_str()]).inc_by(0);
        }
        let refused_by_standing = Opts::new(
            "monsoon_entry_refused_by_standing_total",
            "Requests refused for a pool below, by how their callers came to send them.",
        );
        let refused_by_standing = IntCounterVec::new(refused_by_standing, &["standing"])?;
        registry.register(Box::new(refused_by_standing.clone()))?;
        let sent_to_target =
            IntCounter::new("monsoon_sent_total", "Requests sent to the own target.")?;
        registry.register(Box::new(sent_to_target.clone()))?;
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let in_flight = gauge("monsoon_in_flight", "Calls that run on the own target.")?;
        let waiting = gauge("monsoon_waiting", "Calls that wait for the own target.")?;
        let peers = gauge("monsoon_peers", "Known peers.")?;
        let evacuated =
            gauge("monsoon_evacuated_data_centres", "Data centres that are evacuated.")?;
        let tables = gauge("monsoon_tables_revision", "Revision of the tables in force.")?;
        let facts_revision = gauge(
            "monsoon_facts_revision",
            "Revision of the store up to which no fact is missing.",
        )?;
        let store_revision =
            gauge("monsoon_store_revision", "Latest revision that a read found the store at.")?;
        let target_limit =
            Gauge::new("monsoon_target_limit", "Requests per second that the own target takes.")?;
        registry.register(Box::new(target_limit.clone()))?;
        let target_pace = gauge(
            "monsoon_target_pace_percent",
            "How long work takes on the own target's machine, in percent of the usual time.",
        )?;
        let concurrency_limit = gauge(
            "monsoon_concurrency_limit",
            "Calls that may run on the own target at the same time.",
        )?;
        let target_cold = gauge("monsoon_target_cold", "Whether the own target is cold.")?;
        let held_back = IntCounter::new(
            "monsoon_cold_held_back_total",
            "Calls that waited or were refused because the own target is cold.",
        )?;
        registry.register(Box::new(held_back.clone()))?;
        let confirmed_age = gauge(
            "monsoon_confirmed_age_ms",
            "Age of the last proof that the tables are current.",
        )?;
        let stale = IntCounter::new(
            "monsoon_stale_facts_total",
            "Times at which the last proof that the tables are current became too old.",
        )?;
        registry.register(Box::new(stale.clone()))?;
        let held_bytes = gauge("monsoon_held_body_bytes", "Bytes of request bodies in memory.")?;
        let held_response_bytes =
            gauge("monsoon_held_response_bytes", "Bytes of response bodies in memory.")?;
        let entry_refused =
            Opts::new("monsoon_entry_refused_total", "Requests refused for a pool below.");
        let entry_refused = IntCounterVec::new(entry_refused, &["pool"])?;
        registry.register(Box::new(entry_refused.clone()))?;
        let pool_loads = scarcity::Gauges::new(&registry)?;
        let resends = Resends::new(&registry)?;
        let connections = target::Counters::new(&registry)?;
        Ok(Self {
            registry,
            answered,
            refused,
            unknown_outcomes,
            refused_by_standing,
            sent_to_target,
            in_flight,
            waiting,
            peers,
            evacuated,
            tables,
            facts_revision,
            store_revision,
            target_limit,
            entry_refused,
            pool_loads,
            resends,
            connections,
            target_pace,
            concurrency_limit,
            target_cold,
            held_back,
            confirmed_age,
            stale,
            held_bytes,
            held_response_bytes,
        })
    }

    /// Records the latency of a target's response.
    pub fn answered(&self, latency: Duration) {
        self.answered.observe(latency.as_secs_f64());
    }

    /// Counts a request that is sent to the node's own target.
    pub fn sent_to_target(&self) {
        self.sent_to_target.inc();
    }

    /// Counts a last confirmation of the tables that has become too old.
    pub fn stale(&self) {
        self.stale.inc();
    }

    /// Returns the counters of the connections to the own target.
    pub fn connections(&self) -> &target::Counters {
        &self.connections
    }

    /// Counts a client's request that was refused because a pool below its route cannot carry it.
    pub fn refused_at_entry(&self, pool: &id::Pool) {
        self.entry_refused.with_label_values(&[pool.as_str()]).inc();
    }

    /// Counts a request that was refused although it may have run.
    pub fn unknown_outcome(&self, cause: Cause) {
        self.unknown_outcomes.with_label_values(&[cause.as_str()]).inc();
    }

    /// Counts a refusal by its reason and outcome.
    pub fn refused(&self, refusal: &Refusal) {
        let labels = [refusal.reason.as_str(), refusal.outcome.as_str()];
        self.refused.with_label_values(&labels).inc();
    }
}

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Returns all metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let metrics = &self.metrics;
        let dump = self.node.borrow().dump(clock::now());
        metrics.in_flight.set(dump.in_flight as i64);
        metrics.waiting.set(dump.waiting as i64);
        metrics.peers.set(dump.peers as i64);
        metrics.evacuated.set(dump.evacuated.len() as i64);
        metrics.tables.set(dump.table.map_or(0, |revision| revision.0 as i64));
        metrics.facts_revision.set(dump.position.revision.0 as i64);
        metrics.store_revision.set(dump.store.revision.0 as i64);
        metrics.target_limit.set(dump.target_limit.unwrap_or(-1.0));
        metrics.pool_loads.set(&dump.loads);
        metrics.resends.set(&dump.resends);
        metrics.target_pace.set(dump.target_pace.map_or(-1, i64::from));
        metrics.concurrency_limit.set(dump.concurrency_limit as i64);
        metrics.target_cold.set(i64::from(dump.is_target_cold));
        metrics.held_back.inc_by(dump.held_back_by_cold - metrics.held_back.get());
        metrics.confirmed_age.set(dump.confirmed_age_ms.map_or(-1, |age| age as i64));
        for kind in standing::Kind::ALL {
            let counter = metrics.refused_by_standing.with_label_values(&[kind.as_str()]);
            counter.inc_by(dump.entry_refusals.count(kind).saturating_sub(counter.get()));
        }
        metrics.held_bytes.set(self.buffer.held_bytes() as i64);
        let held = self.target.buffers().held_bytes() + self.peer_responses.held_bytes();
        metrics.held_response_bytes.set(held as i64);
        let mut text = String::new();
        if let Err(error) = TextEncoder::new().encode_utf8(&metrics.registry.gather(), &mut text) {
            log::warn!(error:% = error; "failed to encode metrics");
        }
        text
    }
}
