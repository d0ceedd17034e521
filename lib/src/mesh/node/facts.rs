//! How a node's state follows the facts that the platform and peers give it.

use {
    super::Node,
    crate::{
        balance::{self, Picker},
        id,
        mesh::{
            fact::{Fact, Key, Target, Update, Value},
            lag::Lag,
            position::{Era, Position},
            table::Table,
        },
        time::Instant,
        unit::Revision,
    },
    rand::RngExt as _,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The factor by which a target in another data centre has to be cheaper than a local one. Traffic
/// between data centres costs money, and a target with published slots is not slower at half load.
const REMOTE_FACTOR: f64 = 3.0;
/// The same factor if the local target is nearly full. The path to another data centre takes a
/// millisecond or two.
const BUSY_REMOTE_FACTOR: f64 = 1.2;

/// The changes caused by a set of facts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The revision of a new table that is in force.
    pub table: Option<Revision>,
    /// Whether targets were added, removed or changed.
    pub has_target_changes: bool,
    /// Whether evacuations of data centres began or ended.
    pub has_evacuation_changes: bool,
}

impl Node {
    /// Applies facts. `position` is where the store is complete up to with them.
    pub fn apply(&mut self, now: Instant, facts: &[Fact], position: Position) -> Changes {
        let mut changes = Changes::default();
        for fact in facts {
            if self.facts.insert(now, fact) {
                self.apply_fact(now, fact, &mut changes);
            }
            self.record_cold_entry(now, fact);
        }
        self.facts.advance_position(position);
        self.lag.record_facts(self.facts.position());
        let Changes { table, has_target_changes, has_evacuation_changes } = changes;
        if has_target_changes || has_evacuation_changes || table.is_some() {
            self.refresh(now);
        }
        changes
    }

    /// Applies a complete listing of the platform. Targets that it does not contain are removed, and
    /// evacuations that it does not contain are taken back.
    pub fn apply_listing(&mut self, now: Instant, facts: &[Fact], position: Position) -> Changes {
        let (is_complete, has_evacuations) = (true, true);
        let update = Update { facts: facts.to_vec(), position, is_complete, has_evacuations };
        self.apply_missing(now, &update, true)
    }

    /// Applies what a peer sent.
    pub fn apply_update(&mut self, now: Instant, update: &Update) -> Changes {
        let is_listing = update.is_complete && update.position >= self.facts.position();
        self.apply_missing(now, update, is_listing)
    }

    /// Applies facts and what follows from those that they lack: if they are a listing, other
    /// targets are gone.
    fn apply_missing(&mut self, now: Instant, update: &Update, is_listing: bool) -> Changes {
        let Update { facts, position, has_evacuations, .. } = update;
        let listed: BTreeSet<&Key> = facts.iter().map(|fact| &fact.key).collect();
        let mut missing = self.facts.missing_from(&listed, *position);
        missing.retain(|fact| match fact.key {
            Key::Evacuation(_) => *has_evacuations,
            Key::Document | Key::Target(_) => is_listing,
        });
        let is_current = |fact: &&Fact| !self.facts.is_outdated_evacuation(fact, *position);
        let all: Vec<Fact> = facts.iter().filter(is_current).cloned().chain(missing).collect();
        self.facts.record_evacuations(*position, *has_evacuations);
        if is_listing {
            if self.facts.position() == Position::default() {
                self.facts.start_history(*position);
            }
            // A peer that has just started has no facts and knows no era.
            if *position != Position::default() {
                self.record_era(now, position.era);
            }
        }
        self.apply(now, &all, self.facts.position().max(*position))
    }

    /// Records the era of an answer of the store. Returns whether the store was restored from a copy
    /// since the last one, so that a complete listing is needed.
    pub fn record_era(&mut self, now: Instant, era: Era) -> bool {
        let is_restored = self.eras.record(now, era);
        if is_restored {
            log::warn!("the store was restored from a copy, {era}");
            // Targets whose entries the copy lacks write them again.
            self.fleet.record_outage(now);
        }
        is_restored
    }

    /// Records that the document was the newest one at this time, according to a peer.
    pub fn confirm(&mut self, at: Instant) {
        self.record_response(at);
        self.lease.confirm(at);
    }

    /// Records a read of the store, requested at this time in the given era, that found the document
    /// of the given revision. Returns whether it confirms the document in force.
    pub fn confirm_read(&mut self, requested_at: Instant, era: Era, found: Revision) -> bool {
        let in_force = self.table.as_ref().map(|table| table.revision());
        // A copy may lack the document in force, and with it the one that follows.
        let is_confirmed = in_force == Some(found) && self.eras.is_conclusive(requested_at, era);
        if is_confirmed {
            self.lease.confirm(requested_at);
        }
        is_confirmed
    }

    /// Records that a read found the store at this position.
    pub fn record_store_position(&mut self, now: Instant, position: Position) {
        self.lag.record_store(now, position, self.facts.position());
    }

    /// Returns how far the facts are behind the store.
    pub fn lag(&self) -> &Lag {
        &self.lag
    }

    /// Adds the nodes beside these targets as peers. The targets themselves are not used, since
    /// their entries may be outdated.
    pub fn add_peers(&mut self, now: Instant, targets: &[Target]) {
        self.peers.set_targets(targets.iter());
        if !targets.is_empty() {
            self.rate_limiter.set_node_count(now, self.peers.len() + 1);
        }
    }

    fn apply_fact(&mut self, now: Instant, fact: &Fact, changes: &mut Changes) {
        match (&fact.key, &fact.value) {
            (Key::Document, Value::Document(document)) => {
                // An operator may change a document without a new revision number.
                let is_older =
                    self.table.as_ref().is_some_and(|table| document.revision < table.revision());
                if is_older {
                    return;
                }
                let table = Table::new(document.as_ref().clone());
                for error in table.errors() {
                    log::warn!(
                        revision:% = document.revision, error:% = error;
                        "a part of the configuration is not in force as published"
                    );
                }
                if self.requires_key(&table) && table.accounts().is_empty() {
                    log::warn!(
                        revision:% = document.revision;
                        "requests need a key, and no client account is published"
                    );
                }
                changes.table = Some(table.revision());
                self.rate_limiter.set_table(now, &table);
                let cold_limit = table.cold_limit(&self.settings.pool);
                self.gate.cold_mut().set_limit(now, cold_limit);
                self.resend_budgets.retain(|pool, _| table.pools().contains(pool));
                let listed = self.facts.targets().cloned().collect();
                self.fleet.set_pools(now, table.known_pools(), listed);
                self.table = Some(Arc::new(table));
            }
            (Key::Target(_), Value::Target(target)) => {
                changes.has_target_changes = true;
                self.fleet.put(now, target.clone());
            }
            (Key::Target(name), Value::Removed) => {
                changes.has_target_changes = true;
                self.fleet.remove(now, name);
            }
            (Key::Evacuation(data_centre), Value::Evacuated) => {
                if self.evacuations.begin(data_centre) {
                    changes.has_evacuation_changes = true;
                    log::info!(
                        data_centre = data_centre.as_str(), position:% = fact.position;
                        "evacuation of a data centre began"
                    );
                }
            }
            (Key::Evacuation(data_centre), Value::Removed) => {
                if self.evacuations.end(data_centre) {
                    changes.has_evacuation_changes = true;
                    log::info!(
                        data_centre = data_centre.as_str(), position:% = fact.position;
                        "evacuation of a data centre was taken back"
                    );
                }
            }
            (key, value) => log::warn!("ignored a mismatched fact: {key:?}, {value:?}"),
        }
    }

    /// Records what an entry says about whether its target is cold. Entries that change nothing else
    /// count as well.
    fn record_cold_entry(&mut self, now: Instant, fact: &Fact) {
        let Value::Target(target) = &fact.value else { return };
        if target.address == self.settings.target {
            self.gate.cold_mut().record_entry(now, fact.heartbeat, target.cold_remaining);
        }
        match target.cold_remaining.is_zero() {
            true => _ = self.cold_targets.remove(&target.name),
            false => {
                let claim = (now, target.cold_remaining);
                self.cold_targets.insert(target.name.clone(), claim);
            }
        }
    }

    /// Returns whether a target is cold and in a pool with a bound on cold targets.
    pub(super) fn is_cold(&self, now: Instant, name: &id::Vm) -> bool {
        let Some(target) = self.fleet.get(name) else { return false };
        let limit = self.table.as_ref().and_then(|table| table.cold_limit(&target.pool));
        let claim = limit.zip(self.cold_targets.get(name));
        claim.is_some_and(|(limit, (at, remaining))| {
            now < *at + (*remaining).min(limit.max_remaining())
        })
    }

    /// Updates all state that is derived from the table and the targets.
    pub(in crate::mesh) fn refresh(&mut self, now: Instant) {
        self.peers.set_targets(self.fleet.iter());
        self.rate_limiter.set_node_count(now, self.peers.len() + 1);
        if let Some(target) = self.fleet.by_address(self.settings.target) {
            self.gate.resize(target.slots);
            let instance = (target.name.clone(), target.started_at_ms);
            if self.own_instance.replace(instance.clone()).is_some_and(|last| last != instance) {
                self.gate.forget_target();
            }
        }
        self.gate.set_evacuated(self.is_own_evacuated());
        let mut listed: BTreeMap<id::Pool, Vec<balance::TargetInfo>> = BTreeMap::new();
        // Targets of evacuated data centres are not listed, so they are not picked for first sends
        // or resends, and ramp up like new ones afterwards.
        let is_usable = |target: &&Target| !self.evacuations.contains(&target.data_centre);
        for target in self.fleet.iter().filter(is_usable) {
            listed.entry(target.pool.clone()).or_default().push(balance::TargetInfo {
                vm: target.name.clone(),
                data_centre: target.data_centre.clone(),
                slots: target.slots,
                is_leaving: target.is_leaving,
            });
        }
        self.limited_targets.retain(|name| self.fleet.get(name).is_some());
        self.cold_targets.retain(|name, (at, remaining)| {
            now < *at + *remaining && self.fleet.get(name).is_some()
        });
        for (pool, picker) in &mut self.pickers {
            picker.set_targets(now, listed.get(pool).map_or(&[], Vec::as_slice));
        }
        for (pool, targets) in listed {
            if !self.pickers.contains_key(&pool) {
                let data_centre = self.settings.data_centre.clone();
                let seed = self.random.random();
                let settings = balance::Settings {
                    remote_factor: REMOTE_FACTOR,
                    busy_remote_factor: BUSY_REMOTE_FACTOR,
                    assumes_mean_load: true,
                    reported_latency: self.paced_pools.contains(&pool),
                    ..balance::Settings::default()
                };
                let mut picker = Picker::new(settings, data_centre, seed);
                picker.set_targets(now, &targets);
                self.pickers.insert(pool, picker);
            }
        }
    }
}
