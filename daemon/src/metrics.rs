//! Metrics over UDP in the statsd format. docs/operate/metrics.md describes each metric.

use {
    cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricError, StatsdClient},
    monsoon_lib::{
        id::Vm,
        node::{Counts, Gauges},
    },
    std::net::{SocketAddr, UdpSocket},
};

/// The prefix of all metric names.
const PREFIX: &str = "monsoon";

/// An error that prevents metrics from being sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP socket can't be created.
    #[error("can't create a socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The statsd sink can't be created.
    #[error("can't create a sink for metrics: {0}")]
    Sink(#[from] MetricError),
}

/// Sends counters as differences from the previous report, and gauges as they are.
pub struct Metrics {
    client: StatsdClient,
    last_counts: Counts,
}

impl Metrics {
    /// Creates a sender that tags each metric with the VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket or the sink can't be created.
    pub fn new(address: SocketAddr, vm: &Vm) -> Result<Self, Error> {
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0_u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let client = StatsdClient::builder(PREFIX, sink).with_tag("vm", vm.as_str()).build();
        Ok(Self { client, last_counts: Counts::default() })
    }

    /// Sends the increase of each counter since the previous call, and the current gauges.
    pub fn send(&mut self, counts: &Counts, gauges: &Gauges) {
        self.count("requests.arrived", counts.arrived - self.last_counts.arrived);
        self.count("calls.offered", counts.offered - self.last_counts.offered);
        self.count("calls.answered", counts.answered - self.last_counts.answered);
        for (reason, count) in &counts.refused {
            let previous = self.last_counts.refused.get(reason).copied().unwrap_or(0);
            self.count(&format!("refused.{reason}"), count - previous);
        }
        self.last_counts = counts.clone();
        self.gauge("calls.open", gauges.calls);
        self.gauge("target.in_flight", gauges.in_flight);
        self.gauge("target.limit", gauges.limit);
        self.gauge("target.waiting", gauges.waiting);
        self.gauge("members.reachable", gauges.members);
        self.gauge("tables.revision", gauges.revision.0);
        self.gauge("keys.usable", u64::from(gauges.has_usable_keys));
        let _ = self.client.flush();
    }

    // Errors of single sends are ignored: a lost metric is not worth a log line every second.
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
