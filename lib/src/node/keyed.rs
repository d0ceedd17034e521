//! Requests with an idempotency key: permits to run and stored answers.
//!
//! [`crate::once`] makes the decisions; this module applies them to the node's calls.

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

/// The state of a call's idempotency key.
#[derive(Debug)]
pub struct Keyed {
    /// The key as received.
    pub key: String,
    /// The permit, once the owner of the key has granted it.
    pub permit: Option<Permit>,
}

/// The permission to run a request with an idempotency key.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The identifier of the key.
    pub id: once::Id,
    /// The ticket issued by the key's owner.
    pub ticket: once::Ticket,
}

impl Node {
    /// Continues with a call that has passed the rate limit: requests a permit if the call has an
    /// idempotency key, or dispatches it.
    pub(super) fn request_permit(&mut self, call: id::Call) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        let Some(keyed) = &state.keyed else { return self.dispatch(call) };
        state.stage = Stage::AwaitingPermit;
        let request = once::Request {
            account: state.offer.account.as_ref(),
            route: &state.offer.route,
            pool: &state.offer.pool,
            key: keyed.key.as_bytes(),
            fingerprint: state.offer.fingerprint,
            deadline: state.deadline,
        };
        let actions = self.deduplicator.begin(self.now, call, &request);
        self.handle_dedup_actions(actions);
    }

    /// Executes the actions of the deduplicator.
    pub(super) fn handle_dedup_actions(&mut self, actions: Vec<once::Action>) {
        for action in actions {
            match action {
                once::Action::Send { to, message } => self.send(to, Message::Once(message)),
                once::Action::Proceed { call, id, ticket } => {
                    let Some(state) = self.calls.get_mut(&call) else { continue };
                    if let Some(keyed) = &mut state.keyed {
                        keyed.permit = Some(Permit { id, ticket });
                    }
                    self.dispatch(call);
                }
                once::Action::Replay { call, place } => self.fetch_answer(call, place),
                once::Action::Refuse { call, refusal } => self.give_up(call, refusal),
                once::Action::Drop { call } => self.emit(Action::DiscardAnswer { call }),
            }
        }
    }

    fn fetch_answer(&mut self, call: id::Call, place: once::CallRef) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.stage = Stage::FetchingAnswer;
        let once::CallRef { node, call: original } = place;
        self.emit(Action::FetchAnswer {
            call,
            from: node.vm,
            incarnation: node.incarnation,
            original,
        });
    }

    /// Handles the end of a fetch of a stored answer.
    pub(super) fn fetched(&mut self, call: id::Call, is_found: bool) {
        let Some(state) = self.calls.get(&call) else { return };
        if !matches!(state.stage, Stage::FetchingAnswer) {
            return;
        }
        if !is_found {
            return self.give_up(call, Refusal::unknown(Reason::Duplicate));
        }
        if self.close(call).is_some() {
            self.report_to_deduplicator(call, once::Report::NotRun);
            self.counts.answered += 1;
            self.emit(Action::Answer { call, trailer: Trailer::default() });
        }
    }

    /// Returns the claim to send with the next attempt of a call to a VM.
    pub(super) fn claim(&self, state: &Call, vm: &id::Vm) -> Option<once::Claim> {
        let permit = state.keyed.as_ref()?.permit.as_ref()?;
        let runner = match *vm == self.vm {
            true => self.incarnation,
            false => self.members.incarnation_of(vm).unwrap_or_default(),
        };
        Some(once::Claim {
            ticket: permit.ticket.clone(),
            id: permit.id,
            fingerprint: state.offer.fingerprint,
            attempt: state.attempts,
            runner,
        })
    }

    /// Returns the owner of the call's idempotency key, which must not run the call if the pool has
    /// another target.
    pub(super) fn owner_to_avoid(&self, state: &Call) -> Option<id::Vm> {
        let permit = state.keyed.as_ref()?.permit.as_ref()?;
        let tables = self.tables.as_ref()?;
        let pool = tables.pools().get(&state.offer.pool)?;
        (pool.targets_outside(tables.evacuated()).count() > 1)
            .then(|| permit.ticket.owner.vm.clone())
    }

    /// Reports the outcome of a refused call to the owner of its idempotency key.
    pub(super) fn report_refused(&mut self, call: id::Call, state: &Call, outcome: Outcome) {
        if state.keyed.is_none() {
            return;
        }
        self.report_to_deduplicator(
            call,
            match outcome {
                Outcome::NotRun => once::Report::NotRun,
                Outcome::Unknown => once::Report::Unknown,
            },
        );
    }

    /// Stores the answer and reports it to the owner of the call's idempotency key.
    pub(super) fn report_answered(&mut self, call: id::Call, state: &Call, size: Bytes) {
        if state.keyed.is_none() {
            return;
        }
        self.emit(Action::StoreAnswer { call });
        let answered_by = state.answered_by.clone().unwrap_or_else(|| self.vm.clone());
        self.report_to_deduplicator(call, once::Report::Answered { ran: answered_by, size });
    }

    fn report_to_deduplicator(&mut self, call: id::Call, report: once::Report) {
        let actions = self.deduplicator.finished(self.now, call, report);
        self.handle_dedup_actions(actions);
    }
}
