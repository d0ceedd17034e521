//! Compares revisions with peers, and announces urgent changes immediately.

use {
    super::{
        Action, Message, Store,
        validator::Validator,
        wire::{MAX_WITHDRAWALS, Withdrawal},
    },
    crate::{id, time::Instant, unit::Revision},
    rand::seq::{IndexedRandom, IteratorRandom},
    std::time::Duration,
};

/// Answers that arrive later than this after the query are ignored.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Evidence that the platform had nothing newer than the values known to this node.
///
/// The confirmation may predate the origin of this node's clock, so it is stored as a reading and
/// an age.
#[derive(Clone, Copy, Debug)]
pub(super) struct Confirmation {
    /// When this node sent its query.
    pub at: Instant,
    /// The age of the confirmation at that time.
    pub age: Duration,
}

impl Confirmation {
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.at).saturating_add(self.age)
    }

    pub fn age_ms(&self, now: Instant) -> u64 {
        u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX)
    }
}

impl<V: Validator> Store<V> {
    pub(super) fn gossip(&mut self, now: Instant) {
        self.queries.retain(|_, (_, queried_at)| now.since(*queried_at) < ANSWER_TIMEOUT);
        if now < self.gossip_at {
            return;
        }
        self.gossip_at = now + self.settings.period();
        if let Some(vm) = self.live.choose(&mut self.rng).map(|peer| peer.vm.clone()) {
            self.query(now, &vm);
        }
    }

    pub(super) fn handle_query(
        &mut self,
        now: Instant,
        from: &id::Vm,
        nonce: u32,
        complete: Revision,
    ) {
        self.claims.record_claim(now, from, complete, None);
        let limit = Duration::from_millis(self.settings.withdrawal_ms);
        let message = Message::Answer {
            nonce,
            complete: self.latest.revision(),
            accepted: self.accepted_revision(),
            age_ms: self.confirmation.map(|confirmation| confirmation.age_ms(now)),
            withdrawals: self.overlay.unconfirmed(now, limit),
        };
        self.send(from, message);
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Instant,
        from: &id::Vm,
        nonce: u32,
        complete: Revision,
        age_ms: Option<u64>,
    ) {
        let Some((queried_vm, queried_at)) = self.queries.get(&nonce).cloned() else { return };
        if queried_vm != *from {
            return;
        }
        self.queries.remove(&nonce);
        self.start.record_answer(from, complete);
        // The answer was made after the query was sent, so counting the age from the query
        // never makes the confirmation look too recent.
        if let Some(age_ms) = age_ms
            && complete <= self.latest.revision()
        {
            self.update_confirmation(
                now,
                Confirmation { at: queried_at, age: Duration::from_millis(age_ms) },
            );
        }
    }

    pub(super) fn update_confirmation(&mut self, now: Instant, confirmation: Confirmation) {
        let is_older = |known: Confirmation| known.age(now) > confirmation.age(now);
        if self.confirmation.is_none_or(is_older) {
            self.confirmation = Some(confirmation);
        }
    }

    /// Announces a new revision to some random peers immediately.
    pub(super) fn announce_revision(&mut self, except: Option<&id::Vm>) {
        let complete = self.latest.revision();
        for vm in self.eager_peers(except) {
            self.send(&vm, Message::Announce { complete });
        }
    }

    /// Sends withdrawn keys to some random peers immediately, ahead of the values.
    pub(super) fn send_withdrawals(&mut self, withdrawals: &[Withdrawal], except: Option<&id::Vm>) {
        if withdrawals.is_empty() {
            return;
        }
        let withdrawals = &withdrawals[..withdrawals.len().min(MAX_WITHDRAWALS)];
        for vm in self.eager_peers(except) {
            self.send(&vm, Message::Withdraw { withdrawals: withdrawals.to_vec() });
        }
    }

    pub(super) fn handle_withdrawals(
        &mut self,
        now: Instant,
        from: &id::Vm,
        withdrawals: &[Withdrawal],
    ) {
        let new_withdrawals =
            self.overlay.add_unconfirmed(now, self.latest.revision(), withdrawals);
        self.send_withdrawals(&new_withdrawals, Some(from));
    }

    fn eager_peers(&mut self, except: Option<&id::Vm>) -> Vec<id::Vm> {
        let others = self.live.iter().map(|peer| &peer.vm).filter(|vm| Some(*vm) != except);
        others.cloned().sample(&mut self.rng, self.settings.eager_peers)
    }

    pub(super) fn nonce(&mut self) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    pub(super) fn send(&mut self, to: &id::Vm, message: Message) {
        self.out.push(Action::Send(to.clone(), message));
    }
}
