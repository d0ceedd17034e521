//! The connections to the node's own target, counted by why they were opened and how they ended.

use {
    super::stream::Exchange,
    prometheus::{IntCounterVec, Opts, Registry},
    std::{
        cell::{Cell, RefCell},
        hash::{DefaultHasher, Hash as _, Hasher as _},
        rc::Rc,
    },
    tokio::{task::JoinHandle, time::Instant},
};

/// How many declined requests are remembered for a connection. It is closed when there are more.
const MAX_DECLINED_REQUESTS: usize = 256;

/// Why a connection was opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opening {
    /// The pool was empty.
    NoneIdle,
    /// There were idle connections, but none that could be used any more.
    Expired,
    /// The target had declined the same request on each idle connection.
    Declined,
}

impl Opening {
    const ALL: [Self; 3] = [Self::NoneIdle, Self::Expired, Self::Declined];

    const fn as_str(self) -> &'static str {
        match self {
            Self::NoneIdle => "none-idle",
            Self::Expired => "expired",
            Self::Declined => "declined",
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
    declined: RefCell<Vec<Decline>>,
    ending: Cell<Ending>,
    counters: Counters,
}

/// A request that the target declined on a connection.
struct Decline {
    /// The hash of the request id. If two are equal, a connection is left out without need.
    id_hash: u64,
    /// Until when the request may be sent again.
    deadline: Instant,
}

fn hash_id(request: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    hasher.finish()
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
        Self {
            exchange,
            task,
            declined: RefCell::default(),
            ending: Cell::new(Ending::Cancelled),
            counters: counters.clone(),
        }
    }

    /// Records that the target declined a request, which may be sent again until `deadline`. Returns
    /// whether the connection may be reused.
    pub fn record_decline(&self, request: &str, deadline: Instant) -> bool {
        let now = Instant::now();
        let mut declined = self.declined.borrow_mut();
        declined.retain(|earlier| earlier.deadline > now);
        declined.push(Decline { id_hash: hash_id(request), deadline });
        declined.len() <= MAX_DECLINED_REQUESTS
    }

    /// Returns whether the target declined the request on this connection. If it sends that response
    /// once more, it has the id that the response to the next attempt has, so the request must not
    /// be sent on this connection again. See docs/design/outcome.md.
    pub fn has_declined(&self, request: &str) -> bool {
        let declined = self.declined.borrow();
        let id_hash = hash_id(request);
        declined.iter().any(|earlier| earlier.id_hash == id_hash)
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
