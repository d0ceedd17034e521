//! The settings of a target and its switches for faults.

use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

/// How long a run takes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// The mean in microseconds.
    pub mean_us: u64,
    /// Whether times are drawn from an exponential distribution, or all equal the mean.
    #[serde(default)]
    pub exponential: bool,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { mean_us: 2_000, exponential: false }
    }
}

/// One nested call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// The method. A POST carries the body of the request that causes it.
    pub method: String,
    /// The path.
    pub path: String,
    /// How often the target itself sends the call again when it fails.
    #[serde(default)]
    pub retries: u8,
}

/// The nested calls that requests on a path cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Chain {
    /// The beginning of the path.
    pub path: String,
    /// The calls, made one after the other while the request holds its slot.
    pub calls: Vec<NestedCall>,
}

/// The switches for faults. The default has none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor by which every run takes longer.
    pub slow: f64,
    /// The time from the switch in which the target is cold, in milliseconds.
    pub cold_ms: u64,
    /// The factor by which runs take longer while the target is cold.
    pub cold_slow: f64,
    /// A request whose path begins with this ends the target at once.
    pub crash_on: Option<String>,
    /// The connection is closed after this number of bytes of an answer's body.
    pub cut_after: Option<usize>,
    /// Answers are sent in chunks, without their length.
    pub chunked: bool,
    /// The time between the end of a run and its answer, in milliseconds.
    pub delay_ms: u64,
    /// The number of requests in flight that the target claims to have.
    pub load: Option<u32>,
    /// The load report keeps the value of the time of the switch.
    pub load_frozen: bool,
    /// Every request is declared not run.
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
    /// Where the target listens.
    pub listen: SocketAddr,
    /// Where nested calls are sent: the egress listener of the target's own node.
    pub egress: Option<SocketAddr>,
    /// How many requests run at once.
    pub slots: u32,
    /// How many requests wait for a slot before the target sheds.
    pub queue: usize,
    /// How long a run takes.
    pub service: ServiceTime,
    /// The seed of the service times.
    pub seed: u64,
    /// How many bytes fill up each answer.
    pub answer_bytes: usize,
    /// The nested calls by path. The first match counts.
    pub chains: Vec<Chain>,
    /// Texts of keys that no request may carry to a target.
    pub keys: Vec<String>,
    /// How many runs are remembered. Older ones are only counted.
    pub max_runs: usize,
    /// The faults at the start.
    pub faults: Faults,
    /// Whether the target is alone in its process, so that a crash ends the process.
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
