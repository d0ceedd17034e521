//! Server side of calls: admission to the node's own target, runs and their results.

use {
    super::{
        Action, Node,
        call::{Call, HOP_MARGIN, Origin, Stage},
        dispatch::{result_of_refusal, result_of_status},
        event::RunResult,
    },
    crate::{
        admission,
        call::{Offer, Reason, Refusal},
        id, retry,
        time::Instant,
    },
    std::time::Duration,
};

/// The number of peers that are sent a crash report at once, because the caller may already be
/// retrying the request elsewhere.
const INITIAL_CRASH_FANOUT: usize = 16;

impl Node {
    /// Handles a call that a peer forwarded to this node's own target.
    pub(super) fn offered(&mut self, call: id::Call, from: id::Vm, offer: Offer) {
        self.counts.offered += 1;
        let state = Call {
            origin: Origin::Peer { vm: from },
            deadline: self.now + offer.remaining,
            budget: retry::Budget::new(offer.retries),
            quota: None,
            stage: Stage::Queued,
            attempts: 1,
            reroutes: 0,
            tried: Vec::new(),
            may_have_run: false,
            children: Vec::new(),
            keyed: None,
            answered_by: None,
            downstream_pools: Vec::new(),
            offer,
        };
        self.register_call(call, state);
        if self.is_closed() {
            return self.give_up(call, Refusal::not_run(Reason::Leaving));
        }
        if let Err(refusal) = self.check_crash_suspect(call) {
            return self.give_up(call, refusal);
        }
        self.admit(call);
    }

    fn check_crash_suspect(&self, call: id::Call) -> Result<(), Refusal> {
        let fingerprint = self.calls.get(&call).map(|state| state.offer.fingerprint);
        fingerprint.map_or(Ok(()), |fingerprint| self.crash_tracker.check(fingerprint))
    }

    /// Offers a call to admission control of the node's own target.
    pub(super) fn admit(&mut self, call: id::Call) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.stage = Stage::Queued;
        let weight =
            self.tables.as_ref().zip(state.offer.account.as_ref()).and_then(|(tables, account)| {
                tables.accounts().get(account).map(|account| account.rate.0)
            });
        let request = admission::Request {
            account: state.offer.account.clone(),
            weight: u32::try_from(weight.unwrap_or(1)).unwrap_or(u32::MAX),
            class: state.offer.class,
            deadline: state.deadline,
            depth: state.offer.depth,
        };
        let offered = self.admission.offer(now, call, &request);
        self.release(offered.releases);
        match offered.decision {
            admission::Decision::Run => self.run(call),
            admission::Decision::Queued => {}
            admission::Decision::Refused(refusal) => self.refused_locally(call, refusal),
        }
    }

    /// Runs or refuses queued calls that admission control has released.
    pub(super) fn release(&mut self, released: Vec<admission::Release>) {
        for release in released {
            match release {
                admission::Release::Run(call) => self.run(call),
                admission::Release::Refuse(call, refusal) => self.refused_locally(call, refusal),
            }
        }
    }

    fn refused_locally(&mut self, call: id::Call, refusal: Refusal) {
        self.record_local_result(call, result_of_refusal(&refusal), Duration::ZERO);
        self.mark_tried(call, self.vm.clone());
        self.retry_or_give_up(call, refusal, false);
    }

    fn run(&mut self, call: id::Call) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else {
            let released = self.admission.complete(now, call, cancelled());
            return self.release(released);
        };
        let Ok(context) = self.contexts.open(call, ()) else {
            let released = self.admission.complete(now, call, cancelled());
            self.refused_locally(call, Refusal::not_run(Reason::Overload));
            return self.release(released);
        };
        if let Some(claim) = &state.offer.claim
            && let Err(refusal) = self.deduplicator.admit(now, claim)
        {
            self.contexts.close(call);
            let released = self.admission.complete(now, call, cancelled());
            self.refused_locally(call, refusal);
            return self.release(released);
        }
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.stage = Stage::Running { since: now };
        self.crash_tracker.call_started(call, state.offer.fingerprint);
        let remaining = state.remaining(now).saturating_sub(HOP_MARGIN);
        let offer = Offer { remaining, ..state.offer.clone() };
        self.emit(Action::Run { call, context, offer });
    }

    /// Handles the result of a run on the node's own target.
    pub(super) fn run_ended(&mut self, call: id::Call, result: RunResult) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        let Stage::Running { since } = state.stage else { return };
        state.stage = Stage::Backoff { until: now };
        if matches!(result, RunResult::Shed | RunResult::Unreachable)
            && let Some(claim) = &state.offer.claim
        {
            self.deduplicator.cancel_admission(claim);
        }
        self.record_run(call, result);
        self.contexts.close(call);
        self.cancel_children(call);
        let latency = now.since(since);
        if let RunResult::Answered { load: Some(load), .. } = result {
            self.admission.report_load(admission::ReportedLoad { load: f64::from(load) / 1000.0 });
        }
        let kind = admission::Completion { latency, kind: completion_kind(result) };
        let released = self.admission.complete(now, call, kind);
        match result {
            RunResult::Answered { status, size, .. } => {
                self.record_local_result(call, result_of_status(status), latency);
                if let Some(state) = self.calls.get_mut(&call) {
                    state.answered_by = Some(self.vm.clone());
                }
                self.answer(call, size);
            }
            RunResult::Shed => {
                self.failed_locally(call, Refusal::not_run(Reason::Overload), latency);
            }
            RunResult::Unreachable => {
                self.failed_locally(call, Refusal::not_run(Reason::NoTarget), latency);
            }
            RunResult::Broken => {
                self.failed_locally(call, Refusal::unknown(Reason::Broken), latency);
            }
        }
        self.release(released);
    }

    /// Reports the end of a run to the crash tracker. A broken connection may mean that the target
    /// crashed, so the target is probed for whether it accepts new connections.
    fn record_run(&mut self, call: id::Call, result: RunResult) {
        match result {
            RunResult::Answered { .. } => self.crash_tracker.call_ended(self.now, call, true),
            RunResult::Shed | RunResult::Unreachable => {
                self.crash_tracker.call_ended(self.now, call, false);
            }
            RunResult::Broken => {
                if self.awaiting_probe.is_empty() {
                    self.emit(Action::Probe);
                }
                self.awaiting_probe.push(call);
            }
        }
    }

    /// Handles the result of a probe of the node's own target.
    pub(super) fn probed(&mut self, is_alive: bool) {
        let broken = std::mem::take(&mut self.awaiting_probe);
        if !is_alive {
            self.crash_tracker.target_crashed(self.now);
            return self.send_crash_reports(INITIAL_CRASH_FANOUT);
        }
        for call in broken {
            self.crash_tracker.call_ended(self.now, call, false);
        }
    }

    fn failed_locally(&mut self, call: id::Call, refusal: Refusal, latency: Duration) {
        self.record_local_result(call, result_of_refusal(&refusal), latency);
        self.mark_tried(call, self.vm.clone());
        self.retry_or_give_up(call, refusal, false);
    }

    /// Records the result of a call to this node's own target in the picker, if this node picked
    /// it.
    fn record_local_result(
        &mut self,
        call: id::Call,
        kind: admission::CallResult,
        latency: Duration,
    ) {
        let Some(state) = self.calls.get(&call).filter(|state| state.is_upstream()) else { return };
        if let Some(picker) = self.pickers.get_mut(&state.offer.pool) {
            picker.call_finished(self.now, &self.vm, kind, Some(latency));
        }
    }

    /// Removes a call from the admission queue.
    pub(super) fn cancel_queued(&mut self, call: id::Call) {
        self.record_local_result(call, admission::CallResult::Cancelled, Duration::ZERO);
        self.admission.cancel(self.now, call);
    }

    /// Aborts a run on the node's own target.
    pub(super) fn abort_run(&mut self, call: id::Call, since: Instant) {
        let latency = self.now.since(since);
        self.record_local_result(call, admission::CallResult::Cancelled, latency);
        self.crash_tracker.call_ended(self.now, call, false);
        self.contexts.close(call);
        self.cancel_children(call);
        self.emit(Action::Abort { call });
        let kind = admission::Completion { latency, kind: admission::CallResult::Cancelled };
        let released = self.admission.complete(self.now, call, kind);
        self.release(released);
    }

    /// Cancels the nested calls of a finished run, since nothing can use their answers.
    fn cancel_children(&mut self, call: id::Call) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        for child in std::mem::take(&mut state.children) {
            self.abort_call(child, Reason::Cancelled);
        }
    }
}

fn cancelled() -> admission::Completion {
    admission::Completion { latency: Duration::ZERO, kind: admission::CallResult::Cancelled }
}

fn completion_kind(result: RunResult) -> admission::CallResult {
    match result {
        RunResult::Answered { status, .. } => result_of_status(status),
        RunResult::Shed => admission::CallResult::Shed,
        RunResult::Unreachable | RunResult::Broken => admission::CallResult::Broken,
    }
}
