//! Claims about the state of a VM, and how two claims are merged.
//!
//! Facts form a join semilattice: merging is independent of order, and a duplicate or outdated fact
//! changes nothing. A later incarnation supersedes an earlier one; within an incarnation only the
//! VM itself increments the round, which is how it refutes a suspicion.

use {
    crate::id,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether a VM is believed to answer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The VM answers.
    #[default]
    Alive,
    /// The VM did not answer probes and may still refute the suspicion.
    Suspect,
    /// The VM did not refute a suspicion in time.
    Dead,
}

/// The state of one incarnation of a VM.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fact {
    /// The incarnation of the process, or zero if unknown.
    pub incarnation: id::Incarnation,
    /// The number of refutations in this incarnation.
    pub round: u32,
    /// Whether the VM announced that it takes no new work. This holds for the rest of the
    /// incarnation.
    pub leaving: bool,
    /// Whether the VM answers.
    pub health: Health,
}

impl Fact {
    /// Makes the first fact of an incarnation.
    pub const fn new(incarnation: id::Incarnation) -> Self {
        Self { incarnation, round: 0, leaving: false, health: Health::Alive }
    }

    /// Merges another claim about the same VM and returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = *self;
        if other.incarnation > self.incarnation {
            *self = *other;
        } else if other.incarnation == self.incarnation {
            self.merge_incarnation(other);
        }
        *self != before
    }

    fn merge_incarnation(&mut self, other: &Self) {
        self.leaving |= other.leaving;
        if other.round > self.round {
            self.round = other.round;
            self.health = other.health;
        } else if other.round == self.round {
            self.health = self.health.max(other.health);
        }
    }
}

/// A fact as passed from node to node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumour {
    /// The VM that the fact is about.
    pub vm: id::Vm,
    /// The data centre of the VM, for nodes that have no list of VMs yet.
    pub data_centre: id::DataCentre,
    /// The address on which the VM's node listens for peers, if known.
    pub address: Option<SocketAddr>,
    /// The claimed state.
    pub fact: Fact,
}
