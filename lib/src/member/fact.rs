//! What is claimed of one VM, and how two claims are merged.
//!
//! Facts form a join semilattice: a merge never depends on the order, and a duplicate or an old fact
//! changes nothing. A later life goes before an earlier one; in one life only the VM itself raises
//! the round, which is how it refutes a suspicion.

use {
    crate::id,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether a VM is thought to answer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The VM answers.
    #[default]
    Alive,
    /// The VM did not answer probes and may still refute it.
    Suspect,
    /// The VM did not refute a suspicion in time.
    Dead,
}

/// The state of one life of one VM.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fact {
    /// The life of the process, or zero where none was heard of.
    pub incarnation: id::Incarnation,
    /// Counts the refutations in this life.
    pub round: u32,
    /// Whether the VM announced that it takes no new work. It holds for the rest of the life.
    pub leaving: bool,
    /// Whether the VM answers.
    pub health: Health,
}

impl Fact {
    /// Makes the first fact of a life.
    pub const fn new(incarnation: id::Incarnation) -> Self {
        Self { incarnation, round: 0, leaving: false, health: Health::Alive }
    }

    /// Takes in another claim of the same VM and tells whether it changed anything.
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

/// A fact on its way from node to node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumour {
    /// The VM that the fact is of.
    pub vm: id::Vm,
    /// Where the VM is, for a node that has no list of VMs yet.
    pub data_centre: id::DataCentre,
    /// Where the VM's node listens for peers, where it is known.
    pub address: Option<SocketAddr>,
    /// What is claimed.
    pub fact: Fact,
}
