//! Relays a caller's request to a target and returns the response.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        cause::Cause,
        frame::{Attachments, PeerRequest, PeerResponse, RunResult, Supplement},
        link::{self, Links, Response},
    },
    crate::{
        clock,
        http::message::{Answer, Request, is_final},
    },
    bytes::Bytes,
    monsoon_lib::{
        call::{Outcome, Reason, Refusal},
        id,
        mesh::{
            node::{Attempt, AttemptResult, Call, ForwardedRequest, Head, NextStep},
            scarcity::PoolLoad,
        },
        pressure,
        time::Instant,
    },
    std::{cell::Cell, net::IpAddr, pin::pin, rc::Rc, time::Duration},
};

/// How long after the deadline the response of a target's node may arrive. That node waits for its
/// target a little longer than the deadline.
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(250);
/// How often a request whose response is late checks whether the target's node is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The outcome of a request for its caller.
#[derive(Debug)]
pub enum Reply {
    /// The response of a target.
    Answer(Answer),
    /// The request was refused.
    Refused(Refusal),
}

/// An attempt that has not completed. If the caller disconnects, dropping it reports the
/// cancellation to the node.
struct InFlightAttempt<'a, H: HeaderAdapter, D: Directory> {
    mesh: &'a Mesh<H, D>,
    call: &'a mut Call,
    attempt: Attempt,
    started: Instant,
    is_complete: bool,
}

impl<H: HeaderAdapter, D: Directory> Drop for InFlightAttempt<'_, H, D> {
    fn drop(&mut self) {
        if !self.is_complete {
            let now = clock::now();
            let latency = now - self.started;
            let request = self.call.request.as_str();
            let target = self.attempt.target.as_str();
            let mut node = self.mesh.node.borrow_mut();
            match node.is_call_of_cancelled_run(now, request) {
                true => log::info!(request, target; "run cancelled, its call ended"),
                false => log::info!(request, target; "caller disconnected, request cancelled"),
            }
            node.cancel_attempt(now, self.call, &self.attempt, latency);
        }
    }
}

/// A response body that a peer keeps. Dropping it makes the peer drop the body, unless it was fetched.
struct KeptBody<'a> {
    links: &'a Links,
    host: IpAddr,
    run: u64,
    is_fetched: bool,
}

impl Drop for KeptBody<'_> {
    fn drop(&mut self) {
        if !self.is_fetched {
            self.links.cancel(self.host, self.run);
        }
    }
}

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Relays a request until it succeeds or is refused. Dropping the future cancels the request. A
    /// call of a run is ended if the run is cancelled.
    pub async fn relay(self: &Rc<Self>, head: &Head, request: Request) -> Reply {
        let admitted = self.node.borrow_mut().admit(clock::now(), head);
        let mut call = match admitted {
            Ok(call) => call,
            Err(refusal) => {
                let pool = self.node.borrow_mut().take_refusing_pool();
                if let Some(pool) = &pool {
                    self.metrics.refused_at_entry(pool);
                }
                self.log_refusal(head, &refusal, None, pool.as_ref(), None);
                return Reply::Refused(refusal);
            }
        };
        let is_sent = Cell::new(false);
        let run = self.node.borrow().run_to_watch(&head.request);
        let Some(run) = run else {
            return self.relay_call(head, &mut call, request, &is_sent).await;
        };
        let watch = self.cancellations.watch(run);
        let cancelled = watch.cancelled();
        let reply = tokio::select! {
            // A call that waits in the own gate gets the slot of its run at the same moment. It must
            // not start then.
            biased;
            () = cancelled => None,
            reply = self.relay_call(head, &mut call, request, &is_sent) => Some(reply),
        };
        reply.unwrap_or_else(|| {
            let refusal = self.node.borrow_mut().end_call(&call, is_sent.get());
            self.log_refusal(head, &refusal, Some(&call), None, None);
            Reply::Refused(refusal)
        })
    }

    /// Relays an admitted request. `is_sent` tells whether the attempt in progress may have reached a
    /// target.
    async fn relay_call(
        self: &Rc<Self>,
        head: &Head,
        call: &mut Call,
        request: Request,
        is_sent: &Cell<bool>,
    ) -> Reply {
        let request = Rc::new(request);
        // The error response of a target. It is returned to the caller unless a retry succeeds.
        let mut failure = None;
        // Why the outcome of the last attempt that may have run is unknown.
        let mut cause = None;
        loop {
            let attempt = {
                let unresponsive = self.links.unresponsive();
                self.node.borrow_mut().next_attempt(clock::now(), call, &unresponsive)
            };
            let attempt = match attempt {
                Ok(attempt) => attempt,
                Err(refusal) => return self.finish(head, call, failure, refusal, cause),
            };
            // Only the own gate tells when it sends a request on.
            is_sent.set(!attempt.is_own);
            let (next, result, body, unknown_cause) =
                self.send_attempt(call, attempt, &request, is_sent).await;
            cause = unknown_cause.or(cause);
            if let RunResult::Answered { status, fields, .. } = result {
                failure = Some(Answer { status, fields, body });
            }
            match (next, failure.take()) {
                (NextStep::Answer, Some(answer)) => return Reply::Answer(answer),
                (NextStep::Answer, None) => {
                    let refusal = Refusal::unknown(Reason::Broken);
                    return self.finish(head, call, None, refusal, cause);
                }
                (NextStep::Refuse(refusal), last) => {
                    return self.finish(head, call, last, refusal, cause);
                }
                (NextStep::Resend, last) => failure = last,
            }
        }
    }

    fn finish(
        &self,
        head: &Head,
        call: &Call,
        failure: Option<Answer>,
        refusal: Refusal,
        cause: Option<Cause>,
    ) -> Reply {
        if let Some(answer) = failure {
            return Reply::Answer(answer);
        }
        let is_unknown = refusal.outcome == Outcome::Unknown;
        let cause = is_unknown.then(|| cause.unwrap_or(Cause::Other));
        if let Some(cause) = cause {
            self.metrics.unknown_outcome(cause);
        }
        self.log_refusal(head, &refusal, Some(call), None, cause);
        Reply::Refused(refusal)
    }

    async fn send_attempt(
        self: &Rc<Self>,
        call: &mut Call,
        attempt: Attempt,
        request: &Rc<Request>,
        is_sent: &Cell<bool>,
    ) -> (NextStep, RunResult, Bytes, Option<Cause>) {
        let started = clock::now();
        let forwarded = self.node.borrow().forwarded_request(started, call, &attempt);
        let mut in_flight =
            InFlightAttempt { mesh: self, call, attempt, started, is_complete: false };
        let (result, body, loads, cause) = match in_flight.attempt.is_own {
            true => {
                let (result, body, cause) = self.run_locally(&forwarded, request, is_sent).await;
                let mut node = self.node.borrow_mut();
                let loads = node.reported_loads(clock::now(), forwarded.route.as_ref());
                (result, body, Some(loads), cause)
            }
            false => {
                let objective = in_flight.call.route.objective;
                self.run_on_peer(&in_flight.attempt, forwarded, objective, request).await
            }
        };
        in_flight.is_complete = true;
        let now = clock::now();
        let attempt_result = to_attempt_result(&result);
        if let Some(loads) = loads {
            let mut node = self.node.borrow_mut();
            node.record_reported_loads(now, in_flight.call, attempt_result, &loads);
        }
        let next = self.node.borrow_mut().finish_attempt(
            now,
            in_flight.call,
            &in_flight.attempt,
            attempt_result,
            now - started,
        );
        if next != NextStep::Answer {
            log::info!(
                request = in_flight.call.request.as_str(),
                target = in_flight.attempt.target.as_str(),
                end = attempt_result.as_str(),
                reason = attempt_result.reason().map(Reason::as_str),
                next = next.as_str(),
                retry_after_ms = next.retry_after().map(|wait| wait.as_millis() as u64);
                "attempt failed"
            );
        }
        (next, result, body, cause)
    }

    /// Runs a request on a peer's target. Returns the result, the body of the response, and the loads
    /// of pools if the peer's gate decided on the request. `objective` is that of the route.
    async fn run_on_peer(
        self: &Rc<Self>,
        attempt: &Attempt,
        mut forwarded: ForwardedRequest,
        objective: Duration,
        request: &Request,
    ) -> (RunResult, Bytes, Option<Vec<PoolLoad>>, Option<Cause>) {
        let began = clock::now();
        let reached = self.reach_peer(attempt.host, forwarded.is_idempotent, objective);
        match tokio::time::timeout(forwarded.remaining, reached).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                let (result, cause) = self.link_failure(attempt.host, &error);
                return (result, Bytes::new(), None, cause);
            }
            Err(_) => {
                tokio::task::spawn_local(self.clone().learn_whether_reachable(attempt.host));
                let refusal = Refusal::not_run(Reason::Deadline);
                return (RunResult::Refused(refusal), Bytes::new(), None, None);
            }
        }
        let waited = clock::now() - began;
        forwarded.remaining = forwarded.remaining.saturating_sub(waited);
        forwarded.objective = forwarded.objective.saturating_sub(waited);
        let late_at = tokio::time::Instant::now() + forwarded.remaining + LATE_RESPONSE_TIME;
        let supplement = Supplement::of_run(&forwarded);
        let run = PeerRequest::Run {
            forwarded,
            method: request.method.clone(),
            target: request.target.clone(),
            fields: request.fields.clone(),
        };
        let attachments = Attachments { extension: None, supplement: supplement.as_ref() };
        let response =
            self.links.request_with(attempt.host, run, attachments, request.body.clone());
        let Some(response) = self.response_unless_silent(attempt.host, late_at, response).await
        else {
            self.mark_peer_unreachable(attempt.host, "silent at the deadline of a request");
            let result = RunResult::MayHaveRun(Reason::Deadline);
            return (result, Bytes::new(), None, Some(Cause::LinkTimeout));
        };
        match response {
            Ok(Response {
                message: PeerResponse::RunFinished { result, load, is_traced },
                supplement,
                body,
                number,
                ..
            }) => {
                self.record_run(attempt, &result, load.as_ref(), is_traced);
                let cause = match &result {
                    RunResult::MayHaveRun(reason) => {
                        let said = supplement.as_ref().and_then(Supplement::cause);
                        Some(said.unwrap_or(Cause::of_reason(*reason)))
                    }
                    _ => None,
                };
                let kept_bytes = supplement.as_ref().and_then(Supplement::kept_bytes);
                let loads = load.map(|_| supplement.map_or(Vec::new(), Supplement::into_loads));
                let body = match kept_bytes {
                    Some(bytes) => self.fetch_body(attempt.host, number, bytes, late_at).await,
                    None => self.hold_body(body, late_at).await,
                };
                match body {
                    Ok(_) if !has_final_status(&result) => {
                        // The peer is of an earlier version, which passes on any status.
                        let cause = Cause::MismatchedResponse;
                        (RunResult::MayHaveRun(cause.reason()), Bytes::new(), loads, Some(cause))
                    }
                    Ok(body) => (result, body, loads, cause),
                    Err(cause) => {
                        let result = RunResult::MayHaveRun(cause.reason());
                        (result, Bytes::new(), loads, Some(cause))
                    }
                }
            }
            Ok(_) => {
                log::warn!(host:% = attempt.host; "unexpected type of response from a peer");
                let cause = Cause::Other;
                (RunResult::MayHaveRun(cause.reason()), Bytes::new(), None, Some(cause))
            }
            Err(error) => {
                let (result, cause) = self.link_failure(attempt.host, &error);
                (result, Bytes::new(), None, cause)
            }
        }
    }

    /// Records what a peer's response to a run tells of the peer and its target.
    fn record_run(
        &self,
        attempt: &Attempt,
        result: &RunResult,
        load: Option<&pressure::Report>,
        is_traced: bool,
    ) {
        if let RunResult::Answered { fields, .. } = result {
            self.record_announcement(&attempt.target, fields);
        }
        let now = clock::now();
        let mut node = self.node.borrow_mut();
        node.peers_mut().record_contact(now, attempt.host, None);
        if let RunResult::Refused(Refusal { reason: Reason::Leaving, .. }) = result {
            node.peers_mut().mark_leaving(now, attempt.host);
        }
        if is_traced {
            node.runs().record_remote_trace(now);
        }
        if let Some(load) = load {
            node.record_load(now, &attempt.target, load);
        }
    }

    /// Fetches the body of a response that a peer keeps, once there is room for it. Gives up at
    /// `late_at`.
    async fn fetch_body(
        &self,
        host: IpAddr,
        run: u64,
        bytes: usize,
        late_at: tokio::time::Instant,
    ) -> Result<Bytes, Cause> {
        let mut kept = KeptBody { links: &self.links, host, run, is_fetched: false };
        let reserved = tokio::time::timeout_at(late_at, self.peer_responses.reserve(bytes)).await;
        let reservation = reserved.map_err(|_| Cause::NoRoom)?;
        let request = self.links.request(host, PeerRequest::SendBody { run }, Bytes::new());
        match self.response_unless_silent(host, late_at, request).await {
            Some(Ok((PeerResponse::Body { is_kept: true }, body))) => {
                kept.is_fetched = true;
                Ok(reservation.attach(body))
            }
            Some(Ok(_)) => Err(Cause::Other),
            Some(Err(error)) => Err(self.link_failure(host, &error).1.unwrap_or(Cause::LinkBroke)),
            None => Err(Cause::LinkTimeout),
        }
    }

    /// Counts the body of a peer's response until it is written to the caller.
    async fn hold_body(&self, body: Bytes, late_at: tokio::time::Instant) -> Result<Bytes, Cause> {
        let reserved = self.peer_responses.reserve(body.len());
        let reservation = tokio::time::timeout_at(late_at, reserved).await;
        reservation.map(|reservation| reservation.attach(body)).map_err(|_| Cause::NoRoom)
    }

    /// Opens a link to a peer if there is none, and makes sure that messages arrive on it if the request
    /// to be sent may not run twice.
    async fn reach_peer(
        &self,
        host: IpAddr,
        is_idempotent: bool,
        objective: Duration,
    ) -> Result<(), link::Error> {
        match is_idempotent {
            true => self.links.connect(host).await,
            false => self.links.confirm(host, objective).await,
        }
    }

    /// Waits for the attempt to connect to a peer that a request could not wait for, so that later
    /// requests do without the peer if it fails.
    async fn learn_whether_reachable(self: Rc<Self>, host: IpAddr) {
        if let Err(error) = self.links.connect(host).await {
            self.mark_peer_unreachable(host, &error.to_string());
        }
    }

    /// Waits for the response of a peer. Returns `None` if the peer is silent at `late_at` or later;
    /// otherwise a late response is worth waiting for.
    async fn response_unless_silent<T>(
        &self,
        host: IpAddr,
        late_at: tokio::time::Instant,
        response: impl Future<Output = T>,
    ) -> Option<T> {
        let mut response = pin!(response);
        let mut check_at = late_at;
        loop {
            match tokio::time::timeout_at(check_at, response.as_mut()).await {
                Ok(response) => return Some(response),
                Err(_) if self.links.is_silent(host) => return None,
                Err(_) => check_at += SILENCE_CHECK_INTERVAL,
            }
        }
    }

    /// Returns the result of a request whose link failed, and why its outcome is unknown, if it is.
    fn link_failure(&self, host: IpAddr, error: &link::Error) -> (RunResult, Option<Cause>) {
        // A peer that is silent for a moment may be out of CPU time, and stays in use for others.
        if !matches!(error, link::Error::Silent(_)) {
            self.mark_peer_unreachable(host, &error.to_string());
        }
        let cause = match error {
            link::Error::Unreachable(..) | link::Error::NotSent(_) | link::Error::Silent(_) => {
                return (RunResult::Refused(Refusal::not_run(Reason::NoTarget)), None);
            }
            link::Error::Broken(_) => Cause::LinkBroke,
            link::Error::TimedOut(_) => Cause::LinkTimeout,
        };
        (RunResult::MayHaveRun(cause.reason()), Some(cause))
    }

    /// Logs a refusal with the beliefs of the node that decided it. `pool` is the pool that cannot
    /// carry the request, if it was refused for that at the entry. `cause` tells why the outcome is
    /// unknown, if it is.
    pub fn log_refusal(
        &self,
        head: &Head,
        refusal: &Refusal,
        call: Option<&Call>,
        pool: Option<&id::Pool>,
        cause: Option<Cause>,
    ) {
        let node = self.node.borrow();
        let now = clock::now();
        let age = node.lease().age(now).map(|age| age.as_millis() as u64);
        let revision = node.table().map(|table| table.revision().0);
        let route = call.map_or("none", |call| call.route.name.as_str());
        let account = head.key.as_ref().zip(node.table());
        let account = account.and_then(|(key, table)| table.account_of(key));
        let account = account.map_or("none", |account| account.name.as_str());
        let wait = refusal.retry_after.map(|wait| wait.as_millis() as u64);
        log::info!(
            request = head.request.as_str(),
            reason = refusal.reason.as_str(),
            outcome = refusal.outcome.as_str(),
            cause = cause.map(Cause::as_str),
            retry_after_ms = wait,
            route,
            account,
            pool = pool.map(id::Pool::as_str),
            tables = revision,
            confirmed_age_ms = age;
            "refused"
        );
    }
}

fn has_final_status(result: &RunResult) -> bool {
    !matches!(result, RunResult::Answered { status, .. } if !is_final(*status))
}

fn to_attempt_result(result: &RunResult) -> AttemptResult {
    match result {
        RunResult::Answered { has_failed, .. } => {
            AttemptResult::Answered { has_failed: *has_failed }
        }
        RunResult::Refused(refusal) => AttemptResult::Refused(*refusal),
        RunResult::Declined(refusal) => AttemptResult::Declined(*refusal),
        RunResult::MayHaveRun(reason) => AttemptResult::Lost(*reason),
    }
}
