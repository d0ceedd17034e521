//! The part towards callers: from a request with a key to its answer or refusal.

use {
    super::{
        Action, Deduplicator, Id,
        asks::Ask,
        message::{CallRef, Decision, Report},
        refuse, vms,
    },
    crate::{
        call::{Reason, Refusal},
        id::{Account, Call, Pool, Route, Vm},
        time::Instant,
    },
};

/// A request with an idempotency key, as the node that took it from its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The account that pays, or none on a route open to all.
    pub account: Option<&'a Account>,
    /// The route.
    pub route: &'a Route,
    /// The pool that serves the route.
    pub pool: &'a Pool,
    /// The `Idempotency-Key` field as it came.
    pub key: &'a [u8],
    /// The digest of the request: `Offer.fingerprint`.
    pub body: u64,
    /// When the caller's time is over.
    pub deadline: Instant,
}

impl Deduplicator {
    /// Begins a request with a key. The driver goes on as the actions for the call say.
    pub fn begin(&mut self, now: Instant, call: Call, request: &Request<'_>) -> Vec<Action> {
        let id = Id::of(request.account, request.route, request.key);
        let Some(owner) = id.owner(vms(&self.tables, request.pool)).cloned() else {
            return vec![refuse(call, Refusal::not_run(Reason::NoTarget))];
        };
        let (body, deadline) = (request.body, request.deadline);
        let route = request.route.clone();
        let ask = Ask { owner: owner.clone(), route, id, body, deadline, sent: now };
        let message = ask.message(call);
        self.asks.wait(call, ask);
        if owner == self.me.vm {
            let asker = CallRef { node: self.me.clone(), call };
            let decision = self.reserve(now, asker, request.route, id, body);
            return self.judge(now, &owner, call, decision);
        }
        vec![Action::Send { to: owner, message }]
    }

    /// Ends a request that was begun, whatever the actions for it were.
    ///
    /// [`Report::NotRun`] must be true of every attempt with the ticket. The bytes of an answer
    /// must be kept until [`Action::Drop`].
    pub fn finished(&mut self, now: Instant, call: Call, report: Report) -> Vec<Action> {
        let Some(ask) = self.asks.finish(now, call, &self.settings) else { return Vec::new() };
        let mut actions = Vec::new();
        if let Report::Answered { size, .. } = &report {
            let dropped = self.answers.keep(now, call, *size, &self.settings);
            actions.extend(dropped.into_iter().map(|call| Action::Drop { call }));
        }
        if ask.owner == self.me.vm {
            let me = self.me.clone();
            self.ledger.finish(&me, call, &ask.id, &report);
            return actions;
        }
        self.asks.report(now, call, &ask, report, &self.settings);
        actions.extend(self.resend(now));
        actions
    }

    /// Tells whether the bytes of the answer to an ended call must still be there.
    pub fn has_answer(&self, call: Call) -> bool {
        self.answers.contains(call)
    }

    pub(super) fn resend(&mut self, now: Instant) -> Vec<Action> {
        let (sends, over) = self.asks.tick(now, &self.settings);
        let late = |call| refuse(call, Refusal::unknown(Reason::Broken));
        let sends = sends.into_iter().map(|(to, message)| Action::Send { to, message });
        sends.chain(over.into_iter().map(late)).collect()
    }

    pub(super) fn judge(
        &mut self,
        now: Instant,
        owner: &Vm,
        call: Call,
        decision: Decision,
    ) -> Vec<Action> {
        let is_grant = matches!(decision, Decision::Grant(_));
        let Some(ask) = self.asks.verdict(owner, call, is_grant) else {
            if is_grant {
                self.asks.late_grant(now, owner, call, &self.settings);
                return self.resend(now);
            }
            return Vec::new();
        };
        let again = self.settings.probe();
        let action = match decision {
            Decision::Grant(ticket) => Action::Proceed { call, id: ask.id, ticket },
            Decision::Replay(place) if place.node == self.me && !self.has_answer(place.call) => {
                refuse(call, Refusal::unknown(Reason::Duplicate))
            }
            Decision::Replay(place) => Action::Replay { call, place },
            Decision::InUse => refuse(call, Refusal::unknown(Reason::Duplicate)),
            Decision::Undetermined(wait) => {
                refuse(call, Refusal::unknown(Reason::Duplicate).after(wait))
            }
            Decision::Mismatch => refuse(call, Refusal::not_run(Reason::KeyReuse)),
            Decision::AtCapacity => refuse(call, Refusal::not_run(Reason::Overload).after(again)),
            Decision::NotOwner => refuse(call, Refusal::unknown(Reason::Duplicate).after(again)),
        };
        vec![action]
    }
}
