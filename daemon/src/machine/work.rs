//! The tasks that wait for the target, for peers and for the platform.

use {
    super::{
        Machine, Task,
        event::{Answered, Done, Listed, Probed, Published, Reply, Result},
    },
    crate::{peer::link, target::Run},
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

impl Machine {
    pub(super) fn run(&mut self, call: id::Call, token: Token, offer: Offer, machine: Addr<Self>) {
        let Some(open) = self.calls.get(&call) else { return };
        let run = self.target.run(open.request.clone(), token, offer);
        self.start(call, async move |task| {
            let Run { ended, answer } = run.await;
            machine.do_send(Answered { call, task, answer, result: Result::Ended(ended) });
        });
    }

    pub(super) fn forward(
        &mut self,
        call: id::Call,
        to: &id::Vm,
        offer: Offer,
        context: &mut Context<Self>,
    ) {
        let Some(open) = self.calls.get(&call) else { return };
        let machine = context.address();
        let Some(address) = self.node.address_of(to) else {
            let result = Result::Returned {
                returned: ForwardResult::Unreachable,
                trailer: Trailer::default(),
            };
            return self.start(call, async move |task| {
                machine.do_send(Answered { call, task, answer: None, result });
            });
        };
        let sent = self.links.call(to, address, offer, open.request.clone());
        self.start(call, async move |task| {
            let answered = returned(call, task, sent.await);
            machine.do_send(answered);
        });
    }

    /// Fetches a kept answer, from this node or from another.
    pub(super) fn fetch(
        &mut self,
        call: id::Call,
        from: &id::Vm,
        incarnation: id::Incarnation,
        kept: id::Call,
        context: &mut Context<Self>,
    ) {
        let machine = context.address();
        let own = self.kept(kept, incarnation);
        let asked =
            self.node.address_of(from).map(|at| self.links.kept(from, at, kept, incarnation));
        self.start(call, async move |task| {
            let answer = match (own, asked) {
                (Some(answer), _) => Some(answer),
                (None, Some(asked)) => asked.await,
                (None, None) => None,
            };
            machine.do_send(Answered { call, task, answer, result: Result::Fetched });
        });
    }

    fn start<F: Future<Output = ()> + 'static>(
        &mut self,
        call: id::Call,
        work: impl FnOnce(u64) -> F,
    ) {
        self.tasks += 1;
        let number = self.tasks;
        let handle = actix_rt::spawn(work(number));
        if let Some(open) = self.calls.get_mut(&call) {
            open.task = Some(Task { number, handle });
        }
    }

    pub(super) fn read(&mut self, after: Revision, wait: Duration, machine: Addr<Self>) {
        let platform = self.platform.clone();
        actix_rt::spawn(async move {
            machine.do_send(Published(platform.values(after, wait).await));
        });
    }

    pub(super) fn probe(&mut self, machine: Addr<Self>) {
        let target = self.target.clone();
        actix_rt::spawn(async move {
            machine.do_send(Probed(target.is_alive().await));
        });
    }

    pub(super) fn list(&mut self, machine: Addr<Self>) {
        let platform = self.platform.clone();
        actix_rt::spawn(async move {
            machine.do_send(Listed(platform.vms().await));
        });
    }
}

fn returned(call: id::Call, task: u64, result: std::result::Result<Done, link::Error>) -> Answered {
    let (returned, trailer, answer) = match result {
        Ok(Done { reply: Reply::Answer(answer), trailer }) => {
            let returned = ForwardResult::Answered { status: answer.status, size: answer.size() };
            (returned, trailer, Some(answer))
        }
        Ok(Done { reply: Reply::Refuse { refusal, .. }, trailer }) => {
            (ForwardResult::Refused(refusal), trailer, None)
        }
        Err(link::Error::Unreachable(error)) => {
            log::debug!("call {call} was not sent: {error}");
            (ForwardResult::Unreachable, Trailer::default(), None)
        }
        Err(link::Error::Broken(error)) => {
            log::debug!("call {call} broke: {error}");
            (ForwardResult::Broken, Trailer::default(), None)
        }
    };
    Answered { call, task, answer, result: Result::Returned { returned, trailer } }
}
