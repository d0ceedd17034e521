//! Anti-entropy: reads peers' full views page by page, for nodes that start and for missed rumours.

use {
    super::{
        Reason, View,
        fact::{Fact, Rumour},
        wire::{Body, MAX_FACTS},
    },
    crate::{id, time::Instant},
    std::{ops::Bound, time::Duration},
};

/// The most facts in a page, which keeps its size near one packet.
const MAX_PAGE_FACTS: usize = 40;

/// The progress in reading peers' views.
#[derive(Debug, Default)]
pub(super) struct Sync {
    next_at: Instant,
    after: Option<id::Vm>,
    is_joining: bool,
}

impl Sync {
    /// Starts a fast pass over all pages.
    pub fn join(&mut self, now: Instant) {
        *self = Self { next_at: now, after: None, is_joining: true };
    }
}

impl View {
    pub(super) fn sync_next(&mut self, now: Instant) {
        if now < self.sync.next_at {
            return;
        }
        let wait = if self.sync.is_joining { self.settings.join_ms } else { self.settings.sync_ms };
        self.sync.next_at = now + Duration::from_millis(wait);
        let me = self.me.clone();
        let after = self.sync.after.clone();
        if let Some(peer) = self.random_peers(1, &me).pop() {
            self.send(&peer, Body::Pull { after });
        }
    }

    pub(super) fn handle_pull(&mut self, from: &id::Vm, after: Option<&id::Vm>) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let is_known = |fact: &Fact| *fact != Fact::default();
        let mut facts: Vec<Rumour> = self
            .members
            .range::<id::Vm, _>((start, Bound::Unbounded))
            .filter(|(vm, member)| is_known(&member.fact) && *vm != from)
            .take(MAX_PAGE_FACTS + 1)
            .filter_map(|(vm, _)| self.rumour(vm))
            .collect();
        let has_more = facts.len() > MAX_PAGE_FACTS;
        facts.truncate(MAX_PAGE_FACTS);
        let next = if has_more { facts.last().map(|last| last.vm.clone()) } else { None };
        self.send(from, Body::Push { facts, next });
    }

    /// Applies a page. Its facts are already known to a peer, so they are not spread again.
    pub(super) fn handle_push(&mut self, now: Instant, facts: &[Rumour], next: Option<id::Vm>) {
        for rumour in facts.iter().take(MAX_FACTS) {
            self.apply(now, rumour, Reason::Rumour, false);
        }
        self.sync.is_joining &= next.is_some();
        self.sync.after = next;
    }
}
