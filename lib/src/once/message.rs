//! What nodes tell each other about idempotency keys.

use {
    super::Id,
    crate::{
        id::{self, Call, Incarnation},
        unit::{Bytes, Revision},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One life of one node, as the link to it proved.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Peer {
    /// The VM that the node runs on.
    pub vm: id::Vm,
    /// The life of its process.
    pub incarnation: Incarnation,
}

/// The right to run one request, granted by the owner of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The owner, in the life in which it granted the ticket.
    pub owner: Peer,
    /// The revision of the pool's table line under which it is the owner.
    pub epoch: Revision,
    /// The place among all tickets of this life of the owner.
    pub sequence: u64,
}

/// A ticket as it goes with the request to the node in front of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The ticket.
    pub ticket: Ticket,
    /// The key that it was granted for.
    pub id: Id,
    /// The digest of the request.
    pub body: u64,
    /// How many attempts were made with this ticket, this one included.
    pub attempt: u8,
    /// The life of the node that the request was sent to.
    pub runner: Incarnation,
}

/// Where an answer is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRef {
    /// The node that took the request from its caller.
    pub node: Peer,
    /// The number of the call at that node.
    pub call: Call,
}

/// What became of a request that had a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Report {
    /// No byte of it reached a target in any attempt. The ticket is not used again.
    NotRun,
    /// It may have run, and there is no whole answer.
    Unknown,
    /// It ran and was answered.
    Answered {
        /// The VM whose target ran it.
        ran: id::Vm,
        /// The size of the kept answer.
        size: Bytes,
    },
}

/// What the owner says to a request for a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// The request may run.
    Grant(Ticket),
    /// The request ran, and its answer is kept.
    Replay(CallRef),
    /// The request is running, or nobody knows what became of it.
    InUse,
    /// The owner cannot exclude that the request ran, and may know after this time.
    Undetermined(Duration),
    /// The key was used with another request.
    Mismatch,
    /// The owner has no room for another key.
    AtCapacity,
    /// The node is not the owner by its own tables.
    NotOwner,
}

/// One used key, as one node tells it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRecord {
    /// The key.
    pub id: Id,
    /// The digest of the request.
    pub body: u64,
    /// The VM whose target may have run it, where only one can have.
    pub ran: Option<id::Vm>,
}

/// One line of a pool's history: who its targets were from a revision on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// The revision of the pool's table line.
    pub epoch: Revision,
    /// The VMs of its targets, in order.
    pub vms: Vec<id::Vm>,
}

/// The answer to a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReply {
    /// The probe's number.
    pub nonce: u64,
    /// The pool that the sender belongs to, or last belonged to.
    pub pool: Option<id::Pool>,
    /// The newest revision of the pool's line that the sender accepted.
    pub epoch: Revision,
    /// The revision of all tables that the sender accepted.
    pub tables: Revision,
    /// Whether the sender's word on the epoch counts: it has not forgotten a later one.
    pub is_voter: bool,
    /// Tickets of the sender before this one are void.
    pub min_sequence: u64,
    /// Whether the asking VM may have had an earlier life.
    pub has_earlier_incarnation: bool,
    /// Earlier rosters of the pool under which a request may still run.
    pub past_memberships: Vec<Membership>,
    /// No request can run under this epoch or an earlier one.
    pub settled_epoch: Revision,
}

/// A message of this module.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks for a [`ProbeReply`].
    Probe {
        /// The number that the pulse must repeat.
        nonce: u64,
    },
    /// Answers a probe.
    ProbeReply(ProbeReply),
    /// Asks for all used keys that concern the sender.
    FetchRecords {
        /// The number that the answer must repeat.
        nonce: u64,
        /// The epoch that the answer must hold for.
        epoch: Revision,
    },
    /// Answers a recall in one or more parts.
    Records {
        /// The recall's number.
        nonce: u64,
        /// The number of this part, from 0.
        part: u16,
        /// How many parts there are.
        parts: u16,
        /// Keys that the asking node owns now.
        owned: Vec<KeyRecord>,
        /// Keys that may have run at the asking node.
        ran: Vec<KeyRecord>,
        /// Whether the sender knows all that it ran in the window.
        knows_runs: bool,
        /// Whether the sender knows all that it granted in the window.
        knows_grants: bool,
    },
    /// Asks the owner of a key for a ticket.
    Reserve {
        /// The call at the sender.
        call: Call,
        /// The route.
        route: id::Route,
        /// The key.
        id: Id,
        /// The digest of the request.
        body: u64,
    },
    /// Answers a request for a ticket.
    Reserved {
        /// The call at the receiver.
        call: Call,
        /// The answer.
        decision: Decision,
    },
    /// Tells the owner what became of a ticket.
    Finished {
        /// The call at the sender.
        call: Call,
        /// The key.
        id: Id,
        /// What became of it.
        report: Report,
    },
    /// Confirms a report.
    FinishedAck {
        /// The call at the receiver.
        call: Call,
    },
}
