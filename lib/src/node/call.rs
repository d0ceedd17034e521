//! The state of one call at one node.

use {
    super::keyed::Keyed,
    crate::{call::Offer, id, rate, retry, time::Instant},
    std::time::Duration,
};

/// What one hop between nodes may take of the time left. A node further down gives up this much
/// earlier, so that its exact refusal arrives before the node above has to guess.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Who waits for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller of the provider.
    Caller,
    /// The node's own target, on behalf of the call that it runs.
    Target {
        /// The call that the target runs.
        parent: id::Call,
    },
    /// Another node.
    Peer {
        /// Its VM.
        vm: id::Vm,
    },
}

/// How far a call has come.
#[derive(Debug)]
pub enum Stage {
    /// It waits for a token of its account.
    Paying {
        /// The ledger's number for the wait.
        ticket: rate::Ticket,
    },
    /// It waits for the right to run from the owner of its idempotency key.
    Reserving,
    /// It waits for the kept answer to an earlier copy of it.
    Replaying,
    /// It waits for its next attempt.
    Backoff {
        /// When the next attempt starts.
        until: Instant,
    },
    /// A peer has it.
    Forwarded {
        /// The peer.
        to: id::Vm,
        /// Since when.
        since: Instant,
        /// The attempts that the peer may spend.
        part: retry::Quota,
    },
    /// It waits for room on the node's own target.
    Queued,
    /// The node's own target runs it.
    Running {
        /// Since when.
        since: Instant,
    },
}

/// One call at one node.
#[derive(Debug)]
pub struct Call {
    /// Who waits for it.
    pub origin: Origin,
    /// What is known of it.
    pub offer: Offer,
    /// When its answer is of no use any more.
    pub deadline: Instant,
    /// The further attempts that are left to this node and below.
    pub budget: retry::Budget,
    /// The part of the parent's attempts that this call holds, for a nested call.
    pub part: Option<retry::Quota>,
    /// How far it has come.
    pub stage: Stage,
    /// The attempts made by this node.
    pub attempts: u8,
    /// The attempts of those that were sent elsewhere at once, because the target was leaving or
    /// its node could not be reached. No target saw them.
    pub reroutes: u8,
    /// The VMs that refused it.
    pub tried: Vec<id::Vm>,
    /// Whether an attempt that failed may have run.
    pub may_have_run: bool,
    /// Nested calls of the target that runs it.
    pub children: Vec<id::Call>,
    /// What it holds for its idempotency key, where it has one.
    pub keyed: Option<Keyed>,
    /// The VM whose target answered it.
    pub ran: Option<id::Vm>,
    /// Pools that the call went on to below its own.
    pub pools: Vec<id::Pool>,
}

impl Call {
    /// Tells whether this node picks the targets for the call, and not a node above it.
    pub fn is_upstream(&self) -> bool {
        !matches!(self.origin, Origin::Peer { .. })
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }

    /// Returns what a target or a peer is told at this moment.
    pub fn offer_at(&self, now: Instant) -> Offer {
        Offer { remaining: self.remaining(now), ..self.offer.clone() }
    }
}
