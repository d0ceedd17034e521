//! The rate and burst of each client account, counted over the whole fleet.
//!
//! Published tables split each account over a few minters. A minter lends parts of its share to the
//! nodes where requests arrive, for a short term, or gives single tokens on ask. Everything that
//! exists at one moment, in buckets, loans and messages, stays within the sold burst, and minting
//! within the sold rate, whatever is lost, late, doubled or cut off. See docs/design/rate.md for
//! the argument and docs/operate/rates.md for what an account sees.

pub mod split;

mod account;
mod asks;
mod borrower;
mod bucket;
mod dump;
mod lender;
mod message;
mod meter;
mod receive;
mod settings;
mod standing;

pub use {
    account::View,
    asks::Ticket,
    bucket::Bucket,
    dump::{Dump, Line, Loan as HeldLoan},
    message::{Ask, Knowledge, Loan, Message, Query, Recall, Receipt, Reply, Standing, Want},
    settings::{Guards, Settings},
};

use {
    crate::{
        id, table,
        time::Instant,
        unit::{Rate, Revision, Tokens},
    },
    account::Account,
    asks::Asks,
    lender::Context,
    message::Sequence,
    split::{Share, Split},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The decision on one root request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request is within the account's rate.
    Granted,
    /// No token is at hand, and another node has been asked for one. The answer comes from
    /// [`Ledger::answers`] within [`Settings::ask_ms`] a try.
    Asked(Ticket),
    /// The request is over the account's rate, and has not run.
    Refused {
        /// When a caller should try again.
        retry_after: Duration,
    },
}

/// The late decision on a request that waited for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The request.
    pub ticket: Ticket,
    /// Granted or refused.
    pub verdict: Verdict,
}

/// What an account has bought and what is left of it at this node, for the RateLimit fields.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Requests a second over the whole fleet.
    pub rate: Rate,
    /// Requests at once over the whole fleet.
    pub burst: u32,
    /// Whole requests that this node can grant at once.
    pub remaining: u64,
}

/// The most accounts that are remembered after the tables dropped them.
const MAX_GONE: usize = 1_024;

/// All accounts at one node.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    guards: Guards,
    me: id::Vm,
    incarnation: id::Incarnation,
    view: View,
    started: Option<Instant>,
    revision: Revision,
    places: split::Places,
    accounts: BTreeMap<id::Account, Account>,
    asks: Asks,
    sequence: Sequence,
    tickets: u64,
    outbox: Vec<(id::Vm, Message)>,
    answers: Vec<Answer>,
}

impl Ledger {
    /// Makes the ledger of a node that has just started.
    pub fn new(
        settings: Settings,
        me: id::Vm,
        data_centre: id::DataCentre,
        incarnation: id::Incarnation,
    ) -> Self {
        Self {
            settings,
            guards: Guards::default(),
            me,
            incarnation,
            view: View { data_centre: Some(data_centre), ..View::default() },
            started: None,
            revision: Revision::default(),
            places: split::Places::new(),
            accounts: BTreeMap::new(),
            asks: Asks::default(),
            sequence: 0,
            tickets: 0,
            outbox: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Takes guards away, to show in a test that each is needed.
    #[doc(hidden)]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        if !guards.has_margin {
            self.settings.margin_ppm = 0;
        }
        self
    }

    /// Puts newer tables in force. Tables of an older revision are ignored.
    pub fn configure(&mut self, now: Instant, set: &table::Set) {
        if set.revision() <= self.revision {
            return;
        }
        self.started.get_or_insert(now);
        self.revision = set.revision();
        let places = split::places(set);
        let is_moved = places != self.places;
        self.places = places;
        for (name, sold) in set.accounts() {
            let known = self.accounts.get(name).and_then(|state| state.sold.as_ref());
            if is_moved || known != Some(sold) {
                let split = Arc::new(Split::new(&self.settings, sold, &self.places));
                self.replace(now, name, split, Some(sold.clone()));
            }
        }
        let is_gone = |name: &&id::Account| !set.accounts().contains_key(*name);
        let gone: Vec<_> = self.accounts.keys().filter(is_gone).cloned().collect();
        for name in &gone {
            self.replace(now, name, Arc::new(Split::default()), None);
        }
        // What is still lent must not be forgotten.
        let is_over =
            |state: &Account| state.sold.is_none() && state.lender.committed() == Share::NONE;
        for name in gone.iter().skip(MAX_GONE) {
            if self.accounts.get(name).is_some_and(is_over) {
                self.accounts.remove(name);
            }
        }
    }

    fn replace(
        &mut self,
        now: Instant,
        name: &id::Account,
        split: Arc<Split>,
        sold: Option<Arc<table::Account>>,
    ) {
        let nonce = self.sequence + 1;
        if !self.accounts.contains_key(name) {
            let account = Account::new(now, &self.me, split.clone(), self.revision, nonce);
            self.accounts.insert(name.clone(), account);
        }
        let Some(account) = self.accounts.get_mut(name) else { return };
        account.sold = sold;
        account.standing.replace(now, split, self.revision, nonce);
        account.sort(name, &self.me, &self.view);
        self.refresh(now, name);
    }

    /// Takes in who is thought absent, which is dead, suspected or leaving.
    pub fn observe(&mut self, absent: impl IntoIterator<Item = id::Vm>) {
        self.view.absent = absent.into_iter().collect();
        for (name, account) in &mut self.accounts {
            account.sort(name, &self.me, &self.view);
        }
    }

    /// Decides on one root request of an account.
    pub fn take(&mut self, now: Instant, account: &id::Account) -> Verdict {
        let context = Context { account, now, settings: &self.settings, guards: self.guards };
        let Some(state) = self.accounts.get_mut(account).filter(|state| state.sold.is_some())
        else {
            return Verdict::Refused { retry_after: Duration::from_secs(1) };
        };
        state.demand.count(now);
        if state.take(context) {
            return Verdict::Granted;
        }
        let retry_after = state.retry_after();
        let is_open = state.is_worth_asking(now, self.asks.count(account));
        let first = state.to_ask(now, None);
        let is_patient = first.is_none();
        let asked = first.or_else(|| state.to_wait_for(self.tickets + 1)).filter(|_| is_open);
        let recalled = if is_open { state.lender.recall(now, true) } else { Vec::new() };
        for vm in recalled {
            self.outbox.push((vm, Message::Recall(Recall { account: account.clone() })));
        }
        let Some(asked) = asked else { return Verdict::Refused { retry_after } };
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let until = now + self.settings.ask_term();
        let account = account.clone();
        self.ask(asks::Ask { ticket, account, asked, tries: 0, is_patient, until });
        Verdict::Asked(ticket)
    }

    fn ask(&mut self, ask: asks::Ask) {
        self.sequence += 1;
        let nonce = self.sequence;
        let account = ask.account.clone();
        let message = Message::Ask(Ask { account, nonce, is_patient: ask.is_patient });
        self.outbox.push((ask.asked.clone(), message));
        self.asks.insert(nonce, ask);
    }

    /// Tells whether loans of this node's earlier life may still be in use.
    fn is_waiting(&self, now: Instant) -> bool {
        self.guards.has_restart_wait && self.wait_left(now) > Duration::ZERO
    }

    fn wait_left(&self, now: Instant) -> Duration {
        let wait = self.settings.widen(self.settings.term());
        self.started.map_or(wait, |started| (started + wait).since(now))
    }

    fn refresh(&mut self, now: Instant, name: &id::Account) {
        let is_waiting = self.is_waiting(now);
        let Some(state) = self.accounts.get_mut(name) else { return };
        if !self.guards.has_transition {
            state.standing.presume();
        }
        if !is_waiting {
            state.standing.settle_if_agreed(now, &self.settings);
        }
        let allowed = if is_waiting { Share::NONE } else { state.standing.allowed() };
        let until = match self.guards.has_retirement {
            true => state.standing.until(&self.settings),
            false => Instant::from_nanos(u64::MAX),
        };
        state.lender.refresh(now, allowed, until);
    }

    /// Ends what has ended, divides and borrows anew, and returns what is to be sent. A driver calls
    /// it every 100 ms and sends all messages for one VM together.
    pub fn tick(&mut self, now: Instant) -> Vec<(id::Vm, Message)> {
        for ask in self.asks.expired(now) {
            self.set_dry(now, &ask, Duration::from_millis(self.settings.renew_ms));
            self.retry(now, ask);
        }
        let names: Vec<_> = self.accounts.keys().cloned().collect();
        let mut messages = std::mem::take(&mut self.outbox);
        for name in names {
            self.refresh(now, &name);
            self.serve(now, &name);
            self.tick_account(now, &name, &mut messages);
        }
        messages.append(&mut self.outbox);
        messages
    }

    fn tick_account(
        &mut self,
        now: Instant,
        name: &id::Account,
        messages: &mut Vec<(id::Vm, Message)>,
    ) {
        let Some(state) = self.accounts.get_mut(name) else { return };
        let context = Context { account: name, now, settings: &self.settings, guards: self.guards };
        state.demand.tick(now);
        state.asked.tick(now);
        let demand = state.demand.demand().saturating_add(state.asked.demand());
        let loans = state.lender.tick(context, demand, &mut self.sequence);
        messages.extend(loans.into_iter().map(|(vm, loan)| (vm, Message::Loan(loan))));
        messages.extend(state.plan(context, &mut self.sequence));
        if state.standing.is_query_due(now, &self.settings, self.sequence + 1) {
            for vm in state.standing.others() {
                self.sequence += 1;
                let query = Query { account: name.clone(), nonce: self.sequence };
                messages.push((vm, Message::Query(query)));
            }
        }
    }

    /// Returns the messages that should leave at once. A driver calls it after [`Ledger::take`] and
    /// [`Ledger::receive`].
    pub fn outbox(&mut self) -> Vec<(id::Vm, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the decisions on requests that waited. A driver calls it after [`Ledger::receive`]
    /// and [`Ledger::tick`].
    pub fn answers(&mut self) -> Vec<Answer> {
        std::mem::take(&mut self.answers)
    }

    /// Hands everything that is held back to its lenders, before the process exits, and refuses
    /// the requests that wait.
    pub fn drain(&mut self, now: Instant) -> Vec<(id::Vm, Message)> {
        for ask in self.asks.take_all() {
            let retry_after = Duration::from_secs(1);
            let verdict = Verdict::Refused { retry_after };
            self.answers.push(Answer { ticket: ask.ticket, verdict });
        }
        let mut messages = std::mem::take(&mut self.outbox);
        for (name, state) in &mut self.accounts {
            for (vm, held) in &mut state.held {
                self.sequence += 1;
                let want = held.give_up(now, name, self.sequence);
                messages.extend(want.map(|want| (vm.clone(), Message::Want(want))));
            }
        }
        messages
    }

    /// Returns what the RateLimit fields of an answer to a caller say, if the account is sold.
    pub fn limit(&self, account: &id::Account) -> Option<Limit> {
        let state = self.accounts.get(account)?;
        let sold = state.sold.as_ref()?;
        let remaining = state.level().0 / Tokens::ONE.0;
        Some(Limit { rate: sold.rate, burst: sold.burst, remaining })
    }

    /// Shows the state of all accounts.
    pub fn dump(&self, now: Instant) -> Dump {
        let lines = self.accounts.iter();
        let wait = self.wait_left(now).as_millis();
        Dump {
            revision: self.revision,
            restart_wait_ms: u64::try_from(wait).unwrap_or(u64::MAX),
            accounts: lines.map(|(name, state)| (name.clone(), Line::new(now, state))).collect(),
        }
    }
}
