//! Messages of the membership protocol.

use {
    super::fact::{Fact, Rumour},
    crate::id,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The most facts that a node accepts from one message.
pub const MAX_FACTS: usize = 64;
/// The most names of data centres that a node accepts from one message.
pub const MAX_SUSPECTED_DATA_CENTRES: usize = 16;

/// A message between two nodes. Every message states the sender's own state and carries rumours. It
/// is encoded by position, so the order of fields and variants is part of the format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender's own state.
    pub origin: Origin,
    /// The purpose of the message.
    pub body: Body,
    /// Rumours about VMs, the most urgent first.
    pub rumours: Vec<Rumour>,
    /// Data centres that the sender sees as cut off, so that the receiver checks them itself.
    pub suspected_data_centres: Vec<id::DataCentre>,
}

/// The state that a sender reports about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// The data centre of the sender.
    pub data_centre: id::DataCentre,
    /// The address on which the sender listens for peers.
    pub address: SocketAddr,
    /// The sender's state.
    pub fact: Fact,
}

/// The purpose of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks for a [`Body::Ack`] with the same number.
    Ping {
        /// The number of the probe at the sender.
        probe: u32,
    },
    /// Answers [`Body::Ping`], or [`Body::PingRequest`] once the other VM has answered.
    Ack {
        /// The number of the probe at the receiver.
        probe: u32,
    },
    /// Asks the receiver to ping another VM and to relay its answer.
    PingRequest {
        /// The number of the probe at the sender.
        probe: u32,
        /// The VM to ping.
        target: id::Vm,
    },
    /// Carries only rumours.
    Gossip,
    /// Asks for the facts of VMs whose names come after the given one.
    Pull {
        /// The last name of the previous page.
        after: Option<id::Vm>,
    },
    /// Answers [`Body::Pull`].
    Push {
        /// A page of facts ordered by name.
        facts: Vec<Rumour>,
        /// The last name of this page, or none if it is the last page.
        next: Option<id::Vm>,
    },
}
