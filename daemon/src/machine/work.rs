//! Asynchronous tasks that wait for the target, for peers and for the platform.

use {
    super::{
        Driver, Task,
        event::{Completion, Probed, Reply, TaskCompleted, TaskResult, ValuesRead, VmsRead},
    },
    crate::{peer::link, target::CompletedRun},
    actix::{Addr, AsyncContext, Context},
    monsoon_lib::{
        call::Offer,
        context::Token,
        id,
        node::{ForwardResult, Trailer},
        unit::Revision,
    },
    std::time::Duration,
};

impl Driver {
    pub(super) fn run(&mut self, call: id::Call, token: Token, offer: Offer, driver: Addr<Self>) {
        let Some(pending) = self.calls.get(&call) else { return };
        let run = self.target.run(pending.request.clone(), token, offer);
        self.spawn_task(call, async move |task| {
            let CompletedRun { result, answer } = run.await;
            driver.do_send(TaskCompleted {
                call,
                task,
                answer,
                result: TaskResult::RunEnded(result),
            });
        });
    }

    pub(super) fn forward(
        &mut self,
        call: id::Call,
        to: &id::Vm,
        offer: Offer,
        context: &mut Context<Self>,
    ) {
        let Some(pending) = self.calls.get(&call) else { return };
        let driver = context.address();
        let Some(address) = self.node.address_of(to) else {
            let result = TaskResult::Returned {
                result: ForwardResult::Unreachable,
                trailer: Trailer::default(),
            };
            return self.spawn_task(call, async move |task| {
                driver.do_send(TaskCompleted { call, task, answer: None, result });
            });
        };
        let forwarded = self.links.call(to, address, offer, pending.request.clone());
        self.spawn_task(call, async move |task| {
            let completed = task_completed(call, task, forwarded.await);
            driver.do_send(completed);
        });
    }

    /// Fetches a stored answer from this node or from a peer.
    pub(super) fn fetch(
        &mut self,
        call: id::Call,
        from: &id::Vm,
        incarnation: id::Incarnation,
        original: id::Call,
        context: &mut Context<Self>,
    ) {
        let driver = context.address();
        let local = self.stored_answer(original, incarnation);
        let remote = self
            .node
            .address_of(from)
            .map(|at| self.links.fetch_stored_answer(from, at, original, incarnation));
        self.spawn_task(call, async move |task| {
            let answer = match (local, remote) {
                (Some(answer), _) => Some(answer),
                (None, Some(remote)) => remote.await,
                (None, None) => None,
            };
            driver.do_send(TaskCompleted { call, task, answer, result: TaskResult::Fetched });
        });
    }

    fn spawn_task<F: Future<Output = ()> + 'static>(
        &mut self,
        call: id::Call,
        work: impl FnOnce(u64) -> F,
    ) {
        self.last_task += 1;
        let number = self.last_task;
        let handle = actix_rt::spawn(work(number));
        if let Some(pending) = self.calls.get_mut(&call) {
            pending.task = Some(Task { number, handle });
        }
    }

    pub(super) fn read_values(&mut self, after: Revision, wait: Duration, driver: Addr<Self>) {
        let platform = self.platform.clone();
        actix_rt::spawn(async move {
            driver.do_send(ValuesRead(platform.values(after, wait).await));
        });
    }

    pub(super) fn probe_target(&mut self, driver: Addr<Self>) {
        let target = self.target.clone();
        actix_rt::spawn(async move {
            driver.do_send(Probed(target.is_alive().await));
        });
    }

    pub(super) fn read_vms(&mut self, driver: Addr<Self>) {
        let platform = self.platform.clone();
        actix_rt::spawn(async move {
            driver.do_send(VmsRead(platform.vms().await));
        });
    }
}

fn task_completed(
    call: id::Call,
    task: u64,
    result: std::result::Result<Completion, link::Error>,
) -> TaskCompleted {
    let (forward_result, trailer, answer) = match result {
        Ok(Completion { reply: Reply::Answer(answer), trailer }) => {
            let forward_result =
                ForwardResult::Answered { status: answer.status, size: answer.size() };
            (forward_result, trailer, Some(answer))
        }
        Ok(Completion { reply: Reply::Refuse { refusal, .. }, trailer }) => {
            (ForwardResult::Refused(refusal), trailer, None)
        }
        Err(link::Error::Unreachable(error)) => {
            log::debug!("call {call} was not sent: {error}");
            (ForwardResult::Unreachable, Trailer::default(), None)
        }
        Err(link::Error::Broken(error)) => {
            log::debug!("call {call} failed: {error}");
            (ForwardResult::Broken, Trailer::default(), None)
        }
    };
    TaskCompleted {
        call,
        task,
        answer,
        result: TaskResult::Returned { result: forward_result, trailer },
    }
}
