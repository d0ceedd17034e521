//! Timers and control messages: membership, tables, rates, crash reports and idempotency keys.

use {
    super::{Action, Node, call::Stage},
    crate::{balance, call::Reason, config, crash, id, member, once, rate, table},
    rand::{RngExt as _, seq::IteratorRandom as _},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// The interval between ticks of the protocols between nodes.
const CONTROL_PERIOD: Duration = Duration::from_millis(100);
/// The number of peers to which a node sends crash reports in one control period.
const CRASH_FANOUT: usize = 3;

/// One control message between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Message {
    /// Membership.
    Member(member::Message),
    /// Tables and keys.
    Config(config::Message),
    /// Requests that may have crashed targets.
    Crash(crash::Message),
    /// Idempotency keys.
    Once(once::Message),
    /// Rates of client accounts.
    Rate(rate::Message),
}

impl Node {
    pub(super) fn ticked(&mut self) {
        self.fire_timers();
        let released = self.admission.tick(self.now);
        self.release(released);
        if self.now >= self.next_control_at {
            self.next_control_at = self.now + CONTROL_PERIOD;
            self.tick_control();
        }
        if self.is_closed() && self.calls.is_empty() {
            self.emit(Action::Exit);
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
                self.abort_call(call, Reason::Deadline);
            } else if matches!(state.stage, Stage::Backoff { .. }) {
                self.dispatch(call);
            }
        }
    }

    fn tick_control(&mut self) {
        let now = self.now;
        for (to, message) in self.members.tick(now) {
            self.send(to, Message::Member(message));
        }
        self.apply_member_changes();
        let peers: Vec<member::Peer> = self.members.live().collect();
        let actions = self.config.tick(now, &peers);
        self.handle_config_actions(actions);
        self.crash_tracker.tick(now);
        self.send_crash_reports(CRASH_FANOUT);
        let actions = self.deduplicator.tick(now);
        self.handle_dedup_actions(actions);
        for (to, message) in self.limiter.tick(now) {
            self.send(to, Message::Rate(message));
        }
        self.process_limiter_output();
    }

    /// Applies membership changes to the pickers and the rate limiter.
    fn apply_member_changes(&mut self) {
        let changes = self.members.changes();
        if changes.is_empty() {
            return;
        }
        // A newer process runs for this VM, so this one must stop granting on the VM's behalf.
        if changes.iter().any(|change| matches!(change, member::Change::Superseded { .. })) {
            self.drain();
        }
        self.update_pickers();
        self.update_absent_vms();
    }

    /// Sends crash reports to up to `max_peers` random peers.
    pub(super) fn send_crash_reports(&mut self, max_peers: usize) {
        let peers: Vec<id::Vm> = self.members.live().map(|peer| peer.vm).collect();
        let Some(message) = self.crash_tracker.next_message(self.now, peers.len() + 1) else {
            return;
        };
        for vm in peers.into_iter().sample(&mut self.rng, max_peers) {
            self.send(vm, Message::Crash(message.clone()));
        }
    }

    /// Updates the rate limiter's list of VMs that cannot be asked for tokens.
    fn update_absent_vms(&mut self) {
        let Some(tables) = &self.tables else { return };
        let targets = tables.pools().values().flat_map(|pool| pool.targets.iter());
        let is_absent = |vm: &id::Vm| {
            *vm != self.vm && !self.members.state_of(vm).is_some_and(member::State::is_reachable)
        };
        let absent = targets.map(|target| &target.vm).filter(|vm| is_absent(vm)).cloned();
        let absent: Vec<id::Vm> = absent.collect();
        self.limiter.set_absent(absent);
    }

    pub(super) fn received(
        &mut self,
        from: &id::Vm,
        incarnation: id::Incarnation,
        messages: Vec<Message>,
    ) {
        let now = self.now;
        if !self.members.admits(from) {
            return;
        }
        for message in messages {
            match message {
                Message::Member(message) => {
                    for (to, message) in self.members.receive(now, from, message) {
                        self.send(to, Message::Member(message));
                    }
                }
                Message::Config(message) => {
                    let actions = self.config.receive(now, from, message);
                    self.handle_config_actions(actions);
                }
                Message::Crash(message) => self.crash_tracker.receive(now, message),
                Message::Once(message) => {
                    let peer = once::Peer { vm: from.clone(), incarnation };
                    let actions = self.deduplicator.receive(now, &peer, message);
                    self.handle_dedup_actions(actions);
                }
                Message::Rate(message) => {
                    self.limiter.receive(now, from, incarnation, &message);
                }
            }
        }
        self.process_limiter_output();
        self.apply_member_changes();
    }

    pub(super) fn values_read(&mut self, result: Result<config::Difference, config::ReadError>) {
        let actions = self.config.published(self.now, result);
        self.handle_config_actions(actions);
    }

    pub(super) fn vms_read(&mut self, result: Result<Vec<member::Vm>, config::ReadError>) {
        if let Ok(vms) = &result {
            self.members.listed(self.now, vms);
            self.config.set_list_size(vms.len());
            self.apply_member_changes();
        }
        self.config.vms_read(self.now, result.map(|_| ()));
    }

    fn handle_config_actions(&mut self, actions: Vec<config::Action>) {
        for action in actions {
            match action {
                config::Action::ReadVms => self.emit(Action::ReadVms),
                config::Action::Read { after, wait } => {
                    self.emit(Action::ReadValues { after, wait });
                }
                config::Action::Send(to, message) => self.send(to, Message::Config(message)),
            }
        }
        self.apply_tables();
    }

    /// Applies newly accepted tables to all modules at once.
    fn apply_tables(&mut self) {
        let Some(tables) = self.config.set() else { return };
        if self.tables.as_ref().is_some_and(|old| Arc::ptr_eq(old, tables)) {
            return;
        }
        let tables = tables.clone();
        self.limiter.configure(self.now, &tables);
        if let Some((_, target)) = tables.target(&self.vm) {
            self.admission.resize(target.slots);
        }
        let targets = tables.pools().values().flat_map(|pool| pool.targets.iter());
        let targets = targets.map(|target| (&target.vm, &target.data_centre));
        self.members.published(self.now, targets);
        self.pressure.retain(
            self.now,
            |pool| tables.pools().contains_key(pool),
            |route| tables.routes().iter().any(|entry| entry.name == *route),
        );
        self.retry_policy.retain(|pool| tables.pools().contains_key(pool));
        self.pickers.retain(|pool, _| tables.pools().contains_key(pool));
        let store = &self.config;
        let epoch = |pool: &id::Pool| {
            let name = format!("{}/{pool}", table::Section::Pools);
            store.revision_of(&name).unwrap_or_default()
        };
        self.deduplicator.set_tables(self.now, tables.clone(), epoch);
        self.tables = Some(tables.clone());
        self.update_pickers();
        self.update_absent_vms();
        self.emit(Action::TablesApplied(tables));
    }

    /// Updates each pool's picker with the reachable targets outside of evacuated data centres, and
    /// whether they are leaving.
    fn update_pickers(&mut self) {
        let Some(tables) = self.tables.clone() else { return };
        for (name, pool) in tables.pools() {
            let usable = pool.targets_outside(tables.evacuated());
            let listed: Vec<balance::TargetInfo> =
                usable.filter_map(|target| self.target_info(target)).collect();
            if !self.pickers.contains_key(name) {
                let picker = balance::Picker::new(
                    self.settings.balance.clone(),
                    self.data_centre.clone(),
                    self.rng.random(),
                );
                self.pickers.insert(name.clone(), picker);
            }
            if let Some(picker) = self.pickers.get_mut(name) {
                picker.set_targets(self.now, &listed);
            }
        }
    }

    fn target_info(&self, target: &table::Target) -> Option<balance::TargetInfo> {
        let state = self.members.state_of(&target.vm)?;
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
        for (to, message) in self.members.leave(self.now) {
            self.send(to, Message::Member(message));
        }
        for (to, message) in self.limiter.drain(self.now) {
            self.send(to, Message::Rate(message));
        }
        self.process_limiter_output();
        self.update_pickers();
    }
}
