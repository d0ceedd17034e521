//! Fetches values from peers and serves them to peers.

use {
    super::{
        Message, Store,
        claim::Claim,
        stage::{PageError, Stage},
        validator::Validator,
        wire::{Cursor, Page, StateKind},
    },
    crate::{id, time::Instant, unit::Revision},
    rand::RngExt,
    std::time::Duration,
};

/// The fetch in progress.
#[derive(Debug)]
pub(super) struct Fetch {
    nonce: u32,
    peer: id::Vm,
    sent_at: Instant,
}

/// A token bucket that bounds the bytes served to peers per second.
#[derive(Debug, Default)]
pub(super) struct Budget {
    bytes: u64,
    filled_at: Instant,
}

impl Budget {
    fn refill(&mut self, now: Instant, per_second: u64) {
        let millis = u64::try_from(now.since(self.filled_at).as_millis()).unwrap_or(u64::MAX);
        let added = per_second.saturating_mul(millis) / 1_000;
        if added > 0 {
            self.bytes = self.bytes.saturating_add(added).min(per_second);
            self.filled_at = now;
        }
    }

    fn take(&mut self, bytes: u64) -> bool {
        let has_room = self.bytes >= bytes;
        if has_room {
            self.bytes -= bytes;
        }
        has_room
    }
}

impl<V: Validator> Store<V> {
    pub(super) fn advance_fetch(&mut self, now: Instant) {
        if let Some(fetch) = &self.fetch {
            if now.since(fetch.sent_at) < self.settings.fetch_timeout() {
                return;
            }
            let peer = fetch.peer.clone();
            self.fetch = None;
            self.record_failure(now, &peer);
        }
        if now < self.fetch_at {
            return;
        }
        let known = self.latest.revision();
        if let Some(peer) = self.pick(StateKind::Latest, known) {
            if self.stage.as_ref().is_none_or(|stage| stage.state_kind != StateKind::Latest) {
                self.stage = Some(Stage::difference(known));
            }
            return self.fetch_from(now, peer);
        }
        let accepted = self.accepted_revision();
        // While the latest values do not validate, a peer may have a newer set in force than this
        // node.
        if accepted < known
            && let Some(peer) = self.pick(StateKind::Accepted, accepted)
        {
            let is_different_kind =
                self.stage.as_ref().is_none_or(|stage| stage.state_kind != StateKind::Accepted);
            if is_different_kind {
                self.stage = Some(Stage::accepted(known));
            }
            self.fetch_from(now, peer);
        }
    }

    /// Returns a peer that claims more than `known`, preferring one that can continue the staged
    /// transfer.
    fn pick(&mut self, state_kind: StateKind, known: Revision) -> Option<id::Vm> {
        let claimed = |claim: &Claim| match state_kind {
            StateKind::Latest => claim.complete,
            StateKind::Accepted => claim.accepted,
        };
        let staged_revision = self.stage.as_ref().filter(|stage| stage.state_kind == state_kind);
        let staged_revision = staged_revision.map_or(Revision(0), |stage| stage.revision);
        let can_continue =
            |claim: &Claim| claimed(claim) > known && claimed(claim) >= staged_revision;
        let preferred = self.claims.pick(&mut self.rng, can_continue);
        preferred.or_else(|| self.claims.pick(&mut self.rng, |claim| claimed(claim) > known))
    }

    fn fetch_from(&mut self, now: Instant, peer: id::Vm) {
        let Some(stage) = &self.stage else { return };
        let (state_kind, base, from) = (stage.state_kind, stage.base, stage.from.clone());
        let nonce = self.nonce();
        self.send(&peer, Message::Fetch { nonce, state_kind, base, from });
        self.fetch = Some(Fetch { nonce, peer, sent_at: now });
    }

    pub(super) fn record_failure(&mut self, now: Instant, peer: &id::Vm) {
        self.claims.record_failure(now, peer, Duration::from_millis(self.settings.mute_ms));
    }

    pub(super) fn serve(
        &mut self,
        now: Instant,
        to: &id::Vm,
        nonce: u32,
        state_kind: StateKind,
        base: Revision,
        from: &Cursor,
    ) {
        self.budget.refill(now, self.settings.serve_bytes_per_second);
        let history = match (state_kind, &self.accepted) {
            (StateKind::Latest, _) => &self.latest,
            (StateKind::Accepted, Some(accepted)) => &accepted.history,
            (StateKind::Accepted, None) => return,
        };
        let page = history.page(base, from, self.settings.page_bytes);
        let bytes: usize = page.chunks.iter().map(super::history::encoded_size).sum();
        let message = if self.budget.take(bytes as u64) {
            Message::Page { nonce, page }
        } else {
            Message::Busy { nonce }
        };
        self.send(to, message);
    }

    /// Retries with any peer after a short random delay, since this one has used up its serving
    /// budget.
    pub(super) fn handle_busy(&mut self, now: Instant, from: &id::Vm, nonce: u32) {
        const WAIT_MS: std::ops::Range<u64> = 50..250;
        if self.is_pending(from, nonce) {
            self.fetch = None;
            self.claims.deprioritize(from);
            self.fetch_at = now + Duration::from_millis(self.rng.random_range(WAIT_MS));
        }
    }

    fn is_pending(&self, from: &id::Vm, nonce: u32) -> bool {
        self.fetch.as_ref().is_some_and(|fetch| fetch.nonce == nonce && fetch.peer == *from)
    }

    pub(super) fn handle_page(&mut self, now: Instant, from: &id::Vm, nonce: u32, page: Page) {
        if !self.is_pending(from, nonce) {
            return;
        }
        self.fetch = None;
        let Some(stage) = &mut self.stage else { return };
        let (state_kind, last, revision) = (stage.state_kind, page.last, page.revision);
        let has_chunks = !page.chunks.is_empty();
        match stage.add_page(page) {
            // The sender is not at fault: it has an older state than the sender of the previous
            // page. Only the stage is restarted.
            Err(PageError::Behind) => self.stage = None,
            Err(error) => {
                self.page_errors += 1;
                self.last_page_error = Some(error);
                self.stage = None;
                self.record_failure(now, from);
            }
            Ok(None) if has_chunks => {
                self.claims.record_success(from);
                self.advance_fetch(now);
            }
            Ok(None) => self.record_failure(now, from),
            Ok(Some(change)) => {
                self.stage = None;
                let is_new = match state_kind {
                    StateKind::Latest => self.apply_latest(now, change, Some(from)),
                    StateKind::Accepted => self.apply_accepted(change),
                };
                if is_new {
                    self.claims.record_success(from);
                } else {
                    self.record_failure(now, from);
                }
                let is_incomplete =
                    self.claims.get(from).is_some_and(|claim| claim.complete > revision);
                if last && is_incomplete && state_kind == StateKind::Latest {
                    self.record_failure(now, from);
                }
            }
        }
    }
}
