//! The messages that the machine takes, and how each becomes an event of the model.

use {
    super::Machine,
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
pub struct Done {
    /// What the one who waits gets.
    pub reply: Reply,
    /// News for a peer.
    pub trailer: Trailer,
}

/// Tells the machine that nobody waits for a call any more, unless it was answered.
pub struct Waiter {
    call: id::Call,
    machine: Addr<Machine>,
    is_answered: bool,
}

impl Waiter {
    /// Starts to wait for a call.
    pub fn new(call: id::Call, machine: Addr<Machine>) -> Self {
        Self { call, machine, is_answered: false }
    }

    /// Ends the wait, because the call is over.
    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if !self.is_answered {
            self.machine.do_send(Gone(self.call));
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
    pub door: Listener,
    /// Its head.
    pub head: Head,
    /// The request to pass on.
    pub request: Request,
    /// Where the result goes.
    pub reply: oneshot::Sender<Done>,
}

impl Handler<Arrived> for Machine {
    type Result = ();

    fn handle(&mut self, arrived: Arrived, context: &mut Context<Self>) {
        let Arrived { call, door, head, request, reply } = arrived;
        self.open(call, request, reply);
        self.handle_event(Event::Arrived { call, listener: door, head }, context);
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
    pub reply: oneshot::Sender<Done>,
}

impl Handler<Offered> for Machine {
    type Result = ();

    fn handle(&mut self, offered: Offered, context: &mut Context<Self>) {
        let Offered { call, from, offer, request, reply } = offered;
        self.open(call, request, reply);
        self.handle_event(Event::Offered { call, from, offer }, context);
    }
}

/// Nobody waits for the call any more.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Gone(pub id::Call);

impl Handler<Gone> for Machine {
    type Result = ();

    fn handle(&mut self, Gone(call): Gone, context: &mut Context<Self>) {
        if self.calls.contains_key(&call) {
            self.handle_event(Event::Disconnected { call }, context);
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
    /// The peer's life.
    pub incarnation: id::Incarnation,
    /// The messages.
    pub messages: Vec<node::Message>,
}

impl Handler<Received> for Machine {
    type Result = ();

    fn handle(&mut self, received: Received, context: &mut Context<Self>) {
        let Received { from, incarnation, messages } = received;
        self.handle_event(Event::Received { from, incarnation, messages }, context);
    }
}

/// How a task ended.
pub(super) enum Result {
    /// A run on the target ended.
    Ended(RunResult),
    /// A forwarded call came back.
    Returned { returned: ForwardResult, trailer: Trailer },
    /// A kept answer was fetched, or is not there.
    Fetched,
}

/// A task of a call ended.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Answered {
    pub call: id::Call,
    pub task: u64,
    pub answer: Option<Answer>,
    pub result: Result,
}

impl Handler<Answered> for Machine {
    type Result = ();

    fn handle(&mut self, mut answered: Answered, context: &mut Context<Self>) {
        if !self.take_task(&answered) {
            return;
        }
        let call = answered.call;
        if let Some(open) = self.calls.get_mut(&call) {
            open.answer = answered.answer.take();
        }
        let event = match answered.result {
            Result::Ended(ended) => Event::RunEnded { call, ended },
            Result::Returned { returned, trailer } => Event::Returned { call, returned, trailer },
            Result::Fetched => Event::Fetched { call, is_found: self.has_answer(call) },
        };
        self.handle_event(event, context);
    }
}

/// A probe of the target ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Probed(pub bool);

impl Handler<Probed> for Machine {
    type Result = ();

    fn handle(&mut self, Probed(is_alive): Probed, context: &mut Context<Self>) {
        self.handle_event(Event::Probed { is_alive }, context);
    }
}

/// A read of the platform's values ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Published(pub std::result::Result<config::Difference, config::ReadError>);

impl Handler<Published> for Machine {
    type Result = ();

    fn handle(&mut self, Published(published): Published, context: &mut Context<Self>) {
        self.handle_event(Event::ValuesRead(published), context);
    }
}

/// A read of the platform's VM list ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Listed(pub std::result::Result<Vec<member::Vm>, config::ReadError>);

impl Handler<Listed> for Machine {
    type Result = ();

    fn handle(&mut self, Listed(listed): Listed, context: &mut Context<Self>) {
        self.handle_event(Event::VmsRead(listed), context);
    }
}

/// Asks for the answer that this node keeps for an earlier call, in one life of its process.
#[derive(Message)]
#[rtype(result = "Option<Answer>")]
pub struct Kept(pub id::Call, pub id::Incarnation);

impl Handler<Kept> for Machine {
    type Result = Option<Answer>;

    fn handle(&mut self, Kept(call, life): Kept, _: &mut Context<Self>) -> Self::Result {
        self.kept(call, life)
    }
}

/// Asks whether a VM belongs to the fleet.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Knows(pub id::Vm);

impl Handler<Knows> for Machine {
    type Result = bool;

    fn handle(&mut self, Knows(vm): Knows, _: &mut Context<Self>) -> bool {
        self.node.accepts_peer(&vm)
    }
}

/// Asks for the state of every module, as JSON.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct Dump;

impl Handler<Dump> for Machine {
    type Result = actix::MessageResult<Dump>;

    fn handle(&mut self, Dump: Dump, _: &mut Context<Self>) -> Self::Result {
        let dump = self.node.dump(crate::clock::now());
        let mut dump = serde_json::to_value(dump).unwrap_or_default();
        dump["process"] = serde_json::json!({
            "calls": self.calls.len(),
            "kept_answers": self.kept.len(),
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

impl Handler<Explain> for Machine {
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

impl Handler<Drain> for Machine {
    type Result = ();

    fn handle(&mut self, Drain: Drain, context: &mut Context<Self>) {
        self.handle_event(Event::Drain, context);
    }
}
