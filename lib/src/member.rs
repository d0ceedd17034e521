//! Fleet membership: which VMs exist, which are reachable and which are leaving.
//!
//! The platform's list lags and may be stale or empty, so each node also probes one peer per
//! period. Before it suspects a peer it requests indirect probes from others, and the suspect may
//! refute. Rumours are piggybacked on probes; urgent ones are sent immediately. See
//! docs/design/membership.md.

mod cut;
mod dump;
mod fact;
mod probe;
mod receive;
mod rumour;
mod settings;
mod spread;
mod sync;
mod table;
mod wire;

pub use {
    dump::{CutDump, Dump, MemberDump},
    fact::{Fact, Health, Rumour},
    settings::{Error, Settings},
    wire::{Body, MAX_FACTS, MAX_SUSPECTED_DATA_CENTRES, Message, Origin},
};

use {
    crate::{id, time::Instant},
    cut::Cuts,
    probe::Prober,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
        net::SocketAddr,
    },
    sync::Sync,
};

/// The most changes buffered for a driver that does not collect them. The oldest are dropped first.
const MAX_CHANGES: usize = 4_096;
/// The most VMs that a node tracks.
const MAX_MEMBERS: usize = 4_096;

/// The state of a VM as this node sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM answers, or there is no evidence against it yet.
    Live,
    /// The VM did not answer probes. It still counts as live until the time to refute has passed.
    Suspect,
    /// The VM is finishing its work and takes no new work.
    Leaving,
    /// The VM's whole data centre does not answer.
    Unreachable,
    /// The VM does not answer and did not refute the suspicion in time.
    Dead,
}

impl State {
    /// Returns the name for dumps and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Dead => "dead",
        }
    }

    /// Returns whether the VM is reachable.
    pub const fn is_reachable(self) -> bool {
        matches!(self, Self::Live | Self::Suspect | Self::Leaving)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Listing {
    /// The VM is in use.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub vm: id::Vm,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The address on which its node listens for peers.
    pub address: SocketAddr,
    /// The state that the platform lists.
    pub state: Listing,
}

/// A reachable VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name of the VM.
    pub vm: id::Vm,
    /// The data centre of the VM.
    pub data_centre: id::DataCentre,
    /// The address on which its node listens for peers, if known.
    pub address: Option<SocketAddr>,
    /// The incarnation of its node, or zero if unknown.
    pub incarnation: id::Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it is suspected and may still refute.
    pub suspect: bool,
}

/// The reason for a VM's state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The platform lists the VM.
    Listed,
    /// The published tables name the VM.
    Published,
    /// A peer introduced the VM while this node had no list.
    Introduced,
    /// This node received a message from the VM itself.
    Heard,
    /// A peer passed on a rumour about the VM.
    Rumour,
    /// The VM answered neither a direct nor an indirect probe.
    NoAnswer,
    /// The VM did not refute a suspicion in time.
    NoRefutation,
}

/// A change of the membership on this node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Change {
    /// The state or the incarnation of a VM changed.
    State {
        /// The VM.
        vm: id::Vm,
        /// The incarnation of its node.
        incarnation: id::Incarnation,
        /// The previous state, or none for a VM that was not known.
        from: Option<State>,
        /// The new state.
        to: State,
    },
    /// A VM was removed after the retention period.
    Forgotten {
        /// The VM.
        vm: id::Vm,
    },
    /// Peers know a later incarnation of this node's own VM, so this process must exit or restart.
    Superseded {
        /// The later incarnation.
        incarnation: id::Incarnation,
    },
}

#[derive(Debug)]
struct Member {
    data_centre: id::DataCentre,
    address: Option<SocketAddr>,
    listing: Option<Listing>,
    is_published: bool,
    fact: Fact,
    misses: u8,
    heard_at: Option<Instant>,
    health_since: Instant,
    reported: Option<(State, id::Incarnation)>,
    reason: Reason,
}

/// One node's view of the members of the fleet.
#[derive(Debug)]
pub struct View {
    settings: Settings,
    me: id::Vm,
    origin: Origin,
    started: Option<Instant>,
    members: BTreeMap<id::Vm, Member>,
    has_list: bool,
    queue: rumour::Queue,
    prober: Prober,
    cuts: Cuts,
    sync: Sync,
    heard_at: Option<Instant>,
    last_tick: Option<Instant>,
    eager_budget: usize,
    pauses: u64,
    strangers: u64,
    superseded: Option<id::Incarnation>,
    out: Vec<(id::Vm, Message)>,
    changes: VecDeque<Change>,
    rng: ChaCha8Rng,
}

impl View {
    /// Makes a view without any other VM.
    ///
    /// `incarnation` is the wall clock in milliseconds when the process started.
    pub fn new(
        settings: Settings,
        me: id::Vm,
        data_centre: id::DataCentre,
        address: SocketAddr,
        incarnation: id::Incarnation,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            me,
            origin: Origin { data_centre, address, fact: Fact::new(incarnation) },
            started: None,
            members: BTreeMap::new(),
            has_list: false,
            queue: rumour::Queue::default(),
            prober: Prober::default(),
            cuts: Cuts::default(),
            sync: Sync::default(),
            heard_at: None,
            last_tick: None,
            eager_budget: 0,
            pauses: 0,
            strangers: 0,
            superseded: None,
            out: Vec::new(),
            changes: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Runs timers and returns the messages due. Call it every 50 ms to 200 ms and send the
    /// messages without delay.
    pub fn tick(&mut self, now: Instant) -> Vec<(id::Vm, Message)> {
        self.started.get_or_insert(now);
        self.detect_pause(now);
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.start_probe(now);
        self.sync_next(now);
        self.remove_expired(now);
        self.record_all_states();
        std::mem::take(&mut self.out)
    }

    /// Announces that this node takes no new work. Send the messages without delay and keep calling
    /// [`View::tick`] until the work in flight has ended.
    pub fn leave(&mut self, _now: Instant) -> Vec<(id::Vm, Message)> {
        self.origin.fact.leaving = true;
        self.eager_budget = self.settings.eager_messages;
        let me = self.me.clone();
        self.spread(&me, true);
        std::mem::take(&mut self.out)
    }

    /// Returns the state of a VM, or none if it is not known.
    pub fn state_of(&self, vm: &id::Vm) -> Option<State> {
        if *vm == self.me {
            return Some(if self.origin.fact.leaving { State::Leaving } else { State::Live });
        }
        self.members.get(vm).map(|member| self.state(member))
    }

    /// Returns whether messages from a VM are accepted: the VM is known, or no VM is listed or
    /// published yet.
    pub fn admits(&self, vm: &id::Vm) -> bool {
        *vm != self.me && (self.members.contains_key(vm) || self.is_bootstrapping())
    }

    /// Returns the incarnation of this node.
    pub fn incarnation(&self) -> id::Incarnation {
        self.origin.fact.incarnation
    }

    /// Returns the reachable VMs ordered by name, without this node's own.
    pub fn live(&self) -> impl Iterator<Item = Peer> + '_ {
        self.members.iter().filter_map(|(vm, member)| {
            let state = self.state(member);
            state.is_reachable().then(|| Peer {
                vm: vm.clone(),
                data_centre: member.data_centre.clone(),
                address: member.address,
                incarnation: member.fact.incarnation,
                leaving: state == State::Leaving,
                suspect: member.fact.health == Health::Suspect,
            })
        })
    }

    /// Returns the latest known incarnation of a VM's node.
    pub fn incarnation_of(&self, vm: &id::Vm) -> Option<id::Incarnation> {
        self.members.get(vm).map(|member| member.fact.incarnation)
    }

    /// Returns the address on which a VM's node listens for peers, even while it is unreachable.
    pub fn address_of(&self, vm: &id::Vm) -> Option<SocketAddr> {
        self.members.get(vm)?.address
    }

    /// Returns the changes since the last call and clears them.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.drain(..).collect()
    }

    fn state(&self, member: &Member) -> State {
        match member.fact.health {
            Health::Dead => State::Dead,
            _ if self.cuts.is_cut(&member.data_centre) => State::Unreachable,
            _ if member.fact.leaving || member.listing == Some(Listing::Leaving) => State::Leaving,
            Health::Suspect => State::Suspect,
            Health::Alive => State::Live,
        }
    }

    /// Records a change if the state or incarnation of a VM differs from the last reported one.
    fn record_state(&mut self, vm: &id::Vm) {
        let Some(member) = self.members.get(vm) else { return };
        let state = self.state(member);
        let incarnation = member.fact.incarnation;
        let from = member.reported;
        if from == Some((state, incarnation)) {
            return;
        }
        let from = from.map(|(state, _)| state);
        self.record_change(Change::State { vm: vm.clone(), incarnation, from, to: state });
        if let Some(member) = self.members.get_mut(vm) {
            member.reported = Some((state, incarnation));
        }
    }

    fn record_all_states(&mut self) {
        let is_unreported = |member: &Member| {
            member.reported != Some((self.state(member), member.fact.incarnation))
        };
        let unreported: Vec<id::Vm> = self
            .members
            .iter()
            .filter(|(_, m)| is_unreported(m))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in unreported {
            self.record_state(&vm);
        }
    }

    fn record_change(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}
