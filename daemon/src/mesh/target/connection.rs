//! The connections to the node's own target, counted by why they were opened and how they ended.

use {
    super::stream::Exchange,
    prometheus::{IntCounterVec, Opts, Registry},
    std::{cell::Cell, rc::Rc},
    tokio::task::JoinHandle,
};

/// Why a connection was opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opening {
    /// The pool was empty.
    NoneIdle,
    /// There were idle connections, but none that could be used any more.
    Expired,
}

impl Opening {
    const ALL: [Self; 2] = [Self::NoneIdle, Self::Expired];

    const fn as_str(self) -> &'static str {
        match self {
            Self::NoneIdle => "none-idle",
            Self::Expired => "expired",
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The node gave up the exchange before its answer was complete.
    Cancelled,
    /// The connection was idle for too long, or is not used any more since the node is leaving.
    Expired,
    /// The target closed it, or announced that it would.
    Target,
    /// It failed during an exchange, or its answer was unusable.
    Broken,
}

impl Ending {
    const ALL: [Self; 4] = [Self::Cancelled, Self::Expired, Self::Target, Self::Broken];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Expired => "expired",
            Self::Target => "target",
            Self::Broken => "broken",
        }
    }
}

/// The metrics of the connections to the node's own target.
#[derive(Clone, Debug)]
pub struct Counters {
    opened: IntCounterVec,
    closed: IntCounterVec,
}

impl Counters {
    /// Registers the metrics with zero values for all causes.
    ///
    /// # Errors
    ///
    /// Fails if another metric has the same name.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), &["cause"])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let opened = counter(
            "monsoon_target_connections_opened_total",
            "Connections to the own target that were opened.",
        )?;
        let closed = counter(
            "monsoon_target_connections_closed_total",
            "Connections to the own target that ended.",
        )?;
        for opening in Opening::ALL {
            opened.with_label_values(&[opening.as_str()]);
        }
        for ending in Ending::ALL {
            closed.with_label_values(&[ending.as_str()]);
        }
        Ok(Self { opened, closed })
    }
}

/// The task that drives a connection. Dropping it closes the connection and counts its end.
pub struct Connection {
    /// What is known of the current exchange.
    pub exchange: Rc<Exchange>,
    task: JoinHandle<()>,
    ending: Cell<Ending>,
    counters: Counters,
}

impl Connection {
    /// Counts a connection that was opened. Unless [`Connection::set_ending`] says otherwise, it
    /// counts as cancelled when it is dropped.
    pub fn new(
        task: JoinHandle<()>,
        exchange: Rc<Exchange>,
        opening: Opening,
        counters: &Counters,
    ) -> Self {
        counters.opened.with_label_values(&[opening.as_str()]).inc();
        Self { exchange, task, ending: Cell::new(Ending::Cancelled), counters: counters.clone() }
    }

    /// Sets how the connection is counted when it is dropped.
    pub fn set_ending(&self, ending: Ending) {
        self.ending.set(ending);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.counters.closed.with_label_values(&[self.ending.get().as_str()]).inc();
    }
}
