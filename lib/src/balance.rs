//! Chooses the target of a pool that a call goes to.
//!
//! A pick compares a few random targets by their expected cost: latency as seen from here, calls in
//! flight from here, and the room that the target's node last reported. Few random choices keep many
//! nodes with the same stale news from all sending to one target. See docs/design/balance.md.

mod member;

pub use member::{State, Status};

use {
    crate::{admission::CallResult, id, pressure, time::Instant},
    member::Member,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// The load up to which a target in the own data centre counts as one that has room.
const ROOMY_LOAD: f64 = 0.5;
/// The load above which a target in the own data centre counts as nearly full.
const BUSY_LOAD: f64 = 0.85;

/// How a picker decides.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The targets that a pick compares in the own data centre, and again in the others.
    pub choices: usize,
    /// The factor by which a target elsewhere has to be cheaper than one in the own data centre
    /// that has room.
    pub remote_factor: f64,
    /// The same towards a target in the own data centre that is nearly full.
    pub busy_remote_factor: f64,
    /// The age at which a report is no longer used, in milliseconds.
    pub report_age_ms: u64,
    /// Broken calls in a row that eject a target.
    pub eject_broken: u32,
    /// The part of a target's calls that fail, among the last ones, that ejects it.
    pub eject_failed_share: f64,
    /// The first time for which a target stays ejected, in milliseconds. It doubles each time.
    pub eject_ms: u64,
    /// The longest time for which a target stays ejected, in milliseconds.
    pub max_eject_ms: u64,
    /// The largest part of a pool that is ejected at once.
    pub max_ejected_share: f64,
    /// The time over which a new or returned target gets its full part, in milliseconds.
    pub ramp_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            choices: 2,
            remote_factor: 1.5,
            busy_remote_factor: 1.5,
            report_age_ms: 500,
            eject_broken: 3,
            eject_failed_share: 0.5,
            eject_ms: 1000,
            max_eject_ms: 30_000,
            max_ejected_share: 0.5,
            ramp_ms: 2000,
        }
    }
}

/// One target as the tables and the membership give it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInfo {
    /// The VM of the target.
    pub vm: id::Vm,
    /// Where the VM is.
    pub data_centre: id::DataCentre,
    /// The published slots.
    pub slots: u32,
    /// Whether the target is leaving, and so gets no new calls.
    pub is_leaving: bool,
}

/// The state of a picker, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The targets by VM.
    pub members: BTreeMap<id::Vm, Status>,
}

/// The choice among the targets of one pool, as one node makes it.
#[derive(Debug)]
pub struct Picker {
    settings: Settings,
    data_centre: id::DataCentre,
    members: Vec<Member>,
    rng: ChaCha8Rng,
    is_started: bool,
}

impl Picker {
    /// Makes a picker of a node in the given data centre. Equal seeds and events give equal picks.
    pub fn new(settings: Settings, data_centre: id::DataCentre, seed: u64) -> Self {
        Self {
            settings,
            data_centre,
            members: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_started: false,
        }
    }

    /// Takes in the pool's targets. One that was not there before starts with a small part of the
    /// calls, but for the first list of a node's life.
    pub fn set_targets(&mut self, now: Instant, listed: &[TargetInfo]) {
        self.members.retain(|member| listed.iter().any(|other| other.vm == member.vm));
        for other in listed {
            match self.members.iter_mut().find(|member| member.vm == other.vm) {
                Some(member) => member.update(other),
                None => self.members.push(Member::new(other, self.is_started.then_some(now))),
            }
        }
        self.members.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.is_started |= !listed.is_empty();
    }

    /// Stops new calls to a target at once.
    pub fn mark_leaving(&mut self, vm: &id::Vm) {
        if let Some(member) = self.find(vm) {
            member.is_leaving = true;
        }
    }

    /// Returns the target for the next call, none of the excluded ones. An ejected target is
    /// returned only where there is no other.
    pub fn pick(&mut self, now: Instant, exclude: &[id::Vm]) -> Option<id::Vm> {
        let is_allowed = |member: &Member| !member.is_leaving && !exclude.contains(&member.vm);
        let mut near = Vec::new();
        let mut far = Vec::new();
        let mut ejected = Vec::new();
        for (i, member) in self.members.iter().enumerate().filter(|(_, m)| is_allowed(m)) {
            match member.state(now) {
                State::HalfOpen if member.in_flight == 0 => return Some(member.vm.clone()),
                State::HalfOpen | State::Ejected => ejected.push(i),
                State::Open if member.data_centre == self.data_centre => near.push(i),
                State::Open => far.push(i),
            }
        }
        let near = self.cheapest(now, near);
        let far = self.cheapest(now, far);
        let chosen = match (near, far) {
            (Some(near), Some(far)) if far.1 * self.remote_factor(now, near.0) < near.1 => {
                Some(far)
            }
            (near, far) => near.or(far),
        };
        let chosen = chosen.or_else(|| self.cheapest(now, ejected));
        chosen.map(|(i, _)| self.members[i].vm.clone())
    }

    /// Notes that a call was sent.
    pub fn call_started(&mut self, vm: &id::Vm) {
        if let Some(member) = self.find(vm) {
            member.in_flight += 1;
        }
    }

    /// Notes the end of a call that was sent. A refusal by the target or its node is [`CallResult::Shed`].
    pub fn call_finished(
        &mut self,
        now: Instant,
        vm: &id::Vm,
        kind: CallResult,
        latency: Duration,
    ) {
        let may_eject = self.may_eject(now, vm);
        let rest_failed = self.rest_failed_share(vm);
        let settings = self.settings.clone();
        let Some(member) = self.find(vm) else { return };
        member.finish(now, kind, latency);
        let is_sick = member.is_sick(&settings, rest_failed);
        let was_probe = member.state(now) == State::HalfOpen;
        if was_probe {
            member.settle_probe(now, kind, &settings);
        } else if is_sick && may_eject {
            member.eject(now, &settings);
        }
    }

    /// Takes in a target's report of its room.
    pub fn record_report(&mut self, now: Instant, vm: &id::Vm, report: &pressure::Report) {
        if let Some(member) = self.find(vm) {
            member.note_report(now, report);
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let usual_s = self.usual_latency_s();
        let status = |member: &Member| member.status(now, usual_s, &self.settings);
        let status = |member: &Member| (member.vm.clone(), status(member));
        Dump { members: self.members.iter().map(status).collect() }
    }

    /// The factor towards a near target falls with its load, because the way to another data centre
    /// costs less than a wait.
    fn remote_factor(&self, now: Instant, near: usize) -> f64 {
        let load = self.members[near].load_share(now, &self.settings);
        let busy = ((load - ROOMY_LOAD) / (BUSY_LOAD - ROOMY_LOAD)).clamp(0.0, 1.0);
        let Settings { remote_factor, busy_remote_factor, .. } = self.settings;
        remote_factor + (busy_remote_factor - remote_factor) * busy
    }

    fn find(&mut self, vm: &id::Vm) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.vm == *vm)
    }

    /// Returns the cheapest of a few random candidates, and its cost.
    fn cheapest(&mut self, now: Instant, mut candidates: Vec<usize>) -> Option<(usize, f64)> {
        let usual_s = self.usual_latency_s();
        let mut best: Option<(usize, f64)> = None;
        for _ in 0..self.settings.choices.min(candidates.len()) {
            let drawn = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            let cost = self.members[drawn].cost(now, usual_s, &self.settings);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((drawn, cost));
            }
        }
        best
    }

    /// Returns the mean of the known latencies, which stands in for one that is not known.
    fn usual_latency_s(&self) -> f64 {
        const UNKNOWN_S: f64 = 0.001;
        let known = self.members.iter().filter_map(Member::latency_s);
        let (sum, count) = known.fold((0.0, 0), |(sum, count), one| (sum + one, count + 1));
        if count == 0 { UNKNOWN_S } else { sum / f64::from(count) }
    }

    fn may_eject(&self, now: Instant, vm: &id::Vm) -> bool {
        let live = self.members.iter().filter(|member| !member.is_leaving);
        let (mut count, mut ejected) = (0, 1);
        for member in live {
            count += 1;
            let is_out = member.state(now) != State::Open;
            ejected += usize::from(is_out && member.vm != *vm);
        }
        ejected as f64 <= count as f64 * self.settings.max_ejected_share
    }

    /// Returns the part of the calls that failed at the other targets.
    fn rest_failed_share(&self, vm: &id::Vm) -> f64 {
        let rest = self.members.iter().filter(|member| member.vm != *vm);
        let (sum, count) =
            rest.fold((0.0, 0), |(sum, count), other| (sum + other.failed_share(), count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}
