//! The messages that the driver takes, and how each becomes an event of the model.

use {
    super::Driver,
    crate::http::message::{Answer, Request},
    actix::{Addr, Context, Handler, Message},
    monsoon_lib::{
        call::{Offer, Refusal},
        config, id, member,
        node::{self, Door, Ended, Event, Head, Returned, Trailer},
        rate::Limit,
    },
    tokio::sync::oneshot,
};

/// What the one who waits for a call gets.
#[derive(Debug)]
pub enum Reply {
    /// The whole answer of a target.
    Answer(Answer),
    /// A refusal.
    Refuse {
        /// The refusal.
        refusal: Refusal,
        /// What the account has left, where its rate decided.
        limit: Option<Limit>,
    },
}

/// The end of a call.
#[derive(Debug)]
pub struct Completion {
    /// What the one who waits gets.
    pub reply: Reply,
    /// News for a peer.
    pub trailer: Trailer,
}

/// Tells the driver that nobody waits for a call any more, unless it was completed.
pub struct CallGuard {
    call: id::Call,
    driver: Addr<Driver>,
    is_disarmed: bool,
}

impl CallGuard {
    /// Starts to wait for a call.
    pub fn new(call: id::Call, driver: Addr<Driver>) -> Self {
        Self { call, driver, is_disarmed: false }
    }

    /// Ends the wait, because the call is over.
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

/// A whole request came in.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Arrived {
    /// Its number.
    pub call: id::Call,
    /// The listener that it came through.
    pub door: Door,
    /// Its head.
    pub head: Head,
    /// The request to pass on.
    pub request: Request,
    /// Where the result goes.
    pub reply: oneshot::Sender<Completion>,
}

impl Handler<Arrived> for Driver {
    type Result = ();

    fn handle(&mut self, arrived: Arrived, context: &mut Context<Self>) {
        let Arrived { call, door, head, request, reply } = arrived;
        self.add_call(call, request, reply);
        self.handle_event(Event::Arrived { call, door, head }, context);
    }
}

/// A peer asks for a run on the node's own target.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Offered {
    /// Its number.
    pub call: id::Call,
    /// The peer.
    pub from: id::Vm,
    /// What the peer tells of it.
    pub offer: Offer,
    /// The request to pass on.
    pub request: Request,
    /// Where the result goes.
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

/// Nobody waits for the call any more.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Disconnected(pub id::Call);

impl Handler<Disconnected> for Driver {
    type Result = ();

    fn handle(&mut self, Disconnected(call): Disconnected, context: &mut Context<Self>) {
        if self.calls.contains_key(&call) {
            self.handle_event(Event::Gone { call }, context);
        }
        // Nobody can get a result, so what the model did not close is closed here.
        self.calls.remove(&call);
    }
}

/// Control messages came from a peer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Received {
    /// The peer.
    pub from: id::Vm,
    /// The peer's incarnation.
    pub incarnation: id::Incarnation,
    /// The messages.
    pub messages: Vec<node::Message>,
}

impl Handler<Received> for Driver {
    type Result = ();

    fn handle(&mut self, received: Received, context: &mut Context<Self>) {
        let Received { from, incarnation, messages } = received;
        self.handle_event(Event::Received { from, incarnation, messages }, context);
    }
}

/// How a task ended.
pub(super) enum TaskResult {
    /// A run on the target ended.
    Ended(Ended),
    /// A forwarded call came back.
    Returned { returned: Returned, trailer: Trailer },
    /// A kept answer was fetched, or is not there.
    Fetched,
}

/// A task of a call ended.
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
            TaskResult::Ended(ended) => Event::Ended { call, ended },
            TaskResult::Returned { returned, trailer } => {
                Event::Returned { call, returned, trailer }
            }
            TaskResult::Fetched => Event::Fetched { call, is_found: self.has_answer(call) },
        };
        self.handle_event(event, context);
    }
}

/// A probe of the target ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Probed(pub bool);

impl Handler<Probed> for Driver {
    type Result = ();

    fn handle(&mut self, Probed(is_alive): Probed, context: &mut Context<Self>) {
        self.handle_event(Event::Probed { is_alive }, context);
    }
}

/// A read of the platform's values ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Published(pub std::result::Result<config::Difference, config::ReadError>);

impl Handler<Published> for Driver {
    type Result = ();

    fn handle(&mut self, Published(published): Published, context: &mut Context<Self>) {
        self.handle_event(Event::Published(published), context);
    }
}

/// A read of the platform's VM list ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Listed(pub std::result::Result<Vec<member::Vm>, config::ReadError>);

impl Handler<Listed> for Driver {
    type Result = ();

    fn handle(&mut self, Listed(listed): Listed, context: &mut Context<Self>) {
        self.handle_event(Event::Listed(listed), context);
    }
}

/// Asks for the answer that this node keeps for an earlier call, in one incarnation of its process.
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

/// Asks whether a VM belongs to the fleet.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsMember(pub id::Vm);

impl Handler<IsMember> for Driver {
    type Result = bool;

    fn handle(&mut self, IsMember(vm): IsMember, _: &mut Context<Self>) -> bool {
        self.node.knows(&vm)
    }
}

/// Asks for the state of every module, as JSON.
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

/// Asks what the node would decide on a request, without running it.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct Explain {
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The account, or none for a caller without a key.
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

/// Asks the node to leave gracefully.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Drain;

impl Handler<Drain> for Driver {
    type Result = ();

    fn handle(&mut self, Drain: Drain, context: &mut Context<Self>) {
        self.handle_event(Event::Draining, context);
    }
}
