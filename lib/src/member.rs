//! Which VMs are there, which answer, and which are leaving.
//!
//! The platform's list lags, may be stale and may be empty, so each node also probes one peer a
//! period, asks others to probe for it before it suspects, and lets the suspect refute. News rides
//! on probes; what can't wait is passed on at once. See docs/design/membership.md.

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

/// The most changes that are kept for a driver that does not take them.
const MAX_CHANGES: usize = 4_096;
/// The most VMs that a node knows of.
const MAX_MEMBERS: usize = 4_096;

/// Whether a VM takes work, as this node sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM answers, or nothing speaks against it yet.
    Live,
    /// The VM did not answer probes. It still counts as live until it had time to refute.
    Suspect,
    /// The VM ends its work and takes no more.
    Leaving,
    /// The VM's data centre as a whole does not answer.
    Unreachable,
    /// The VM does not answer, and did not refute it.
    Dead,
}

impl State {
    /// Returns the name used in dumps and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Dead => "dead",
        }
    }

    /// Tells whether the VM can be reached.
    pub const fn is_reachable(self) -> bool {
        matches!(self, Self::Live | Self::Suspect | Self::Leaving)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What the platform's list says of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Listing {
    /// The VM is in use.
    Live,
    /// The platform is about to take the VM away.
    Leaving,
}

/// One line of the platform's list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name.
    pub vm: id::Vm,
    /// Where the VM is.
    pub data_centre: id::DataCentre,
    /// Where its node listens for peers.
    pub address: SocketAddr,
    /// What the platform says of it.
    pub state: Listing,
}

/// A VM that can be reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name.
    pub vm: id::Vm,
    /// Where the VM is.
    pub data_centre: id::DataCentre,
    /// Where its node listens for peers, where it is known.
    pub address: Option<SocketAddr>,
    /// The life of its node, or zero where none was heard of.
    pub incarnation: id::Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it failed to answer probes and may still refute it.
    pub suspect: bool,
}

/// Why a VM has its state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The platform lists it.
    Listed,
    /// The published tables name it.
    Published,
    /// A peer introduced it while this node had no list.
    Introduced,
    /// The VM itself was heard.
    Heard,
    /// A peer spread it.
    Rumour,
    /// The VM answered no probe, neither direct nor through others.
    NoAnswer,
    /// The VM did not refute a suspicion in time.
    NoRefutation,
}

/// A change that this node noticed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum Change {
    /// A VM has another state or another life.
    State {
        /// The VM.
        vm: id::Vm,
        /// The life of its node.
        incarnation: id::Incarnation,
        /// The state before, or none for a VM that was not known.
        from: Option<State>,
        /// The state now.
        to: State,
    },
    /// A VM is no longer known.
    Forgotten {
        /// The VM.
        vm: id::Vm,
    },
    /// Peers know a later life of this node's own VM, so this process must end or start again.
    Superseded {
        /// The later life.
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

/// The members of the fleet as one node sees them.
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
    /// Makes the view of a node that knows of no other VM.
    ///
    /// `incarnation` is the wall clock in milliseconds at the start of the process.
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

    /// Does what is due. Call it every 50 ms to 200 ms and send the messages at once.
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

    /// Announces that this node takes no new work. Send the messages at once and go on ticking
    /// until the work in flight has ended.
    pub fn leave(&mut self, _now: Instant) -> Vec<(id::Vm, Message)> {
        self.origin.fact.leaving = true;
        self.eager_budget = self.settings.eager_messages;
        let me = self.me.clone();
        self.spread(&me, true);
        std::mem::take(&mut self.out)
    }

    /// Returns the state of a VM, or none where it is not known.
    pub fn state_of(&self, vm: &id::Vm) -> Option<State> {
        if *vm == self.me {
            return Some(if self.origin.fact.leaving { State::Leaving } else { State::Live });
        }
        self.members.get(vm).map(|member| self.state(member))
    }

    /// Tells whether messages of a VM are accepted: it is listed, published, or nobody is yet.
    pub fn admits(&self, vm: &id::Vm) -> bool {
        *vm != self.me && (self.members.contains_key(vm) || self.is_bootstrapping())
    }

    /// Returns this node's own life.
    pub fn incarnation(&self) -> id::Incarnation {
        self.origin.fact.incarnation
    }

    /// Returns the VMs that can be reached, without this node's own, ordered by name.
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

    /// Returns the life of a VM's node that was last heard of.
    pub fn incarnation_of(&self, vm: &id::Vm) -> Option<id::Incarnation> {
        self.members.get(vm).map(|member| member.fact.incarnation)
    }

    /// Returns where a VM's node listens for peers, also while it is not reachable.
    pub fn address_of(&self, vm: &id::Vm) -> Option<SocketAddr> {
        self.members.get(vm)?.address
    }

    /// Takes the changes since the last call.
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

    /// Records that the state of a VM may have changed.
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
