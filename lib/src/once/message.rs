//! Messages between nodes about idempotency keys.

use {
    super::Id,
    crate::{
        id::{self, Call, Incarnation},
        unit::{Bytes, Revision},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One incarnation of a node, as authenticated by the link to it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Peer {
    /// The VM that the node runs on.
    pub vm: id::Vm,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// Permission to run one request, granted by the owner of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The incarnation of the owner that granted the ticket.
    pub owner: Peer,
    /// The revision of the pool's table entry under which that node is the owner.
    pub epoch: Revision,
    /// The sequence number among all tickets of this incarnation of the owner.
    pub sequence: u64,
}

/// A ticket as sent with the request to the node in front of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The ticket granted by the key's owner.
    pub ticket: Ticket,
    /// The identifier of the key that the ticket was granted for.
    pub id: Id,
    /// The digest of the request.
    pub fingerprint: u64,
    /// The number of attempts made with this ticket, including this one.
    pub attempt: u8,
    /// The incarnation of the node that the request is sent to.
    pub runner: Incarnation,
}

/// Identifies a call of one incarnation of a node. That node stores the call's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRef {
    /// The node that received the request from its caller.
    pub node: Peer,
    /// The number of the call at that node.
    pub call: Call,
}

/// The result of a request that had a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Report {
    /// No byte of the request reached a target in any attempt. The ticket is not used again.
    NotRun,
    /// The request may have run, and there is no complete answer.
    Unknown,
    /// The request ran and was answered.
    Answered {
        /// The VM whose target ran the request.
        ran: id::Vm,
        /// The size of the stored answer.
        size: Bytes,
    },
}

/// The owner's response to a request for a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// The request may run.
    Grant(Ticket),
    /// The request ran, and its answer is stored by this call's node.
    Replay(CallRef),
    /// The request is running, or its result is unknown.
    InUse,
    /// The owner cannot yet rule out that the request ran. It may be able to after this time.
    Undetermined(Duration),
    /// The key was used with a different request.
    Mismatch,
    /// The owner cannot store another key.
    AtCapacity,
    /// The node does not own the key according to its tables.
    NotOwner,
}

/// A used key, as sent from one node to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRecord {
    /// The identifier of the key.
    pub id: Id,
    /// The digest of the request.
    pub fingerprint: u64,
    /// The VM whose target may have run the request, if there is only one.
    pub ran: Option<id::Vm>,
}

/// The members of a pool from a given revision on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// The revision of the pool's table entry.
    pub epoch: Revision,
    /// The VMs of the pool's targets, in order.
    pub vms: Vec<id::Vm>,
}

/// The reply to a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReply {
    /// The nonce of the probe.
    pub nonce: u64,
    /// The current or last pool of the sender.
    pub pool: Option<id::Pool>,
    /// The newest revision of the pool's table entry that the sender accepted.
    pub epoch: Revision,
    /// The revision of the tables that the sender accepted.
    pub tables: Revision,
    /// Whether the sender's epoch counts towards a majority, because the sender cannot have lost
    /// the memory of a later one.
    pub is_voter: bool,
    /// Tickets of the sender with a lower sequence number are no longer valid.
    pub min_sequence: u64,
    /// Whether the VM that sent the probe may have had an earlier incarnation.
    pub has_earlier_incarnation: bool,
    /// Earlier memberships of the pool under which a request may still run.
    pub past_memberships: Vec<Membership>,
    /// The newest epoch that is settled: no request can run under it or an earlier one.
    pub settled_epoch: Revision,
}

/// A message between the deduplicators of two nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Requests a [`ProbeReply`].
    Probe {
        /// The nonce that the reply must repeat.
        nonce: u64,
    },
    /// Replies to a probe.
    ProbeReply(ProbeReply),
    /// Requests all used keys that the sender owns or may have run.
    FetchRecords {
        /// The nonce that the reply must repeat.
        nonce: u64,
        /// The epoch that the reply must apply to.
        epoch: Revision,
    },
    /// Replies to [`Message::FetchRecords`] in one or more parts.
    Records {
        /// The nonce of the request.
        nonce: u64,
        /// The index of this part, from 0.
        part: u16,
        /// The number of parts.
        parts: u16,
        /// Keys that the requesting node owns now.
        owned: Vec<KeyRecord>,
        /// Keys that may have run at the requesting node's target.
        ran: Vec<KeyRecord>,
        /// Whether the sender knows all requests that ran at its target within the window.
        knows_runs: bool,
        /// Whether the sender knows all tickets that it granted within the window.
        knows_grants: bool,
    },
    /// Requests a ticket from the owner of a key.
    Reserve {
        /// The call at the sender.
        call: Call,
        /// The route of the request.
        route: id::Route,
        /// The identifier of the request's key.
        id: Id,
        /// The digest of the request.
        fingerprint: u64,
    },
    /// Replies to [`Message::Reserve`].
    Reserved {
        /// The call at the receiver.
        call: Call,
        /// The owner's decision.
        decision: Decision,
    },
    /// Reports the result of a request with a ticket to the owner.
    Finished {
        /// The call at the sender.
        call: Call,
        /// The identifier of the request's key.
        id: Id,
        /// The result.
        report: Report,
    },
    /// Acknowledges [`Message::Finished`].
    FinishedAck {
        /// The call at the receiver.
        call: Call,
    },
}
