//! The actor that owns the model and carries out its actions.
//!
//! It keeps what the model must not hold: bodies, answers, and the tasks that wait for targets and
//! peers. Each task carries a number, so that the result of an aborted task is never taken for
//! the result of a later one of the same call.

mod event;
mod work;

pub use event::{
    Arrived, Done, Drain, Dump, Explain, Gone, Kept, Knows, Listed, Offered, Probed, Published,
    Received, Reply, Waiter,
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
    event::Answered,
    monsoon_lib::{
        id,
        node::{Action, Event, Node, Trailer},
        time::Instant,
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::{sync::oneshot, task::JoinHandle},
};

/// How often the model gets its tick.
const TICK: Duration = Duration::from_millis(10);
/// How often metrics are sent.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

/// One call in flight.
struct Open {
    request: Rc<Request>,
    waiter: oneshot::Sender<Done>,
    answer: Option<Answer>,
    task: Option<Task>,
}

/// A task that waits for the target or a peer.
struct Task {
    number: u64,
    handle: JoinHandle<()>,
}

impl Drop for Task {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

/// Owns the model and everything that it acts on.
pub struct Machine {
    node: Node,
    calls: HashMap<id::Call, Open>,
    kept: HashMap<id::Call, Answer>,
    links: Links,
    target: Target,
    platform: Platform,
    incarnation: id::Incarnation,
    tasks: u64,
    metrics: Option<Metrics>,
    exit: Option<oneshot::Sender<()>>,
}

impl Machine {
    /// Makes the actor. `exit` is told when all work is finished after a drain.
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
            kept: HashMap::new(),
            links,
            target,
            platform,
            incarnation,
            tasks: 0,
            metrics: None,
            exit: Some(exit),
        }
    }

    /// Sends metrics every second.
    pub fn with_metrics(self, metrics: Option<Metrics>) -> Self {
        Self { metrics, ..self }
    }

    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) {
        self.handle_at(clock::now(), event, context);
    }

    fn handle_at(&mut self, now: Instant, event: Event, context: &mut Context<Self>) {
        for action in self.node.handle(now, event) {
            self.act(action, context);
        }
    }

    fn act(&mut self, action: Action, context: &mut Context<Self>) {
        match action {
            Action::Run { call, context: token, offer } => {
                self.run(call, token, offer, context.address());
            }
            Action::Forward { call, to, offer } => self.forward(call, &to, offer, context),
            Action::Answer { call, trailer } => self.answer(call, trailer),
            Action::Refuse { call, refusal, trailer, limit } => {
                self.close(call, Done { reply: Reply::Refuse { refusal, limit }, trailer });
            }
            Action::KeepAnswer { call } => self.keep(call),
            Action::FetchAnswer { call, from, incarnation, kept } => {
                self.fetch(call, &from, incarnation, kept, context);
            }
            Action::ForgetAnswer { kept } => {
                self.kept.remove(&kept);
            }
            Action::Abort { call } => self.abort(call),
            Action::Send { to, messages } => {
                if let Some(address) = self.node.address_of(&to) {
                    self.links.exchange(&to, address, &messages);
                }
            }
            Action::Probe => self.probe(context.address()),
            Action::ReadValues { after, wait } => self.read(after, wait, context.address()),
            Action::ReadVms => self.list(context.address()),
            Action::TablesApplied(tables) => {
                log::info!("Tables of revision {} are in force.", tables.revision());
            }
            Action::Exit => self.finish(),
        }
    }

    fn open(&mut self, call: id::Call, request: Request, waiter: oneshot::Sender<Done>) {
        let open = Open { request: Rc::new(request), waiter, answer: None, task: None };
        self.calls.insert(call, open);
    }

    fn close(&mut self, call: id::Call, done: Done) {
        if let Some(open) = self.calls.remove(&call) {
            // The one who waited may have gone, and then nobody needs the result.
            let _ = open.waiter.send(done);
        }
    }

    fn answer(&mut self, call: id::Call, trailer: Trailer) {
        let Some(mut open) = self.calls.remove(&call) else { return };
        let Some(answer) = open.answer.take() else {
            return log::error!("Call {call} has no answer to pass on.");
        };
        let _ = open.waiter.send(Done { reply: Reply::Answer(answer), trailer });
    }

    fn keep(&mut self, call: id::Call) {
        let answer = self.calls.get(&call).and_then(|open| open.answer.clone());
        if let Some(answer) = answer {
            self.kept.insert(call, answer);
        }
    }

    fn kept(&self, call: id::Call, life: id::Incarnation) -> Option<Answer> {
        self.kept.get(&call).filter(|_| life == self.incarnation).cloned()
    }

    fn has_answer(&self, call: id::Call) -> bool {
        self.calls.get(&call).is_some_and(|open| open.answer.is_some())
    }

    fn abort(&mut self, call: id::Call) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.task = None;
        }
    }

    fn finish(&mut self) {
        if let Some(exit) = self.exit.take() {
            let _ = exit.send(());
        }
    }

    /// Takes the result of a task, unless the task was aborted.
    fn take_task(&mut self, answered: &Answered) -> bool {
        let Some(open) = self.calls.get_mut(&answered.call) else { return false };
        if open.task.as_ref().is_none_or(|task| task.number != answered.task) {
            return false;
        }
        open.task = None;
        true
    }
}

impl Actor for Machine {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |machine, context| {
            machine.handle_event(Event::Ticked, context);
        });
        context.run_interval(METRICS_PERIOD, |machine, _| {
            if let Some(metrics) = &mut machine.metrics {
                metrics.send(machine.node.counts(), &machine.node.gauges(clock::now()));
            }
        });
    }
}
