//! The state machine of one node, which makes all routing decisions of one VM.
//!
//! A driver passes events with its clock reading and executes the returned actions in order. The
//! node holds no bodies, opens no connections and reads no clock, so the same code runs over
//! sockets, in benchmarks and in tests. See docs/design/overview.md.

mod arrive;
mod call;
mod control;
mod dispatch;
mod dump;
mod event;
mod keyed;
mod serve;
mod settings;

pub use {
    control::Message,
    dump::{Counts, Dump, Explanation, Gauges},
    event::{Action, Event, ForwardResult, Head, Listener, RunResult, Trailer},
    settings::Settings,
};

use {
    crate::{
        admission, balance, config, context, crash, id, member, once, pressure, rate, retry,
        settings::Settings as ProcessSettings, table, time::Instant,
    },
    call::Call,
    rand::{Rng as _, RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha20Rng,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// The number of slots assumed for the target until the node has tables.
const DEFAULT_SLOTS: u32 = 8;

/// The state machine of one node.
pub struct Node {
    settings: Settings,
    vm: id::Vm,
    data_centre: id::DataCentre,
    incarnation: id::Incarnation,
    rng: ChaCha20Rng,
    now: Instant,
    members: member::View,
    config: config::Store,
    tables: Option<Arc<table::Set>>,
    limiter: rate::Limiter,
    admission: admission::Controller,
    pressure: pressure::Tracker,
    pickers: BTreeMap<id::Pool, balance::Picker>,
    retry_policy: retry::Policy,
    contexts: context::Registry<()>,
    crash_tracker: crash::CrashTracker,
    awaiting_probe: Vec<id::Call>,
    deduplicator: once::Deduplicator,
    calls: HashMap<id::Call, Call>,
    rate_tickets: HashMap<rate::Ticket, id::Call>,
    timers: BTreeSet<(Instant, id::Call)>,
    next_control_at: Instant,
    outbox: BTreeMap<id::Vm, Vec<Message>>,
    actions: Vec<Action>,
    draining_since: Option<Instant>,
    counts: dump::Counts,
}

impl Node {
    /// Creates a node without tables or known members.
    ///
    /// `peers` is the address on which it listens for other nodes. `seed` must come from the
    /// operating system's random number generator, since call contexts must not be guessable.
    pub fn new(
        now: Instant,
        settings: &ProcessSettings,
        peers: SocketAddr,
        incarnation: id::Incarnation,
        seed: [u8; context::SEED_BYTES],
    ) -> Self {
        let mut rng = ChaCha20Rng::from_seed(seed);
        let mut context_seed = [0; context::SEED_BYTES];
        rng.fill_bytes(&mut context_seed);
        let node = settings.node.clone();
        let vm = settings.vm.clone();
        let data_centre = settings.data_centre.clone();
        Self {
            members: member::View::new(
                node.member.clone(),
                vm.clone(),
                data_centre.clone(),
                peers,
                incarnation,
                rng.random(),
            ),
            config: config::Store::new(
                node.config.clone(),
                vm.clone(),
                data_centre.clone(),
                incarnation,
                rng.random(),
            ),
            limiter: rate::Limiter::new(
                node.rate.clone(),
                vm.clone(),
                data_centre.clone(),
                incarnation,
            ),
            admission: admission::Controller::new(node.admission.clone(), DEFAULT_SLOTS, true, now),
            pressure: pressure::Tracker::new(node.pressure.clone(), rng.random()),
            pickers: BTreeMap::new(),
            retry_policy: retry::Policy::new(node.retry.clone(), rng.random()),
            contexts: context::Registry::new(node.context.clone(), context_seed),
            crash_tracker: crash::CrashTracker::new(vm.clone(), incarnation, node.crash.clone()),
            awaiting_probe: Vec::new(),
            deduplicator: once::Deduplicator::new(
                now,
                once::Peer { vm: vm.clone(), incarnation },
                node.once.clone(),
                rng.random(),
            ),
            settings: node,
            vm,
            data_centre,
            incarnation,
            rng,
            now,
            tables: None,
            calls: HashMap::new(),
            rate_tickets: HashMap::new(),
            timers: BTreeSet::new(),
            next_control_at: now,
            outbox: BTreeMap::new(),
            actions: Vec::new(),
            draining_since: None,
            counts: dump::Counts::default(),
        }
    }

    /// Handles one event and returns the actions for the driver, in order.
    ///
    /// `now` must not decrease between calls.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Arrived { call, listener, head } => self.arrived(call, listener, &head),
            Event::Offered { call, from, offer } => self.offered(call, from, offer),
            Event::Returned { call, result, trailer } => self.returned(call, result, trailer),
            Event::RunEnded { call, result } => self.run_ended(call, result),
            Event::Fetched { call, is_found } => self.fetched(call, is_found),
            Event::Probed { is_alive } => self.probed(is_alive),
            Event::Disconnected { call } => self.disconnected(call),
            Event::Received { from, incarnation, messages } => {
                self.received(&from, incarnation, messages);
            }
            Event::ValuesRead(result) => self.values_read(result),
            Event::VmsRead(result) => self.vms_read(result),
            Event::Ticked => self.ticked(),
            Event::Drain => self.drain(),
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Returns the peer address of a VM's node, if known.
    pub fn address_of(&self, vm: &id::Vm) -> Option<SocketAddr> {
        self.members.address_of(vm)
    }

    /// Returns whether links from this VM may be accepted: it is a member of the fleet, or a target
    /// in the tables.
    pub fn accepts_peer(&self, vm: &id::Vm) -> bool {
        let is_target = || self.tables.as_ref().is_some_and(|tables| tables.target(vm).is_some());
        self.members.admits(vm) || (*vm != self.vm && is_target())
    }

    /// Returns whether the node refuses new requests because it is draining. It still accepts them
    /// during the grace period, so that peers that have not yet learned of the drain are not
    /// refused.
    fn is_closed(&self) -> bool {
        let grace = Duration::from_millis(self.settings.leave_grace_ms);
        self.draining_since.is_some_and(|since| self.now.since(since) >= grace)
    }

    fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn send(&mut self, to: id::Vm, message: Message) {
        self.outbox.entry(to).or_default().push(message);
    }

    fn flush(&mut self) {
        let outbox = std::mem::take(&mut self.outbox);
        let to_action = |(to, messages)| Action::Send { to, messages };
        self.actions.extend(outbox.into_iter().map(to_action));
    }
}
