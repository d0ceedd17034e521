//! Tracks keys that are withdrawn before the set in force reflects it.

use {
    super::{
        history::History,
        stage::MAX_AHEAD,
        wire::{MAX_WITHDRAWALS, Withdrawal},
    },
    crate::{key::Digest, time::Instant, unit::Revision},
    serde::Serialize,
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// The most withdrawals held that only a peer has reported.
const MAX_UNCONFIRMED: usize = 4_096;
/// The prefix of names in the table of keys.
const KEY_PREFIX: &str = "keys/";

/// The reason why no key is admitted. See docs/design/keys.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// No tables are in force yet.
    #[error("no tables are in force")]
    NoTables,
    /// The node has started and has not yet caught up with its peers.
    #[error("the node has not yet caught up with its peers")]
    Starting,
    /// The platform has not confirmed the values for too long, neither directly nor through peers.
    #[error("the platform last confirmed the values {age_ms} ms ago")]
    Stale {
        /// The time since the last confirmation, in milliseconds.
        age_ms: u64,
    },
}

/// A withdrawal that a peer reported and no value has confirmed yet.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    revision: Revision,
    reported_at: Instant,
    /// Whether no value confirmed it in time. The entry is kept for a while so that the same report
    /// is not believed again.
    is_expired: bool,
}

/// Withdrawals that the set in force does not reflect yet.
#[derive(Debug, Default)]
pub(super) struct Overlay {
    /// Keys whose entry in the latest values is missing or differs from the one in force.
    superseded: HashSet<Digest>,
    /// Keys that peers reported as withdrawn by a revision that is not known yet.
    unconfirmed: HashMap<Digest, Unconfirmed>,
}

impl Overlay {
    pub fn is_withdrawn(&self, digest: &Digest) -> bool {
        let is_believed = |entry: &Unconfirmed| !entry.is_expired;
        self.superseded.contains(digest) || self.unconfirmed.get(digest).is_some_and(is_believed)
    }

    pub fn len(&self) -> usize {
        self.superseded.len() + self.unconfirmed.values().filter(|entry| !entry.is_expired).count()
    }

    /// Compares the values in force with the latest ones. A key whose entry is deleted or changed
    /// counts as withdrawn; a new entry grants nothing before it is accepted.
    pub fn compare(&mut self, accepted: &History, latest: &History) {
        self.superseded.clear();
        self.unconfirmed.retain(|_, entry| entry.revision > latest.revision());
        if accepted.revision() >= latest.revision() {
            return;
        }
        for (name, text) in accepted.texts() {
            let Some(digest) = digest_of(name.as_str()) else { continue };
            if latest.text(name.as_str()) != Some(text) {
                self.superseded.insert(digest);
            }
        }
    }

    /// Records withdrawals reported by a peer and returns the new ones.
    pub fn add_unconfirmed(
        &mut self,
        now: Instant,
        known: Revision,
        withdrawals: &[Withdrawal],
    ) -> Vec<Withdrawal> {
        let mut added = Vec::new();
        for withdrawal in withdrawals.iter().take(MAX_WITHDRAWALS) {
            let ahead = withdrawal.revision.0.saturating_sub(known.0);
            let is_possible = known == Revision(0) || (1..=MAX_AHEAD).contains(&ahead);
            let known = self.unconfirmed.get(&withdrawal.digest);
            let is_duplicate = known.is_some_and(|entry| entry.revision >= withdrawal.revision);
            if !is_possible || is_duplicate || self.unconfirmed.len() >= MAX_UNCONFIRMED {
                continue;
            }
            let entry =
                Unconfirmed { revision: withdrawal.revision, reported_at: now, is_expired: false };
            self.unconfirmed.insert(withdrawal.digest, entry);
            added.push(*withdrawal);
        }
        added
    }

    /// Expires reported withdrawals that no value confirmed in time, and later removes them.
    pub fn expire(&mut self, now: Instant, limit: Duration) {
        self.unconfirmed.retain(|_, entry| now.since(entry.reported_at) < 2 * limit);
        for entry in self.unconfirmed.values_mut() {
            entry.is_expired = now.since(entry.reported_at) >= limit;
        }
    }

    /// Returns the reported withdrawals to pass on. Only recent ones are passed on, so that none
    /// circulates for ever.
    pub fn unconfirmed(&self, now: Instant, limit: Duration) -> Vec<Withdrawal> {
        let is_fresh =
            |(_, entry): &(&Digest, &Unconfirmed)| now.since(entry.reported_at) < limit / 4;
        let withdrawal = |(digest, entry): (&Digest, &Unconfirmed)| Withdrawal {
            digest: *digest,
            revision: entry.revision,
        };
        self.unconfirmed.iter().filter(is_fresh).take(MAX_WITHDRAWALS).map(withdrawal).collect()
    }
}

/// Returns the digest in the name of a value of the table of keys.
pub(super) fn digest_of(name: &str) -> Option<Digest> {
    name.strip_prefix(KEY_PREFIX)?.parse().ok()
}
