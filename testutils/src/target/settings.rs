//! The settings of a target and the faults that it injects.

use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

/// The distribution of the time that a run takes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// The mean, in microseconds.
    pub mean_us: u64,
    /// Whether times are exponentially distributed rather than all equal to the mean.
    #[serde(default)]
    pub exponential: bool,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { mean_us: 2_000, exponential: false }
    }
}

/// A nested call, which a target makes while it runs a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// The HTTP method. A POST carries the body of the request that causes it.
    pub method: String,
    /// The path of the nested request.
    pub path: String,
    /// How often the target retries the call when it fails.
    #[serde(default)]
    pub retries: u8,
}

/// The nested calls that requests with a path prefix cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Chain {
    /// The path prefix.
    pub path: String,
    /// The calls, which are made one after the other while the request holds its slot.
    pub calls: Vec<NestedCall>,
}

/// The faults of a target. By default it has none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor on the service time of every run.
    pub slow: f64,
    /// How long the target is cold after these faults are set, in milliseconds.
    pub cold_ms: u64,
    /// The additional factor on the service time while the target is cold.
    pub cold_slow: f64,
    /// The path prefix of requests that crash the target.
    pub crash_on: Option<String>,
    /// The number of body bytes of an answer after which the connection is closed.
    pub cut_after: Option<usize>,
    /// Whether answers use the chunked encoding, without their length.
    pub chunked: bool,
    /// The delay between the end of a run and its answer, in milliseconds.
    pub delay_ms: u64,
    /// A number of requests in flight to report instead of the true one.
    pub load: Option<u32>,
    /// Whether the reported load stays as it is when these faults are set.
    pub load_frozen: bool,
    /// Whether every request is refused and declared not run.
    pub drain: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            cold_ms: 0,
            cold_slow: 10.0,
            crash_on: None,
            cut_after: None,
            chunked: false,
            delay_ms: 0,
            load: None,
            load_frozen: false,
            drain: false,
        }
    }
}

/// The settings of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address for nested calls, which is the egress listener of the target's own node.
    pub egress: Option<SocketAddr>,
    /// How many requests can run at the same time.
    pub slots: u32,
    /// How many requests can wait for a slot before the target sheds load.
    pub queue: usize,
    /// The service time.
    pub service: ServiceTime,
    /// The seed of the service times.
    pub seed: u64,
    /// The length of the padding of each answer.
    pub answer_bytes: usize,
    /// The nested calls by path prefix. The first match applies.
    pub chains: Vec<Chain>,
    /// Keys that must not reach a target. Runs record whether they did.
    pub keys: Vec<String>,
    /// How many runs are retained. Older ones are only counted.
    pub max_runs: usize,
    /// The initial faults.
    pub faults: Faults,
    /// Whether the target has a process of its own, which a crash aborts.
    #[serde(skip)]
    pub is_process: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            egress: None,
            slots: 16,
            queue: 32,
            service: ServiceTime::default(),
            seed: 1,
            answer_bytes: 64,
            chains: Vec::new(),
            keys: Vec::new(),
            max_runs: 100_000,
            faults: Faults::default(),
            is_process: false,
        }
    }
}
