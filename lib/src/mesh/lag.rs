//! How far the facts of a node are behind the platform's store.

use {super::position::Position, crate::time::Instant, std::time::Duration};

/// How long a watch may take to report a change that a read has already seen. It exceeds the response
/// time of a store that is slow.
const WATCH_REPORT_TIME: Duration = Duration::from_millis(250);

/// Tracks since when a node has lacked changes that the store is known to have.
#[derive(Debug, Default)]
pub struct Lag {
    latest: Position,
    behind_since: Option<Instant>,
}

impl Lag {
    /// Records that the store has reached a position, while the facts are complete up to `facts`.
    pub fn record_store(&mut self, now: Instant, store: Position, facts: Position) {
        self.latest = store;
        if facts < store {
            self.behind_since.get_or_insert(now);
        } else {
            self.behind_since = None;
        }
    }

    /// Records that the facts are complete up to a position.
    pub fn record_facts(&mut self, facts: Position) {
        if facts >= self.latest {
            self.behind_since = None;
        }
    }

    /// Returns the position at which the last read found the store.
    pub fn latest(&self) -> Position {
        self.latest
    }

    /// Returns how long the facts have been behind, or `None` if they are complete as far as known.
    pub fn duration(&self, now: Instant) -> Option<Duration> {
        self.behind_since.map(|since| now - since)
    }

    /// Returns when a watch that has not reported the missing changes is to be given up. A watch may
    /// wait for an answer that was lost, or miss changes without an error.
    pub fn give_up_watch_at(&self) -> Option<Instant> {
        self.behind_since.map(|since| since + WATCH_REPORT_TIME)
    }
}
