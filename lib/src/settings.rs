//! The settings of one process, as it reads them from its YAML file at start.
//!
//! Unknown fields are refused. Each field is described in docs/operate/settings.md.

use {
    crate::{config, id, member},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// The shortest shared secret that is accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Settings that a process can't start with.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not YAML of the expected form.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line, from 1, or 0 where it is not known.
        line: u64,
        /// What is wrong.
        message: String,
    },
    /// The shared secret is too short to prove anything.
    #[error("secret has {0} bytes; give at least {MIN_SECRET_BYTES}, the same on all nodes")]
    ShortSecret(usize),
    /// A setting of membership is not usable.
    #[error("node.member: {0}")]
    Member(#[from] member::Error),
    /// A setting of tables and keys is not usable.
    #[error("node.config: {0}")]
    Config(#[from] config::Error),
    /// A number is outside of its range.
    #[error("{field} is {found}; set it from {min} to {max}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// What stands there.
        found: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
}

/// A secret that all nodes of a fleet share. It is never shown.
#[derive(Clone, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret's bytes for a proof.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The addresses that a process listens on. Port 0 lets the system choose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers of the provider.
    pub callers: SocketAddr,
    /// For calls of the node's own target to deeper services.
    pub egress: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators on the VM itself.
    pub admin: SocketAddr,
}

/// How much a process logs, and in which form.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: Level,
    /// Whether each line is a JSON object.
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: Level::Info, json: false }
    }
}

/// A level of severity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is logged.
    Off,
    /// What an operator must act on.
    Error,
    /// What an operator should look at.
    Warn,
    /// Changes of state.
    Info,
    /// Single decisions.
    Debug,
}

/// Bounds on what one process holds for requests in flight.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The largest body of a request or an answer, in bytes.
    pub body_bytes: u64,
    /// The bodies of all requests in flight together, in bytes.
    pub buffer_bytes: u64,
    /// The most connections that callers may hold.
    pub connections: u64,
    /// How long an idle connection to the target is kept, in milliseconds.
    pub target_idle_ms: u64,
    /// How long a graceful exit waits for requests in flight, in milliseconds.
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

/// The settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM that the process runs on.
    pub vm: id::Vm,
    /// Where the VM is.
    pub data_centre: id::DataCentre,
    /// The addresses that the process listens on.
    pub listen: Listen,
    /// Where peers reach this process, when that is not `listen.peers`, as behind a translation of
    /// addresses.
    #[serde(default)]
    pub peers_address: Option<SocketAddr>,
    /// The address of the target on this VM.
    pub target: SocketAddr,
    /// The address of the platform's configuration service.
    pub platform: SocketAddr,
    /// The secret that all nodes of the fleet share.
    pub secret: Secret,
    /// Where metrics are sent by UDP, if anywhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The log.
    #[serde(default)]
    pub log: Log,
    /// Bounds on memory and waits.
    #[serde(default)]
    pub bounds: Bounds,
    /// Settings of the decisions.
    #[serde(default)]
    pub node: crate::node::Settings,
}

impl Settings {
    /// Reads settings from YAML.
    ///
    /// # Errors
    ///
    /// Fails where the text is not YAML, a field is unknown or missing, or a value is out of range.
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
        range("bounds.body_bytes", bounds.body_bytes, 1, MAX_BODY_BYTES)?;
        range("bounds.buffer_bytes", bounds.buffer_bytes, bounds.body_bytes, 1 << 30)?;
        range("bounds.connections", bounds.connections, 1, 100_000)?;
        range("bounds.target_idle_ms", bounds.target_idle_ms, 1, MAX_WAIT_MS)?;
        range("bounds.drain_ms", bounds.drain_ms, 1, MAX_WAIT_MS)?;
        self.node.member.check()?;
        self.node.config.check()?;
        Ok(())
    }
}

fn range(field: &'static str, found: u64, min: u64, max: u64) -> Result<(), Error> {
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(Error::OutOfRange { field, found, min, max })
}
