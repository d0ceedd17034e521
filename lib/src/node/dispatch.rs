//! Client side of calls: choice of targets, forwarding, retries and cancellation.

use {
    super::{
        Action, Node,
        call::{Call, HOP_MARGIN, Origin, Stage},
        event::{ForwardResult, Trailer},
    },
    crate::{
        admission::CallResult,
        call::{Offer, Outcome, Reason, Refusal},
        id, pressure, rate, retry,
        unit::Bytes,
    },
    std::time::Duration,
};

/// How often a call that reached no target is rerouted immediately, without using its retry budget.
const MAX_REROUTES: u8 = 2;

impl Node {
    /// Starts the next attempt of a call.
    pub(super) fn dispatch(&mut self, call: id::Call) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.attempts += 1;
        let is_first = state.attempts == 1;
        let pool = state.offer.pool.clone();
        let Some(vm) = self.pick(call, &pool) else {
            return self.retry_or_give_up(call, Refusal::not_run(Reason::NoTarget), true);
        };
        if is_first {
            self.retry_policy.record_first_send(self.now, &pool);
        }
        let claim = self.calls.get(&call).and_then(|state| self.claim(state, &vm));
        if let Some(state) = self.calls.get_mut(&call) {
            state.offer.claim = claim;
        }
        if vm == self.vm {
            self.record_own_pressure(&pool);
            self.admit(call);
        } else {
            self.forward(call, vm);
        }
    }

    /// Picks a VM of the pool on which the call has not yet failed.
    fn pick(&mut self, call: id::Call, pool: &id::Pool) -> Option<id::Vm> {
        let state = self.calls.get(&call)?;
        let mut excluded = state.tried.clone();
        excluded.extend(self.owner_to_avoid(state));
        let picker = self.pickers.get_mut(pool)?;
        let vm = picker.pick(self.now, &excluded)?;
        picker.call_started(&vm);
        Some(vm)
    }

    fn forward(&mut self, call: id::Call, to: id::Vm) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        let quota = state.budget.split();
        let retries = quota.size();
        let remaining = state.remaining(now).saturating_sub(HOP_MARGIN);
        let offer = Offer { remaining, retries, ..state.offer.clone() };
        state.stage = Stage::Forwarded { to: to.clone(), since: now, quota };
        self.emit(Action::Forward { call, to, offer });
    }

    /// Handles the result of a forwarded call.
    pub(super) fn returned(&mut self, call: id::Call, result: ForwardResult, trailer: Trailer) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        let stage = std::mem::replace(&mut state.stage, Stage::Backoff { until: now });
        let Stage::Forwarded { to, since, quota } = stage else {
            state.stage = stage;
            return;
        };
        let unspent = match result {
            ForwardResult::Unreachable => quota.size(),
            _ => trailer.unspent,
        };
        state.budget.reclaim(quota, unspent);
        let pool = state.offer.pool.clone();
        merge_pools(&mut state.downstream_pools, &trailer.pools);
        self.record_pressure(&pool, &to, trailer.pressure);
        let (kind, refusal) = match result {
            ForwardResult::Answered { status, .. } => (result_of_status(status), None),
            ForwardResult::Refused(refusal) => (result_of_refusal(&refusal), Some(refusal)),
            ForwardResult::Unreachable => {
                (CallResult::Broken, Some(Refusal::not_run(Reason::Broken)))
            }
            ForwardResult::Broken => (CallResult::Broken, Some(Refusal::unknown(Reason::Broken))),
        };
        if let Some(picker) = self.pickers.get_mut(&pool) {
            picker.call_finished(now, &to, kind, Some(now.since(since)));
        }
        match refusal {
            None => {
                let size = match result {
                    ForwardResult::Answered { size, .. } => size,
                    _ => Bytes(0),
                };
                if let Some(state) = self.calls.get_mut(&call) {
                    state.answered_by = Some(to);
                    self.crash_tracker.request_completed(now, state.offer.fingerprint);
                }
                self.answer(call, size);
            }
            Some(refusal) => {
                self.mark_tried(call, to);
                self.retry_or_give_up(call, refusal, false);
            }
        }
    }

    /// Records the pressure on this node's own target, which no trailer reports to this node.
    fn record_own_pressure(&mut self, pool: &id::Pool) {
        let vm = self.vm.clone();
        let report = self.admission.pressure(self.now);
        let own = pressure::RelayedReport { pool: pool.clone(), vm, age: Duration::ZERO, report };
        self.record_pressure(pool, &self.vm.clone(), vec![own]);
    }

    fn record_pressure(
        &mut self,
        pool: &id::Pool,
        vm: &id::Vm,
        pressure: Vec<pressure::RelayedReport>,
    ) {
        let now = self.now;
        for relayed in pressure {
            if relayed.vm == *vm
                && let Some(picker) = self.pickers.get_mut(pool)
            {
                picker.record_report(now, vm, &relayed.report);
            }
            self.pressure.record_report(now, relayed);
        }
    }

    pub(super) fn mark_tried(&mut self, call: id::Call, vm: id::Vm) {
        if let Some(state) = self.calls.get_mut(&call) {
            state.tried.push(vm);
        }
    }

    /// Schedules a retry after a failed attempt, or gives up.
    ///
    /// `is_pool_wide` states that no target of the pool is available, so rerouting cannot help.
    pub(super) fn retry_or_give_up(
        &mut self,
        call: id::Call,
        refusal: Refusal,
        is_pool_wide: bool,
    ) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.may_have_run |= refusal.outcome == Outcome::Unknown;
        if !state.is_upstream() {
            return self.give_up(call, refusal);
        }
        if is_misrouted(&refusal) && state.reroutes < MAX_REROUTES && !is_pool_wide {
            state.reroutes += 1;
            return self.dispatch(call);
        }
        let is_limited = self.pressure.is_limited(
            now,
            &state.offer.pool,
            state.offer.class,
            &state.offer.account,
        );
        let is_pool_overloaded = is_pool_wide || is_limited;
        let attempt = retry::Attempt { number: state.attempts, is_pool_overloaded };
        let offer = state.offer_at(now);
        match self.retry_policy.decide(now, &offer, &mut state.budget, &refusal, attempt) {
            Some(wait) => {
                let until = now + wait;
                state.stage = Stage::Backoff { until };
                self.timers.insert((until, call));
            }
            None => self.give_up(call, refusal),
        }
    }

    /// Ends a call with a refusal whose outcome accounts for all attempts: it is unknown if any of
    /// them may have run.
    pub(super) fn give_up(&mut self, call: id::Call, refusal: Refusal) {
        let Some(state) = self.close(call) else { return };
        let refusal = match state.may_have_run {
            true => Refusal { outcome: Outcome::Unknown, ..refusal },
            false => refusal,
        };
        self.counts.refused(refusal.reason);
        self.report_refused(call, &state, refusal.outcome);
        let trailer = self.trailer(&state);
        let limit = self.rate_limit_of(&state, refusal.reason);
        self.emit(Action::Refuse { call, refusal, trailer, limit });
    }

    /// Returns the account's remaining rate, if the rate limit caused the refusal.
    fn rate_limit_of(&self, state: &Call, reason: Reason) -> Option<rate::Limit> {
        let account = state.offer.account.as_ref().filter(|_| reason == Reason::Rate)?;
        self.limiter.limit(account)
    }

    /// Ends a call with the answer that the driver holds.
    pub(super) fn answer(&mut self, call: id::Call, size: Bytes) {
        let Some(state) = self.close(call) else { return };
        self.counts.answered += 1;
        self.report_answered(call, &state, size);
        self.pressure.record_reached_pools(&state.offer.route, &state.downstream_pools);
        let trailer = self.trailer(&state);
        self.emit(Action::Answer { call, trailer });
    }

    fn trailer(&mut self, state: &Call) -> Trailer {
        if state.is_upstream() {
            return Trailer::default();
        }
        let mut pressure = self.pressure.relayed_reports(self.now, &state.offer.route);
        pressure.push(pressure::RelayedReport {
            pool: state.offer.pool.clone(),
            vm: self.vm.clone(),
            age: Duration::ZERO,
            report: self.admission.pressure(self.now),
        });
        Trailer {
            unspent: state.budget.remaining(),
            pressure,
            pools: state.downstream_pools.clone(),
        }
    }

    /// Removes a call from the node's state and returns its unused retries to its parent.
    pub(super) fn close(&mut self, call: id::Call) -> Option<Call> {
        let mut state = self.calls.remove(&call)?;
        self.timers.remove(&(state.deadline, call));
        if let Stage::Backoff { until } = state.stage {
            self.timers.remove(&(until, call));
        }
        if let Origin::Target { parent } = state.origin {
            let quota = state.quota.take();
            self.return_retries(&state.origin, quota, state.budget.remaining());
            self.admission.nested_call_ended(self.now, parent);
            if let Some(parent) = self.calls.get_mut(&parent) {
                parent.children.retain(|child| *child != call);
                merge_pools(&mut parent.downstream_pools, std::slice::from_ref(&state.offer.pool));
                merge_pools(&mut parent.downstream_pools, &state.downstream_pools);
            }
        }
        Some(state)
    }

    /// Returns unused retries of a nested call to its parent's budget.
    pub(super) fn return_retries(
        &mut self,
        origin: &Origin,
        quota: Option<retry::Quota>,
        unspent: u8,
    ) {
        if let (Origin::Target { parent }, Some(quota)) = (origin, quota)
            && let Some(parent) = self.calls.get_mut(parent)
        {
            parent.budget.reclaim(quota, unspent);
        }
    }

    /// Cancels a call whose sender has disconnected.
    pub(super) fn disconnected(&mut self, call: id::Call) {
        let outcome = self.current_outcome(call);
        self.cancel_stage(call);
        if let Some(state) = self.close(call) {
            self.counts.refused(Reason::Cancelled);
            self.report_refused(call, &state, outcome);
        }
    }

    /// Cancels the current stage of a call, at this node and downstream.
    pub(super) fn cancel_stage(&mut self, call: id::Call) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        let stage = std::mem::replace(&mut state.stage, Stage::Backoff { until: now });
        match stage {
            Stage::AwaitingToken { ticket } => {
                self.rate_tickets.remove(&ticket);
            }
            Stage::Backoff { until } => {
                self.timers.remove(&(until, call));
            }
            Stage::Forwarded { to, since, quota } => {
                // The peer may have used its whole quota, so none of it is reclaimed.
                state.budget.reclaim(quota, 0);
                let pool = state.offer.pool.clone();
                if let Some(picker) = self.pickers.get_mut(&pool) {
                    picker.call_finished(now, &to, CallResult::Cancelled, Some(now.since(since)));
                }
                self.emit(Action::Abort { call });
            }
            Stage::AwaitingPermit | Stage::FetchingAnswer => {}
            Stage::Queued => self.cancel_queued(call),
            Stage::Running { since } => self.abort_run(call, since),
        }
    }

    /// Returns the outcome to report if the call were ended now.
    fn current_outcome(&self, call: id::Call) -> Outcome {
        let may_have_run = self.calls.get(&call).is_some_and(|state| {
            let is_in_progress = match state.stage {
                Stage::Forwarded { .. } | Stage::Running { .. } => true,
                // An earlier request with the same idempotency key may have run.
                Stage::AwaitingPermit | Stage::FetchingAnswer => true,
                Stage::AwaitingToken { .. } | Stage::Backoff { .. } | Stage::Queued => false,
            };
            is_in_progress || state.may_have_run
        });
        if may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Cancels a call whose answer is no longer needed, and refuses it.
    pub(super) fn abort_call(&mut self, call: id::Call, reason: Reason) {
        let refusal = Refusal { reason, outcome: self.current_outcome(call), retry_after: None };
        self.cancel_stage(call);
        self.give_up(call, refusal);
    }
}

/// Returns whether a call failed only because its node was leaving or unreachable. Such an attempt
/// caused no work, so rerouting it cannot worsen an overload.
fn is_misrouted(refusal: &Refusal) -> bool {
    refusal.outcome == Outcome::NotRun && matches!(refusal.reason, Reason::Broken | Reason::Leaving)
}

/// Classifies a target's answer for load balancing. Only server errors count as failures.
pub(super) fn result_of_status(status: u16) -> CallResult {
    const SERVER_ERROR: u16 = 500;
    if status >= SERVER_ERROR { CallResult::Failed } else { CallResult::Ok }
}

/// Classifies a refusal for load balancing. Work that was declined in time is not a failure.
pub(super) fn result_of_refusal(refusal: &Refusal) -> CallResult {
    match refusal.reason {
        Reason::Broken | Reason::NoTarget => CallResult::Broken,
        Reason::Overload | Reason::Leaving | Reason::Evacuated => CallResult::Shed,
        Reason::Deadline if refusal.outcome == Outcome::Unknown => CallResult::Failed,
        _ => CallResult::Cancelled,
    }
}

fn merge_pools(pools: &mut Vec<id::Pool>, more: &[id::Pool]) {
    /// A call chain reaches few pools. The limit bounds the size of the trailer.
    const MAX_POOLS: usize = 32;
    for pool in more {
        if pools.len() < MAX_POOLS && !pools.contains(pool) {
            pools.push(pool.clone());
        }
    }
}
