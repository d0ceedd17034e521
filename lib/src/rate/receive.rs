//! What a node does with each message from another.

use {
    super::{
        Answer, Ask, Knowledge, Ledger, Loan, Message, Query, Recall, Receipt, Reply, Standing,
        Verdict, Want, asks, borrower,
        lender::{self, Context},
        split::Digest,
        standing,
    },
    crate::{id, time::Instant},
    std::time::Duration,
};

/// The shortest time for which a minter that had no token is not asked again, in milliseconds.
const LEAST_DRY_MS: u64 = 5;
/// The most asks for one request that are answered at once.
const MAX_TRIES: usize = 6;
/// The most asks for one request, with those that may wait.
const MAX_PATIENT_TRIES: usize = 10;

impl Ledger {
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
            Message::Reply(reply) => self.receive_reply(now, from, incarnation, reply),
            Message::Receipt(receipt) => self.receive_receipt(now, from, incarnation, receipt),
            Message::Recall(recall) => self.receive_recall(now, from, recall),
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
        self.serve(now, &want.account);
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
            let want = held.accept(now, incarnation, &loan, guards);
            self.outbox.extend(want.map(|want| (from.clone(), Message::Want(want))));
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
        if !state.lender.is_borrower(from, incarnation) {
            state.asked.count(now);
        }
        state.lender.ask(now, (from.clone(), incarnation), ask);
        self.serve(now, &ask.account);
    }

    /// Answers the asks that wait, and recalls tokens for those that still do.
    pub(super) fn serve(&mut self, now: Instant, account: &id::Account) {
        let Some(state) = self.accounts.get_mut(account) else { return };
        let context = Context { account, now, settings: &self.settings, guards: self.guards };
        let outcomes = state.lender.serve(context);
        let wait_ms = state.lender.wait_ms();
        for outcome in outcomes {
            let lender::Outcome { asker, nonce, is_given } = outcome;
            let account = account.clone();
            let reply = Reply { account, asker: asker.1, nonce, is_given, wait_ms };
            self.outbox.push((asker.0, Message::Reply(reply)));
        }
        for vm in state.lender.recall(now, false) {
            self.outbox.push((vm, Message::Recall(Recall { account: account.clone() })));
        }
    }

    fn receive_recall(&mut self, now: Instant, from: &id::Vm, recall: &Recall) {
        let account = &recall.account;
        let Some(state) = self.accounts.get_mut(account) else { return };
        let context = Context { account, now, settings: &self.settings, guards: self.guards };
        let message = state.recall(context, from, &mut self.sequence);
        self.outbox.extend(message.map(|message| (from.clone(), message)));
    }

    fn receive_receipt(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        receipt: &Receipt,
    ) {
        let state = self.accounts.get_mut(&receipt.account);
        let state = state.filter(|_| receipt.giver == self.incarnation);
        if let Some(state) = state {
            state.lender.release(now, &(from.clone(), incarnation), receipt.nonce);
        }
        self.serve(now, &receipt.account);
    }

    fn receive_reply(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        reply: &Reply,
    ) {
        if reply.asker != self.incarnation && self.guards.has_dedup {
            return;
        }
        let Some(ask) = self.asks.answered(reply.nonce, from) else { return };
        if reply.is_given {
            let account = reply.account.clone();
            let receipt = Receipt { account, giver: incarnation, nonce: reply.nonce };
            self.outbox.push((from.clone(), Message::Receipt(receipt)));
        }
        let is_late = now >= ask.until && self.guards.has_expiry;
        if reply.is_given && !is_late {
            self.set_open(&ask.account);
            self.answers.push(Answer { ticket: ask.ticket, verdict: Verdict::Granted });
            return;
        }
        let wait = u64::from(reply.wait_ms).clamp(LEAST_DRY_MS, self.settings.dry_ms);
        self.set_dry(now, &ask, Duration::from_millis(wait));
        self.retry(now, ask);
    }

    fn set_open(&mut self, account: &id::Account) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.allow(&self.settings);
        }
    }

    pub(super) fn set_dry(&mut self, now: Instant, ask: &asks::Ask, time: Duration) {
        let Some(state) = self.accounts.get_mut(&ask.account) else { return };
        let held = state.held.entry(ask.asked.clone());
        let held = held.or_insert_with(|| borrower::Held::new(now));
        held.dry_until = now + time;
    }

    /// Asks the next minter, or refuses.
    pub(super) fn retry(&mut self, now: Instant, ask: asks::Ask) {
        let Some(state) = self.accounts.get_mut(&ask.account) else { return };
        let context =
            Context { account: &ask.account, now, settings: &self.settings, guards: self.guards };
        if state.sold.is_some() && state.take(context) {
            self.answers.push(Answer { ticket: ask.ticket, verdict: Verdict::Granted });
            return;
        }
        let tries = ask.tries + 1;
        let next = state.to_ask(now, Some(&ask.asked)).filter(|_| tries < MAX_TRIES);
        let is_patient = next.is_none();
        let next = next.or_else(|| state.to_wait_for(ask.ticket.0 + tries as u64));
        let is_last = ask.is_patient && tries >= MAX_PATIENT_TRIES;
        if let Some(asked) = next.filter(|_| state.sold.is_some() && !is_last) {
            let until = now + self.settings.ask_term();
            self.ask(asks::Ask { asked, tries, is_patient, until, ..ask });
            return;
        }
        state.deny(now);
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
        let (digest, age, knowledge) = match self.accounts.get(&query.account) {
            Some(state) => {
                let split = state.standing.current();
                let committed = state.lender.committed();
                // Loans made under an earlier split must end before this node keeps to the new one.
                if !committed.is_within(split.share(&self.me)) {
                    return;
                }
                (split.digest, state.standing.age(now), state.standing.knowledge())
            }
            None => (Digest::ABSENT, Duration::ZERO, Knowledge::Fresh),
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
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            knowledge,
        };
        self.outbox.push((from.clone(), Message::Standing(standing)));
    }

    fn receive_standing(&mut self, now: Instant, from: &id::Vm, standing: &Standing) {
        if standing.asker != self.incarnation {
            return;
        }
        let Some(state) = self.accounts.get_mut(&standing.account) else { return };
        let word = standing::Word {
            nonce: standing.nonce,
            revision: standing.revision,
            digest: standing.digest,
            age: Duration::from_millis(standing.age_ms),
            knowledge: standing.knowledge,
        };
        state.standing.confirm(now, &self.settings, from, word);
        self.refresh(now, &standing.account);
    }
}
