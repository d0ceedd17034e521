//! The calls with a key that came to one node: before, while and after they have a ticket.

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

/// Reports that are kept for resending. The oldest is given up first, which leaves its key taken.
const REPORTS_MAX: usize = 10_000;

#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub owner: Vm,
    pub route: Route,
    pub id: Id,
    pub body: u64,
    pub deadline: Instant,
    pub sent: Instant,
}

#[derive(Debug)]
struct Due {
    owner: Vm,
    id: Id,
    report: Report,
    sent: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Asks {
    waiting: HashMap<Call, Ask>,
    granted: HashMap<Call, Ask>,
    abandoned: BTreeMap<Call, (Instant, Ask)>,
    due: BTreeMap<Call, Due>,
}

impl Asks {
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn granted(&self) -> usize {
        self.granted.len()
    }

    pub fn due(&self) -> usize {
        self.due.len()
    }

    /// Begins to wait for the owner's verdict.
    pub fn wait(&mut self, call: Call, ask: Ask) {
        self.waiting.insert(call, ask);
    }

    /// Ends the wait with a verdict, if the call still waits for this owner.
    pub fn verdict(&mut self, owner: &Vm, call: Call, is_grant: bool) -> Option<Ask> {
        if self.waiting.get(&call).is_none_or(|ask| ask.owner != *owner) {
            return None;
        }
        let ask = self.waiting.remove(&call)?;
        if is_grant {
            self.granted.insert(call, ask.clone());
        }
        Some(ask)
    }

    /// Gives back a ticket that came after its call had ended.
    pub fn late_grant(&mut self, now: Instant, owner: &Vm, call: Call, settings: &Settings) {
        let Some((_, ask)) = self.abandoned.get(&call).filter(|(_, ask)| ask.owner == *owner)
        else {
            return;
        };
        let ask = ask.clone();
        self.report(now, call, &ask, Report::NotRun, settings);
    }

    /// Ends a call. Returns what it asked for, where it had a ticket.
    pub fn finish(&mut self, now: Instant, call: Call, settings: &Settings) -> Option<Ask> {
        if let Some(ask) = self.waiting.remove(&call) {
            self.abandon(now, call, ask, settings);
            return None;
        }
        self.granted.remove(&call)
    }

    fn abandon(&mut self, now: Instant, call: Call, ask: Ask, settings: &Settings) {
        self.abandoned.insert(call, (now + settings.ticket(), ask));
        if self.abandoned.len() > REPORTS_MAX {
            self.abandoned.pop_first();
        }
    }

    /// Tells the owner what became of a ticket until it confirms.
    pub fn report(
        &mut self,
        now: Instant,
        call: Call,
        ask: &Ask,
        report: Report,
        settings: &Settings,
    ) {
        let until = now + settings.ticket();
        let (owner, id) = (ask.owner.clone(), ask.id);
        self.due.insert(call, Due { owner, id, report, sent: Instant::ZERO, until });
        if self.due.len() > REPORTS_MAX {
            self.due.pop_first();
        }
    }

    /// Ends the resending of a report.
    pub fn noted(&mut self, owner: &Vm, call: Call) {
        if self.due.get(&call).is_some_and(|due| due.owner == *owner) {
            self.due.remove(&call);
        }
    }

    /// Returns the messages that are to be sent or resent now, and the calls that waited too long.
    pub fn tick(&mut self, now: Instant, settings: &Settings) -> (Vec<(Vm, Message)>, Vec<Call>) {
        let mut sends = Vec::new();
        let mut over: Vec<Call> = Vec::new();
        for (call, ask) in &mut self.waiting {
            if now >= ask.deadline {
                over.push(*call);
            } else if now - ask.sent >= settings.resend() {
                ask.sent = now;
                sends.push((ask.owner.clone(), ask.message(*call)));
            }
        }
        over.sort_unstable();
        for call in &over {
            if let Some(ask) = self.waiting.remove(call) {
                self.abandon(now, *call, ask, settings);
            }
        }
        self.abandoned.retain(|_, (until, _)| *until > now);
        self.due.retain(|_, due| due.until > now);
        for (call, due) in &mut self.due {
            if due.sent == Instant::ZERO || now - due.sent >= settings.resend() {
                due.sent = now;
                let (id, report) = (due.id, due.report.clone());
                sends.push((due.owner.clone(), Message::Finished { call: *call, id, report }));
            }
        }
        (sends, over)
    }
}

impl Ask {
    /// Returns the message that asks the owner for a ticket.
    pub fn message(&self, call: Call) -> Message {
        let (route, id, body) = (self.route.clone(), self.id, self.body);
        Message::Reserve { call, route, id, body }
    }
}
