//! The messages that the driver actor handles, and their translation to events of the node.

use {
    super::Driver,
    crate::http::message::{Answer, Request},
    actix::{Addr, Context, Handler, Message},
    monsoon_lib::{
        call::{Offer, Refusal},
        config, id, member,
        node::{self, Event, ForwardResult, Head, Listener, RunResult, Trailer},
        rate::Limit,
    },
    tokio::sync::oneshot,
};

/// The response to a call.
#[derive(Debug)]
pub enum Reply {
    /// The complete answer of a target.
    Answer(Answer),
    /// The refusal of a call.
    Refuse {
        /// The reason and whether the call may have run.
        refusal: Refusal,
        /// The remaining rate of the client account, if its rate limit was the reason.
        limit: Option<Limit>,
    },
}

/// The result of a call.
#[derive(Debug)]
pub struct Completion {
    /// The response to the call.
    pub reply: Reply,
    /// The unspent retries and the load data for the peer that sent the call.
    pub trailer: Trailer,
}

/// Notifies the driver on drop that the client of a call has disconnected, unless disarmed.
pub struct CallGuard {
    call: id::Call,
    driver: Addr<Driver>,
    is_disarmed: bool,
}

impl CallGuard {
    /// Creates an armed guard for a call.
    pub fn new(call: id::Call, driver: Addr<Driver>) -> Self {
        Self { call, driver, is_disarmed: false }
    }

    /// Drops the guard without a notification, because the call has completed.
    pub fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.is_disarmed {
            self.driver.do_send(Disconnected(self.call));
        }
    }
}

/// A complete request arrived at a listener.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Arrived {
    /// The id of the call.
    pub call: id::Call,
    /// The listener that received it.
    pub listener: Listener,
    /// The head of the request.
    pub head: Head,
    /// The request to forward.
    pub request: Request,
    /// The channel for the result.
    pub reply: oneshot::Sender<Completion>,
}

impl Handler<Arrived> for Driver {
    type Result = ();

    fn handle(&mut self, arrived: Arrived, context: &mut Context<Self>) {
        let Arrived { call, listener, head, request, reply } = arrived;
        self.add_call(call, request, reply);
        self.handle_event(Event::Arrived { call, listener, head }, context);
    }
}

/// A peer asks the node to run a request on its local target.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Offered {
    /// The id of the call.
    pub call: id::Call,
    /// The VM of the peer.
    pub from: id::Vm,
    /// The metadata of the call.
    pub offer: Offer,
    /// The request to forward.
    pub request: Request,
    /// The channel for the result.
    pub reply: oneshot::Sender<Completion>,
}

impl Handler<Offered> for Driver {
    type Result = ();

    fn handle(&mut self, offered: Offered, context: &mut Context<Self>) {
        let Offered { call, from, offer, request, reply } = offered;
        self.add_call(call, request, reply);
        self.handle_event(Event::Offered { call, from, offer }, context);
    }
}

/// The client of a call has disconnected.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Disconnected(pub id::Call);

impl Handler<Disconnected> for Driver {
    type Result = ();

    fn handle(&mut self, Disconnected(call): Disconnected, context: &mut Context<Self>) {
        if self.calls.contains_key(&call) {
            self.handle_event(Event::Disconnected { call }, context);
        }
        // No one can receive a result, so a call that the node has not closed is removed here.
        self.calls.remove(&call);
    }
}

/// A peer sent control messages.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Received {
    /// The VM of the peer.
    pub from: id::Vm,
    /// The incarnation of the peer.
    pub incarnation: id::Incarnation,
    /// The decoded messages.
    pub messages: Vec<node::Message>,
}

impl Handler<Received> for Driver {
    type Result = ();

    fn handle(&mut self, received: Received, context: &mut Context<Self>) {
        let Received { from, incarnation, messages } = received;
        self.handle_event(Event::Received { from, incarnation, messages }, context);
    }
}

/// The result of a task.
pub(super) enum TaskResult {
    /// A run on the target ended.
    RunEnded(RunResult),
    /// A forwarded call returned.
    Returned { result: ForwardResult, trailer: Trailer },
    /// The fetch of a stored answer ended, with or without one.
    Fetched,
}

/// A task of a call completed.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct TaskCompleted {
    pub call: id::Call,
    pub task: u64,
    pub answer: Option<Answer>,
    pub result: TaskResult,
}

impl Handler<TaskCompleted> for Driver {
    type Result = ();

    fn handle(&mut self, mut completed: TaskCompleted, context: &mut Context<Self>) {
        if !self.end_task(&completed) {
            return;
        }
        let call = completed.call;
        if let Some(pending) = self.calls.get_mut(&call) {
            pending.answer = completed.answer.take();
        }
        let event = match completed.result {
            TaskResult::RunEnded(result) => Event::RunEnded { call, result },
            TaskResult::Returned { result, trailer } => Event::Returned { call, result, trailer },
            TaskResult::Fetched => Event::Fetched { call, is_found: self.has_answer(call) },
        };
        self.handle_event(event, context);
    }
}

/// A probe of the target ended. The value states whether the target is alive.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Probed(pub bool);

impl Handler<Probed> for Driver {
    type Result = ();

    fn handle(&mut self, Probed(is_alive): Probed, context: &mut Context<Self>) {
        self.handle_event(Event::Probed { is_alive }, context);
    }
}

/// A read of the platform's configuration values ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ValuesRead(pub std::result::Result<config::Difference, config::ReadError>);

impl Handler<ValuesRead> for Driver {
    type Result = ();

    fn handle(&mut self, ValuesRead(result): ValuesRead, context: &mut Context<Self>) {
        self.handle_event(Event::ValuesRead(result), context);
    }
}

/// A read of the platform's VM list ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct VmsRead(pub std::result::Result<Vec<member::Vm>, config::ReadError>);

impl Handler<VmsRead> for Driver {
    type Result = ();

    fn handle(&mut self, VmsRead(result): VmsRead, context: &mut Context<Self>) {
        self.handle_event(Event::VmsRead(result), context);
    }
}

/// Requests the answer that this node stores for an earlier call. There is none if the call belongs
/// to another incarnation of the process.
#[derive(Message)]
#[rtype(result = "Option<Answer>")]
pub struct GetStoredAnswer(pub id::Call, pub id::Incarnation);

impl Handler<GetStoredAnswer> for Driver {
    type Result = Option<Answer>;

    fn handle(
        &mut self,
        GetStoredAnswer(call, incarnation): GetStoredAnswer,
        _: &mut Context<Self>,
    ) -> Self::Result {
        self.stored_answer(call, incarnation)
    }
}

/// Queries whether a VM belongs to the fleet.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsMember(pub id::Vm);

impl Handler<IsMember> for Driver {
    type Result = bool;

    fn handle(&mut self, IsMember(vm): IsMember, _: &mut Context<Self>) -> bool {
        self.node.accepts_peer(&vm)
    }
}

/// Requests a dump of the node's state, as JSON.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct Dump;

impl Handler<Dump> for Driver {
    type Result = actix::MessageResult<Dump>;

    fn handle(&mut self, Dump: Dump, _: &mut Context<Self>) -> Self::Result {
        let dump = self.node.dump(crate::clock::now());
        let mut dump = serde_json::to_value(dump).unwrap_or_default();
        dump["process"] = serde_json::json!({
            "calls": self.calls.len(),
            "kept_answers": self.stored_answers.len(),
            "control": self.links.traffic(),
        });
        actix::MessageResult(dump)
    }
}

/// Queries the decision that the node would make on a request, without running it.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct Explain {
    /// The HTTP method.
    pub method: String,
    /// The request path.
    pub path: String,
    /// The client account, or `None` for a caller without a key.
    pub account: Option<id::Account>,
}

impl Handler<Explain> for Driver {
    type Result = actix::MessageResult<Explain>;

    fn handle(&mut self, explain: Explain, _: &mut Context<Self>) -> Self::Result {
        let Explain { method, path, account } = explain;
        let explained = self.node.explain(crate::clock::now(), &method, &path, account.as_ref());
        actix::MessageResult(serde_json::to_value(explained).unwrap_or_default())
    }
}

/// Starts the graceful shutdown of the node.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Drain;

impl Handler<Drain> for Driver {
    type Result = ();

    fn handle(&mut self, Drain: Drain, context: &mut Context<Self>) {
        self.handle_event(Event::Drain, context);
    }
}
