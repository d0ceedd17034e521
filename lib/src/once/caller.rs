//! Handling of calls: from a request with an idempotency key to its answer or refusal.

use {
    super::{
        Action, Deduplicator, Id,
        keyed_calls::KeyedCall,
        message::{CallRef, Decision, Report},
        refuse, vms,
    },
    crate::{
        call::{Reason, Refusal},
        id::{Account, Call, Pool, Route, Vm},
        time::Instant,
    },
};

/// A request with an idempotency key, at the node that received it from its caller.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The account that is charged. `None` on a public route.
    pub account: Option<&'a Account>,
    /// The route of the request.
    pub route: &'a Route,
    /// The pool that serves the route.
    pub pool: &'a Pool,
    /// The value of the `Idempotency-Key` field as received.
    pub key: &'a [u8],
    /// The digest of the request: `Offer.fingerprint`.
    pub fingerprint: u64,
    /// The deadline of the call.
    pub deadline: Instant,
}

impl Deduplicator {
    /// Starts a request with a key. The driver continues the call when it receives an action for
    /// it.
    pub fn begin(&mut self, now: Instant, call: Call, request: &Request<'_>) -> Vec<Action> {
        let id = Id::of(request.account, request.route, request.key);
        let Some(owner) = id.owner(vms(&self.tables, request.pool)).cloned() else {
            return vec![refuse(call, Refusal::not_run(Reason::NoTarget))];
        };
        let (fingerprint, deadline) = (request.fingerprint, request.deadline);
        let route = request.route.clone();
        let keyed_call =
            KeyedCall { owner: owner.clone(), route, id, fingerprint, deadline, sent_at: now };
        let message = keyed_call.message(call);
        self.keyed_calls.add_waiting(call, keyed_call);
        if owner == self.local.vm {
            let requester = CallRef { node: self.local.clone(), call };
            let decision = self.reserve(now, requester, request.route, id, fingerprint);
            return self.apply_decision(now, &owner, call, decision);
        }
        vec![Action::Send { to: owner, message }]
    }

    /// Finishes a request passed to [`Deduplicator::begin`], whatever actions were returned for it.
    ///
    /// [`Report::NotRun`] must hold for every attempt with the ticket. The driver must store the
    /// bytes of an answer until [`Action::Drop`].
    pub fn finished(&mut self, now: Instant, call: Call, report: Report) -> Vec<Action> {
        let Some(keyed_call) = self.keyed_calls.finish(now, call, &self.settings) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if let Report::Answered { size, .. } = &report {
            let dropped = self.answers.keep(now, call, *size, &self.settings);
            actions.extend(dropped.into_iter().map(|call| Action::Drop { call }));
        }
        if keyed_call.owner == self.local.vm {
            let local = self.local.clone();
            self.owned_keys.finish(&local, call, &keyed_call.id, &report);
            return actions;
        }
        self.keyed_calls.report(now, call, &keyed_call, report, &self.settings);
        actions.extend(self.resend(now));
        actions
    }

    /// Returns whether the answer of a finished call is still stored.
    pub fn has_answer(&self, call: Call) -> bool {
        self.answers.contains(call)
    }

    pub(super) fn resend(&mut self, now: Instant) -> Vec<Action> {
        let (sends, expired) = self.keyed_calls.tick(now, &self.settings);
        let time_out = |call| refuse(call, Refusal::unknown(Reason::Broken));
        let sends = sends.into_iter().map(|(to, message)| Action::Send { to, message });
        sends.chain(expired.into_iter().map(time_out)).collect()
    }

    pub(super) fn apply_decision(
        &mut self,
        now: Instant,
        owner: &Vm,
        call: Call,
        decision: Decision,
    ) -> Vec<Action> {
        let is_granted = matches!(decision, Decision::Grant(_));
        let Some(keyed_call) = self.keyed_calls.resolve(owner, call, is_granted) else {
            if is_granted {
                self.keyed_calls.return_late_ticket(now, owner, call, &self.settings);
                return self.resend(now);
            }
            return Vec::new();
        };
        let retry_after = self.settings.probe_interval();
        let action = match decision {
            Decision::Grant(ticket) => Action::Proceed { call, id: keyed_call.id, ticket },
            Decision::Replay(place) if place.node == self.local && !self.has_answer(place.call) => {
                refuse(call, Refusal::unknown(Reason::Duplicate))
            }
            Decision::Replay(place) => Action::Replay { call, place },
            Decision::InUse => refuse(call, Refusal::unknown(Reason::Duplicate)),
            Decision::Undetermined(wait) => {
                refuse(call, Refusal::unknown(Reason::Duplicate).after(wait))
            }
            Decision::Mismatch => refuse(call, Refusal::not_run(Reason::KeyReuse)),
            Decision::AtCapacity => {
                refuse(call, Refusal::not_run(Reason::Overload).after(retry_after))
            }
            Decision::NotOwner => {
                refuse(call, Refusal::unknown(Reason::Duplicate).after(retry_after))
            }
        };
        vec![action]
    }
}
