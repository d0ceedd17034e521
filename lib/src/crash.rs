//! Detects and refuses requests that crash the targets running them.
//!
//! When a target dies, any request in flight there may be the cause. [`CrashTracker`] collects the
//! crashes seen by all nodes, clears requests that have completed elsewhere, and refuses a request
//! that is blamed for at least two crashes. See docs/design/crashers.md and
//! docs/operate/crashers.md.

mod completed;
mod event;

pub use event::{Clearing, Crash, CrashId, Message};

use {
    crate::{
        call::{Reason, Refusal},
        id::{Call, Incarnation, Vm},
        time::Instant,
    },
    completed::CompletedRequests,
    event::Event,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// The blame from which a request is refused. Each crash contributes a total blame of one. Two
/// crashes with a single common suspect add up to two; two crashes with the same two suspects add
/// up to one for each, which does not tell the suspects apart.
const MIN_BLAME: f64 = 1.25;
/// The wait given to a refused caller. An innocent request is cleared sooner than that.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The number of fingerprints in one message from which no further crash or clearing is added.
const MAX_FINGERPRINTS_PER_MESSAGE: usize = 256;
/// The number of gossip rounds per item beyond those that reach all nodes if no message is lost.
const EXTRA_ROUNDS: u32 = 2;

/// How long crashes and completed requests are kept, and how many.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How long a crash counts, in milliseconds.
    pub keep_ms: u64,
    /// How long a completed request is taken as not crashing targets, in milliseconds.
    pub proof_ms: u64,
    /// The maximum number of crashes that a node keeps. The oldest is removed first.
    pub crashes_max: usize,
    /// The maximum number of suspects per crash.
    pub suspects_max: usize,
    /// The maximum number of completed requests that a node keeps. The oldest is removed first.
    pub proofs_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            keep_ms: 600_000,
            proof_ms: 30_000,
            crashes_max: 128,
            suspects_max: 512,
            proofs_max: 16_384,
        }
    }
}

impl Settings {
    fn retention(&self) -> Duration {
        Duration::from_millis(self.keep_ms)
    }

    fn proof_lifetime(&self) -> Duration {
        Duration::from_millis(self.proof_ms)
    }
}

/// Target crashes and suspected requests known to one node.
#[derive(Debug)]
pub struct CrashTracker {
    vm: Vm,
    incarnation: Incarnation,
    settings: Settings,
    in_flight: HashMap<Call, u64>,
    events: BTreeMap<CrashId, Event>,
    completed_requests: CompletedRequests,
    refused: HashSet<u64>,
    next_sequence: u64,
}

impl CrashTracker {
    /// Creates the tracker of a node that knows of no crash.
    pub fn new(vm: Vm, incarnation: Incarnation, settings: Settings) -> Self {
        Self {
            vm,
            incarnation,
            completed_requests: CompletedRequests::new(settings.proofs_max),
            settings,
            in_flight: HashMap::new(),
            events: BTreeMap::new(),
            refused: HashSet::new(),
            next_sequence: 0,
        }
    }

    /// Refuses a request that is blamed for crashes.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the outcome not-run, because no byte of this request was sent to a
    /// target.
    pub fn check(&self, fingerprint: u64) -> Result<(), Refusal> {
        if self.refused.contains(&fingerprint) {
            return Err(Refusal::not_run(Reason::Crasher).after(RETRY_AFTER));
        }
        Ok(())
    }

    /// Records that the first byte of a call is about to be sent to the node's own target.
    pub fn call_started(&mut self, call: Call, fingerprint: u64) {
        self.in_flight.insert(call, fingerprint);
    }

    /// Records the end of a call. `completed` tells whether the target sent a complete answer.
    pub fn call_ended(&mut self, now: Instant, call: Call, completed: bool) {
        let Some(fingerprint) = self.in_flight.remove(&call) else { return };
        if completed {
            self.request_completed(now, fingerprint);
        }
    }

    /// Records that a target on any VM sent a complete answer to a request of this node.
    pub fn request_completed(&mut self, now: Instant, fingerprint: u64) {
        self.completed_requests.add(now, fingerprint);
        let is_suspect = |event: &Event| event.suspects.contains(&fingerprint);
        if self.events.values().any(is_suspect) {
            self.clear(&[fingerprint]);
        }
    }

    /// Records that the node's own target crashed. The calls in flight become suspects.
    pub fn target_crashed(&mut self, now: Instant) {
        let mut suspects: BTreeSet<u64> =
            self.in_flight.drain().map(|(_, fingerprint)| fingerprint).collect();
        suspects.retain(|fingerprint| !self.is_proven_harmless(now, *fingerprint));
        let known: BTreeSet<u64> = self.counts().into_keys().collect();
        // If not all suspects can be kept, those of earlier crashes take precedence.
        let (earlier_suspects, new_suspects): (Vec<u64>, Vec<u64>) =
            suspects.into_iter().partition(|fingerprint| known.contains(fingerprint));
        let kept = earlier_suspects
            .into_iter()
            .chain(new_suspects)
            .take(self.settings.suspects_max)
            .collect();
        let id = CrashId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.events.insert(id, Event::new(now, now, kept));
        self.prune_and_update(now);
    }

    /// Merges a message from another node.
    pub fn receive(&mut self, now: Instant, message: Message) {
        for crash in message.crashes {
            self.add_remote_crash(now, crash);
        }
        for clearing in message.clearings {
            if let Some(event) = self.events.get_mut(&clearing.crash) {
                event.clear(&clearing.fingerprints);
            }
        }
        self.prune_and_update(now);
    }

    fn add_remote_crash(&mut self, now: Instant, crash: Crash) {
        let age = Duration::from_millis(crash.age_ms);
        if age >= self.settings.retention() {
            return;
        }
        if let Some(event) = self.events.get_mut(&crash.id) {
            event.clear(&crash.cleared);
            return;
        }
        let suspects: BTreeSet<u64> =
            crash.suspects.into_iter().take(self.settings.suspects_max).collect();
        let harmless: Vec<u64> = suspects
            .iter()
            .filter(|fingerprint| self.is_proven_harmless(now, **fingerprint))
            .copied()
            .collect();
        let mut event = Event::new(now, now - age, suspects);
        event.clear(&crash.cleared);
        self.events.insert(crash.id, event);
        if !harmless.is_empty() {
            self.clear(&harmless);
        }
    }

    /// Returns the digests of the known crashes with their cleared suspects.
    pub fn digests(&self) -> impl Iterator<Item = u64> {
        self.events.iter().map(|(id, event)| event.digest(id))
    }

    /// Returns the crashes whose digests are not in `known`.
    pub fn missing_from(&self, now: Instant, known: &HashSet<u64>) -> Vec<Crash> {
        let missing = self.events.iter().filter(|(id, event)| !known.contains(&event.digest(id)));
        missing.map(|(id, event)| event.to_crash(now, id.clone())).collect()
    }

    /// Merges crashes that another node knows. They are not spread further, since each node asks its
    /// peers by itself.
    pub fn merge(&mut self, now: Instant, crashes: Vec<Crash>) {
        for crash in crashes {
            let id = crash.id.clone();
            let is_new = !self.events.contains_key(&id);
            self.add_remote_crash(now, crash);
            if let Some(event) = self.events.get_mut(&id).filter(|_| is_new) {
                event.settle();
            }
        }
        self.prune_and_update(now);
    }

    /// Returns the message to gossip now to a few randomly selected nodes, if any. `nodes` is the
    /// number of all nodes, including this one.
    pub fn next_message(&mut self, now: Instant, nodes: usize) -> Option<Message> {
        let max_rounds = usize::BITS - nodes.leading_zeros() + EXTRA_ROUNDS;
        let mut message = Message::default();
        let mut fingerprint_count = 0;
        for (id, event) in &mut self.events {
            if fingerprint_count >= MAX_FINGERPRINTS_PER_MESSAGE {
                break;
            }
            if event.rounds < max_rounds {
                event.rounds += 1;
                fingerprint_count += event.suspects.len() + event.cleared.len();
                message.crashes.push(event.to_crash(now, id.clone()));
            }
            let fingerprints = event.take_clearings(
                max_rounds,
                MAX_FINGERPRINTS_PER_MESSAGE.saturating_sub(fingerprint_count),
            );
            if !fingerprints.is_empty() {
                fingerprint_count += fingerprints.len();
                message.clearings.push(Clearing { crash: id.clone(), fingerprints });
            }
        }
        let is_empty = message.crashes.is_empty() && message.clearings.is_empty();
        (!is_empty).then_some(message)
    }

    /// Removes expired crashes and completed requests.
    pub fn tick(&mut self, now: Instant) {
        let retention = self.settings.retention();
        let before = self.events.len();
        self.events.retain(|_, event| now - event.at < retention);
        self.completed_requests.tick(now, self.settings.proof_lifetime());
        if self.events.len() != before {
            self.prune_and_update(now);
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let counts = self.counts();
        let mut refused: Vec<Refused> = self
            .refused
            .iter()
            .map(|fingerprint| Refused {
                fingerprint: format!("{fingerprint:016x}"),
                crashes: counts.get(fingerprint).copied().unwrap_or(0),
            })
            .collect();
        refused.sort_by(|a, b| a.fingerprint.cmp(&b.fingerprint));
        let newest = self.events.values().map(|event| now - event.at).min();
        Dump {
            crashes: self.events.len(),
            newest_age_ms: newest.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            suspects: counts.len(),
            refused,
            in_flight: self.in_flight.len(),
        }
    }

    fn is_proven_harmless(&self, now: Instant, fingerprint: u64) -> bool {
        self.completed_requests.contains(now, fingerprint, self.settings.proof_lifetime())
    }

    fn clear(&mut self, fingerprints: &[u64]) {
        for event in self.events.values_mut() {
            event.clear(fingerprints);
        }
        self.update_refused();
    }

    /// Returns the number of crashes of which each suspect has not been cleared.
    fn counts(&self) -> HashMap<u64, u32> {
        let mut counts = HashMap::new();
        for fingerprint in self.events.values().flat_map(Event::blamed) {
            *counts.entry(fingerprint).or_default() += 1;
        }
        counts
    }

    fn prune_and_update(&mut self, now: Instant) {
        let retention = self.settings.retention();
        self.events.retain(|_, event| now - event.at < retention);
        while self.events.len() > self.settings.crashes_max {
            let oldest = self.events.iter().min_by_key(|(_, event)| event.at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { break };
            self.events.remove(&id);
        }
        self.update_refused();
    }

    // Each crash is blamed, in equal parts, on those of its suspects that were in flight at the
    // largest number of crashes. A crash without a suspect in two or more crashes is blamed on
    // none.
    fn update_refused(&mut self) {
        let counts = self.counts();
        let count = |fingerprint: &u64| counts.get(fingerprint).copied().unwrap_or(0);
        let mut blame: HashMap<u64, f64> = HashMap::new();
        for event in self.events.values() {
            let max_count =
                event.blamed().map(|fingerprint| count(&fingerprint)).max().unwrap_or(0);
            if max_count < 2 {
                continue;
            }
            let blamed: Vec<u64> =
                event.blamed().filter(|fingerprint| count(fingerprint) == max_count).collect();
            for fingerprint in &blamed {
                *blame.entry(*fingerprint).or_default() += 1.0 / blamed.len() as f64;
            }
        }
        let exceeds_limit = |(_, blame): &(&u64, &f64)| **blame >= MIN_BLAME;
        self.refused =
            blame.iter().filter(exceeds_limit).map(|(fingerprint, _)| *fingerprint).collect();
    }
}

/// A refused request, for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Refused {
    /// The hash of account, method, path and body.
    pub fingerprint: String,
    /// The number of crashes at which it was in flight and of which it has not been cleared.
    pub crashes: u32,
}

/// The state of a crash tracker, for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// The number of unexpired crashes of all nodes' targets.
    pub crashes: usize,
    /// The age of the newest crash, in milliseconds.
    pub newest_age_ms: Option<u64>,
    /// The number of requests that have not been cleared of every crash.
    pub suspects: usize,
    /// The refused requests.
    pub refused: Vec<Refused>,
    /// The number of calls in flight at the node's own target.
    pub in_flight: usize,
}
