//! One node: all decisions of one VM, composed.
//!
//! A driver passes events in with the reading of its clock and carries out the actions that come
//! back, in their order. The node holds no body, opens no connection and reads no clock, so that the
//! same node runs over sockets, on a bench and in tests. See docs/design/overview.md.

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

/// The slots that a target is taken to have until the tables tell.
const UNKNOWN_SLOTS: u32 = 8;

/// All decisions of one VM.
pub struct Node {
    settings: Settings,
    me: id::Vm,
    data_centre: id::DataCentre,
    incarnation: id::Incarnation,
    random: ChaCha20Rng,
    now: Instant,
    view: member::View,
    store: config::Store,
    tables: Option<Arc<table::Set>>,
    ledger: rate::Limiter,
    gate: admission::Controller,
    board: pressure::Tracker,
    pickers: BTreeMap<id::Pool, balance::Picker>,
    retries: retry::Policy,
    contexts: context::Registry<()>,
    suspects: crash::CrashTracker,
    broken: Vec<id::Call>,
    once: once::Deduplicator,
    calls: HashMap<id::Call, Call>,
    tickets: HashMap<rate::Ticket, id::Call>,
    timers: BTreeSet<(Instant, id::Call)>,
    control_at: Instant,
    outbox: BTreeMap<id::Vm, Vec<Message>>,
    actions: Vec<Action>,
    draining_since: Option<Instant>,
    counts: dump::Counts,
}

impl Node {
    /// Makes a node that accepts_peer nothing yet but its own settings.
    ///
    /// `peers` is where it listens for other nodes. `seed` comes from the system's source of
    /// randomness, since call contexts must not be guessable.
    pub fn new(
        now: Instant,
        settings: &ProcessSettings,
        peers: SocketAddr,
        incarnation: id::Incarnation,
        seed: [u8; context::SEED_BYTES],
    ) -> Self {
        let mut random = ChaCha20Rng::from_seed(seed);
        let mut context_seed = [0; context::SEED_BYTES];
        random.fill_bytes(&mut context_seed);
        let node = settings.node.clone();
        let me = settings.vm.clone();
        let data_centre = settings.data_centre.clone();
        Self {
            view: member::View::new(
                node.member.clone(),
                me.clone(),
                data_centre.clone(),
                peers,
                incarnation,
                random.random(),
            ),
            store: config::Store::new(
                node.config.clone(),
                me.clone(),
                data_centre.clone(),
                incarnation,
                random.random(),
            ),
            ledger: rate::Limiter::new(
                node.rate.clone(),
                me.clone(),
                data_centre.clone(),
                incarnation,
            ),
            gate: admission::Controller::new(node.admission.clone(), UNKNOWN_SLOTS, true, now),
            board: pressure::Tracker::new(node.pressure.clone(), random.random()),
            pickers: BTreeMap::new(),
            retries: retry::Policy::new(node.retry.clone(), random.random()),
            contexts: context::Registry::new(node.context.clone(), context_seed),
            suspects: crash::CrashTracker::new(me.clone(), incarnation, node.crash.clone()),
            broken: Vec::new(),
            once: once::Deduplicator::new(
                now,
                once::Peer { vm: me.clone(), incarnation },
                node.once.clone(),
                random.random(),
            ),
            settings: node,
            me,
            data_centre,
            incarnation,
            random,
            now,
            tables: None,
            calls: HashMap::new(),
            tickets: HashMap::new(),
            timers: BTreeSet::new(),
            control_at: now,
            outbox: BTreeMap::new(),
            actions: Vec::new(),
            draining_since: None,
            counts: dump::Counts::default(),
        }
    }

    /// Takes one event and returns what the driver is to do, in order.
    ///
    /// `now` never goes back from one call to the next.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Arrived { call, listener, head } => self.arrived(call, listener, &head),
            Event::Offered { call, from, offer } => self.offered(call, from, offer),
            Event::Returned { call, returned, trailer } => self.returned(call, returned, trailer),
            Event::RunEnded { call, ended } => self.ended(call, ended),
            Event::Fetched { call, is_found } => self.fetched(call, is_found),
            Event::Probed { is_alive } => self.probed(is_alive),
            Event::Disconnected { call } => self.gone(call),
            Event::Received { from, incarnation, messages } => {
                self.received(&from, incarnation, messages);
            }
            Event::ValuesRead(published) => self.published(published),
            Event::VmsRead(listed) => self.listed(listed),
            Event::Ticked => self.ticked(),
            Event::Drain => self.drain(),
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Returns where a VM's node listens for peers, if it is known.
    pub fn address_of(&self, vm: &id::Vm) -> Option<SocketAddr> {
        self.view.address_of(vm)
    }

    /// Tells whether a VM belongs to the fleet, so that its link may be accepted.
    pub fn accepts_peer(&self, vm: &id::Vm) -> bool {
        let is_target = || self.tables.as_ref().is_some_and(|tables| tables.target(vm).is_some());
        self.view.admits(vm) || (*vm != self.me && is_target())
    }

    /// Tells whether a leaving node takes no new work any more. Until the fleet has heard that it
    /// leaves it goes on taking some, so that nobody is refused for not knowing yet.
    fn is_closed(&self) -> bool {
        let grace = Duration::from_millis(self.settings.leave_grace_ms);
        self.draining_since.is_some_and(|since| self.now.since(since) >= grace)
    }

    fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn post(&mut self, to: id::Vm, message: Message) {
        self.outbox.entry(to).or_default().push(message);
    }

    fn flush(&mut self) {
        let outbox = std::mem::take(&mut self.outbox);
        let send = |(to, messages)| Action::Send { to, messages };
        self.actions.extend(outbox.into_iter().map(send));
    }
}
