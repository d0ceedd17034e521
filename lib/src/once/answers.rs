//! Index of the complete answers that a node stores for replay. The driver stores their bytes.

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

    /// Adds an answer. Returns the calls whose answers are evicted to stay within the limits, which
    /// can include `call` itself.
    ///
    /// The oldest answers are evicted first. Their keys stay in use, so a resent request is refused
    /// and does not run again.
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
            dropped.extend(self.drop_oldest());
        }
        dropped
    }

    /// Removes expired answers and returns their calls.
    pub fn tick(&mut self, now: Instant) -> Vec<Call> {
        let mut dropped = Vec::new();
        while self.kept.first_key_value().is_some_and(|(_, (expires_at, _))| *expires_at <= now) {
            dropped.extend(self.drop_oldest());
        }
        dropped
    }

    fn drop_oldest(&mut self) -> Option<Call> {
        let (call, (_, size)) = self.kept.pop_first()?;
        self.total -= size.0;
        Some(call)
    }
}
