//! The membership state shown to operators.

use {
    super::{Health, Listing, Reason, State, View},
    crate::{id, time::Instant},
    serde::Serialize,
    std::net::SocketAddr,
};

/// A VM, its state and the reason for it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The name.
    pub vm: id::Vm,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The address on which its node listens for peers, if known.
    pub address: Option<SocketAddr>,
    /// The state of the VM as this node sees it.
    pub state: State,
    /// The reason for the state.
    pub reason: Reason,
    /// The state in the platform's list.
    pub listing: Option<Listing>,
    /// Whether the tables in force name the VM.
    pub published: bool,
    /// The incarnation of its node, or zero if unknown.
    pub incarnation: id::Incarnation,
    /// The number of suspicions it refuted in this incarnation.
    pub round: u32,
    /// The health of the VM, regardless of cuts.
    pub health: Health,
    /// The time since the health last changed, in milliseconds.
    pub health_age_ms: u64,
    /// The time since its last message, in milliseconds.
    pub heard_age_ms: Option<u64>,
    /// The number of consecutive probes it missed.
    pub misses: u8,
}

/// A data centre that is cut off.
#[derive(Clone, Debug, Serialize)]
pub struct CutDump {
    /// The name.
    pub data_centre: id::DataCentre,
    /// The time since the cut was detected, in milliseconds.
    pub age_ms: u64,
}

/// The state of the membership on one node.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// This node's VM.
    pub vm: id::Vm,
    /// The incarnation of this node.
    pub incarnation: id::Incarnation,
    /// The number of suspicions this node refuted.
    pub round: u32,
    /// Whether this node announced that it is leaving.
    pub leaving: bool,
    /// Whether the platform's list has been read since the process started.
    pub has_list: bool,
    /// This node's distrust in its own timeouts, which are multiplied by this number plus one.
    pub distrust: u32,
    /// The number of pauses of its own process that this node detected.
    pub pauses: u64,
    /// The number of messages dropped because the sender is unknown or its incarnation is
    /// implausible.
    pub strangers: u64,
    /// A later incarnation of this VM that peers know.
    pub superseded: Option<id::Incarnation>,
    /// The number of facts that are still being spread.
    pub rumours: usize,
    /// Data centres that are cut off.
    pub cuts: Vec<CutDump>,
    /// The other VMs.
    pub members: Vec<MemberDump>,
}

impl View {
    /// Returns the full state of the view for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let cut = |(name, at): (&id::DataCentre, Instant)| CutDump {
            data_centre: name.clone(),
            age_ms: millis(now, at),
        };
        Dump {
            vm: self.me.clone(),
            incarnation: self.origin.fact.incarnation,
            round: self.origin.fact.round,
            leaving: self.origin.fact.leaving,
            has_list: self.has_list,
            distrust: self.prober.distrust(),
            pauses: self.pauses,
            strangers: self.strangers,
            superseded: self.superseded,
            rumours: self.queue.len(),
            cuts: self.cuts.cuts().map(cut).collect(),
            members: self.members.iter().map(|(vm, m)| self.dump_member(now, vm, m)).collect(),
        }
    }

    fn dump_member(&self, now: Instant, vm: &id::Vm, member: &super::Member) -> MemberDump {
        MemberDump {
            vm: vm.clone(),
            data_centre: member.data_centre.clone(),
            address: member.address,
            state: self.state(member),
            reason: member.reason,
            listing: member.listing,
            published: member.is_published,
            incarnation: member.fact.incarnation,
            round: member.fact.round,
            health: member.fact.health,
            health_age_ms: millis(now, member.health_since),
            heard_age_ms: member.heard_at.map(|at| millis(now, at)),
            misses: member.misses,
        }
    }
}

fn millis(now: Instant, since: Instant) -> u64 {
    u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX)
}
