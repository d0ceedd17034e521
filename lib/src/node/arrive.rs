//! Validation of incoming requests: tables, route, key, call context, deadline and rate limit.

use {
    super::{
        Message, Node,
        call::{Call, Origin, Stage},
        event::{Head, Listener, Trailer},
        keyed::Keyed,
    },
    crate::{
        call::{Offer, Reason, Refusal},
        id, rate, retry,
        table::{Access, Path, Route},
        time::Instant,
    },
    rand::RngExt as _,
    std::{
        hash::{Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// The maximum depth of nested calls. A deeper chain is most likely a loop.
pub const MAX_DEPTH: u8 = 16;
/// The retry delay returned to callers of a node that has no tables or is leaving.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that has passed the checks that need no other node.
struct CheckedRequest {
    origin: Origin,
    route: Arc<Route>,
    account: Option<id::Account>,
    deadline: Instant,
    budget: retry::Budget,
    quota: Option<retry::Quota>,
    request: id::Request,
    depth: u8,
    class: crate::table::Class,
}

impl Node {
    pub(super) fn arrived(&mut self, call: id::Call, listener: Listener, head: &Head) {
        self.counts.arrived += 1;
        let checked = match self.check(listener, head) {
            Ok(checked) => checked,
            Err(refusal) => return self.refuse_new(call, refusal),
        };
        let offer = Offer {
            request: checked.request,
            account: checked.account,
            route: checked.route.name.clone(),
            pool: checked.route.pool.clone(),
            class: checked.class,
            idempotent: checked.route.idempotent,
            remaining: checked.deadline.since(self.now),
            retries: 0,
            depth: checked.depth,
            fingerprint: 0,
            claim: None,
        };
        let fingerprint = fingerprint(&offer, head.digest);
        let offer = Offer { fingerprint, ..offer };
        let is_root = checked.origin == Origin::Caller;
        if let Some(refusal) = self.refuse_early(&offer) {
            self.return_retries(&checked.origin, checked.quota, checked.budget.remaining());
            return self.refuse_new(call, refusal);
        }
        if let Origin::Target { parent } = checked.origin
            && let Some(state) = self.calls.get_mut(&parent)
        {
            state.children.push(call);
            self.admission.nested_call_started(self.now, parent);
        }
        let key = head.idempotency_key.clone().filter(|_| !checked.route.idempotent);
        let keyed = key.map(|key| Keyed { key, permit: None });
        let state = Call {
            origin: checked.origin,
            offer,
            deadline: checked.deadline,
            budget: checked.budget,
            quota: checked.quota,
            stage: Stage::Backoff { until: self.now },
            attempts: 0,
            reroutes: 0,
            tried: Vec::new(),
            may_have_run: false,
            children: Vec::new(),
            keyed,
            answered_by: None,
            downstream_pools: Vec::new(),
        };
        self.register_call(call, state);
        if is_root {
            self.take_token(call);
        } else {
            self.request_permit(call);
        }
    }

    /// Takes a rate token of the account for a root request, borrowing from another node if needed.
    fn take_token(&mut self, call: id::Call) {
        let Some(account) = self.calls.get(&call).and_then(|state| state.offer.account.clone())
        else {
            return self.request_permit(call);
        };
        match self.limiter.take(self.now, &account) {
            rate::Decision::Granted => self.request_permit(call),
            rate::Decision::Pending(ticket) => {
                self.rate_tickets.insert(ticket, call);
                if let Some(state) = self.calls.get_mut(&call) {
                    state.stage = Stage::AwaitingToken { ticket };
                }
            }
            rate::Decision::Refused { retry_after } => self.refuse_over_rate(call, retry_after),
        }
        self.process_limiter_output();
    }

    fn refuse_over_rate(&mut self, call: id::Call, retry_after: Duration) {
        self.give_up(call, Refusal::not_run(Reason::Rate).after(retry_after));
    }

    /// Sends the limiter's messages, and resumes or refuses the calls that waited for a token.
    pub(super) fn process_limiter_output(&mut self) {
        for (to, message) in self.limiter.take_outbox() {
            self.send(to, Message::Rate(message));
        }
        for answer in self.limiter.take_late_decisions() {
            let Some(call) = self.rate_tickets.remove(&answer.ticket) else { continue };
            match answer.decision {
                rate::Decision::Granted => self.request_permit(call),
                rate::Decision::Refused { retry_after } => self.refuse_over_rate(call, retry_after),
                rate::Decision::Pending(ticket) => {
                    self.rate_tickets.insert(ticket, call);
                }
            }
        }
    }

    /// Adds a call to the node's state and starts its deadline timer.
    pub(super) fn register_call(&mut self, call: id::Call, state: Call) {
        self.timers.insert((state.deadline, call));
        self.calls.insert(call, state);
    }

    fn check(&mut self, listener: Listener, head: &Head) -> Result<CheckedRequest, Refusal> {
        let tables = self.tables.clone().ok_or(no_tables())?;
        let path: Path = head.path.parse().map_err(|_| Refusal::not_run(Reason::Malformed))?;
        let route = tables.route(&head.method, &path).cloned();
        match listener {
            Listener::Caller => {
                if self.is_closed() {
                    return Err(Refusal::not_run(Reason::Leaving).after(RETRY_AFTER));
                }
                if head.context.is_some() {
                    return Err(Refusal::not_run(Reason::Context));
                }
                self.check_root(head, route.ok_or(Refusal::not_run(Reason::NoRoute))?)
            }
            Listener::Target => self.check_nested(head, route),
        }
    }

    fn check_root(&mut self, head: &Head, route: Arc<Route>) -> Result<CheckedRequest, Refusal> {
        let account = match route.access {
            Access::Open => None,
            Access::Keyed => Some(self.account_of(head)?),
        };
        let allowed = head.deadline.map_or(route.deadline, |asked| asked.min(route.deadline));
        Ok(CheckedRequest {
            origin: Origin::Caller,
            account,
            deadline: self.now + allowed,
            budget: retry::Budget::new(route.retries),
            quota: None,
            request: id::Request(self.rng.random()),
            depth: 0,
            class: route.class,
            route,
        })
    }

    fn account_of(&self, head: &Head) -> Result<id::Account, Refusal> {
        if self.config.keys_usable(self.now).is_err() {
            return Err(no_tables());
        }
        let account = head.key.as_ref().and_then(|digest| self.config.account_of(digest));
        account.cloned().ok_or(Refusal::not_run(Reason::Key))
    }

    fn check_nested(
        &mut self,
        head: &Head,
        route: Option<Arc<Route>>,
    ) -> Result<CheckedRequest, Refusal> {
        let invalid_context = Refusal::not_run(Reason::Context);
        let token =
            head.context.as_ref().and_then(|text| text.parse().ok()).ok_or(invalid_context)?;
        let (parent, ()) = self.contexts.find(&token).ok_or(invalid_context)?;
        let parent_call = self.calls.get_mut(&parent).ok_or(invalid_context)?;
        let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
        if parent_call.offer.depth + 1 >= MAX_DEPTH {
            return Err(Refusal::not_run(Reason::Depth));
        }
        let allowed = head.deadline.map_or(route.deadline, |asked| asked.min(route.deadline));
        let quota = parent_call.budget.split();
        Ok(CheckedRequest {
            origin: Origin::Target { parent },
            account: parent_call.offer.account.clone(),
            deadline: parent_call.deadline.min(self.now + allowed),
            budget: retry::Budget::new(quota.size()),
            quota: Some(quota),
            request: parent_call.offer.request,
            depth: parent_call.offer.depth + 1,
            class: parent_call.offer.class.min(route.class),
            route,
        })
    }

    /// Refuses requests that crashed targets before and requests that a downstream pool would
    /// refuse. This happens before the rate limit, so such requests use no token.
    fn refuse_early(&mut self, offer: &Offer) -> Option<Refusal> {
        if offer.remaining.is_zero() {
            return Some(Refusal::not_run(Reason::Deadline));
        }
        if let Err(refusal) = self.crash_tracker.check(offer.fingerprint) {
            return Some(refusal);
        }
        self.pressure.check(self.now, &offer.route, &offer.pool, offer.class, &offer.account)
    }

    fn refuse_new(&mut self, call: id::Call, refusal: Refusal) {
        self.counts.refused(refusal.reason);
        self.emit(super::Action::Refuse {
            call,
            refusal,
            trailer: Trailer::default(),
            limit: None,
        });
    }
}

fn no_tables() -> Refusal {
    Refusal::not_run(Reason::NoTables).after(RETRY_AFTER)
}

/// Hashes account, route and request digest. The result is the same on every node, so nodes can
/// recognise equal requests.
fn fingerprint(offer: &Offer, digest: u64) -> u64 {
    let mut hash = siphasher::sip::SipHasher13::new();
    offer.account.hash(&mut hash);
    offer.route.hash(&mut hash);
    digest.hash(&mut hash);
    hash.finish()
}
