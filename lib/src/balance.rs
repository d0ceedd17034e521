//! Load balancing: selects the target of a pool for each call.
//!
//! A pick compares a few random targets by expected cost, which combines the latency and the calls
//! in flight seen by this node with the load that the target's node last reported. Sampling few
//! targets at random keeps nodes with the same stale reports from all selecting the same target.
//! See docs/design/balance.md.

mod member;
mod path;

pub use member::{State, Status};

use {
    crate::{admission::CallResult, id, pressure, time::Instant},
    member::{MeanLoad, Member},
    path::Path,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// A target in the local data centre at or below this load has spare capacity.
const LOW_LOAD: f64 = 0.5;
/// A target in the local data centre at or above this load is nearly full.
const HIGH_LOAD: f64 = 0.85;

/// The settings of a picker.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The number of targets that a pick samples in the local data centre, and again in all others.
    pub choices: usize,
    /// The factor by which a remote target must be cheaper than a local one with spare capacity.
    pub remote_factor: f64,
    /// The factor by which a remote target must be cheaper than a local one that is nearly full.
    pub busy_remote_factor: f64,
    /// The age after which a report is ignored, in milliseconds.
    pub report_age_ms: u64,
    /// Whether the latency in a report, while that is not ignored, replaces the latency measured by
    /// this node. For pools whose targets change their pace faster than a node sends them calls.
    pub reported_latency: bool,
    /// The number of consecutive broken calls that ejects a target.
    pub eject_broken: u32,
    /// The fraction of a target's recent calls that must fail to eject it.
    pub eject_failed_share: f64,
    /// The duration of a target's first ejection, in milliseconds. It doubles with each further
    /// one.
    pub eject_ms: u64,
    /// The maximum duration of an ejection, in milliseconds.
    pub max_eject_ms: u64,
    /// The maximum fraction of a pool that is ejected at the same time.
    pub max_ejected_share: f64,
    /// The time over which a new or restored target ramps up to its full share, in milliseconds.
    pub ramp_ms: u64,
    /// Whether a target without a fresh report counts as loaded as the others. One call per
    /// `report_age_ms` still finds out its load. Otherwise it counts as idle, so that all nodes
    /// that rarely send to another data centre overrate the room there.
    pub assumes_mean_load: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            choices: 2,
            remote_factor: 1.5,
            busy_remote_factor: 1.5,
            report_age_ms: 500,
            reported_latency: false,
            eject_broken: 3,
            eject_failed_share: 0.5,
            eject_ms: 1000,
            max_eject_ms: 30_000,
            max_ejected_share: 0.5,
            ramp_ms: 2000,
            assumes_mean_load: false,
        }
    }
}

/// A target as described by the tables and the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInfo {
    /// The VM of the target.
    pub vm: id::Vm,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The published slots.
    pub slots: u32,
    /// Whether the target is leaving and gets no new calls.
    pub is_leaving: bool,
}

/// The state of a picker, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The targets by VM.
    pub members: BTreeMap<id::Vm, Status>,
}

/// Selects among the targets of one pool on behalf of one node.
#[derive(Debug)]
pub struct Picker {
    settings: Settings,
    data_centre: id::DataCentre,
    members: Vec<Member>,
    /// The mean load of the targets with fresh reports at the last pick.
    mean_load: MeanLoad,
    path: Path,
    rng: ChaCha8Rng,
    is_started: bool,
}

impl Picker {
    /// Creates a picker for a node in the given data centre. Picks are deterministic for equal
    /// seeds and events.
    pub fn new(settings: Settings, data_centre: id::DataCentre, seed: u64) -> Self {
        Self {
            settings,
            data_centre,
            members: Vec::new(),
            mean_load: MeanLoad::default(),
            path: Path::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_started: false,
        }
    }

    /// Replaces the pool's targets. New targets ramp up from a small share of the calls, except
    /// those in the first non-empty list after the node started.
    pub fn set_targets(&mut self, now: Instant, targets: &[TargetInfo]) {
        self.members.retain(|member| targets.iter().any(|target| target.vm == member.vm));
        for target in targets {
            match self.members.iter_mut().find(|member| member.vm == target.vm) {
                Some(member) => member.update(target),
                None => self.members.push(Member::new(target, self.is_started.then_some(now))),
            }
        }
        self.members.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.is_started |= !targets.is_empty();
    }

    /// Marks a target as leaving, so that it gets no new calls.
    pub fn mark_leaving(&mut self, vm: &id::Vm) {
        if let Some(member) = self.member_mut(vm) {
            member.is_leaving = true;
        }
    }

    /// Returns the target for the next call, skipping the excluded ones. An ejected target is
    /// returned only if there is no other.
    pub fn pick(&mut self, now: Instant, exclude: &[id::Vm]) -> Option<id::Vm> {
        if self.settings.assumes_mean_load {
            self.mean_load = MeanLoad::of(now, &self.members, &self.settings);
        }
        let is_allowed = |member: &Member| !member.is_leaving && !exclude.contains(&member.vm);
        let mut local = Vec::new();
        let mut remote = Vec::new();
        let mut ejected = Vec::new();
        for (i, member) in self.members.iter().enumerate().filter(|(_, m)| is_allowed(m)) {
            match member.state(now) {
                State::HalfOpen if member.in_flight == 0 => return Some(member.vm.clone()),
                State::HalfOpen | State::Ejected => ejected.push(i),
                State::Open if member.data_centre == self.data_centre => local.push(i),
                State::Open => remote.push(i),
            }
        }
        let local = self.cheapest(now, local);
        let remote = self.cheapest(now, remote);
        let chosen = match (local, remote) {
            (Some(local), Some(remote))
                if remote.1 * self.remote_factor(now, local.0) < local.1 =>
            {
                Some(remote)
            }
            (local, remote) => local.or(remote),
        };
        let (chosen, _) = chosen.or_else(|| self.cheapest(now, ejected))?;
        self.members[chosen].record_pick(now, &self.settings);
        Some(self.members[chosen].vm.clone())
    }

    /// Records that a call was sent.
    pub fn call_started(&mut self, vm: &id::Vm) {
        if let Some(member) = self.member_mut(vm) {
            member.in_flight += 1;
        }
    }

    /// Records the end of a call that was sent. A refusal by the target or its node is
    /// [`CallResult::Shed`]. `latency` is absent if it does not tell how fast the target is.
    pub fn call_finished(
        &mut self,
        now: Instant,
        vm: &id::Vm,
        kind: CallResult,
        latency: Option<Duration>,
    ) {
        let may_eject = self.may_eject(now, vm);
        let others_failed = self.others_failed_share(vm);
        let settings = self.settings.clone();
        let Some(member) = self.members.iter_mut().find(|member| member.vm == *vm) else { return };
        if let Some((latency, reported_s)) = latency.zip(member.reported_s(now, &settings))
            && kind == CallResult::Ok
        {
            let excess_s = latency.as_secs_f64() - reported_s;
            self.path.record(member.data_centre == self.data_centre, excess_s);
        }
        member.call_finished(now, kind, latency);
        let should_eject = member.should_eject(&settings, others_failed);
        let was_probe = member.state(now) == State::HalfOpen;
        if was_probe {
            member.finish_probe(now, kind, &settings);
        } else if should_eject && may_eject {
            member.eject(now, &settings);
        }
    }

    /// Records a load report of a target's node.
    pub fn record_report(&mut self, now: Instant, vm: &id::Vm, report: &pressure::Report) {
        if let Some(member) = self.member_mut(vm) {
            member.record_report(now, report);
        }
    }

    /// Sets whether picks use the latency in reports, see [`Settings::reported_latency`].
    pub fn use_reported_latency(&mut self, is_used: bool) {
        self.settings.reported_latency = is_used;
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let default_latency_s = self.mean_latency_s();
        let status = |member: &Member| {
            let cost = self.cost(now, member, default_latency_s);
            (member.vm.clone(), member.status(now, cost, self.mean_load, &self.settings))
        };
        Dump { members: self.members.iter().map(status).collect() }
    }

    /// Returns the factor by which a remote target must be cheaper than the given local one. It is
    /// interpolated by the local target's load, so that a nearly full target can be left more
    /// readily: a round trip to another data centre costs less than queueing.
    fn remote_factor(&self, now: Instant, local: usize) -> f64 {
        let load = self.members[local].load_share(now, self.mean_load, &self.settings);
        let fraction = ((load - LOW_LOAD) / (HIGH_LOAD - LOW_LOAD)).clamp(0.0, 1.0);
        let Settings { remote_factor, busy_remote_factor, .. } = self.settings;
        remote_factor + (busy_remote_factor - remote_factor) * fraction
    }

    fn member_mut(&mut self, vm: &id::Vm) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.vm == *vm)
    }

    fn cost(&self, now: Instant, member: &Member, default_latency_s: f64) -> f64 {
        let is_local = member.data_centre == self.data_centre;
        let path_s = if is_local { 0.0 } else { self.path.remote_s() };
        member.cost(now, default_latency_s, self.mean_load, path_s, &self.settings)
    }

    /// Returns the cheapest of a few random candidates and its cost.
    fn cheapest(&mut self, now: Instant, mut candidates: Vec<usize>) -> Option<(usize, f64)> {
        let default_latency_s = self.mean_latency_s();
        let mut best: Option<(usize, f64)> = None;
        for _ in 0..self.settings.choices.min(candidates.len()) {
            let index = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            let cost = self.cost(now, &self.members[index], default_latency_s);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((index, cost));
            }
        }
        best
    }

    /// Returns the mean of the known latencies, used for targets without a measured latency.
    fn mean_latency_s(&self) -> f64 {
        const FALLBACK_S: f64 = 0.001;
        let known = self.members.iter().filter_map(Member::latency_s);
        let (sum, count) = known.fold((0.0, 0), |(sum, count), one| (sum + one, count + 1));
        if count == 0 { FALLBACK_S } else { sum / f64::from(count) }
    }

    fn may_eject(&self, now: Instant, vm: &id::Vm) -> bool {
        let active = self.members.iter().filter(|member| !member.is_leaving);
        let (mut count, mut ejected) = (0, 1);
        for member in active {
            count += 1;
            let is_unavailable = member.state(now) != State::Open;
            ejected += usize::from(is_unavailable && member.vm != *vm);
        }
        ejected as f64 <= count as f64 * self.settings.max_ejected_share
    }

    /// Returns the mean fraction of failed calls of the other targets.
    fn others_failed_share(&self, vm: &id::Vm) -> f64 {
        let others = self.members.iter().filter(|member| member.vm != *vm);
        let (sum, count) =
            others.fold((0.0, 0), |(sum, count), other| (sum + other.failed_share(), count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}
