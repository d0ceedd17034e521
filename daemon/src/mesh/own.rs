//! Runs on the node's own target, behind its gate.

use {
    super::{
        Mesh,
        adapter::{Directory, Names},
        frame::{Ask, End},
        target::Run,
    },
    crate::{
        clock,
        http::message::{Answer, Request},
    },
    bytes::Bytes,
    monsoon_lib::{
        call::{Reason, Refusal},
        id,
        mesh::{
            gate::{Decision, Release},
            lineage::Lineage,
            node::Served,
        },
        time::Instant,
    },
    std::{rc::Rc, time::Duration},
    tokio::sync::oneshot,
};

/// A place in the gate, given back when dropped.
struct Place<N: Names, D: Directory> {
    mesh: Rc<Mesh<N, D>>,
    call: id::Call,
    request: String,
    started: Instant,
    is_running: bool,
    has_answer: bool,
    is_broken: bool,
}

impl<N: Names, D: Directory> Drop for Place<N, D> {
    fn drop(&mut self) {
        let now = clock::now();
        self.mesh.waits.borrow_mut().remove(&self.call);
        let latency = self.has_answer.then(|| now - self.started);
        let releases = {
            let mut node = self.mesh.node.borrow_mut();
            if self.is_running {
                node.runs().end(&self.request);
            }
            if !self.is_broken {
                node.suspects().call_ended(now, self.call, self.has_answer);
            }
            match self.is_running || !node.gate().cancel(self.call) {
                true => node.gate().done(now, self.call, latency),
                false => Vec::new(),
            }
        };
        self.mesh.release(releases);
        if self.is_broken {
            self.mesh.broken(self.call);
        }
    }
}

impl<N: Names, D: Directory> Mesh<N, D> {
    /// Runs a request on the own target and returns how it ended, with the body of the answer.
    pub async fn run_own(self: &Rc<Self>, served: &Served, request: &Rc<Request>) -> (End, Bytes) {
        let end = self.run_behind_gate(served, request).await;
        let (end, body) = match end {
            Ok((has_failed, answer)) => {
                let Answer { status, fields, body } = answer;
                (End::Answered { has_failed, status, fields }, body)
            }
            Err(end) => (end, Bytes::new()),
        };
        self.log_end(served, &end);
        (end, body)
    }

    async fn run_behind_gate(
        self: &Rc<Self>,
        served: &Served,
        request: &Rc<Request>,
    ) -> Result<(bool, Answer), End> {
        let now = clock::now();
        let own = self.node.borrow().own_target();
        if own.as_ref().is_some_and(|own| *own != served.target) {
            return Err(End::Refused(Refusal::not_run(Reason::NoTarget)));
        }
        let call = self.next_call();
        let decision = self.node.borrow_mut().gate().offer(now, call, &served.ask(now));
        let mut place = Place {
            mesh: self.clone(),
            call,
            request: served.request.clone(),
            started: now,
            is_running: false,
            has_answer: false,
            is_broken: false,
        };
        match decision {
            Decision::Run => {}
            Decision::Queued(until) => self.wait(call, until - now).await?,
            Decision::Refused(wait) => return Err(refused(wait)),
        }
        place.is_running = true;
        if let Err(refusal) = self.node.borrow_mut().suspects().check(served.fingerprint) {
            return Err(End::Refused(refusal));
        }
        self.node.borrow_mut().suspects().call_started(call, served.fingerprint);
        let lineage = Lineage { rank: served.rank, is_repeat: served.is_repeat };
        self.node.borrow_mut().runs().start(&served.request, lineage);
        place.started = clock::now();
        let remaining = served.remaining.saturating_sub(place.started - now);
        let served = Served { remaining, ..served.clone() };
        let run = self.target.run(&self.names, &served, request, served.is_idempotent).await;
        place.is_broken = matches!(run, Run::Lost(Reason::Broken, _));
        match run {
            Run::Answered { has_failed, answer } => {
                place.has_answer = true;
                Ok((has_failed, answer))
            }
            Run::Declined(refusal) => Err(End::Declined(refusal)),
            Run::Unreachable(error) => {
                log::warn!(request = served.request.as_str(), error:% = error; "target unreachable");
                Err(End::Refused(Refusal::not_run(Reason::NoTarget)))
            }
            Run::Lost(reason, cause) => {
                log::warn!(request = served.request.as_str(), cause = cause.as_str(); "run lost");
                Err(End::Lost(reason))
            }
        }
    }

    /// Finds out whether a connection broke because the target crashed. A crashed target takes no new
    /// connections, and all that it ran is under suspicion.
    fn broken(self: &Rc<Self>, call: id::Call) {
        let is_probing = !self.broken.borrow().is_empty();
        self.broken.borrow_mut().push(call);
        if is_probing {
            return;
        }
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            let is_alive = mesh.target.is_reachable().await;
            let now = clock::now();
            let calls = mesh.broken.take();
            if is_alive {
                let mut node = mesh.node.borrow_mut();
                calls.into_iter().for_each(|call| node.suspects().call_ended(now, call, false));
                return;
            }
            log::warn!(calls = calls.len(); "the target crashed");
            mesh.node.borrow_mut().suspects().target_crashed(now);
            mesh.spread_crashes().await;
        });
    }

    /// Tells some peers what is news of crashes.
    pub async fn spread_crashes(self: &Rc<Self>) {
        let news = self.node.borrow_mut().crash_news(clock::now());
        let Some((message, hosts)) = news else { return };
        self.tell_all(hosts, &Ask::Crashes(message)).await;
    }

    /// Waits for a place.
    async fn wait(&self, call: id::Call, longest: Duration) -> Result<(), End> {
        let (sender, release) = oneshot::channel();
        self.waits.borrow_mut().insert(call, sender);
        match tokio::time::timeout(longest, release).await {
            Ok(Ok(Release::Run(_))) => Ok(()),
            Ok(Ok(Release::Refuse(_, wait))) => Err(refused(wait)),
            Ok(Err(_)) | Err(_) => {
                let wait = self.node.borrow_mut().gate().retry_after();
                Err(refused(wait))
            }
        }
    }

    /// Tells calls that waited what became of them.
    fn release(&self, releases: Vec<Release>) {
        for release in releases {
            let (Release::Run(call) | Release::Refuse(call, _)) = release;
            let waiter = self.waits.borrow_mut().remove(&call);
            let is_told = waiter.is_some_and(|waiter| waiter.send(release).is_ok());
            if !is_told && matches!(release, Release::Run(_)) {
                // The call was given up at the same moment, and its place goes to the next one.
                let releases = self.node.borrow_mut().gate().done(clock::now(), call, None);
                self.release(releases);
            }
        }
    }

    fn log_end(&self, served: &Served, end: &End) {
        let request = served.request.as_str();
        let target = served.target.as_str();
        let (in_flight, waiting) = {
            let mut node = self.node.borrow_mut();
            (node.gate().in_flight(), node.gate().waiting())
        };
        match end {
            End::Answered { has_failed: false, .. } => {}
            End::Answered { status, .. } => {
                log::info!(request, target, status; "the target failed the request");
            }
            End::Refused(refusal) | End::Declined(refusal) => {
                log::info!(
                    request, target, in_flight, waiting, reason = refusal.reason.as_str();
                    "refused in front of the target"
                );
            }
            End::Lost(reason) => {
                log::info!(request, target, reason = reason.as_str(); "may have run");
            }
        }
    }
}

fn refused(wait: Duration) -> End {
    End::Refused(Refusal::not_run(Reason::Overload).after(wait))
}
