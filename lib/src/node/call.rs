//! The state of one call at one node.

use {
    super::keyed::Keyed,
    crate::{call::Offer, id, rate, retry, time::Instant},
    std::time::Duration,
};

/// The time subtracted from the deadline at each hop between nodes. A downstream node gives up this
/// much earlier, so that its exact refusal arrives before the upstream node times out and has to
/// report an unknown outcome.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// The sender of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// An external caller.
    Caller,
    /// The node's own target, as a nested call of the call that it runs.
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

/// The processing state of a call.
#[derive(Debug)]
pub enum Stage {
    /// Waiting for a rate token of its account.
    AwaitingToken {
        /// The rate limiter's ticket for the pending token.
        ticket: rate::Ticket,
    },
    /// Waiting for the owner of the idempotency key to permit the run.
    AwaitingPermit,
    /// Fetching the stored answer to an earlier request with the same idempotency key.
    FetchingAnswer,
    /// Waiting for the next attempt.
    Backoff {
        /// When the next attempt starts.
        until: Instant,
    },
    /// Forwarded to a peer.
    Forwarded {
        /// The peer.
        to: id::Vm,
        /// When it was forwarded.
        since: Instant,
        /// The retries that the peer may use.
        quota: retry::Quota,
    },
    /// Queued for the node's own target.
    Queued,
    /// Running on the node's own target.
    Running {
        /// When the run started.
        since: Instant,
    },
}

/// One call at one node.
#[derive(Debug)]
pub struct Call {
    /// The sender of the call.
    pub origin: Origin,
    /// The routing data of the request.
    pub offer: Offer,
    /// When the call times out.
    pub deadline: Instant,
    /// The retries left to this node and to downstream nodes.
    pub budget: retry::Budget,
    /// For a nested call, the retries taken from the parent's budget.
    pub quota: Option<retry::Quota>,
    /// The processing state.
    pub stage: Stage,
    /// The number of attempts made by this node.
    pub attempts: u8,
    /// The number of attempts that were rerouted immediately, because the target was leaving or its
    /// node was unreachable. No target received them.
    pub reroutes: u8,
    /// The VMs on which an attempt failed or was refused.
    pub tried: Vec<id::Vm>,
    /// Whether a failed attempt may have run.
    pub may_have_run: bool,
    /// The open nested calls that the target made while running this call.
    pub children: Vec<id::Call>,
    /// The state of its idempotency key, if it has one.
    pub keyed: Option<Keyed>,
    /// The VM whose target answered the call.
    pub answered_by: Option<id::Vm>,
    /// The pools reached by nested calls, at any depth.
    pub downstream_pools: Vec<id::Pool>,
}

impl Call {
    /// Returns whether this node picks the targets for the call, rather than an upstream node.
    pub fn is_upstream(&self) -> bool {
        !matches!(self.origin, Origin::Peer { .. })
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the routing data with the time remaining at `now`.
    pub fn offer_at(&self, now: Instant) -> Offer {
        Offer { remaining: self.remaining(now), ..self.offer.clone() }
    }
}
