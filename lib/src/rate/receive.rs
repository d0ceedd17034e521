//! Handling of messages from other nodes.

use {
    super::{
        Decision, Knowledge, LateDecision, Limiter, Loan, LoanRequest, Message, Recall, SplitQuery,
        SplitStatus, TokenAck, TokenReply, TokenRequest, borrower,
        lender::{self, Context},
        pending_requests,
        split::Digest,
        split_state,
    },
    crate::{id, time::Instant},
    std::time::Duration,
};

/// Minimum time for which a minter that had no token is not asked again, in milliseconds.
const MIN_EMPTY_MS: u64 = 5;
/// Maximum number of token requests per root request that expect an immediate reply.
const MAX_ATTEMPTS: usize = 6;
/// Maximum number of token requests per root request, including those whose reply may wait.
const MAX_WAITING_ATTEMPTS: usize = 10;

impl Limiter {
    /// Handles a message from the given incarnation of another node.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        message: &Message,
    ) {
        match message {
            Message::LoanRequest(request) => self.on_loan_request(now, from, incarnation, request),
            Message::Loan(loan) => self.on_loan(now, from, incarnation, loan),
            Message::TokenRequest(request) => self.enqueue_request(now, from, incarnation, request),
            Message::TokenReply(reply) => self.on_token_reply(now, from, incarnation, reply),
            Message::TokenAck(ack) => self.on_token_ack(now, from, incarnation, ack),
            Message::Recall(recall) => self.on_recall(now, from, recall),
            Message::SplitQuery(query) => self.on_split_query(now, from, incarnation, query),
            Message::SplitStatus(status) => self.on_split_status(now, from, status),
        }
    }

    fn on_loan_request(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        loan_request: &LoanRequest,
    ) {
        let is_current_incarnation = loan_request.lender == self.incarnation;
        if let Some(state) = self.accounts.get_mut(&loan_request.account) {
            state.lender.handle_loan_request(
                now,
                from,
                incarnation,
                is_current_incarnation,
                loan_request,
            );
        }
        self.serve(now, &loan_request.account);
    }

    fn on_loan(&mut self, now: Instant, from: &id::Vm, incarnation: id::Incarnation, loan: &Loan) {
        let is_current_incarnation = loan.borrower == self.incarnation || !self.guards.has_dedup;
        let guards = self.guards;
        let state = self.accounts.get_mut(&loan.account).filter(|_| is_current_incarnation);
        let Some(state) = state else { return };
        let max_share = state.split_state.current().share(from);
        let Some(held) = state.held.get_mut(from) else { return };
        if loan.share.is_within(max_share) && loan.tokens <= max_share.cap {
            let max_term_ms = self.settings.term_ms;
            let loan = Loan { term_ms: loan.term_ms.min(max_term_ms), ..loan.clone() };
            let loan_request = held.accept(now, incarnation, &loan, guards);
            self.outbox.extend(
                loan_request.map(|loan_request| (from.clone(), Message::LoanRequest(loan_request))),
            );
        }
    }

    fn enqueue_request(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        request: &TokenRequest,
    ) {
        self.refresh(now, &request.account);
        let Some(state) = self.accounts.get_mut(&request.account) else { return };
        if !state.lender.is_borrower(from, incarnation) {
            state.remote_demand.count(now);
        }
        state.lender.enqueue(now, (from.clone(), incarnation), request);
        self.serve(now, &request.account);
    }

    /// Answers the queued token requests, and recalls tokens for those that remain.
    pub(super) fn serve(&mut self, now: Instant, account: &id::Account) {
        let Some(state) = self.accounts.get_mut(account) else { return };
        let context = Context { account, now, settings: &self.settings, guards: self.guards };
        let outcomes = state.lender.serve(context);
        let wait_ms = state.lender.wait_ms();
        for outcome in outcomes {
            let lender::Outcome { requester, nonce, is_granted } = outcome;
            let account = account.clone();
            let reply = TokenReply { account, requester: requester.1, nonce, is_granted, wait_ms };
            self.outbox.push((requester.0, Message::TokenReply(reply)));
        }
        for vm in state.lender.recall(now, false) {
            self.outbox.push((vm, Message::Recall(Recall { account: account.clone() })));
        }
    }

    fn on_recall(&mut self, now: Instant, from: &id::Vm, recall: &Recall) {
        let account = &recall.account;
        let Some(state) = self.accounts.get_mut(account) else { return };
        let context = Context { account, now, settings: &self.settings, guards: self.guards };
        let message = state.recall(context, from, &mut self.sequence);
        self.outbox.extend(message.map(|message| (from.clone(), message)));
    }

    fn on_token_ack(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        ack: &TokenAck,
    ) {
        let state = self.accounts.get_mut(&ack.account);
        let state = state.filter(|_| ack.grantor == self.incarnation);
        if let Some(state) = state {
            state.lender.release(now, &(from.clone(), incarnation), ack.nonce);
        }
        self.serve(now, &ack.account);
    }

    fn on_token_reply(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        reply: &TokenReply,
    ) {
        if reply.requester != self.incarnation && self.guards.has_dedup {
            return;
        }
        let Some(request) = self.pending.remove_answered(reply.nonce, from) else { return };
        if reply.is_granted {
            let account = reply.account.clone();
            let ack = TokenAck { account, grantor: incarnation, nonce: reply.nonce };
            self.outbox.push((from.clone(), Message::TokenAck(ack)));
        }
        let is_late = now >= request.deadline && self.guards.has_expiry;
        if reply.is_granted && !is_late {
            self.record_account_grant(&request.account);
            self.late_decisions
                .push(LateDecision { ticket: request.ticket, decision: Decision::Granted });
            return;
        }
        let wait = u64::from(reply.wait_ms).clamp(MIN_EMPTY_MS, self.settings.dry_ms);
        self.mark_empty(now, &request, Duration::from_millis(wait));
        self.retry(now, request);
    }

    fn record_account_grant(&mut self, account: &id::Account) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.record_grant(&self.settings);
        }
    }

    pub(super) fn mark_empty(
        &mut self,
        now: Instant,
        request: &pending_requests::PendingRequest,
        time: Duration,
    ) {
        let Some(state) = self.accounts.get_mut(&request.account) else { return };
        let held = state.held.entry(request.minter.clone());
        let held = held.or_insert_with(|| borrower::HeldLoan::new(now));
        held.empty_until = now + time;
    }

    /// Retries a token request with the next minter, or refuses the root request.
    pub(super) fn retry(&mut self, now: Instant, request: pending_requests::PendingRequest) {
        let Some(state) = self.accounts.get_mut(&request.account) else { return };
        let context = Context {
            account: &request.account,
            now,
            settings: &self.settings,
            guards: self.guards,
        };
        if state.published.is_some() && state.take(context) {
            self.late_decisions
                .push(LateDecision { ticket: request.ticket, decision: Decision::Granted });
            return;
        }
        let attempts = request.attempts + 1;
        let next =
            state.next_lender(now, Some(&request.minter)).filter(|_| attempts < MAX_ATTEMPTS);
        let may_wait = next.is_none();
        let next = next.or_else(|| state.fallback_lender(request.ticket.0 + attempts as u64));
        let is_last = request.may_wait && attempts >= MAX_WAITING_ATTEMPTS;
        if let Some(minter) = next.filter(|_| state.published.is_some() && !is_last) {
            let deadline = now + self.settings.token_request_term();
            self.request_token(pending_requests::PendingRequest {
                minter,
                attempts,
                may_wait,
                deadline,
                ..request
            });
            return;
        }
        state.record_denial(now);
        let decision = Decision::Refused { retry_after: state.retry_after() };
        self.late_decisions.push(LateDecision { ticket: request.ticket, decision });
    }

    fn on_split_query(
        &mut self,
        now: Instant,
        from: &id::Vm,
        incarnation: id::Incarnation,
        query: &SplitQuery,
    ) {
        self.refresh(now, &query.account);
        let is_in_restart_wait = self.is_in_restart_wait(now);
        let (digest, age, knowledge) = match self.accounts.get(&query.account) {
            Some(state) => {
                let split = state.split_state.current();
                let committed = state.lender.committed();
                // Loans made under an earlier split must end before this node confirms the new one.
                if !committed.is_within(split.share(&self.local_vm)) {
                    return;
                }
                (split.digest, state.split_state.age(now), state.split_state.knowledge())
            }
            None => (Digest::ABSENT, Duration::ZERO, Knowledge::Fresh),
        };
        if is_in_restart_wait || self.started.is_none() {
            return;
        }
        let status = SplitStatus {
            account: query.account.clone(),
            requester: incarnation,
            nonce: query.nonce,
            revision: self.revision,
            digest,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            knowledge,
        };
        self.outbox.push((from.clone(), Message::SplitStatus(status)));
    }

    fn on_split_status(&mut self, now: Instant, from: &id::Vm, status: &SplitStatus) {
        if status.requester != self.incarnation {
            return;
        }
        let Some(state) = self.accounts.get_mut(&status.account) else { return };
        let confirmation = split_state::Confirmation {
            nonce: status.nonce,
            revision: status.revision,
            digest: status.digest,
            age: Duration::from_millis(status.age_ms),
            knowledge: status.knowledge,
        };
        state.split_state.record_confirmation(now, &self.settings, from, confirmation);
        self.refresh(now, &status.account);
    }
}
