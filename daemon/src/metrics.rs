//! Metrics by UDP, in the statsd form. docs/operate/metrics.md tells what each means.

use {
    cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricError, StatsdClient},
    monsoon_lib::{
        id::Vm,
        node::{Counts, Gauges},
    },
    std::net::{SocketAddr, UdpSocket},
};

/// The start of every metric's name.
const PREFIX: &str = "monsoon";

/// Why metrics can't be sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No socket can be had.
    #[error("no socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The sink can't be made.
    #[error("no sink for metrics: {0}")]
    Sink(#[from] MetricError),
}

/// Sends what changed since the last time.
pub struct Metrics {
    client: StatsdClient,
    last: Counts,
}

impl Metrics {
    /// Makes a sender. Each metric is tagged with the VM.
    ///
    /// # Errors
    ///
    /// Fails where no socket can be had.
    pub fn new(address: SocketAddr, vm: &Vm) -> Result<Self, Error> {
        let any: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0_u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let client = StatsdClient::builder(PREFIX, sink).with_tag("vm", vm.as_str()).build();
        Ok(Self { client, last: Counts::default() })
    }

    /// Sends the counts since the last call, and the gauges of the moment.
    pub fn send(&mut self, counts: &Counts, gauges: &Gauges) {
        self.count("requests.arrived", counts.arrived - self.last.arrived);
        self.count("calls.offered", counts.offered - self.last.offered);
        self.count("calls.answered", counts.answered - self.last.answered);
        for (reason, count) in &counts.refused {
            let before = self.last.refused.get(reason).copied().unwrap_or(0);
            self.count(&format!("refused.{reason}"), count - before);
        }
        self.last = counts.clone();
        self.gauge("calls.open", gauges.calls);
        self.gauge("target.in_flight", gauges.in_flight);
        self.gauge("target.limit", gauges.limit);
        self.gauge("target.waiting", gauges.waiting);
        self.gauge("members.reachable", gauges.members);
        self.gauge("tables.revision", gauges.revision.0);
        self.gauge("keys.usable", u64::from(gauges.has_usable_keys));
        let _ = self.client.flush();
    }

    // A lost metric is not worth a log line a second, so errors of single sends are dropped.
    fn count(&self, name: &str, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        if count > 0 {
            let _ = self.client.count(name, count);
        }
    }

    fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
