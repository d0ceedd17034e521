//! The node's part in front of its own target: admission, runs and their ends.

use {
    super::{
        Action, Node,
        call::{Call, HOP_MARGIN, Origin, Stage},
        dispatch::{kind_of_refusal, kind_of_status},
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

/// The peers that hear of a crash at once, because its caller may already send it again.
const FIRST_CRASH_PEERS: usize = 16;

impl Node {
    /// Takes a call that a peer sends to this node's own target.
    pub(super) fn offered(&mut self, call: id::Call, from: id::Vm, offer: Offer) {
        self.counts.offered += 1;
        let state = Call {
            origin: Origin::Peer { vm: from },
            deadline: self.now + offer.remaining,
            budget: retry::Budget::new(offer.retries),
            part: None,
            stage: Stage::Queued,
            attempts: 1,
            reroutes: 0,
            tried: Vec::new(),
            may_have_run: false,
            children: Vec::new(),
            keyed: None,
            ran: None,
            pools: Vec::new(),
            offer,
        };
        self.begin(call, state);
        if self.is_closed() {
            return self.give_up(call, Refusal::not_run(Reason::Leaving));
        }
        if let Err(refusal) = self.check_crasher(call) {
            return self.give_up(call, refusal);
        }
        self.admit(call);
    }

    fn check_crasher(&self, call: id::Call) -> Result<(), Refusal> {
        let fingerprint = self.calls.get(&call).map(|state| state.offer.fingerprint);
        fingerprint.map_or(Ok(()), |fingerprint| self.suspects.check(fingerprint))
    }

    /// Asks the gate for room on the node's own target.
    pub(super) fn admit(&mut self, call: id::Call) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.stage = Stage::Queued;
        let weight =
            self.tables.as_ref().zip(state.offer.account.as_ref()).and_then(|(tables, account)| {
                tables.accounts().get(account).map(|account| account.rate.0)
            });
        let ask = admission::Request {
            account: state.offer.account.clone(),
            weight: u32::try_from(weight.unwrap_or(1)).unwrap_or(u32::MAX),
            class: state.offer.class,
            deadline: state.deadline,
            depth: state.offer.depth,
        };
        let offered = self.gate.offer(now, call, &ask);
        self.release(offered.releases);
        match offered.decision {
            admission::Decision::Run => self.run(call),
            admission::Decision::Queued => {}
            admission::Decision::Refused(refusal) => self.refused_here(call, refusal),
        }
    }

    /// Carries out what the gate decided about queued calls.
    pub(super) fn release(&mut self, released: Vec<admission::Release>) {
        for release in released {
            match release {
                admission::Release::Run(call) => self.run(call),
                admission::Release::Refuse(call, refusal) => self.refused_here(call, refusal),
            }
        }
    }

    fn refused_here(&mut self, call: id::Call, refusal: Refusal) {
        self.finish_own(call, kind_of_refusal(&refusal), Duration::ZERO);
        self.mark_tried(call, self.me.clone());
        self.settle(call, refusal, false);
    }

    fn run(&mut self, call: id::Call) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else {
            let released = self.gate.complete(now, call, cancelled());
            return self.release(released);
        };
        let Ok(context) = self.contexts.open(call, ()) else {
            let released = self.gate.complete(now, call, cancelled());
            self.refused_here(call, Refusal::not_run(Reason::Overload));
            return self.release(released);
        };
        if let Some(claim) = &state.offer.claim
            && let Err(refusal) = self.once.admit(now, claim)
        {
            self.contexts.close(call);
            let released = self.gate.complete(now, call, cancelled());
            self.refused_here(call, refusal);
            return self.release(released);
        }
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.stage = Stage::Running { since: now };
        self.suspects.call_started(call, state.offer.fingerprint);
        let remaining = state.remaining(now).saturating_sub(HOP_MARGIN);
        let offer = Offer { remaining, ..state.offer.clone() };
        self.act(Action::Run { call, context, offer });
    }

    /// Takes the end of a run on the node's own target.
    pub(super) fn ended(&mut self, call: id::Call, ended: RunResult) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        let Stage::Running { since } = state.stage else { return };
        state.stage = Stage::Backoff { until: now };
        if matches!(ended, RunResult::Shed | RunResult::Unreachable)
            && let Some(claim) = &state.offer.claim
        {
            self.once.cancel_admission(claim);
        }
        self.note_run(call, ended);
        self.contexts.close(call);
        self.cancel_children(call);
        let latency = now.since(since);
        if let RunResult::Answered { load: Some(load), .. } = ended {
            self.gate.report_load(admission::ReportedLoad { load: f64::from(load) / 1000.0 });
        }
        let kind = admission::Completion { latency, kind: kind_of(ended) };
        let released = self.gate.complete(now, call, kind);
        match ended {
            RunResult::Answered { status, size, .. } => {
                self.finish_own(call, kind_of_status(status), latency);
                if let Some(state) = self.calls.get_mut(&call) {
                    state.ran = Some(self.me.clone());
                }
                self.answer(call, size);
            }
            RunResult::Shed => self.failed_here(call, Refusal::not_run(Reason::Overload), latency),
            RunResult::Unreachable => {
                self.failed_here(call, Refusal::not_run(Reason::NoTarget), latency);
            }
            RunResult::Broken => self.failed_here(call, Refusal::unknown(Reason::Broken), latency),
        }
        self.release(released);
    }

    /// Notes what the end of a run says about the target. A broken connection may be a crash, which
    /// shows in that the target takes no new ones.
    fn note_run(&mut self, call: id::Call, ended: RunResult) {
        match ended {
            RunResult::Answered { .. } => self.suspects.call_ended(self.now, call, true),
            RunResult::Shed | RunResult::Unreachable => {
                self.suspects.call_ended(self.now, call, false)
            }
            RunResult::Broken => {
                if self.broken.is_empty() {
                    self.act(Action::Probe);
                }
                self.broken.push(call);
            }
        }
    }

    /// Takes the result of a probe of the node's own target.
    pub(super) fn probed(&mut self, is_alive: bool) {
        let broken = std::mem::take(&mut self.broken);
        if !is_alive {
            self.suspects.target_crashed(self.now);
            return self.spread_crashes(FIRST_CRASH_PEERS);
        }
        for call in broken {
            self.suspects.call_ended(self.now, call, false);
        }
    }

    fn failed_here(&mut self, call: id::Call, refusal: Refusal, latency: Duration) {
        self.finish_own(call, kind_of_refusal(&refusal), latency);
        self.mark_tried(call, self.me.clone());
        self.settle(call, refusal, false);
    }

    /// Tells the picker how a call that this node sent to its own target ended.
    fn finish_own(&mut self, call: id::Call, kind: admission::CallResult, latency: Duration) {
        let Some(state) = self.calls.get(&call).filter(|state| state.is_upstream()) else { return };
        if let Some(picker) = self.pickers.get_mut(&state.offer.pool) {
            picker.call_finished(self.now, &self.me, kind, latency);
        }
    }

    /// Takes a call out of the gate's queue.
    pub(super) fn leave_queue(&mut self, call: id::Call) {
        self.finish_own(call, admission::CallResult::Cancelled, Duration::ZERO);
        self.gate.cancel(self.now, call);
    }

    /// Stops a run on the node's own target.
    pub(super) fn stop_run(&mut self, call: id::Call, since: Instant) {
        let latency = self.now.since(since);
        self.finish_own(call, admission::CallResult::Cancelled, latency);
        self.suspects.call_ended(self.now, call, false);
        self.contexts.close(call);
        self.cancel_children(call);
        self.act(Action::Abort { call });
        let kind = admission::Completion { latency, kind: admission::CallResult::Cancelled };
        let released = self.gate.complete(self.now, call, kind);
        self.release(released);
    }

    /// Ends the nested calls of a run that is over: nobody can use their answers.
    fn cancel_children(&mut self, call: id::Call) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        for child in std::mem::take(&mut state.children) {
            self.abandon(child, Reason::Cancelled);
        }
    }
}

fn cancelled() -> admission::Completion {
    admission::Completion { latency: Duration::ZERO, kind: admission::CallResult::Cancelled }
}

fn kind_of(ended: RunResult) -> admission::CallResult {
    match ended {
        RunResult::Answered { status, .. } => kind_of_status(status),
        RunResult::Shed => admission::CallResult::Shed,
        RunResult::Unreachable | RunResult::Broken => admission::CallResult::Broken,
    }
}
