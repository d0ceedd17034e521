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
mod settings;
mod standing;

pub use {
    account::View,
    asks::Ticket,
    bucket::Bucket,
    dump::{Dump, Line, Loan as HeldLoan},
    message::{Ask, Knowledge, Loan, Message, Query, Reply, Standing, Want},
    settings::{Guards, Settings},
};

use {
    crate::{
        id, table,
        time::Instant,
        unit::{Rate, Revision, Tokens},
    },
    account::{Account, Sold},
    asks::Asks,
    lender::Context,
    message::Sequence,
    split::{Digest, Share, Split},
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
/// The most minters that one request asks for a token.
const MAX_TRIES: usize = 6;

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
        for (name, sold) in set.accounts() {
            let split = Arc::new(Split::new(&self.settings, sold, &places));
            let sold = Sold { rate: sold.rate, burst: sold.burst };
            self.replace(now, name, split, Some(sold));
        }
        let is_gone = |name: &&id::Account| !set.accounts().contains_key(*name);
        let gone: Vec<_> = self.accounts.keys().filter(is_gone).cloned().collect();
        for name in &gone {
            self.replace(now, name, Arc::new(Split::default()), None);
        }
        for name in gone.iter().skip(MAX_GONE) {
            self.accounts.remove(name);
        }
    }

    fn replace(&mut self, now: Instant, name: &id::Account, split: Arc<Split>, sold: Option<Sold>) {
        let nonce = self.sequence + 1;
        if !self.accounts.contains_key(name) {
            let account = Account::new(now, &self.me, split.clone(), self.revision, nonce);
            self.accounts.insert(name.clone(), account);
        }
        let Some(account) = self.accounts.get_mut(name) else { return };
        account.sold = sold;
        account.standing.replace(split, self.revision, nonce);
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
        state.demand.count();
        if state.take(context) {
            return Verdict::Granted;
        }
        let retry_after = state.retry_after();
        let is_open = now >= state.denied_until && self.asks.count(account) < self.settings.asks;
        let asked = state.to_ask(now, &[]).filter(|_| is_open);
        let Some(asked) = asked else { return Verdict::Refused { retry_after } };
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.ask(now, ticket, account.clone(), asked, 0);
        Verdict::Asked(ticket)
    }

    fn ask(
        &mut self,
        now: Instant,
        ticket: Ticket,
        account: id::Account,
        asked: id::Vm,
        tries: usize,
    ) {
        self.sequence += 1;
        let nonce = self.sequence;
        let message = Message::Ask(Ask { account: account.clone(), nonce });
        self.outbox.push((asked.clone(), message));
        let until = now + self.settings.ask_term();
        self.asks.insert(nonce, asks::Ask { ticket, account, asked, tries, until });
    }

    /// Takes in a message from another node's given life.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        message: &Message,
    ) {
        match message {
            Message::Want(want) => self.receive_want(now, from, incarnation, want),
            Message::Loan(loan) => self.receive_loan(now, from, incarnation, loan),
            Message::Ask(ask) => self.receive_ask(now, from, incarnation, ask),
            Message::Reply(reply) => self.receive_reply(now, from, reply),
            Message::Query(query) => self.receive_query(now, from, incarnation, query),
            Message::Standing(standing) => self.receive_standing(now, from, standing),
        }
    }

    fn receive_want(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        want: &Want,
    ) {
        let is_mine = want.lender == self.incarnation;
        if let Some(state) = self.accounts.get_mut(&want.account) {
            state.lender.want(now, from, incarnation, is_mine, want);
        }
    }

    fn receive_loan(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        loan: &Loan,
    ) {
        let is_mine = loan.borrower == self.incarnation || !self.guards.has_dedup;
        let guards = self.guards;
        let state = self.accounts.get_mut(&loan.account).filter(|_| is_mine);
        let Some(state) = state else { return };
        let most = state.standing.current().share(from);
        let Some(held) = state.held.get_mut(from) else { return };
        if loan.share.is_within(most) && loan.tokens <= most.cap {
            let longest = self.settings.term_ms;
            let loan = Loan { term_ms: loan.term_ms.min(longest), ..loan.clone() };
            held.accept(now, incarnation, &loan, guards);
        }
    }

    fn receive_ask(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        ask: &Ask,
    ) {
        self.refresh(now, &ask.account);
        let Some(state) = self.accounts.get_mut(&ask.account) else { return };
        state.asked.count();
        let context =
            Context { account: &ask.account, now, settings: &self.settings, guards: self.guards };
        let is_given = state.lender.give(context);
        let reply =
            Reply { account: ask.account.clone(), asker: incarnation, nonce: ask.nonce, is_given };
        self.outbox.push((from.clone(), Message::Reply(reply)));
    }

    fn receive_reply(&mut self, now: Instant, from: &id::Vm, reply: &Reply) {
        if reply.asker != self.incarnation && self.guards.has_dedup {
            return;
        }
        let Some(ask) = self.asks.answered(reply.nonce, from) else { return };
        let is_late = now >= ask.until && self.guards.has_expiry;
        if reply.is_given && !is_late {
            self.answers.push(Answer { ticket: ask.ticket, verdict: Verdict::Granted });
            return;
        }
        self.set_dry(now, &ask, Duration::from_millis(self.settings.dry_ms));
        self.retry(now, ask);
    }

    fn set_dry(&mut self, now: Instant, ask: &asks::Ask, time: Duration) {
        let Some(state) = self.accounts.get_mut(&ask.account) else { return };
        let held = state.held.entry(ask.asked.clone());
        let held = held.or_insert_with(|| borrower::Held::new(now));
        held.dry_until = now + time;
    }

    /// Asks the next minter, or refuses.
    fn retry(&mut self, now: Instant, ask: asks::Ask) {
        let Some(state) = self.accounts.get_mut(&ask.account) else { return };
        let context =
            Context { account: &ask.account, now, settings: &self.settings, guards: self.guards };
        if state.sold.is_some() && state.take(context) {
            self.answers.push(Answer { ticket: ask.ticket, verdict: Verdict::Granted });
            return;
        }
        let next = state.to_ask(now, &[&ask.asked]);
        let next = next.filter(|_| state.sold.is_some() && ask.tries + 1 < MAX_TRIES);
        if let Some(next) = next {
            self.ask(now, ask.ticket, ask.account, next, ask.tries + 1);
            return;
        }
        state.denied_until = now + state.retry_after().min(Duration::from_millis(20));
        let verdict = Verdict::Refused { retry_after: state.retry_after() };
        self.answers.push(Answer { ticket: ask.ticket, verdict });
    }

    fn receive_query(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        query: &Query,
    ) {
        self.refresh(now, &query.account);
        let is_waiting = self.is_waiting(now);
        let (digest, knowledge) = match self.accounts.get(&query.account) {
            Some(state) => {
                let split = state.standing.current();
                let committed = state.lender.committed();
                // Loans made under an earlier split must end before this node keeps to the new one.
                if !committed.is_within(split.share(&self.me)) {
                    return;
                }
                (split.digest, state.standing.knowledge())
            }
            None => (Digest::ABSENT, Knowledge::Fresh),
        };
        if is_waiting || self.started.is_none() {
            return;
        }
        let standing = Standing {
            account: query.account.clone(),
            asker: incarnation,
            nonce: query.nonce,
            revision: self.revision,
            digest,
            knowledge,
        };
        self.outbox.push((from.clone(), Message::Standing(standing)));
    }

    fn receive_standing(&mut self, now: Instant, from: &id::Vm, standing: &Standing) {
        if standing.asker != self.incarnation {
            return;
        }
        let Some(state) = self.accounts.get_mut(&standing.account) else { return };
        let Standing { nonce, revision, digest, knowledge, .. } = *standing;
        state.standing.confirm(from, nonce, revision, digest, knowledge);
        self.refresh(now, &standing.account);
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
            state.standing.settle_alone();
        }
        let allowed = if is_waiting { Share::NONE } else { state.standing.allowed() };
        state.lender.refresh(now, allowed);
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
            self.tick_account(now, &name, &mut messages);
        }
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
        if state.standing.is_curious() && now >= state.standing.next_query {
            state.standing.next_query = now + Duration::from_millis(self.settings.query_ms);
            for vm in state.standing.missing() {
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
        let sold = state.sold?;
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
