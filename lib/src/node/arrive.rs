//! Requests as they come in: table, route, key, context, deadline and rate.

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

/// The deepest chain of calls. A deeper one is most likely a loop.
pub const MAX_DEPTH: u8 = 16;
/// How long a caller waits before it asks a node again that has no tables or is leaving.
const RETRY_SOON: Duration = Duration::from_millis(500);

/// A request that passed the checks that need no other node.
struct Checked {
    origin: Origin,
    route: Arc<Route>,
    account: Option<id::Account>,
    deadline: Instant,
    budget: retry::Budget,
    part: Option<retry::Quota>,
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
            self.give_back(&checked.origin, checked.part, checked.budget.remaining());
            return self.refuse_new(call, refusal);
        }
        if let Origin::Target { parent } = checked.origin
            && let Some(state) = self.calls.get_mut(&parent)
        {
            state.children.push(call);
            self.gate.nested_call_started(self.now, parent);
        }
        let key = head.idempotency_key.clone().filter(|_| !checked.route.idempotent);
        let keyed = key.map(|key| Keyed { key, right: None });
        let state = Call {
            origin: checked.origin,
            offer,
            deadline: checked.deadline,
            budget: checked.budget,
            part: checked.part,
            stage: Stage::Backoff { until: self.now },
            attempts: 0,
            reroutes: 0,
            tried: Vec::new(),
            may_have_run: false,
            children: Vec::new(),
            keyed,
            ran: None,
            pools: Vec::new(),
        };
        self.begin(call, state);
        if is_root {
            self.pay(call);
        } else {
            self.reserve(call);
        }
    }

    /// Takes a token of the account for a root request, from another node if need be.
    fn pay(&mut self, call: id::Call) {
        let Some(account) = self.calls.get(&call).and_then(|state| state.offer.account.clone())
        else {
            return self.reserve(call);
        };
        match self.ledger.take(self.now, &account) {
            rate::Decision::Granted => self.reserve(call),
            rate::Decision::Pending(ticket) => {
                self.tickets.insert(ticket, call);
                if let Some(state) = self.calls.get_mut(&call) {
                    state.stage = Stage::Paying { ticket };
                }
            }
            rate::Decision::Refused { retry_after } => self.over_rate(call, retry_after),
        }
        self.post_rate();
    }

    fn over_rate(&mut self, call: id::Call, retry_after: Duration) {
        self.give_up(call, Refusal::not_run(Reason::Rate).after(retry_after));
    }

    /// Sends what the ledger has to say, and goes on with the requests that waited for a token.
    pub(super) fn post_rate(&mut self) {
        for (to, message) in self.ledger.take_outbox() {
            self.post(to, Message::Rate(message));
        }
        for answer in self.ledger.take_late_decisions() {
            let Some(call) = self.tickets.remove(&answer.ticket) else { continue };
            match answer.decision {
                rate::Decision::Granted => self.reserve(call),
                rate::Decision::Refused { retry_after } => self.over_rate(call, retry_after),
                rate::Decision::Pending(ticket) => {
                    self.tickets.insert(ticket, call);
                }
            }
        }
    }

    /// Puts a call under its deadline's timer.
    pub(super) fn begin(&mut self, call: id::Call, state: Call) {
        self.timers.insert((state.deadline, call));
        self.calls.insert(call, state);
    }

    fn check(&mut self, listener: Listener, head: &Head) -> Result<Checked, Refusal> {
        let tables = self.tables.clone().ok_or(no_tables())?;
        let path: Path = head.path.parse().map_err(|_| Refusal::not_run(Reason::Malformed))?;
        let route = tables.route(&head.method, &path).cloned();
        match listener {
            Listener::Caller => {
                if self.is_closed() {
                    return Err(Refusal::not_run(Reason::Leaving).after(RETRY_SOON));
                }
                if head.context.is_some() {
                    return Err(Refusal::not_run(Reason::Context));
                }
                self.check_root(head, route.ok_or(Refusal::not_run(Reason::NoRoute))?)
            }
            Listener::Target => self.check_nested(head, route),
        }
    }

    fn check_root(&mut self, head: &Head, route: Arc<Route>) -> Result<Checked, Refusal> {
        let account = match route.access {
            Access::Open => None,
            Access::Keyed => Some(self.account_of(head)?),
        };
        let allowed = head.deadline.map_or(route.deadline, |asked| asked.min(route.deadline));
        Ok(Checked {
            origin: Origin::Caller,
            account,
            deadline: self.now + allowed,
            budget: retry::Budget::new(route.retries),
            part: None,
            request: id::Request(self.random.random()),
            depth: 0,
            class: route.class,
            route,
        })
    }

    fn account_of(&self, head: &Head) -> Result<id::Account, Refusal> {
        if self.store.keys_usable(self.now).is_err() {
            return Err(no_tables());
        }
        let account = head.key.as_ref().and_then(|digest| self.store.account_of(digest));
        account.cloned().ok_or(Refusal::not_run(Reason::Key))
    }

    fn check_nested(&mut self, head: &Head, route: Option<Arc<Route>>) -> Result<Checked, Refusal> {
        let foreign = Refusal::not_run(Reason::Context);
        let token = head.context.as_ref().and_then(|text| text.parse().ok()).ok_or(foreign)?;
        let (parent, ()) = self.contexts.find(&token).ok_or(foreign)?;
        let above = self.calls.get_mut(&parent).ok_or(foreign)?;
        let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
        if above.offer.depth + 1 >= MAX_DEPTH {
            return Err(Refusal::not_run(Reason::Depth));
        }
        let allowed = head.deadline.map_or(route.deadline, |asked| asked.min(route.deadline));
        let part = above.budget.split();
        Ok(Checked {
            origin: Origin::Target { parent },
            account: above.offer.account.clone(),
            deadline: above.deadline.min(self.now + allowed),
            budget: retry::Budget::new(part.size()),
            part: Some(part),
            request: above.offer.request,
            depth: above.offer.depth + 1,
            class: above.offer.class.min(route.class),
            route,
        })
    }

    /// Refuses what crashed targets before, and what a deeper pool would refuse. It costs no token.
    fn refuse_early(&mut self, offer: &Offer) -> Option<Refusal> {
        if offer.remaining.is_zero() {
            return Some(Refusal::not_run(Reason::Deadline));
        }
        if let Err(refusal) = self.suspects.check(offer.fingerprint) {
            return Some(refusal);
        }
        self.board.check(self.now, &offer.route, &offer.pool, offer.class, &offer.account)
    }

    fn refuse_new(&mut self, call: id::Call, refusal: Refusal) {
        self.counts.refused(refusal.reason);
        self.act(super::Action::Refuse { call, refusal, trailer: Trailer::default(), limit: None });
    }
}

fn no_tables() -> Refusal {
    Refusal::not_run(Reason::NoTables).after(RETRY_SOON)
}

/// Identifies equal requests of one account on one route, the same on every node.
fn fingerprint(offer: &Offer, digest: u64) -> u64 {
    let mut hash = siphasher::sip::SipHasher13::new();
    offer.account.hash(&mut hash);
    offer.route.hash(&mut hash);
    digest.hash(&mut hash);
    hash.finish()
}
