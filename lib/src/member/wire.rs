//! Messages of the membership protocol.

use {
    super::fact::{Fact, Rumour},
    crate::id,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The most facts that a node takes from one message.
pub const MAX_FACTS: usize = 64;
/// The most names of data centres that a node takes from one message.
pub const MAX_SUSPECTED_DATA_CENTRES: usize = 16;

/// One message between two nodes. Every message claims the sender's own state and carries rumours.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// What the sender says of itself.
    pub origin: Origin,
    /// What the message is for.
    pub body: Body,
    /// News of other VMs, in the order of their urgency.
    pub rumours: Vec<Rumour>,
    /// Data centres that the sender can't reach, so that the receiver checks for itself.
    pub suspected_data_centres: Vec<id::DataCentre>,
}

/// What a sender says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Where the sender is.
    pub data_centre: id::DataCentre,
    /// Where the sender listens for peers.
    pub address: SocketAddr,
    /// The sender's state.
    pub fact: Fact,
}

/// What a message is for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    Ping {
        /// The number of the probe at the sender.
        probe: u32,
    },
    /// Answers a ping, also on behalf of another VM that answered.
    Ack {
        /// The number of the probe at the receiver.
        probe: u32,
    },
    /// Asks the receiver to ping another VM and to pass its answer on.
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
        /// The last name of the page before.
        after: Option<id::Vm>,
    },
    /// Answers a pull.
    Push {
        /// A page of facts in order of names.
        facts: Vec<Rumour>,
        /// The last name of this page, or none where there are no more.
        next: Option<id::Vm>,
    },
}
