//! The settings of a process, read from a YAML file at startup.
//!
//! Unknown fields are rejected. Each field is described in docs/operate/settings.md.

use {
    crate::{config, id, member},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// The minimum length of the shared secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Invalid settings.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not valid YAML, or a field is missing, unknown or of the wrong type.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line number, from 1, or 0 if unknown.
        line: u64,
        /// The parser's message.
        message: String,
    },
    /// The shared secret is too short to be secure.
    #[error("secret has {0} bytes; give at least {MIN_SECRET_BYTES}, the same on all nodes")]
    ShortSecret(usize),
    /// A membership setting is invalid.
    #[error("node.member: {0}")]
    Member(#[from] member::Error),
    /// A setting for tables and keys is invalid.
    #[error("node.config: {0}")]
    Config(#[from] config::Error),
    /// A number is out of range.
    #[error("{field} is {found}; set it from {min} to {max}")]
    OutOfRange {
        /// The path of the field.
        field: &'static str,
        /// The value found.
        found: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
}

/// The secret that all nodes of a fleet share. Its `Debug` output hides the content.
#[derive(Clone, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the bytes, for authentication of links between nodes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The listen addresses of a process. With port 0, the operating system chooses a port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For external callers.
    pub callers: SocketAddr,
    /// For nested calls from the node's own target.
    pub egress: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators on the same VM.
    pub admin: SocketAddr,
}

/// Log level and format.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The minimum severity to log.
    pub level: Level,
    /// Whether to write each log line as a JSON object.
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: Level::Info, json: false }
    }
}

/// A log level.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is logged.
    Off,
    /// Failures that need action by an operator.
    Error,
    /// Conditions that an operator should look into.
    Warn,
    /// State changes.
    Info,
    /// Individual decisions.
    Debug,
}

/// Limits on memory, connections and waits of one process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The maximum size of the body of a request or an answer, in bytes.
    pub body_bytes: u64,
    /// The maximum total size of the bodies of all requests in flight, in bytes.
    pub buffer_bytes: u64,
    /// The maximum number of connections from callers.
    pub connections: u64,
    /// How long an idle connection to the target is kept open, in milliseconds.
    pub target_idle_ms: u64,
    /// How long a graceful shutdown waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            buffer_bytes: 64 << 20,
            connections: 4_000,
            target_idle_ms: 2_000,
            drain_ms: 30_000,
        }
    }
}

/// The settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM that the process runs on.
    pub vm: id::Vm,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The listen addresses.
    pub listen: Listen,
    /// The address that peers connect to, if it differs from `listen.peers`, for example behind
    /// NAT.
    #[serde(default)]
    pub peers_address: Option<SocketAddr>,
    /// The address of the target on this VM.
    pub target: SocketAddr,
    /// The address of the platform's configuration service.
    pub platform: SocketAddr,
    /// The secret that all nodes of the fleet share.
    pub secret: Secret,
    /// The UDP address to which metrics are sent, if any.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Limits on memory, connections and waits.
    #[serde(default)]
    pub bounds: Bounds,
    /// Settings of the node's state machine.
    #[serde(default)]
    pub node: crate::node::Settings,
}

impl Settings {
    /// Parses settings from YAML and validates them.
    ///
    /// # Errors
    ///
    /// Fails if the text is not YAML, a field is unknown or missing, or a value is out of range.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| {
            let line = error.location().map_or(0, |location| location.line());
            let message = error.to_string();
            let message = message.lines().next().unwrap_or("not valid YAML").to_owned();
            Error::Syntax { line, message }
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        const MAX_BODY_BYTES: u64 = 16 << 20;
        const MAX_WAIT_MS: u64 = 600_000;
        let length = self.secret.as_bytes().len();
        if length < MIN_SECRET_BYTES {
            return Err(Error::ShortSecret(length));
        }
        let bounds = &self.bounds;
        check_range("bounds.body_bytes", bounds.body_bytes, 1, MAX_BODY_BYTES)?;
        check_range("bounds.buffer_bytes", bounds.buffer_bytes, bounds.body_bytes, 1 << 30)?;
        check_range("bounds.connections", bounds.connections, 1, 100_000)?;
        check_range("bounds.target_idle_ms", bounds.target_idle_ms, 1, MAX_WAIT_MS)?;
        check_range("bounds.drain_ms", bounds.drain_ms, 1, MAX_WAIT_MS)?;
        self.node.member.check()?;
        self.node.config.check()?;
        Ok(())
    }
}

fn check_range(field: &'static str, found: u64, min: u64, max: u64) -> Result<(), Error> {
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(Error::OutOfRange { field, found, min, max })
}
