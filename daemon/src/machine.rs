//! The actor that owns the [`Node`] and carries out its actions.
//!
//! The driver holds what the node's state machine must not contain: bodies, answers, and the tasks
//! that wait for targets and peers. Each task has a number, so that the result of an aborted task
//! is never mistaken for the result of a later task of the same call.

mod event;
mod work;

pub use event::{
    Arrived, CallGuard, Completion, Disconnected, Drain, Dump, Explain, GetStoredAnswer, IsMember,
    Offered, Probed, Received, Reply, ValuesRead, VmsRead,
};

use {
    crate::{
        clock,
        http::message::{Answer, Request},
        metrics::Metrics,
        peer::link::Links,
        platform::Platform,
        target::Target,
    },
    actix::{Actor, AsyncContext, Context},
    event::TaskCompleted,
    monsoon_lib::{
        id,
        node::{Action, Event, Node, Trailer},
        time::Instant,
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::{sync::oneshot, task::JoinHandle},
};

/// The interval between [`Event::Ticked`] events.
const TICK: Duration = Duration::from_millis(10);
/// The interval between metrics reports.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

/// A call in flight.
struct PendingCall {
    request: Rc<Request>,
    reply_to: oneshot::Sender<Completion>,
    answer: Option<Answer>,
    task: Option<Task>,
}

/// A task that waits for the target or a peer. Dropping it aborts the task.
struct Task {
    number: u64,
    handle: JoinHandle<()>,
}

impl Drop for Task {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

/// Drives a [`Node`]: feeds it events and executes its actions.
pub struct Driver {
    node: Node,
    calls: HashMap<id::Call, PendingCall>,
    stored_answers: HashMap<id::Call, Answer>,
    links: Links,
    target: Target,
    platform: Platform,
    incarnation: id::Incarnation,
    last_task: u64,
    metrics: Option<Metrics>,
    exit: Option<oneshot::Sender<()>>,
}

impl Driver {
    /// Creates the actor. It notifies `exit` when all work is finished after a drain.
    pub fn new(
        node: Node,
        links: Links,
        target: Target,
        platform: Platform,
        incarnation: id::Incarnation,
        exit: oneshot::Sender<()>,
    ) -> Self {
        Self {
            node,
            calls: HashMap::new(),
            stored_answers: HashMap::new(),
            links,
            target,
            platform,
            incarnation,
            last_task: 0,
            metrics: None,
            exit: Some(exit),
        }
    }

    /// Enables the periodic metrics reports, if a sender is given.
    pub fn with_metrics(self, metrics: Option<Metrics>) -> Self {
        Self { metrics, ..self }
    }

    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) {
        self.handle_at(clock::now(), event, context);
    }

    fn handle_at(&mut self, now: Instant, event: Event, context: &mut Context<Self>) {
        for action in self.node.handle(now, event) {
            self.perform(action, context);
        }
    }

    fn perform(&mut self, action: Action, context: &mut Context<Self>) {
        match action {
            Action::Run { call, context: token, offer } => {
                self.run(call, token, offer, context.address());
            }
            Action::Forward { call, to, offer } => self.forward(call, &to, offer, context),
            Action::Answer { call, trailer } => self.answer(call, trailer),
            Action::Refuse { call, refusal, trailer, limit } => {
                self.complete(
                    call,
                    Completion { reply: Reply::Refuse { refusal, limit }, trailer },
                );
            }
            Action::StoreAnswer { call } => self.store_answer(call),
            Action::FetchAnswer { call, from, incarnation, original } => {
                self.fetch(call, &from, incarnation, original, context);
            }
            Action::DiscardAnswer { call } => {
                self.stored_answers.remove(&call);
            }
            Action::Abort { call } => self.abort(call),
            Action::Send { to, messages } => {
                if let Some(address) = self.node.address_of(&to) {
                    self.links.exchange(&to, address, &messages);
                }
            }
            Action::Probe => self.probe_target(context.address()),
            Action::ReadValues { after, wait } => self.read_values(after, wait, context.address()),
            Action::ReadVms => self.read_vms(context.address()),
            Action::TablesApplied(tables) => {
                log::info!("Tables of revision {} are now in effect.", tables.revision());
            }
            Action::Exit => self.signal_exit(),
        }
    }

    fn add_call(
        &mut self,
        call: id::Call,
        request: Request,
        reply_to: oneshot::Sender<Completion>,
    ) {
        let pending = PendingCall { request: Rc::new(request), reply_to, answer: None, task: None };
        self.calls.insert(call, pending);
    }

    fn complete(&mut self, call: id::Call, completion: Completion) {
        if let Some(pending) = self.calls.remove(&call) {
            // Sending fails if the caller disconnected, and then the result is not needed.
            let _ = pending.reply_to.send(completion);
        }
    }

    fn answer(&mut self, call: id::Call, trailer: Trailer) {
        let Some(mut pending) = self.calls.remove(&call) else { return };
        let Some(answer) = pending.answer.take() else {
            return log::error!("Call {call} has no answer to forward.");
        };
        let _ = pending.reply_to.send(Completion { reply: Reply::Answer(answer), trailer });
    }

    fn store_answer(&mut self, call: id::Call) {
        let answer = self.calls.get(&call).and_then(|pending| pending.answer.clone());
        if let Some(answer) = answer {
            self.stored_answers.insert(call, answer);
        }
    }

    fn stored_answer(&self, call: id::Call, incarnation: id::Incarnation) -> Option<Answer> {
        self.stored_answers.get(&call).filter(|_| incarnation == self.incarnation).cloned()
    }

    fn has_answer(&self, call: id::Call) -> bool {
        self.calls.get(&call).is_some_and(|pending| pending.answer.is_some())
    }

    fn abort(&mut self, call: id::Call) {
        if let Some(pending) = self.calls.get_mut(&call) {
            pending.task = None;
        }
    }

    fn signal_exit(&mut self) {
        if let Some(exit) = self.exit.take() {
            let _ = exit.send(());
        }
    }

    /// Ends the task that has completed. Returns false if its result is obsolete, because the task
    /// was aborted or replaced.
    fn end_task(&mut self, completed: &TaskCompleted) -> bool {
        let Some(pending) = self.calls.get_mut(&completed.call) else { return false };
        if pending.task.as_ref().is_none_or(|task| task.number != completed.task) {
            return false;
        }
        pending.task = None;
        true
    }
}

impl Actor for Driver {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |driver, context| {
            driver.handle_event(Event::Ticked, context);
        });
        context.run_interval(METRICS_PERIOD, |driver, _| {
            if let Some(metrics) = &mut driver.metrics {
                metrics.send(driver.node.counts(), &driver.node.gauges(clock::now()));
            }
        });
    }
}
