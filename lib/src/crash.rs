//! Requests that crash the targets which run them.
//!
//! When a target dies, every request in flight at it may be the cause. [`CrashTracker`] gathers
//! such crashes from all nodes, clears the requests that completed elsewhere, and refuses one that
//! bears the blame for at least two crashes. See docs/design/crashers.md and
//! docs/operate/crashers.md.

mod event;
mod proof;

pub use event::{Clearing, Crash, CrashId, Message};

use {
    crate::{
        call::{Reason, Refusal},
        id::{Call, Incarnation, Vm},
        time::Instant,
    },
    event::Event,
    proof::Proofs,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// Blame above which a request is refused. Two crashes with one suspect each make two; two
/// crashes with the same two suspects make one for each, which does not tell them apart.
const BLAME_MIN: f64 = 1.25;
/// What a refused caller is told. A bystander is cleared sooner than that.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Fingerprints in one message, above which no further crash or clearing is added.
const FINGERPRINTS_PER_MESSAGE: usize = 256;
/// How often an item is passed on beyond the number of rounds that reach all nodes if none is lost.
const EXTRA_ROUNDS: u32 = 2;

/// How long crashes are remembered, and how many.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How long a crash counts.
    pub keep_ms: u64,
    /// How long a completed run of a request proves that it does not crash targets.
    pub proof_ms: u64,
    /// Crashes that a node remembers. The oldest is forgotten first.
    pub crashes_max: usize,
    /// CrashTracker of one crash.
    pub suspects_max: usize,
    /// Completed requests that a node remembers. The oldest is forgotten first.
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
    fn keep(&self) -> Duration {
        Duration::from_millis(self.keep_ms)
    }

    fn proof(&self) -> Duration {
        Duration::from_millis(self.proof_ms)
    }
}

/// The crashes of targets and the requests under suspicion, as one node knows them.
#[derive(Debug)]
pub struct CrashTracker {
    vm: Vm,
    incarnation: Incarnation,
    settings: Settings,
    flight: HashMap<Call, u64>,
    events: BTreeMap<CrashId, Event>,
    proofs: Proofs,
    refused: HashSet<u64>,
    next: u64,
}

impl CrashTracker {
    /// Makes the state of a node that knows of no crash.
    pub fn new(vm: Vm, incarnation: Incarnation, settings: Settings) -> Self {
        Self {
            vm,
            incarnation,
            proofs: Proofs::new(settings.proofs_max),
            settings,
            flight: HashMap::new(),
            events: BTreeMap::new(),
            refused: HashSet::new(),
            next: 0,
        }
    }

    /// Refuses a request that bears the blame for crashes.
    ///
    /// # Errors
    ///
    /// Returns a refusal as not run, because no byte of this transmission reached a target.
    pub fn check(&self, fingerprint: u64) -> Result<(), Refusal> {
        if self.refused.contains(&fingerprint) {
            return Err(Refusal::not_run(Reason::Crasher).after(RETRY_AFTER));
        }
        Ok(())
    }

    /// Notes that the first byte of a call is about to go to the node's own target.
    pub fn call_started(&mut self, call: Call, fingerprint: u64) {
        self.flight.insert(call, fingerprint);
    }

    /// Notes that a call ended. `completed` means that the target gave a whole answer.
    pub fn call_ended(&mut self, now: Instant, call: Call, completed: bool) {
        let Some(fingerprint) = self.flight.remove(&call) else { return };
        if completed {
            self.request_completed(now, fingerprint);
        }
    }

    /// Notes that a target of any VM gave a whole answer to a request that this node sent there.
    pub fn request_completed(&mut self, now: Instant, fingerprint: u64) {
        self.proofs.add(now, fingerprint);
        let is_suspect = |event: &Event| event.suspects.contains(&fingerprint);
        if self.events.values().any(is_suspect) {
            self.clear(&[fingerprint]);
        }
    }

    /// Notes that the node's own target died. The calls in flight are its suspects.
    pub fn target_crashed(&mut self, now: Instant) {
        let mut suspects: BTreeSet<u64> = self.flight.drain().map(|(_, print)| print).collect();
        suspects.retain(|print| !self.is_proved(now, *print));
        let known: BTreeSet<u64> = self.counts().into_keys().collect();
        // Where not all can be kept, those that were suspects before matter most.
        let (again, new): (Vec<u64>, Vec<u64>) =
            suspects.into_iter().partition(|print| known.contains(print));
        let kept = again.into_iter().chain(new).take(self.settings.suspects_max).collect();
        let id =
            CrashId { vm: self.vm.clone(), incarnation: self.incarnation, sequence: self.next };
        self.next += 1;
        self.events.insert(id, Event::new(now, now, kept));
        self.judge(now);
    }

    /// Takes in what another node passes on.
    pub fn receive(&mut self, now: Instant, message: Message) {
        for crash in message.crashes {
            self.learn(now, crash);
        }
        for clearing in message.clearings {
            if let Some(event) = self.events.get_mut(&clearing.crash) {
                event.clear(&clearing.fingerprints);
            }
        }
        self.judge(now);
    }

    fn learn(&mut self, now: Instant, crash: Crash) {
        let age = Duration::from_millis(crash.age_ms);
        if age >= self.settings.keep() {
            return;
        }
        if let Some(event) = self.events.get_mut(&crash.id) {
            event.clear(&crash.cleared);
            return;
        }
        let suspects: BTreeSet<u64> =
            crash.suspects.into_iter().take(self.settings.suspects_max).collect();
        let proved: Vec<u64> =
            suspects.iter().filter(|print| self.is_proved(now, **print)).copied().collect();
        let mut event = Event::new(now, now - age, suspects);
        event.clear(&crash.cleared);
        self.events.insert(crash.id, event);
        if !proved.is_empty() {
            self.clear(&proved);
        }
    }

    /// Returns what is to be passed on now to a few other nodes picked at random, of `nodes` in
    /// all.
    pub fn next_message(&mut self, now: Instant, nodes: usize) -> Option<Message> {
        let rounds = usize::BITS - nodes.leading_zeros() + EXTRA_ROUNDS;
        let mut message = Message::default();
        let mut size = 0;
        for (id, event) in &mut self.events {
            if size >= FINGERPRINTS_PER_MESSAGE {
                break;
            }
            if event.rounds < rounds {
                event.rounds += 1;
                size += event.suspects.len() + event.cleared.len();
                message.crashes.push(event.to_crash(now, id.clone()));
            }
            let fingerprints = event.news(rounds, FINGERPRINTS_PER_MESSAGE.saturating_sub(size));
            if !fingerprints.is_empty() {
                size += fingerprints.len();
                message.clearings.push(Clearing { crash: id.clone(), fingerprints });
            }
        }
        let is_empty = message.crashes.is_empty() && message.clearings.is_empty();
        (!is_empty).then_some(message)
    }

    /// Forgets crashes that no longer count.
    pub fn tick(&mut self, now: Instant) {
        let keep = self.settings.keep();
        let before = self.events.len();
        self.events.retain(|_, event| now - event.at < keep);
        self.proofs.tick(now, self.settings.proof());
        if self.events.len() != before {
            self.judge(now);
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let counts = self.counts();
        let mut refused: Vec<Refused> = self
            .refused
            .iter()
            .map(|print| Refused {
                fingerprint: format!("{print:016x}"),
                crashes: counts.get(print).copied().unwrap_or(0),
            })
            .collect();
        refused.sort_by(|a, b| a.fingerprint.cmp(&b.fingerprint));
        let newest = self.events.values().map(|event| now - event.at).min();
        Dump {
            crashes: self.events.len(),
            newest_age_ms: newest.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            suspects: counts.len(),
            refused,
            in_flight: self.flight.len(),
        }
    }

    fn is_proved(&self, now: Instant, fingerprint: u64) -> bool {
        self.proofs.contains(now, fingerprint, self.settings.proof())
    }

    fn clear(&mut self, fingerprints: &[u64]) {
        for event in self.events.values_mut() {
            event.clear(fingerprints);
        }
        self.judge_again();
    }

    /// Returns for each suspect the number of crashes that it is not cleared of.
    fn counts(&self) -> HashMap<u64, u32> {
        let mut counts = HashMap::new();
        for fingerprint in self.events.values().flat_map(Event::blamed) {
            *counts.entry(fingerprint).or_default() += 1;
        }
        counts
    }

    fn judge(&mut self, now: Instant) {
        let keep = self.settings.keep();
        self.events.retain(|_, event| now - event.at < keep);
        while self.events.len() > self.settings.crashes_max {
            let oldest = self.events.iter().min_by_key(|(_, event)| event.at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { break };
            self.events.remove(&id);
        }
        self.judge_again();
    }

    // Each crash is blamed on those of its suspects that were in flight at most crashes.
    fn judge_again(&mut self) {
        let counts = self.counts();
        let count = |print: &u64| counts.get(print).copied().unwrap_or(0);
        let mut blame: HashMap<u64, f64> = HashMap::new();
        for event in self.events.values() {
            let most = event.blamed().map(|print| count(&print)).max().unwrap_or(0);
            if most < 2 {
                continue;
            }
            let blamed: Vec<u64> = event.blamed().filter(|print| count(print) == most).collect();
            for fingerprint in &blamed {
                *blame.entry(*fingerprint).or_default() += 1.0 / blamed.len() as f64;
            }
        }
        let is_over = |(_, blame): &(&u64, &f64)| **blame >= BLAME_MIN;
        self.refused = blame.iter().filter(is_over).map(|(print, _)| *print).collect();
    }
}

/// A refused request as operators see it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Refused {
    /// The digest of account, method, path and body.
    pub fingerprint: String,
    /// The crashes that it was in flight at.
    pub crashes: u32,
}

/// The state as operators see it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Dump {
    /// Crashes that still count, of targets of all nodes.
    pub crashes: usize,
    /// The age of the newest of them.
    pub newest_age_ms: Option<u64>,
    /// Requests that are not cleared of every crash.
    pub suspects: usize,
    /// Requests that are refused.
    pub refused: Vec<Refused>,
    /// Calls in flight at the node's own target.
    pub in_flight: usize,
}
