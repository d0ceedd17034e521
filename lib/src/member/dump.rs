//! What the membership shows to operators.

use {
    super::{Health, Listing, Reason, State, View},
    crate::{id, time::Instant},
    serde::Serialize,
    std::net::SocketAddr,
};

/// One VM, its state and the reason.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The name.
    pub vm: id::Vm,
    /// Where the VM is.
    pub data_centre: id::DataCentre,
    /// Where its node listens for peers, where it is known.
    pub address: Option<SocketAddr>,
    /// What this node takes the VM for.
    pub state: State,
    /// Why.
    pub reason: Reason,
    /// What the platform's list says.
    pub listing: Option<Listing>,
    /// Whether the tables in force name the VM.
    pub published: bool,
    /// The life of its node, or zero where none was heard of.
    pub incarnation: id::Incarnation,
    /// How often it refuted a suspicion in this life.
    pub round: u32,
    /// Whether it answers, cuts aside.
    pub health: Health,
    /// For how long that holds, in milliseconds.
    pub health_age_ms: u64,
    /// The time since its last message, in milliseconds.
    pub heard_age_ms: Option<u64>,
    /// Probes that it failed in a row.
    pub misses: u8,
}

/// A data centre that is cut off.
#[derive(Clone, Debug, Serialize)]
pub struct CutDump {
    /// The name.
    pub data_centre: id::DataCentre,
    /// For how long, in milliseconds.
    pub age_ms: u64,
}

/// The state of the membership at one node.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// This node's VM.
    pub vm: id::Vm,
    /// This node's life.
    pub incarnation: id::Incarnation,
    /// How often this node refuted a suspicion.
    pub round: u32,
    /// Whether this node announced that it is leaving.
    pub leaving: bool,
    /// Whether the platform's list was ever read in this life.
    pub has_list: bool,
    /// How much this node distrusts its own timeouts; they are as many times longer, plus one.
    pub distrust: u32,
    /// How often this node noticed that it was paused.
    pub pauses: u64,
    /// Messages that were dropped because their sender is unknown or their claim impossible.
    pub strangers: u64,
    /// A later life of this VM that peers know.
    pub superseded: Option<id::Incarnation>,
    /// The number of facts that are still being spread.
    pub rumours: usize,
    /// Data centres that are cut off.
    pub cuts: Vec<CutDump>,
    /// The other VMs.
    pub members: Vec<MemberDump>,
}

impl View {
    /// Returns the whole state with reasons.
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
