//! The node's part as the sender of a call: it picks targets, forwards and tries again.

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

/// How often a call that no target saw is sent elsewhere at once, at no cost to its budget.
const MAX_REROUTES: u8 = 2;

impl Node {
    /// Starts the next attempt of a call.
    pub(super) fn dispatch(&mut self, call: id::Call) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.attempts += 1;
        let is_first = state.attempts == 1;
        let pool = state.offer.pool.clone();
        let Some(vm) = self.pick(call, &pool) else {
            return self.settle(call, Refusal::not_run(Reason::NoTarget), true);
        };
        if is_first {
            self.retries.record_first_send(self.now, &pool);
        }
        let claim = self.calls.get(&call).and_then(|state| self.claim(state, &vm));
        if let Some(state) = self.calls.get_mut(&call) {
            state.offer.claim = claim;
        }
        if vm == self.me {
            self.hear_own_gate(&pool);
            self.admit(call);
        } else {
            self.forward(call, vm);
        }
    }

    /// Picks a VM of the pool that has not refused the call yet.
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
        let part = state.budget.split();
        let retries = part.size();
        let remaining = state.remaining(now).saturating_sub(HOP_MARGIN);
        let offer = Offer { remaining, retries, ..state.offer.clone() };
        state.stage = Stage::Forwarded { to: to.clone(), since: now, part };
        self.act(Action::Forward { call, to, offer });
    }

    /// Takes what a peer made of a call.
    pub(super) fn returned(&mut self, call: id::Call, returned: ForwardResult, trailer: Trailer) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        let stage = std::mem::replace(&mut state.stage, Stage::Backoff { until: now });
        let Stage::Forwarded { to, since, part } = stage else {
            state.stage = stage;
            return;
        };
        let unspent = match returned {
            ForwardResult::Unreachable => part.size(),
            _ => trailer.unspent,
        };
        state.budget.reclaim(part, unspent);
        let pool = state.offer.pool.clone();
        merge(&mut state.pools, &trailer.pools);
        self.learn(&pool, &to, trailer.pressure);
        let (kind, refusal) = match returned {
            ForwardResult::Answered { status, .. } => (kind_of_status(status), None),
            ForwardResult::Refused(refusal) => (kind_of_refusal(&refusal), Some(refusal)),
            ForwardResult::Unreachable => {
                (CallResult::Broken, Some(Refusal::not_run(Reason::Broken)))
            }
            ForwardResult::Broken => (CallResult::Broken, Some(Refusal::unknown(Reason::Broken))),
        };
        if let Some(picker) = self.pickers.get_mut(&pool) {
            picker.call_finished(now, &to, kind, now.since(since));
        }
        match refusal {
            None => {
                let size = match returned {
                    ForwardResult::Answered { size, .. } => size,
                    _ => Bytes(0),
                };
                if let Some(state) = self.calls.get_mut(&call) {
                    state.ran = Some(to);
                    self.suspects.request_completed(now, state.offer.fingerprint);
                }
                self.answer(call, size);
            }
            Some(refusal) => {
                self.mark_tried(call, to);
                self.settle(call, refusal, false);
            }
        }
    }

    /// Tells the board and the picker of this node's own target, which sends no replies to itself.
    fn hear_own_gate(&mut self, pool: &id::Pool) {
        let vm = self.me.clone();
        let report = self.gate.pressure(self.now);
        let own = pressure::RelayedReport { pool: pool.clone(), vm, age: Duration::ZERO, report };
        self.learn(pool, &self.me.clone(), vec![own]);
    }

    fn learn(&mut self, pool: &id::Pool, vm: &id::Vm, pressure: Vec<pressure::RelayedReport>) {
        let now = self.now;
        for relayed in pressure {
            if relayed.vm == *vm
                && let Some(picker) = self.pickers.get_mut(pool)
            {
                picker.record_report(now, vm, &relayed.report);
            }
            self.board.record_report(now, relayed);
        }
    }

    pub(super) fn mark_tried(&mut self, call: id::Call, vm: id::Vm) {
        if let Some(state) = self.calls.get_mut(&call) {
            state.tried.push(vm);
        }
    }

    /// Tries again after a failed attempt, or gives up.
    pub(super) fn settle(&mut self, call: id::Call, refusal: Refusal, is_everywhere: bool) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.may_have_run |= refusal.outcome == Outcome::Unknown;
        if !state.is_upstream() {
            return self.give_up(call, refusal);
        }
        if is_misrouted(&refusal) && state.reroutes < MAX_REROUTES && !is_everywhere {
            state.reroutes += 1;
            return self.dispatch(call);
        }
        let is_pressed =
            self.board.is_limited(now, &state.offer.pool, state.offer.class, &state.offer.account);
        let is_pool_overloaded = is_everywhere || is_pressed;
        let attempt = retry::Attempt { number: state.attempts, is_pool_overloaded };
        let offer = state.offer_at(now);
        match self.retries.decide(now, &offer, &mut state.budget, &refusal, attempt) {
            Some(wait) => {
                let until = now + wait;
                state.stage = Stage::Backoff { until };
                self.timers.insert((until, call));
            }
            None => self.give_up(call, refusal),
        }
    }

    /// Ends a call with a refusal that is true for all its attempts together.
    pub(super) fn give_up(&mut self, call: id::Call, refusal: Refusal) {
        let Some(state) = self.close(call) else { return };
        let refusal = match state.may_have_run {
            true => Refusal { outcome: Outcome::Unknown, ..refusal },
            false => refusal,
        };
        self.counts.refused(refusal.reason);
        self.report_refused(call, &state, refusal.outcome);
        let trailer = self.trailer(&state);
        let limit = self.limit_of(&state, refusal.reason);
        self.act(Action::Refuse { call, refusal, trailer, limit });
    }

    /// Returns what the account has left, where its rate decided.
    fn limit_of(&self, state: &Call, reason: Reason) -> Option<rate::Limit> {
        let account = state.offer.account.as_ref().filter(|_| reason == Reason::Rate)?;
        self.ledger.limit(account)
    }

    /// Ends a call with the answer that the driver holds.
    pub(super) fn answer(&mut self, call: id::Call, size: Bytes) {
        let Some(state) = self.close(call) else { return };
        self.counts.answered += 1;
        self.report_answered(call, &state, size);
        self.board.record_reached_pools(&state.offer.route, &state.pools);
        let trailer = self.trailer(&state);
        self.act(Action::Answer { call, trailer });
    }

    fn trailer(&mut self, state: &Call) -> Trailer {
        if state.is_upstream() {
            return Trailer::default();
        }
        let mut pressure = self.board.relayed_reports(self.now, &state.offer.route);
        pressure.push(pressure::RelayedReport {
            pool: state.offer.pool.clone(),
            vm: self.me.clone(),
            age: Duration::ZERO,
            report: self.gate.pressure(self.now),
        });
        Trailer { unspent: state.budget.remaining(), pressure, pools: state.pools.clone() }
    }

    /// Takes a call out of the node's state and returns what it held to its parent.
    pub(super) fn close(&mut self, call: id::Call) -> Option<Call> {
        let mut state = self.calls.remove(&call)?;
        self.timers.remove(&(state.deadline, call));
        if let Stage::Backoff { until } = state.stage {
            self.timers.remove(&(until, call));
        }
        if let Origin::Target { parent } = state.origin {
            let part = state.part.take();
            self.give_back(&state.origin, part, state.budget.remaining());
            self.gate.nested_call_ended(self.now, parent);
            if let Some(parent) = self.calls.get_mut(&parent) {
                parent.children.retain(|child| *child != call);
                merge(&mut parent.pools, std::slice::from_ref(&state.offer.pool));
                merge(&mut parent.pools, &state.pools);
            }
        }
        Some(state)
    }

    /// Gives unspent attempts of a nested call back to its parent.
    pub(super) fn give_back(&mut self, origin: &Origin, part: Option<retry::Quota>, unspent: u8) {
        if let (Origin::Target { parent }, Some(part)) = (origin, part)
            && let Some(parent) = self.calls.get_mut(parent)
        {
            parent.budget.reclaim(part, unspent);
        }
    }

    /// Drops all work on a call for which nobody waits any more.
    pub(super) fn gone(&mut self, call: id::Call) {
        let outcome = self.outcome_now(call);
        self.cancel_work(call);
        if let Some(state) = self.close(call) {
            self.counts.refused(Reason::Cancelled);
            self.report_refused(call, &state, outcome);
        }
    }

    /// Stops whatever a call waits for, at this node and below.
    pub(super) fn cancel_work(&mut self, call: id::Call) {
        let now = self.now;
        let Some(state) = self.calls.get_mut(&call) else { return };
        let stage = std::mem::replace(&mut state.stage, Stage::Backoff { until: now });
        match stage {
            Stage::Paying { ticket } => {
                self.tickets.remove(&ticket);
            }
            Stage::Backoff { until } => {
                self.timers.remove(&(until, call));
            }
            Stage::Forwarded { to, since, part } => {
                // What the peer had is lost with it: the peer may have spent it.
                state.budget.reclaim(part, 0);
                let pool = state.offer.pool.clone();
                if let Some(picker) = self.pickers.get_mut(&pool) {
                    picker.call_finished(now, &to, CallResult::Cancelled, now.since(since));
                }
                self.act(Action::Abort { call });
            }
            Stage::Reserving | Stage::Replaying => {}
            Stage::Queued => self.leave_queue(call),
            Stage::Running { since } => self.stop_run(call, since),
        }
    }

    /// Tells whether a call may have run, if it were given up at this moment.
    fn outcome_now(&self, call: id::Call) -> Outcome {
        let may_have_run = self.calls.get(&call).is_some_and(|state| {
            let is_out = match state.stage {
                Stage::Forwarded { .. } | Stage::Running { .. } => true,
                // An earlier copy of the request may have run.
                Stage::Reserving | Stage::Replaying => true,
                Stage::Paying { .. } | Stage::Backoff { .. } | Stage::Queued => false,
            };
            is_out || state.may_have_run
        });
        if may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Ends a call of which nobody can use the answer any more.
    pub(super) fn abandon(&mut self, call: id::Call, reason: Reason) {
        let refusal = Refusal { reason, outcome: self.outcome_now(call), retry_after: None };
        self.cancel_work(call);
        self.give_up(call, refusal);
    }
}

/// Tells whether a call failed only because it was sent to a node that is leaving or gone. It caused
/// no work, so sending it elsewhere can't add to an overload.
fn is_misrouted(refusal: &Refusal) -> bool {
    refusal.outcome == Outcome::NotRun && matches!(refusal.reason, Reason::Broken | Reason::Leaving)
}

/// Classes a target's own answer. Only a failure of the server counts against it.
pub(super) fn kind_of_status(status: u16) -> CallResult {
    const SERVER_ERROR: u16 = 500;
    if status >= SERVER_ERROR { CallResult::Failed } else { CallResult::Ok }
}

/// Classes a refusal as the picker sees it: work that was declined in time is no failure.
pub(super) fn kind_of_refusal(refusal: &Refusal) -> CallResult {
    match refusal.reason {
        Reason::Broken | Reason::NoTarget => CallResult::Broken,
        Reason::Overload | Reason::Leaving => CallResult::Shed,
        Reason::Deadline if refusal.outcome == Outcome::Unknown => CallResult::Failed,
        _ => CallResult::Cancelled,
    }
}

fn merge(pools: &mut Vec<id::Pool>, more: &[id::Pool]) {
    /// A chain reaches few pools; a longer list is not worth its bytes.
    const MAX_POOLS: usize = 32;
    for pool in more {
        if pools.len() < MAX_POOLS && !pools.contains(pool) {
            pools.push(pool.clone());
        }
    }
}
