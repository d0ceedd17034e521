//! The node's part in the fleet: membership, tables, rates, and the regular tick.

use {
    super::{Action, Node, call::Stage},
    crate::{balance, call::Reason, config, crash, id, member, once, rate, table},
    rand::{RngExt as _, seq::IteratorRandom as _},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// How often the protocols between nodes get their tick.
const CONTROL_PERIOD: Duration = Duration::from_millis(100);
/// The peers that each node passes news of crashes on to in one period.
const CRASH_PEERS: usize = 3;

/// One control message between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Message {
    /// Membership.
    Member(member::Message),
    /// Tables and keys.
    Config(config::Message),
    /// Requests that crash targets.
    Crash(crash::Message),
    /// Idempotency keys.
    Once(once::Message),
    /// Rates of client accounts.
    Rate(rate::Message),
}

impl Node {
    pub(super) fn ticked(&mut self) {
        self.fire_timers();
        let released = self.gate.tick(self.now);
        self.release(released);
        if self.now >= self.control_at {
            self.control_at = self.now + CONTROL_PERIOD;
            self.tick_control();
        }
        if self.is_closed() && self.calls.is_empty() {
            self.act(Action::Exit);
        }
    }

    fn fire_timers(&mut self) {
        while let Some((due, call)) = self.timers.first().copied() {
            if due > self.now {
                break;
            }
            self.timers.pop_first();
            let Some(state) = self.calls.get(&call) else { continue };
            if state.deadline <= self.now {
                self.abandon(call, Reason::Deadline);
            } else if matches!(state.stage, Stage::Backoff { .. }) {
                self.dispatch(call);
            }
        }
    }

    fn tick_control(&mut self) {
        let now = self.now;
        for (to, message) in self.view.tick(now) {
            self.post(to, Message::Member(message));
        }
        self.learn_members();
        let peers: Vec<member::Peer> = self.view.live().collect();
        let actions = self.store.tick(now, &peers);
        self.act_config(actions);
        self.suspects.tick(now);
        self.spread_crashes(CRASH_PEERS);
        let actions = self.once.tick(now);
        self.act_once(actions);
        for (to, message) in self.ledger.tick(now) {
            self.post(to, Message::Rate(message));
        }
        self.post_rate();
    }

    /// Passes changes of membership on to the pickers.
    fn learn_members(&mut self) {
        let changes = self.view.changes();
        if changes.is_empty() {
            return;
        }
        // A later process runs for this VM, so this one must not go on granting in its name.
        if changes.iter().any(|change| matches!(change, member::Change::Superseded { .. })) {
            self.drain();
        }
        self.update_pickers();
        self.observe_rates();
    }

    /// Passes news of crashes on to some peers.
    pub(super) fn spread_crashes(&mut self, most: usize) {
        let peers: Vec<id::Vm> = self.view.live().map(|peer| peer.vm).collect();
        let Some(message) = self.suspects.next_message(self.now, peers.len() + 1) else { return };
        for vm in peers.into_iter().sample(&mut self.random, most) {
            self.post(vm, Message::Crash(message.clone()));
        }
    }

    /// Tells the ledger which VMs can't be asked for tokens.
    fn observe_rates(&mut self) {
        let Some(tables) = &self.tables else { return };
        let targets = tables.pools().values().flat_map(|pool| pool.targets.iter());
        let is_absent = |vm: &id::Vm| {
            *vm != self.me && !self.view.state_of(vm).is_some_and(member::State::is_reachable)
        };
        let absent = targets.map(|target| &target.vm).filter(|vm| is_absent(vm)).cloned();
        let absent: Vec<id::Vm> = absent.collect();
        self.ledger.set_absent(absent);
    }

    pub(super) fn received(
        &mut self,
        from: &id::Vm,
        incarnation: id::Incarnation,
        messages: Vec<Message>,
    ) {
        let now = self.now;
        if !self.view.admits(from) {
            return;
        }
        for message in messages {
            match message {
                Message::Member(message) => {
                    for (to, message) in self.view.receive(now, from, message) {
                        self.post(to, Message::Member(message));
                    }
                }
                Message::Config(message) => {
                    let actions = self.store.receive(now, from, message);
                    self.act_config(actions);
                }
                Message::Crash(message) => self.suspects.receive(now, message),
                Message::Once(message) => {
                    let peer = once::Peer { vm: from.clone(), incarnation };
                    let actions = self.once.receive(now, &peer, message);
                    self.act_once(actions);
                }
                Message::Rate(message) => {
                    self.ledger.receive(now, from, incarnation, &message);
                }
            }
        }
        self.post_rate();
        self.learn_members();
    }

    pub(super) fn published(&mut self, read: Result<config::Difference, config::ReadError>) {
        let actions = self.store.published(self.now, read);
        self.act_config(actions);
    }

    pub(super) fn listed(&mut self, listed: Result<Vec<member::Vm>, config::ReadError>) {
        if let Ok(vms) = &listed {
            self.view.listed(self.now, vms);
            self.store.list_has(vms.len());
            self.learn_members();
        }
        self.store.vms_read(self.now, listed.map(|_| ()));
    }

    fn act_config(&mut self, actions: Vec<config::Action>) {
        for action in actions {
            match action {
                config::Action::ReadVms => self.act(Action::ReadVms),
                config::Action::Read { after, wait } => {
                    self.act(Action::ReadValues { after, wait })
                }
                config::Action::Send(to, message) => self.post(to, Message::Config(message)),
            }
        }
        self.take_tables();
    }

    /// Puts new tables in force in all modules at once.
    fn take_tables(&mut self) {
        let Some(tables) = self.store.set() else { return };
        if self.tables.as_ref().is_some_and(|old| Arc::ptr_eq(old, tables)) {
            return;
        }
        let tables = tables.clone();
        self.ledger.configure(self.now, &tables);
        if let Some((_, target)) = tables.target(&self.me) {
            self.gate.resize(target.slots);
        }
        let targets = tables.pools().values().flat_map(|pool| pool.targets.iter());
        let targets = targets.map(|target| (&target.vm, &target.data_centre));
        self.view.published(self.now, targets);
        self.board.retain(
            self.now,
            |pool| tables.pools().contains_key(pool),
            |route| tables.routes().iter().any(|line| line.name == *route),
        );
        self.retries.retain(|pool| tables.pools().contains_key(pool));
        self.pickers.retain(|pool, _| tables.pools().contains_key(pool));
        let store = &self.store;
        let epoch = |pool: &id::Pool| {
            let name = format!("{}/{pool}", table::Section::Pools);
            store.revision_of(&name).unwrap_or_default()
        };
        self.once.set_tables(self.now, tables.clone(), epoch);
        self.tables = Some(tables.clone());
        self.update_pickers();
        self.observe_rates();
        self.act(Action::TablesApplied(tables));
    }

    /// Tells each pool's picker which targets there are and which of them take work.
    fn update_pickers(&mut self) {
        let Some(tables) = self.tables.clone() else { return };
        for (name, pool) in tables.pools() {
            let listed: Vec<balance::TargetInfo> =
                pool.targets.iter().filter_map(|target| self.listed_target(target)).collect();
            if !self.pickers.contains_key(name) {
                let picker = balance::Picker::new(
                    self.settings.balance.clone(),
                    self.data_centre.clone(),
                    self.random.random(),
                );
                self.pickers.insert(name.clone(), picker);
            }
            if let Some(picker) = self.pickers.get_mut(name) {
                picker.set_targets(self.now, &listed);
            }
        }
    }

    fn listed_target(&self, target: &table::Target) -> Option<balance::TargetInfo> {
        let state = self.view.state_of(&target.vm)?;
        state.is_reachable().then(|| balance::TargetInfo {
            vm: target.vm.clone(),
            data_centre: target.data_centre.clone(),
            slots: target.slots,
            is_leaving: state == member::State::Leaving,
        })
    }

    pub(super) fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        for (to, message) in self.view.leave(self.now) {
            self.post(to, Message::Member(message));
        }
        for (to, message) in self.ledger.drain(self.now) {
            self.post(to, Message::Rate(message));
        }
        self.post_rate();
        self.update_pickers();
    }
}
