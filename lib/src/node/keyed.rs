//! Requests with an idempotency key: the right to run, its use, and answers that are kept.
//!
//! The decisions are in [`crate::once`]; here they are tied to the calls of the node.

use {
    super::{
        Action, Message, Node,
        call::{Call, Stage},
        event::Trailer,
    },
    crate::{
        call::{Outcome, Reason, Refusal},
        id, once,
        unit::Bytes,
    },
};

/// What a call with an idempotency key holds.
#[derive(Debug)]
pub struct Keyed {
    /// The key as it came.
    pub key: String,
    /// The right to run, once the owner of the key gave it.
    pub right: Option<Right>,
}

/// The right to run a request with a key.
#[derive(Clone, Debug)]
pub struct Right {
    /// The key.
    pub id: once::Id,
    /// The ticket of the key's owner.
    pub ticket: once::Ticket,
}

impl Node {
    /// Goes on with a call that is paid for: asks for the right to run it, where it has a key.
    pub(super) fn reserve(&mut self, call: id::Call) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        let Some(keyed) = &state.keyed else { return self.dispatch(call) };
        state.stage = Stage::Reserving;
        let demand = once::Request {
            account: state.offer.account.as_ref(),
            route: &state.offer.route,
            pool: &state.offer.pool,
            key: keyed.key.as_bytes(),
            fingerprint: state.offer.fingerprint,
            deadline: state.deadline,
        };
        let actions = self.once.begin(self.now, call, &demand);
        self.act_once(actions);
    }

    /// Carries out what the parts for idempotency keys decided.
    pub(super) fn act_once(&mut self, actions: Vec<once::Action>) {
        for action in actions {
            match action {
                once::Action::Send { to, message } => self.post(to, Message::Once(message)),
                once::Action::Proceed { call, id, ticket } => {
                    let Some(state) = self.calls.get_mut(&call) else { continue };
                    if let Some(keyed) = &mut state.keyed {
                        keyed.right = Some(Right { id, ticket });
                    }
                    self.dispatch(call);
                }
                once::Action::Replay { call, place } => self.replay(call, place),
                once::Action::Refuse { call, refusal } => self.give_up(call, refusal),
                once::Action::Drop { call } => self.act(Action::ForgetAnswer { kept: call }),
            }
        }
    }

    fn replay(&mut self, call: id::Call, place: once::CallRef) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.stage = Stage::Replaying;
        let once::CallRef { node, call: kept } = place;
        self.act(Action::FetchAnswer { call, from: node.vm, incarnation: node.incarnation, kept });
    }

    /// Takes a kept answer that the driver fetched, or its absence.
    pub(super) fn fetched(&mut self, call: id::Call, is_found: bool) {
        let Some(state) = self.calls.get(&call) else { return };
        if !matches!(state.stage, Stage::Replaying) {
            return;
        }
        if !is_found {
            return self.give_up(call, Refusal::unknown(Reason::Duplicate));
        }
        if self.close(call).is_some() {
            self.report_once(call, once::Report::NotRun);
            self.counts.answered += 1;
            self.act(Action::Answer { call, trailer: Trailer::default() });
        }
    }

    /// Returns the claim that goes with the next attempt of a call to a VM.
    pub(super) fn claim(&self, state: &Call, vm: &id::Vm) -> Option<once::Claim> {
        let right = state.keyed.as_ref()?.right.as_ref()?;
        let runner = match *vm == self.me {
            true => self.incarnation,
            false => self.view.incarnation_of(vm).unwrap_or_default(),
        };
        Some(once::Claim {
            ticket: right.ticket.clone(),
            id: right.id,
            fingerprint: state.offer.fingerprint,
            attempt: state.attempts,
            runner,
        })
    }

    /// Returns the VM that must not run a call because it owns the call's key, where the pool has
    /// another one.
    pub(super) fn owner_to_avoid(&self, state: &Call) -> Option<id::Vm> {
        let right = state.keyed.as_ref()?.right.as_ref()?;
        let pool = self.tables.as_ref()?.pools().get(&state.offer.pool)?;
        (pool.targets.len() > 1).then(|| right.ticket.owner.vm.clone())
    }

    /// Tells the owner of a call's key how the call ended with a refusal.
    pub(super) fn report_refused(&mut self, call: id::Call, state: &Call, outcome: Outcome) {
        if state.keyed.is_none() {
            return;
        }
        self.report_once(
            call,
            match outcome {
                Outcome::NotRun => once::Report::NotRun,
                Outcome::Unknown => once::Report::Unknown,
            },
        );
    }

    /// Tells the owner of a call's key that the call was answered, and keeps the answer.
    pub(super) fn report_answered(&mut self, call: id::Call, state: &Call, size: Bytes) {
        if state.keyed.is_none() {
            return;
        }
        self.act(Action::KeepAnswer { call });
        let ran = state.ran.clone().unwrap_or_else(|| self.me.clone());
        self.report_once(call, once::Report::Answered { ran, size });
    }

    fn report_once(&mut self, call: id::Call, report: once::Report) {
        let actions = self.once.finished(self.now, call, report);
        self.act_once(actions);
    }
}
