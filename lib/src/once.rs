//! At-most-once execution of requests with an idempotency key.
//!
//! Each key is owned by one node of the pool that serves its route. The node that receives a
//! request reserves a [`Ticket`] at the owner, and the node in front of the chosen target validates
//! the ticket immediately before it sends the first byte. [`Deduplicator`] implements all three
//! roles for one node. See docs/design/at-most-once.md for the proof and
//! docs/operate/idempotency.md for the behaviour that callers see.

mod agreement;
mod answers;
mod caller;
mod dump;
mod id;
mod keyed_calls;
mod message;
mod owned_keys;
mod peers;
mod recovery;
mod runs;
mod settings;

pub use {
    caller::Request,
    dump::Dump,
    id::Id,
    message::{
        CallRef, Claim, Decision, KeyRecord, Membership, Message, Peer, ProbeReply, Report, Ticket,
    },
    settings::Settings,
};

use {
    crate::{
        call::{Reason, Refusal},
        id::{Call, Pool, Route, Vm},
        table,
        time::Instant,
        unit::Revision,
    },
    agreement::{EpochAgreement, LocalState, ProbeContext},
    answers::Answers,
    keyed_calls::KeyedCalls,
    owned_keys::{OwnedKeys, Reservation},
    peers::AdvertisedState,
    rand::SeedableRng as _,
    rand_chacha::ChaCha8Rng,
    recovery::{PartHeader, PeerIncarnation, Recovery},
    runs::{Rejection, Runs},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// An operation that the driver must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to the node on a VM.
    Send {
        /// The VM of the receiving node.
        to: Vm,
        /// The message to send.
        message: Message,
    },
    /// Send the request to a target with a [`Claim`] for this ticket. The target of the ticket's
    /// owner must not be chosen while the pool has another one.
    Proceed {
        /// The call whose request is sent.
        call: Call,
        /// The identifier of the request's key.
        id: Id,
        /// The ticket that permits the request to run.
        ticket: Ticket,
    },
    /// Fetch the stored answer and return it to the caller. If it is no longer stored, refuse the
    /// call as [`Reason::Duplicate`] with an unknown outcome.
    Replay {
        /// The call to answer.
        call: Call,
        /// The call whose answer is replayed.
        place: CallRef,
    },
    /// Return a refusal to the caller.
    Refuse {
        /// The call to refuse.
        call: Call,
        /// The refusal to return to the caller.
        refusal: Refusal,
    },
    /// Delete the stored answer of a finished call.
    Drop {
        /// The finished call.
        call: Call,
    },
}

/// The state of one node that ensures that each key runs at most once.
#[derive(Debug)]
pub struct Deduplicator {
    local: Peer,
    settings: Settings,
    tables: Arc<table::Set>,
    epochs: BTreeMap<Pool, Revision>,
    moved_routes: BTreeMap<Route, Instant>,
    agreement: EpochAgreement,
    recovery: Recovery,
    owned_keys: OwnedKeys,
    runs: Runs,
    keyed_calls: KeyedCalls,
    answers: Answers,
    probes: HashMap<u64, (Vm, Instant)>,
    next_probe: Instant,
    probe_delay: Duration,
    advertised_state: AdvertisedState,
    rng: ChaCha8Rng,
}

impl Deduplicator {
    /// Creates the state of a node that has just started. The seed generates its probe nonces.
    pub fn new(now: Instant, local: Peer, settings: Settings, seed: u64) -> Self {
        Self {
            agreement: EpochAgreement::new(local.vm.clone()),
            recovery: Recovery::new(now),
            local,
            settings,
            tables: Arc::default(),
            epochs: BTreeMap::new(),
            moved_routes: BTreeMap::new(),
            owned_keys: OwnedKeys::new(),
            runs: Runs::default(),
            keyed_calls: KeyedCalls::default(),
            answers: Answers::default(),
            probes: HashMap::new(),
            next_probe: now,
            probe_delay: Duration::ZERO,
            advertised_state: AdvertisedState::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies newer tables. `epoch` returns the revision at which a pool's entry last changed.
    ///
    /// The node belongs to the pool of its target or, if the tables no longer name its VM, remains
    /// in its previous pool.
    pub fn set_tables(
        &mut self,
        now: Instant,
        tables: Arc<table::Set>,
        epoch: impl Fn(&Pool) -> Revision,
    ) {
        let before = std::mem::replace(&mut self.tables, tables);
        let current_pool = self.tables.target(&self.local.vm).map(|(pool, _)| pool.name.clone());
        if let Some(pool) = current_pool.or_else(|| self.agreement.pool().cloned()) {
            self.join(now, &pool, &before);
            let vms = vms(&self.tables, &pool).cloned().collect();
            self.agreement.adopt(epoch(&pool), vms);
            self.record_moved_routes(now, &pool, &before);
        }
        let pools = self.tables.pools().keys().map(|pool| (pool.clone(), epoch(pool)));
        self.epochs = pools.collect();
        let pools = self.tables.pools().values();
        let targets = pools.flat_map(|pool| &pool.targets).map(|target| &target.vm);
        let others: BTreeSet<Vm> = targets.filter(|vm| **vm != self.local.vm).cloned().collect();
        if !self.tables.pools().is_empty() {
            self.recovery.start(others, &self.settings);
        }
        self.probe_soon(now);
    }

    fn join(&mut self, now: Instant, pool: &Pool, before: &table::Set) {
        if self.agreement.pool() == Some(pool) {
            return;
        }
        if self.agreement.pool().is_some() {
            self.recovery.reset(now);
        }
        let membership = self
            .epochs
            .get(pool)
            .map(|epoch| Membership { epoch: *epoch, vms: vms(before, pool).cloned().collect() });
        self.agreement.join(pool.clone(), membership);
    }

    // Keys of a route that moved here from another pool may have run in that pool.
    fn record_moved_routes(&mut self, now: Instant, pool: &Pool, before: &table::Set) {
        let retention = self.settings.retention();
        self.moved_routes.retain(|_, at| now - *at < retention);
        for route in self.tables.routes().iter().filter(|route| route.pool == *pool) {
            let previous = before.routes().iter().find(|other| other.name == route.name);
            if previous.is_some_and(|previous| previous.pool != *pool) {
                self.moved_routes.insert(route.name.clone(), now);
            }
        }
    }

    /// Checks a claim immediately before the first byte is sent to the local target.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not run. No byte may then be sent to the target.
    pub fn admit(&mut self, now: Instant, claim: &Claim) -> Result<(), Refusal> {
        // A duplicate of an admitted claim must not be reported as not run.
        if self.runs.has_run(&claim.id) {
            return Err(Refusal::unknown(Reason::Duplicate));
        }
        if !self.is_valid(now, claim) {
            self.runs.record_refusal(now, claim, &self.settings);
            let refusal = Refusal::not_run(Reason::NoTarget);
            return Err(refusal.after(self.settings.probe_interval()));
        }
        self.runs.start(now, claim, &self.settings).map_err(|rejection| match rejection {
            Rejection::AlreadySeen => Refusal::unknown(Reason::Duplicate),
            Rejection::AtCapacity => {
                Refusal::not_run(Reason::Overload).after(self.settings.probe_interval())
            }
        })
    }

    /// Cancels an admission because the target declared that it did not run the request, or because
    /// no byte was sent.
    pub fn cancel_admission(&mut self, claim: &Claim) {
        self.runs.mark_not_run(claim);
    }

    fn is_valid(&self, now: Instant, claim: &Claim) -> bool {
        let ticket = &claim.ticket;
        let owner = claim.id.owner(self.agreement.vms());
        let is_own = ticket.owner.vm == self.local.vm;
        // If the owner also ran the request, losing that one node would lose both the grant and the
        // run.
        let is_separate = !is_own || self.agreement.vms().len() == 1;
        let is_current = match self.agreement.fresh_state(now, &ticket.owner.vm, &self.settings) {
            _ if is_own => {
                let min_sequence = self.owned_keys.min_sequence(now, &self.settings);
                ticket.owner == self.local && ticket.sequence >= min_sequence
            }
            Some(state) => {
                state.incarnation == ticket.owner.incarnation
                    && ticket.sequence >= state.min_sequence
            }
            None => false,
        };
        claim.runner == self.local.incarnation
            && ticket.epoch == self.agreement.epoch()
            && owner == Some(&ticket.owner.vm)
            && is_separate
            && is_current
            && self.agreement.is_ready(now, &self.settings)
    }

    /// Processes a message. The link must have authenticated the sender.
    pub fn receive(&mut self, now: Instant, from: &Peer, message: Message) -> Vec<Action> {
        match self.recovery.observe(now, from) {
            PeerIncarnation::Stale => return Vec::new(),
            PeerIncarnation::New => {
                self.agreement.forget_incarnation(&from.vm);
                self.probe_soon(now);
            }
            PeerIncarnation::Current => {}
        }
        let has_earlier_incarnation =
            self.recovery.may_have_earlier_incarnation(now, from, &self.settings);
        match message {
            Message::Probe { nonce } => {
                let min_sequence = self.owned_keys.min_sequence(now, &self.settings);
                let reply = self.agreement.probe_reply(
                    ProbeContext { nonce, has_earlier_incarnation },
                    self.local_state(now),
                    min_sequence,
                );
                vec![send(&from.vm, Message::ProbeReply(reply))]
            }
            Message::ProbeReply(reply) => self.handle_probe_reply(now, from, &reply),
            Message::FetchRecords { nonce, epoch } => self.send_records(now, from, nonce, epoch),
            Message::Records { nonce, part, parts, owned, ran, knows_runs, knows_grants } => {
                let part = PartHeader { nonce, part, parts, knows_runs, knows_grants };
                self.restore_records(now, from, part, &owned, &ran);
                Vec::new()
            }
            Message::Reserve { call, route, id, fingerprint } => {
                let requester = CallRef { node: from.clone(), call };
                let decision = self.reserve(now, requester, &route, id, fingerprint);
                vec![send(&from.vm, Message::Reserved { call, decision })]
            }
            Message::Reserved { call, decision } => {
                self.apply_decision(now, &from.vm, call, decision)
            }
            Message::Finished { call, id, report } => {
                self.owned_keys.finish(from, call, &id, &report);
                vec![send(&from.vm, Message::FinishedAck { call })]
            }
            Message::FinishedAck { call } => {
                self.keyed_calls.acknowledge(&from.vm, call);
                Vec::new()
            }
        }
    }

    /// Performs all operations that are due. Call it at least ten times a second while calls are
    /// waiting.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.agreement.tick(now, self.local_state(now), &self.settings);
        self.owned_keys.tick(now, &self.settings);
        self.runs.tick(now);
        let advertised_state = self.advertised_state(now);
        if advertised_state != self.advertised_state {
            self.advertised_state = advertised_state;
            self.probe_soon(now);
        }
        let dropped = self.answers.tick(now);
        let mut actions: Vec<_> = dropped.into_iter().map(|call| Action::Drop { call }).collect();
        if now >= self.next_probe {
            actions.extend(self.probe(now));
        }
        actions.extend(self.resend(now));
        actions
    }

    fn local_state(&self, now: Instant) -> LocalState {
        LocalState {
            tables: self.tables.revision(),
            is_first: self.recovery.is_first(),
            age: self.recovery.age(now),
        }
    }

    fn reserve(
        &mut self,
        now: Instant,
        requester: CallRef,
        route: &Route,
        id: Id,
        fingerprint: u64,
    ) -> Decision {
        if id.owner(self.agreement.vms()) != Some(&self.local.vm) {
            return Decision::NotOwner;
        }
        if !self.agreement.is_ready(now, &self.settings) {
            return Decision::Undetermined(self.settings.probe_interval());
        }
        let reservation = match self.owned_keys.find(&id, fingerprint, &requester) {
            Some(reservation) => reservation,
            None if self.runs.has_run(&id) => Reservation::Existing(Decision::InUse),
            None if !self.is_history_known(now, route, &id) => {
                Reservation::Existing(Decision::Undetermined(self.settings.probe_interval()))
            }
            None => self.owned_keys.reserve(now, id, fingerprint, requester, &self.settings),
        };
        match reservation {
            Reservation::New(sequence) | Reservation::Repeated(sequence) => {
                let (owner, epoch) = (self.local.clone(), self.agreement.epoch());
                Decision::Grant(Ticket { owner, epoch, sequence })
            }
            Reservation::Existing(decision) => decision,
        }
    }

    // An unknown key counts as new only if this node would know of every run within the window.
    fn is_history_known(&self, now: Instant, route: &Route, id: &Id) -> bool {
        let knows_runs = self.recovery.knows_runs(now, &self.settings);
        let epoch = self.agreement.epoch();
        let knows_own_runs = |vm: &Vm| *vm == self.local.vm && knows_runs;
        let is_known_under = |members: &[Vm]| match id.owner(members) {
            Some(owner) if *owner == self.local.vm => true,
            Some(owner) => self.recovery.knows_moved_keys(epoch, owner, members, knows_own_runs),
            None => true,
        };
        let retention = self.settings.retention();
        let is_moving = self.moved_routes.get(route).is_some_and(|at| now - *at < retention);
        let knows_grants = self.recovery.knows_grants(now, &self.settings);
        knows_grants && !is_moving && self.agreement.past_members().all(is_known_under)
    }
}

fn vms<'a>(tables: &'a table::Set, pool: &Pool) -> impl Iterator<Item = &'a Vm> + use<'a> {
    let pool = tables.pools().get(pool);
    pool.into_iter().flat_map(|pool| pool.targets.iter().map(|target| &target.vm))
}

fn send(to: &Vm, message: Message) -> Action {
    Action::Send { to: to.clone(), message }
}

fn refuse(call: Call, refusal: Refusal) -> Action {
    Action::Refuse { call, refusal }
}
