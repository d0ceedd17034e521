//! Which whole answers a node keeps for a replay. The driver holds their bytes.

use {
    super::Settings,
    crate::{id::Call, time::Instant, unit::Bytes},
    std::collections::BTreeMap,
};

#[derive(Debug, Default)]
pub(super) struct Answers {
    kept: BTreeMap<Call, (Instant, Bytes)>,
    total: u64,
}

impl Answers {
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn total(&self) -> Bytes {
        Bytes(self.total)
    }

    pub fn contains(&self, call: Call) -> bool {
        self.kept.contains_key(&call)
    }

    /// Keeps an answer. Returns the calls whose answers make room for it, perhaps its own.
    ///
    /// The oldest answers go first. Their keys stay taken, so a resend is refused and not run.
    pub fn keep(
        &mut self,
        now: Instant,
        call: Call,
        size: Bytes,
        settings: &Settings,
    ) -> Vec<Call> {
        self.kept.insert(call, (now + settings.window(), size));
        self.total += size.0;
        let mut dropped = Vec::new();
        while self.total > settings.answer_bytes_max || self.kept.len() > settings.answers_max {
            dropped.extend(self.drop_first());
        }
        dropped
    }

    /// Returns the calls whose answers are past the window.
    pub fn tick(&mut self, now: Instant) -> Vec<Call> {
        let mut dropped = Vec::new();
        while self.kept.first_key_value().is_some_and(|(_, (until, _))| *until <= now) {
            dropped.extend(self.drop_first());
        }
        dropped
    }

    fn drop_first(&mut self) -> Option<Call> {
        let (call, (_, size)) = self.kept.pop_first()?;
        self.total -= size.0;
        Some(call)
    }
}
