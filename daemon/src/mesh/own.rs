//! Runs requests on the node's own target, subject to its admission gate.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        cause::Cause,
        frame::{PeerRequest, RunResult},
        target::ExchangeResult,
    },
    crate::{
        clock,
        http::message::{Answer, Field, Request},
    },
    bytes::Bytes,
    monsoon_lib::{
        call::{Reason, Refusal},
        id,
        mesh::{
            demand::Origin,
            evacuation::NO_TARGET_RETRY_AFTER,
            gate::{Decision, Release},
            lineage::Lineage,
            node::{ForwardedRequest, RunEnd},
        },
        time::Instant,
        unit::RequestRate,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::sync::oneshot,
};

/// Why a request has no answer of the own target.
#[derive(Debug)]
pub struct Failure {
    /// The result for the node that sent the request.
    pub result: RunResult,
    /// Why the outcome is unknown, if it is.
    pub cause: Option<Cause>,
}

impl From<RunResult> for Failure {
    fn from(result: RunResult) -> Self {
        Self { result, cause: None }
    }
}

/// A slot in the gate, or a position in its queue. It is released on drop.
pub struct SlotGuard<H: HeaderAdapter, D: Directory> {
    mesh: Rc<Mesh<H, D>>,
    call: id::Call,
    request: String,
    started: Instant,
    is_running: bool,
    has_answer: bool,
    is_broken: bool,
    origin: Origin,
    /// Whether the request was sent to the target.
    is_sent: bool,
    is_declined: bool,
}

impl<H: HeaderAdapter, D: Directory> SlotGuard<H, D> {
    /// Returns when the request was sent to the target.
    pub fn started(&self) -> Instant {
        self.started
    }
}

impl<H: HeaderAdapter, D: Directory> Drop for SlotGuard<H, D> {
    fn drop(&mut self) {
        let now = clock::now();
        self.mesh.queued_calls.borrow_mut().remove(&self.call);
        let releases = {
            let mut node = self.mesh.node.borrow_mut();
            // The answer of a cancelled run, whose calls were ended, tells nothing about other runs.
            let has_answer = self.has_answer && !node.runs().is_cancelled(now, &self.request);
            let latency = has_answer.then(|| now - self.started);
            if self.is_running {
                node.runs().end(&self.request);
            }
            if self.is_sent {
                let end = match self.is_declined {
                    true => RunEnd::Declined,
                    false => RunEnd::Ran(now - self.started),
                };
                node.record_run_end(now, &self.origin, end);
            }
            if !self.is_broken {
                node.crash_tracker().call_ended(now, self.call, has_answer);
            }
            match self.is_running || !node.gate().cancel(self.call) {
                true => node.gate().finish(now, self.call, latency),
                false => Vec::new(),
            }
        };
        self.mesh.deliver_releases(releases);
        if self.is_broken {
            self.mesh.check_for_crash(self.call);
        }
    }
}

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Runs a request on the node's own target and returns its result, the body of the response, and
    /// why the outcome is unknown, if it is. `is_sent` is set once the request is sent to the target.
    pub async fn run_locally(
        self: &Rc<Self>,
        forwarded: &ForwardedRequest,
        request: &Rc<Request>,
        is_sent: &Cell<bool>,
    ) -> (RunResult, Bytes, Option<Cause>) {
        let outcome = self.run_through_gate(forwarded, request, is_sent).await;
        let (result, body, cause) = match outcome {
            Ok((has_failed, answer)) => {
                let Answer { status, fields, body } = answer;
                (RunResult::Answered { has_failed, status, fields }, body, None)
            }
            Err(Failure { result, cause }) => (result, Bytes::new(), cause),
        };
        self.log_result(forwarded, &result);
        (result, body, cause)
    }

    async fn run_through_gate(
        self: &Rc<Self>,
        forwarded: &ForwardedRequest,
        request: &Rc<Request>,
        is_sent: &Cell<bool>,
    ) -> Result<(bool, Answer), Failure> {
        let now = clock::now();
        let own = self.node.borrow().own_target();
        if own.as_ref().is_some_and(|own| *own != forwarded.target) {
            return Err(RunResult::Refused(Refusal::not_run(Reason::NoTarget)).into());
        }
        let call = self.next_call_id();
        let origin = forwarded.origin();
        let decision = {
            let mut node = self.node.borrow_mut();
            let decision = node.gate().offer(now, call, &forwarded.admission_request(now));
            node.record_arrival(now, &origin, decision);
            decision
        };
        let mut slot = SlotGuard {
            mesh: self.clone(),
            call,
            request: forwarded.request.clone(),
            started: now,
            is_running: false,
            has_answer: false,
            is_broken: false,
            origin,
            is_sent: false,
            is_declined: false,
        };
        match decision {
            Decision::Run => {}
            Decision::Queued(until) => self.wait_for_slot(call, until - now).await?,
            Decision::Refused(wait) => return Err(self.gate_refusal(wait).into()),
        }
        slot.is_running = true;
        if self.node.borrow_mut().gate().is_evacuated() {
            // The evacuation began after the queue had released the call.
            return Err(self.gate_refusal(NO_TARGET_RETRY_AFTER).into());
        }
        if self.node.borrow().is_closed(clock::now(), &forwarded.target) {
            return Err(RunResult::Refused(Refusal::not_run(Reason::NoTarget)).into());
        }
        if let Err(refusal) = self.node.borrow_mut().crash_tracker().check(forwarded.fingerprint) {
            return Err(RunResult::Refused(refusal).into());
        }
        self.node.borrow_mut().crash_tracker().call_started(call, forwarded.fingerprint);
        let lineage = Lineage {
            rank: forwarded.rank,
            is_repeat: forwarded.is_repeat,
            admitted: forwarded.admitted,
            route: forwarded.route.clone(),
        };
        self.node.borrow_mut().runs().start(&forwarded.request, lineage);
        slot.started = clock::now();
        let remaining = forwarded.remaining.saturating_sub(slot.started - now);
        let forwarded = ForwardedRequest { remaining, ..forwarded.clone() };
        self.metrics.sent_to_target();
        slot.is_sent = true;
        is_sent.set(true);
        self.run_in_slot(slot, forwarded, request).await
    }

    /// Sends a request to the target and returns its answer. Dropping the future closes the
    /// connection and releases the slot.
    pub async fn exchange(
        self: &Rc<Self>,
        mut slot: SlotGuard<H, D>,
        forwarded: &ForwardedRequest,
        request: &Rc<Request>,
    ) -> Result<(bool, Answer), Failure> {
        let exchange = self
            .target
            .run(&self.header_adapter, forwarded, request, forwarded.is_idempotent)
            .await;
        if let ExchangeResult::Answered { answer: Answer { fields, .. }, .. }
        | ExchangeResult::Declined { fields, .. } = &exchange
        {
            self.record_announcement(&forwarded.target, fields);
        }
        slot.is_broken = matches!(
            &exchange,
            ExchangeResult::MayHaveRun(cause, _) if cause.reason() == Reason::Broken
        );
        slot.is_declined = matches!(exchange, ExchangeResult::Declined { .. });
        match exchange {
            ExchangeResult::Answered { has_failed, answer } => {
                slot.has_answer = true;
                Ok((has_failed, answer))
            }
            ExchangeResult::Declined { refusal, .. } => Err(RunResult::Declined(refusal).into()),
            ExchangeResult::Unreachable(error) => {
                // Otherwise it would count as a run that held its slot for no time.
                slot.is_sent = false;
                self.record_unreachable_target(&error);
                log::warn!(
                    request = forwarded.request.as_str(), error:% = error;
                    "can't send the request to the target"
                );
                Err(RunResult::Refused(Refusal::not_run(Reason::NoTarget)).into())
            }
            ExchangeResult::Expired => {
                slot.is_sent = false;
                Err(RunResult::Refused(Refusal::not_run(Reason::Deadline)).into())
            }
            ExchangeResult::MayHaveRun(cause, error) => {
                log::warn!(
                    request = forwarded.request.as_str(), cause = error.as_str();
                    "no complete response from the target"
                );
                let result = RunResult::MayHaveRun(cause.reason());
                Err(Failure { result, cause: Some(cause) })
            }
        }
    }

    /// Records what a target says about itself in the header fields of a response.
    pub fn record_announcement(&self, target: &id::Vm, fields: &[Field]) {
        let announcement = self.header_adapter.announcement(fields);
        let now = clock::now();
        let changes = self.node.borrow_mut().record_announcement(now, target, &announcement);
        if changes.is_leaving {
            log::info!(target = target.as_str(); "target says that it is leaving");
        }
        if changes.is_limit_changed {
            let limit = self.node.borrow_mut().gate().limit().map(RequestRate::per_second);
            log::info!(
                target = target.as_str(), limit_per_s = limit;
                "target began or ceased to limit its requests per second"
            );
        }
    }

    /// Checks whether a connection broke because the target crashed. A crashed target accepts no
    /// new connections, and every request that it was running is suspected of causing the crash.
    fn check_for_crash(self: &Rc<Self>, call: id::Call) {
        let is_probing = !self.broken_calls.borrow().is_empty();
        self.broken_calls.borrow_mut().push(call);
        if is_probing {
            return;
        }
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            let is_alive = mesh.target.is_reachable().await;
            let now = clock::now();
            let calls = mesh.broken_calls.take();
            if is_alive {
                mesh.ask_restarted_target();
                let mut node = mesh.node.borrow_mut();
                calls
                    .into_iter()
                    .for_each(|call| node.crash_tracker().call_ended(now, call, false));
                return;
            }
            log::warn!(calls = calls.len(); "target crashed");
            mesh.record_crashed_target();
            mesh.node.borrow_mut().crash_tracker().target_crashed(now);
            mesh.send_crash_reports().await;
        });
    }

    /// Sends new crash reports to the peers that the node selects.
    pub async fn send_crash_reports(self: &Rc<Self>) {
        let report = self.node.borrow_mut().next_crash_report(clock::now());
        let Some((message, hosts)) = report else { return };
        self.send_to_all(hosts, &PeerRequest::Crashes(message)).await;
    }

    /// Waits in the gate's queue until the call is admitted or refused.
    async fn wait_for_slot(
        self: &Rc<Self>,
        call: id::Call,
        timeout: Duration,
    ) -> Result<(), RunResult> {
        let (sender, release) = oneshot::channel();
        self.queued_calls.borrow_mut().insert(call, sender);
        self.call_queued.notify_one();
        self.start_pacing();
        match tokio::time::timeout(timeout, release).await {
            Ok(Ok(Release::Run(_))) => Ok(()),
            Ok(Ok(Release::Refuse(_, wait))) => Err(self.gate_refusal(wait)),
            Ok(Err(_)) | Err(_) => {
                let wait = self.node.borrow_mut().gate().retry_after(clock::now());
                Err(self.gate_refusal(wait))
            }
        }
    }

    /// Returns the refusal of a call that did not pass the gate.
    fn gate_refusal(&self, wait: Duration) -> RunResult {
        let reason = match self.node.borrow_mut().gate().is_evacuated() {
            true => Reason::Evacuated,
            false => Reason::Overload,
        };
        RunResult::Refused(Refusal::not_run(reason).after(wait))
    }

    /// Refuses the queued calls if the own data centre is evacuated.
    pub fn refuse_evacuated_queue(self: &Rc<Self>) {
        let releases = self.node.borrow_mut().gate().tick(clock::now());
        self.deliver_releases(releases);
    }

    /// Notifies queued calls that they were admitted or refused.
    pub fn deliver_releases(self: &Rc<Self>, releases: Vec<Release>) {
        for release in releases {
            let (Release::Run(call) | Release::Refuse(call, _)) = release;
            let waiter = self.queued_calls.borrow_mut().remove(&call);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(release).is_ok());
            if !is_delivered && matches!(release, Release::Run(_)) {
                // The call timed out or was cancelled at this moment, so its slot goes to the next.
                let releases = self.node.borrow_mut().gate().finish(clock::now(), call, None);
                self.deliver_releases(releases);
            }
        }
        self.start_pacing();
    }

    /// Starts queued calls as the limit that the target named permits, until none waits for it.
    fn start_pacing(self: &Rc<Self>) {
        let next_start = |mesh: &Self| mesh.node.borrow_mut().gate().next_start(clock::now());
        if next_start(self).is_none() || self.is_pacing.replace(true) {
            return;
        }
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            while let Some(at) = next_start(&mesh) {
                tokio::time::sleep(at - clock::now()).await;
                let releases = mesh.node.borrow_mut().gate().tick(clock::now());
                mesh.deliver_releases(releases);
            }
            mesh.is_pacing.set(false);
        });
    }

    fn log_result(&self, forwarded: &ForwardedRequest, result: &RunResult) {
        let request = forwarded.request.as_str();
        let target = forwarded.target.as_str();
        let (in_flight, waiting) = {
            let mut node = self.node.borrow_mut();
            (node.gate().in_flight(), node.gate().waiting())
        };
        match result {
            RunResult::Answered { has_failed: false, .. } => {}
            RunResult::Answered { status, .. } => {
                log::info!(request, target, status; "target responded with a failure");
            }
            RunResult::Refused(refusal) | RunResult::Declined(refusal) => {
                log::info!(
                    request, target, in_flight, waiting, reason = refusal.reason.as_str();
                    "refused before execution by the target"
                );
            }
            RunResult::MayHaveRun(reason) => {
                log::info!(
                    request, target, reason = reason.as_str();
                    "request may have been executed"
                );
            }
        }
    }
}
