//! Exchanges with the own target that go on for a while after their callers have left, so that the
//! connections can be used again.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        cancellation::RunGuard,
        frame::RunResult,
        own::{Failure, SlotGuard},
    },
    crate::{
        clock,
        http::message::{Answer, Request},
    },
    monsoon_lib::{call::Reason, mesh::node::ForwardedRequest, time::Instant},
    std::{
        pin::{Pin, pin},
        rc::Rc,
    },
    tokio::sync::oneshot,
};

type Outcome = Result<(bool, Answer), Failure>;

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Sends a request that has a slot to the own target and returns its answer. Dropping the future
    /// cancels the run.
    pub async fn run_in_slot(
        self: &Rc<Self>,
        slot: SlotGuard<H, D>,
        forwarded: ForwardedRequest,
        request: &Rc<Request>,
    ) -> Outcome {
        let guard = RunGuard::new(self, &forwarded.request);
        let is_linger_enabled = self.node.borrow().settings().is_linger_enabled;
        let outcome = match is_linger_enabled {
            false => self.exchange(slot, &forwarded, request).await,
            true => {
                let (sender, outcome) = oneshot::channel();
                let task = exchange_in_task(self.clone(), slot, forwarded, request.clone(), sender);
                tokio::task::spawn_local(task);
                // The task sends the outcome unless the process ends.
                outcome.await.unwrap_or(Err(RunResult::MayHaveRun(Reason::Broken).into()))
            }
        };
        guard.complete();
        outcome
    }

    /// Continues an exchange whose caller has left for as long as the node permits.
    async fn linger(
        &self,
        mut exchange: Pin<&mut impl Future<Output = Outcome>>,
        started: Instant,
        forwarded: &ForwardedRequest,
        request: &Request,
    ) {
        let times = (started, clock::now());
        loop {
            let body_bytes = request.body.len();
            let left = self.node.borrow().linger(clock::now(), times, forwarded, body_bytes);
            let Some(left) = left else { return };
            tokio::select! {
                biased;
                _ = exchange.as_mut() => return,
                () = tokio::time::sleep(left) => return,
                () = self.call_queued.notified() => {}
            }
        }
    }
}

/// Runs an exchange to its end, which its caller may not wait for. The slot is released before the
/// caller gets the outcome.
async fn exchange_in_task<H: HeaderAdapter, D: Directory>(
    mesh: Rc<Mesh<H, D>>,
    slot: SlotGuard<H, D>,
    forwarded: ForwardedRequest,
    request: Rc<Request>,
    mut caller: oneshot::Sender<Outcome>,
) {
    let started = slot.started();
    let mut exchange = pin!(mesh.exchange(slot, &forwarded, &request));
    let outcome = tokio::select! {
        biased;
        outcome = exchange.as_mut() => Some(outcome),
        () = caller.closed() => None,
    };
    match outcome {
        // The caller may have left at this moment.
        Some(outcome) => drop(caller.send(outcome)),
        None => mesh.linger(exchange, started, &forwarded, &request).await,
    }
}
