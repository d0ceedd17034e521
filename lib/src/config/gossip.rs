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

/// Answers that arrive later than this after the question are ignored.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Evidence that the platform had nothing newer than the values known to this node.
///
/// The confirmation may predate the origin of this node's clock, so it is stored as a reading and
/// an age.
#[derive(Clone, Copy, Debug)]
pub(super) struct Confirmation {
    /// When this node sent its question.
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
        self.asks.retain(|_, (_, asked_at)| now.since(*asked_at) < ANSWER_TIMEOUT);
        if now < self.gossip_at {
            return;
        }
        self.gossip_at = now + self.settings.period();
        if let Some(vm) = self.live.choose(&mut self.rng).map(|peer| peer.vm.clone()) {
            self.ask(now, &vm);
        }
    }

    pub(super) fn handle_ask(
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
        let Some((asked, asked_at)) = self.asks.get(&nonce).cloned() else { return };
        if asked != *from {
            return;
        }
        self.asks.remove(&nonce);
        self.start.record_answer(from, complete);
        // The answer was made after the question was sent, so counting the age from the question
        // never makes the confirmation look too recent.
        if let Some(age_ms) = age_ms
            && complete <= self.latest.revision()
        {
            self.update_confirmation(
                now,
                Confirmation { at: asked_at, age: Duration::from_millis(age_ms) },
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
