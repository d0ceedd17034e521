//! The calls with an idempotency key that one node received, and the reports to their keys' owners.

use {
    super::{
        Id, Settings,
        message::{Message, Report},
    },
    crate::{
        id::{Call, Route, Vm},
        time::Instant,
    },
    std::collections::{BTreeMap, HashMap},
};

/// Limit of the reports kept for resending. The oldest is dropped first; its key then stays in use.
const REPORTS_MAX: usize = 10_000;

#[derive(Clone, Debug)]
pub(super) struct KeyedCall {
    pub owner: Vm,
    pub route: Route,
    pub id: Id,
    pub fingerprint: u64,
    pub deadline: Instant,
    pub sent_at: Instant,
}

#[derive(Debug)]
struct PendingReport {
    owner: Vm,
    id: Id,
    report: Report,
    sent_at: Instant,
    expires_at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct KeyedCalls {
    waiting: HashMap<Call, KeyedCall>,
    granted: HashMap<Call, KeyedCall>,
    abandoned: BTreeMap<Call, (Instant, KeyedCall)>,
    pending_reports: BTreeMap<Call, PendingReport>,
}

impl KeyedCalls {
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn granted(&self) -> usize {
        self.granted.len()
    }

    pub fn reports_due(&self) -> usize {
        self.pending_reports.len()
    }

    /// Adds a call that waits for the owner's decision.
    pub fn add_waiting(&mut self, call: Call, keyed_call: KeyedCall) {
        self.waiting.insert(call, keyed_call);
    }

    /// Ends the wait of a call for a decision. Returns `None` if it does not wait for this owner.
    pub fn resolve(&mut self, owner: &Vm, call: Call, is_granted: bool) -> Option<KeyedCall> {
        if self.waiting.get(&call).is_none_or(|keyed_call| keyed_call.owner != *owner) {
            return None;
        }
        let keyed_call = self.waiting.remove(&call)?;
        if is_granted {
            self.granted.insert(call, keyed_call.clone());
        }
        Some(keyed_call)
    }

    /// Returns a ticket to the owner that arrived after its call had finished.
    pub fn return_late_ticket(
        &mut self,
        now: Instant,
        owner: &Vm,
        call: Call,
        settings: &Settings,
    ) {
        let Some((_, keyed_call)) =
            self.abandoned.get(&call).filter(|(_, keyed_call)| keyed_call.owner == *owner)
        else {
            return;
        };
        let keyed_call = keyed_call.clone();
        self.report(now, call, &keyed_call, Report::NotRun, settings);
    }

    /// Removes a finished call. Returns it if it had a ticket.
    pub fn finish(&mut self, now: Instant, call: Call, settings: &Settings) -> Option<KeyedCall> {
        if let Some(keyed_call) = self.waiting.remove(&call) {
            self.abandon(now, call, keyed_call, settings);
            return None;
        }
        self.granted.remove(&call)
    }

    fn abandon(&mut self, now: Instant, call: Call, keyed_call: KeyedCall, settings: &Settings) {
        self.abandoned.insert(call, (now + settings.ticket_lifetime(), keyed_call));
        if self.abandoned.len() > REPORTS_MAX {
            self.abandoned.pop_first();
        }
    }

    /// Queues a report on a ticket, which is resent until the owner acknowledges it or it expires.
    pub fn report(
        &mut self,
        now: Instant,
        call: Call,
        keyed_call: &KeyedCall,
        report: Report,
        settings: &Settings,
    ) {
        let expires_at = now + settings.ticket_lifetime();
        let (owner, id) = (keyed_call.owner.clone(), keyed_call.id);
        self.pending_reports
            .insert(call, PendingReport { owner, id, report, sent_at: Instant::ZERO, expires_at });
        if self.pending_reports.len() > REPORTS_MAX {
            self.pending_reports.pop_first();
        }
    }

    /// Removes a report that the owner acknowledged.
    pub fn acknowledge(&mut self, owner: &Vm, call: Call) {
        if self.pending_reports.get(&call).is_some_and(|pending| pending.owner == *owner) {
            self.pending_reports.remove(&call);
        }
    }

    /// Returns the messages to send or resend now, and the calls whose deadline has passed.
    pub fn tick(&mut self, now: Instant, settings: &Settings) -> (Vec<(Vm, Message)>, Vec<Call>) {
        let mut sends = Vec::new();
        let mut expired: Vec<Call> = Vec::new();
        for (call, keyed_call) in &mut self.waiting {
            if now >= keyed_call.deadline {
                expired.push(*call);
            } else if now - keyed_call.sent_at >= settings.resend_interval() {
                keyed_call.sent_at = now;
                sends.push((keyed_call.owner.clone(), keyed_call.message(*call)));
            }
        }
        expired.sort_unstable();
        for call in &expired {
            if let Some(keyed_call) = self.waiting.remove(call) {
                self.abandon(now, *call, keyed_call, settings);
            }
        }
        self.abandoned.retain(|_, (expires_at, _)| *expires_at > now);
        self.pending_reports.retain(|_, pending| pending.expires_at > now);
        for (call, pending) in &mut self.pending_reports {
            if pending.sent_at == Instant::ZERO
                || now - pending.sent_at >= settings.resend_interval()
            {
                pending.sent_at = now;
                let (id, report) = (pending.id, pending.report.clone());
                sends.push((pending.owner.clone(), Message::Finished { call: *call, id, report }));
            }
        }
        (sends, expired)
    }
}

impl KeyedCall {
    /// Returns the message that requests a ticket from the owner.
    pub fn message(&self, call: Call) -> Message {
        let (route, id, fingerprint) = (self.route.clone(), self.id, self.fingerprint);
        Message::Reserve { call, route, id, fingerprint }
    }
}
