//! Distributes the published configuration and keeps the set of tables in force.
//!
//! A few nodes of each data centre watch the platform; the others receive values by gossip. The
//! highest accepted revision wins, the values of a revision come into force only together and only
//! if they validate, and a restarted node queries its peers before it trusts the platform. See
//! docs/design/configuration.md and docs/design/keys.md.

mod accept;
mod claim;
mod dump;
mod fetch;
mod gossip;
mod history;
mod key;
mod settings;
mod stage;
mod start;
mod validator;
mod value;
mod watch;
mod wire;

pub use {
    dump::Dump,
    key::KeyState,
    settings::{Error, Settings},
    stage::PageError,
    validator::{Fault, Tables, Validator},
    value::{Difference, MAX_NAME_BYTES, MAX_VALUE_BYTES, ReadError, Value},
    wire::{Cursor, MAX_WITHDRAWALS, Message, Page, StateKind, Text, ValueChunk, Withdrawal},
};

use {
    crate::{id, key::Digest, member::Peer, table::Set, time::Instant, unit::Revision},
    claim::Claims,
    fetch::{Budget, Fetch},
    gossip::Confirmation,
    history::History,
    key::Overlay,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::Serialize,
    stage::Stage,
    start::Start,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    watch::Watch,
};

/// The most changes buffered for a driver that does not collect them. The oldest are dropped first.
const MAX_CHANGES: usize = 1_024;

/// How often the claims of unreachable peers are removed.
const CLAIMS_INTERVAL: Duration = Duration::from_secs(1);

/// An action for the driver to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the platform's list of VMs, pass it to [`crate::member::View::listed`] and report the
    /// result to [`Store::vms_read`].
    ReadVms,
    /// Read the values that changed after a revision, and pass the answer to [`Store::published`].
    Read {
        /// The last known revision.
        after: Revision,
        /// How long the platform may delay the answer while there is no change (long poll).
        wait: Duration,
    },
    /// Send a message to a node without delay.
    Send(id::Vm, Message),
}

/// A change of the set in force, or a revision that was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Change {
    /// A set came into force.
    Accepted {
        /// Its revision.
        revision: Revision,
    },
    /// The values of a revision do not validate, so the previous set stays in force.
    Refused {
        /// The last known revision.
        revision: Revision,
        /// The number of faults.
        faults: usize,
    },
}

#[derive(Debug)]
struct Accepted {
    history: History,
    set: Arc<Set>,
}

/// The published values known to one node, and the set of tables built from them.
#[derive(Debug)]
pub struct Store<V = Tables> {
    settings: Settings,
    me: id::Vm,
    data_centre: id::DataCentre,
    validator: V,
    started: Option<Instant>,
    live: Vec<Peer>,
    has_list: bool,
    latest: History,
    accepted: Option<Accepted>,
    faults: Vec<Fault>,
    overlay: Overlay,
    confirmation: Option<Confirmation>,
    start: Start,
    watch: Watch,
    claims: Claims,
    claims_checked_at: Instant,
    stage: Option<Stage>,
    fetch: Option<Fetch>,
    fetch_at: Instant,
    budget: Budget,
    queries: BTreeMap<u32, (id::Vm, Instant)>,
    gossip_at: Instant,
    last_nonce: u32,
    page_errors: u64,
    last_page_error: Option<PageError>,
    out: Vec<Action>,
    changes: VecDeque<Change>,
    rng: ChaCha8Rng,
}

impl Store<Tables> {
    /// Makes a store without values.
    pub fn new(
        settings: Settings,
        me: id::Vm,
        data_centre: id::DataCentre,
        incarnation: id::Incarnation,
        seed: u64,
    ) -> Self {
        Self::with_validator(settings, me, data_centre, incarnation, seed, Tables)
    }
}

impl<V: Validator> Store<V> {
    /// Makes a store with a custom [`Validator`].
    pub fn with_validator(
        settings: Settings,
        me: id::Vm,
        data_centre: id::DataCentre,
        incarnation: id::Incarnation,
        seed: u64,
        validator: V,
    ) -> Self {
        // Nonces must differ between incarnations, so that answers to an earlier incarnation are
        // not accepted by this one.
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ incarnation.0.rotate_left(32));
        let last_nonce = rng.random();
        Self {
            settings,
            me,
            data_centre,
            validator,
            started: None,
            live: Vec::new(),
            has_list: false,
            latest: History::default(),
            accepted: None,
            faults: Vec::new(),
            overlay: Overlay::default(),
            confirmation: None,
            start: Start::default(),
            watch: Watch::default(),
            claims: Claims::default(),
            claims_checked_at: Instant::ZERO,
            stage: None,
            fetch: None,
            fetch_at: Instant::ZERO,
            budget: Budget::default(),
            queries: BTreeMap::new(),
            gossip_at: Instant::ZERO,
            last_nonce,
            page_errors: 0,
            last_page_error: None,
            out: Vec::new(),
            changes: VecDeque::new(),
            rng,
        }
    }

    /// Runs timers and returns the actions due. Call it every 50 ms to 200 ms with the reachable
    /// members.
    pub fn tick(&mut self, now: Instant, live: &[Peer]) -> Vec<Action> {
        let is_first = self.started.is_none();
        self.started.get_or_insert(now);
        live.clone_into(&mut self.live);
        self.remove_unreachable_claims(now);
        if is_first {
            self.watch.fallback_delay = self.draw_fallback_delay();
        }
        let limit = Duration::from_millis(self.settings.withdrawal_ms);
        self.overlay.expire(now, limit);
        self.advance_start(now);
        self.gossip(now);
        self.advance_fetch(now);
        self.schedule_reads(now);
        std::mem::take(&mut self.out)
    }

    fn remove_unreachable_claims(&mut self, now: Instant) {
        if now.since(self.claims_checked_at) < CLAIMS_INTERVAL {
            return;
        }
        self.claims_checked_at = now;
        let reachable: BTreeSet<&id::Vm> = self.live.iter().map(|peer| &peer.vm).collect();
        self.claims.retain(now, &reachable);
    }

    /// Handles the platform's answer to the last [`Action::Read`].
    pub fn published(
        &mut self,
        now: Instant,
        result: Result<Difference, ReadError>,
    ) -> Vec<Action> {
        self.handle_read(now, result);
        std::mem::take(&mut self.out)
    }

    /// Handles a message from a peer that the connection has authenticated as `from`.
    pub fn receive(&mut self, now: Instant, from: &id::Vm, message: Message) -> Vec<Action> {
        match message {
            Message::Query { nonce, complete } => self.handle_query(now, from, nonce, complete),
            Message::Answer { nonce, complete, accepted, age_ms, withdrawals } => {
                self.claims.record_claim(now, from, complete, Some(accepted));
                self.handle_withdrawals(now, from, &withdrawals);
                self.handle_answer(now, from, nonce, complete, age_ms);
            }
            Message::Announce { complete } => self.claims.record_claim(now, from, complete, None),
            Message::Withdraw { withdrawals } => self.handle_withdrawals(now, from, &withdrawals),
            Message::Fetch { nonce, state_kind, base, from: cursor } => {
                self.serve(now, from, nonce, state_kind, base, &cursor);
            }
            Message::Page { nonce, page } => self.handle_page(now, from, nonce, page),
            Message::Busy { nonce } => self.handle_busy(now, from, nonce),
        }
        self.advance_fetch(now);
        std::mem::take(&mut self.out)
    }

    /// Returns the set in force. Its revision never decreases while the store exists.
    pub fn set(&self) -> Option<&Arc<Set>> {
        self.accepted.as_ref().map(|accepted| &accepted.set)
    }

    /// Returns the revision that last changed a value of the set in force.
    pub fn revision_of(&self, name: &str) -> Option<Revision> {
        self.accepted.as_ref()?.history.revision_of(name)
    }

    /// Returns the revision up to which all values are known, whether or not they are in force.
    pub fn known(&self) -> Revision {
        self.latest.revision()
    }

    /// Checks whether this node may admit keys at all.
    ///
    /// # Errors
    ///
    /// Returns why no key is admitted. The caller then gets `no-tables`.
    pub fn keys_usable(&self, now: Instant) -> Result<(), KeyState> {
        if self.accepted.is_none() {
            return Err(KeyState::NoTables);
        }
        if !self.start.is_done() {
            return Err(KeyState::Starting);
        }
        let Some(confirmation) = self.confirmation else { return Err(KeyState::Starting) };
        let age_ms = confirmation.age_ms(now);
        if age_ms <= self.settings.max_key_age_ms {
            Ok(())
        } else {
            Err(KeyState::Stale { age_ms })
        }
    }

    /// Returns the account that a key belongs to, unless the key was withdrawn. Check
    /// [`Store::keys_usable`] first.
    pub fn account_of(&self, digest: &Digest) -> Option<&id::Account> {
        if self.overlay.is_withdrawn(digest) {
            return None;
        }
        self.accepted.as_ref()?.set.account_of(digest)
    }

    /// Returns the changes since the last call and clears them.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.drain(..).collect()
    }

    fn accepted_revision(&self) -> Revision {
        self.accepted.as_ref().map_or(Revision(0), |accepted| accepted.set.revision())
    }

    fn record_change(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}
