//! How far the facts of a node are behind the platform's store.

use {super::position::Position, crate::time::Instant, std::time::Duration};

/// Tracks since when a node has lacked changes that the store is known to have.
#[derive(Debug, Default)]
pub struct Lag {
    latest: Position,
    behind_since: Option<Instant>,
}

impl Lag {
    /// Records that the store has reached a position, while the facts are complete up to `facts`.
    pub fn record_store(&mut self, now: Instant, store: Position, facts: Position) {
        self.latest = self.latest.max(store);
        if facts < self.latest {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that the facts are complete up to a position.
    pub fn record_facts(&mut self, facts: Position) {
        if facts >= self.latest {
            self.behind_since = None;
        }
    }

    /// Returns the latest position that the store is known to have reached.
    pub fn latest(&self) -> Position {
        self.latest
    }

    /// Returns how long the facts have been behind, or `None` if they are complete as far as known.
    pub fn duration(&self, now: Instant) -> Option<Duration> {
        self.behind_since.map(|since| now - since)
    }
}
