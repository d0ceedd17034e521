//! At most one run for each idempotency key.
//!
//! Every key has one owner among the nodes of the pool that serves its route. The node that took a
//! request asks the owner for a [`Ticket`], and the node in front of the chosen target checks the
//! ticket right before the first byte goes out. [`Deduplicator`] is one node's part in all three roles.
//! See docs/design/at-most-once.md for the proof and docs/operate/idempotency.md for what callers see.

mod answers;
mod asks;
mod caller;
mod dump;
mod guard;
mod id;
mod ledger;
mod memory;
mod message;
mod peers;
mod runner;
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
    answers::Answers,
    asks::Asks,
    guard::{Asked, Guard, Own},
    ledger::{Entered, Ledger},
    memory::{Meeting, Memory, Part},
    peers::Standing,
    rand::SeedableRng as _,
    rand_chacha::ChaCha8Rng,
    runner::{Denial, Runner},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// What the driver has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to the node on a VM.
    Send {
        /// The VM.
        to: Vm,
        /// The message.
        message: Message,
    },
    /// Send the request to a target with a [`Claim`] of this ticket, but not to the ticket's owner
    /// while the pool has another target.
    Proceed {
        /// The call.
        call: Call,
        /// The key.
        id: Id,
        /// The right to run the request.
        ticket: Ticket,
    },
    /// Fetch the kept answer and pass it to the caller. Where it is gone, refuse the call as
    /// [`Reason::Duplicate`] with an unknown outcome.
    Replay {
        /// The call.
        call: Call,
        /// Where the answer is.
        place: CallRef,
    },
    /// Refuse the call.
    Refuse {
        /// The call.
        call: Call,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Drop the bytes of the answer to an ended call.
    Drop {
        /// The call.
        call: Call,
    },
}

/// One node's part in running each key at most once.
#[derive(Debug)]
pub struct Deduplicator {
    me: Peer,
    settings: Settings,
    tables: Arc<table::Set>,
    epochs: BTreeMap<Pool, Revision>,
    moved_routes: BTreeMap<Route, Instant>,
    guard: Guard,
    memory: Memory,
    ledger: Ledger,
    runner: Runner,
    asks: Asks,
    answers: Answers,
    probes: HashMap<u64, (Vm, Instant)>,
    next_probe: Instant,
    probe_wait: Duration,
    standing: Standing,
    random: ChaCha8Rng,
}

impl Deduplicator {
    /// Makes the part of a node that has just started. The seed numbers its probes.
    pub fn new(now: Instant, me: Peer, settings: Settings, seed: u64) -> Self {
        Self {
            guard: Guard::new(me.vm.clone()),
            memory: Memory::new(now),
            me,
            settings,
            tables: Arc::default(),
            epochs: BTreeMap::new(),
            moved_routes: BTreeMap::new(),
            ledger: Ledger::new(),
            runner: Runner::default(),
            asks: Asks::default(),
            answers: Answers::default(),
            probes: HashMap::new(),
            next_probe: now,
            probe_wait: Duration::ZERO,
            standing: Standing::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes newer tables. `epoch` is the revision at which the line of this pool last changed:
    /// the pool of this node's target, or where the tables no longer name the VM, its last pool.
    pub fn set_tables(
        &mut self,
        now: Instant,
        tables: Arc<table::Set>,
        epoch: impl Fn(&Pool) -> Revision,
    ) {
        let before = std::mem::replace(&mut self.tables, tables);
        let named = self.tables.target(&self.me.vm).map(|(pool, _)| pool.name.clone());
        if let Some(pool) = named.or_else(|| self.guard.pool().cloned()) {
            self.join(now, &pool, &before);
            let vms = vms(&self.tables, &pool).cloned().collect();
            self.guard.adopt(epoch(&pool), vms);
            self.note_moves(now, &pool, &before);
        }
        let pools = self.tables.pools().keys().map(|pool| (pool.clone(), epoch(pool)));
        self.epochs = pools.collect();
        let pools = self.tables.pools().values();
        let targets = pools.flat_map(|pool| &pool.targets).map(|target| &target.vm);
        let others: BTreeSet<Vm> = targets.filter(|vm| **vm != self.me.vm).cloned().collect();
        if !self.tables.pools().is_empty() {
            self.memory.start(others, &self.settings);
        }
        self.hurry(now);
    }

    fn join(&mut self, now: Instant, pool: &Pool, before: &table::Set) {
        if self.guard.pool() == Some(pool) {
            return;
        }
        if self.guard.pool().is_some() {
            self.memory.reset(now);
        }
        let membership = self
            .epochs
            .get(pool)
            .map(|epoch| Membership { epoch: *epoch, vms: vms(before, pool).cloned().collect() });
        self.guard.join(pool.clone(), membership);
    }

    // The keys of a route that came from another pool may have run there.
    fn note_moves(&mut self, now: Instant, pool: &Pool, before: &table::Set) {
        let retention = self.settings.retention();
        self.moved_routes.retain(|_, at| now - *at < retention);
        for route in self.tables.routes().iter().filter(|route| route.pool == *pool) {
            let previous = before.routes().iter().find(|other| other.name == route.name);
            if previous.is_some_and(|previous| previous.pool != *pool) {
                self.moved_routes.insert(route.name.clone(), now);
            }
        }
    }

    /// Decides, right before the first byte goes to the node's own target, whether it may.
    ///
    /// # Errors
    ///
    /// Returns the refusal where it may not. Nothing may then be sent.
    pub fn admit(&mut self, now: Instant, claim: &Claim) -> Result<(), Refusal> {
        // A copy of a claim that was admitted must not be answered as not run.
        if self.runner.has_run(&claim.id) {
            return Err(Refusal::unknown(Reason::Duplicate));
        }
        if !self.is_valid(now, claim) {
            self.runner.refuse(now, claim, &self.settings);
            let refusal = Refusal::not_run(Reason::NoTarget);
            return Err(refusal.after(self.settings.probe()));
        }
        self.runner.start(now, claim, &self.settings).map_err(|denial| match denial {
            Denial::Seen => Refusal::unknown(Reason::Duplicate),
            Denial::AtCapacity => Refusal::not_run(Reason::Overload).after(self.settings.probe()),
        })
    }

    /// Takes back an admission, because the target declared that it did not run the request or
    /// because no byte was sent.
    pub fn cancel_admission(&mut self, claim: &Claim) {
        self.runner.undo(claim);
    }

    fn is_valid(&self, now: Instant, claim: &Claim) -> bool {
        let ticket = &claim.ticket;
        let owner = claim.id.owner(self.guard.vms());
        let is_own = ticket.owner.vm == self.me.vm;
        // The loss of one node must not lose both the grant and the run.
        let is_apart = !is_own || self.guard.vms().len() == 1;
        let is_live = match self.guard.heard(now, &ticket.owner.vm, &self.settings) {
            _ if is_own => {
                let min_sequence = self.ledger.min_sequence(now, &self.settings);
                ticket.owner == self.me && ticket.sequence >= min_sequence
            }
            Some(heard) => {
                heard.incarnation == ticket.owner.incarnation
                    && ticket.sequence >= heard.min_sequence
            }
            None => false,
        };
        claim.runner == self.me.incarnation
            && ticket.epoch == self.guard.epoch()
            && owner == Some(&ticket.owner.vm)
            && is_apart
            && is_live
            && self.guard.is_ready(now, &self.settings)
    }

    /// Takes in a message. The link must have proved who the sender is.
    pub fn receive(&mut self, now: Instant, from: &Peer, message: Message) -> Vec<Action> {
        match self.memory.meet(now, from) {
            Meeting::Over => return Vec::new(),
            Meeting::New => {
                self.guard.end_life(&from.vm);
                self.hurry(now);
            }
            Meeting::Same => {}
        }
        let has_earlier_incarnation = self.memory.is_later_life(now, from, &self.settings);
        match message {
            Message::Probe { nonce } => {
                let min_sequence = self.ledger.min_sequence(now, &self.settings);
                let pulse = self.guard.pulse(
                    Asked { nonce, has_earlier_incarnation },
                    self.own(now),
                    min_sequence,
                );
                vec![send(&from.vm, Message::ProbeReply(pulse))]
            }
            Message::ProbeReply(pulse) => self.hear(now, from, &pulse),
            Message::FetchRecords { nonce, epoch } => self.recall(now, from, nonce, epoch),
            Message::Records { nonce, part, parts, owned, ran, knows_runs, knows_grants } => {
                let part = Part { nonce, part, parts, knows_runs, knows_grants };
                self.recalled(now, from, part, &owned, &ran);
                Vec::new()
            }
            Message::Reserve { call, route, id, body } => {
                let asker = CallRef { node: from.clone(), call };
                let decision = self.reserve(now, asker, &route, id, body);
                vec![send(&from.vm, Message::Reserved { call, decision })]
            }
            Message::Reserved { call, decision } => self.judge(now, &from.vm, call, decision),
            Message::Finished { call, id, report } => {
                self.ledger.finish(from, call, &id, &report);
                vec![send(&from.vm, Message::FinishedAck { call })]
            }
            Message::FinishedAck { call } => {
                self.asks.noted(&from.vm, call);
                Vec::new()
            }
        }
    }

    /// Does what is due. It should be called at least ten times a second while calls wait.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.guard.tick(now, self.own(now), &self.settings);
        self.ledger.tick(now, &self.settings);
        self.runner.tick(now);
        let standing = self.standing(now);
        if standing != self.standing {
            self.standing = standing;
            self.hurry(now);
        }
        let dropped = self.answers.tick(now);
        let mut actions: Vec<_> = dropped.into_iter().map(|call| Action::Drop { call }).collect();
        if now >= self.next_probe {
            actions.extend(self.probe(now));
        }
        actions.extend(self.resend(now));
        actions
    }

    fn own(&self, now: Instant) -> Own {
        Own {
            tables: self.tables.revision(),
            is_first: self.memory.is_first(),
            age: self.memory.age(now),
        }
    }

    fn reserve(
        &mut self,
        now: Instant,
        asker: CallRef,
        route: &Route,
        id: Id,
        body: u64,
    ) -> Decision {
        if id.owner(self.guard.vms()) != Some(&self.me.vm) {
            return Decision::NotOwner;
        }
        if !self.guard.is_ready(now, &self.settings) {
            return Decision::Undetermined(self.settings.probe());
        }
        let entered = match self.ledger.find(&id, body, &asker) {
            Some(entered) => entered,
            None if self.runner.has_run(&id) => Entered::Old(Decision::InUse),
            None if !self.knows(now, route, &id) => {
                Entered::Old(Decision::Undetermined(self.settings.probe()))
            }
            None => self.ledger.enter(now, id, body, asker, &self.settings),
        };
        match entered {
            Entered::New(sequence) | Entered::Same(sequence) => {
                let (owner, epoch) = (self.me.clone(), self.guard.epoch());
                Decision::Grant(Ticket { owner, epoch, sequence })
            }
            Entered::Old(decision) => decision,
        }
    }

    // An absent key is new only where this node would know of every run of it in the window.
    fn knows(&self, now: Instant, route: &Route, id: &Id) -> bool {
        let knows_runs = self.memory.knows_runs(now, &self.settings);
        let epoch = self.guard.epoch();
        let knows_own_runs = |vm: &Vm| *vm == self.me.vm && knows_runs;
        let knows_under = |members: &[Vm]| match id.owner(members) {
            Some(owner) if *owner == self.me.vm => true,
            Some(owner) => self.memory.knows_moved(epoch, owner, members, knows_own_runs),
            None => true,
        };
        let retention = self.settings.retention();
        let is_moving = self.moved_routes.get(route).is_some_and(|at| now - *at < retention);
        let knows_grants = self.memory.knows_grants(now, &self.settings);
        knows_grants && !is_moving && self.guard.past().all(knows_under)
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
