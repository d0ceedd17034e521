//! Which keys are withdrawn ahead of the tables, and how old the news of keys is.

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

/// The most withdrawals that are held on a peer's word.
const MAX_UNCONFIRMED: usize = 4_096;
/// The table of keys.
const KEY_PREFIX: &str = "keys/";

/// Why no key is admitted. See docs/design/keys.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// No tables are in force yet.
    #[error("no tables are in force")]
    NoTables,
    /// The node started and does not know yet what its peers know.
    #[error("the node has not yet caught up with its peers")]
    Starting,
    /// The platform was not heard of for too long, neither directly nor through peers.
    #[error("the platform was last heard of {age_ms} ms ago")]
    Stale {
        /// The time since then, in milliseconds.
        age_ms: u64,
    },
}

/// A withdrawal on a peer's word.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    revision: Revision,
    heard_at: Instant,
    /// Whether no value backed it in time. It is kept so that it is not believed again.
    is_expired: bool,
}

/// Withdrawals that are not in the set in force.
#[derive(Debug, Default)]
pub(super) struct Overlay {
    /// Keys that the latest values no longer grant as the set in force does.
    superseded: HashSet<Digest>,
    /// Keys that peers said are withdrawn by a revision that is not known yet.
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

    /// Compares the values in force with the latest ones. A key whose line is gone or changed is
    /// withdrawn; a new line grants nothing before it is accepted.
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

    /// Takes a peer's word and returns the withdrawals that are news.
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
                Unconfirmed { revision: withdrawal.revision, heard_at: now, is_expired: false };
            self.unconfirmed.insert(withdrawal.digest, entry);
            added.push(*withdrawal);
        }
        added
    }

    /// Stops to believe the words of peers that no value backed in time.
    pub fn expire(&mut self, now: Instant, limit: Duration) {
        self.unconfirmed.retain(|_, entry| now.since(entry.heard_at) < 2 * limit);
        for entry in self.unconfirmed.values_mut() {
            entry.is_expired = now.since(entry.heard_at) >= limit;
        }
    }

    /// Returns withdrawals to tell a peer. Only fresh ones are told, so that none lives for ever by
    /// going round.
    pub fn unconfirmed(&self, now: Instant, limit: Duration) -> Vec<Withdrawal> {
        let is_fresh = |(_, entry): &(&Digest, &Unconfirmed)| now.since(entry.heard_at) < limit / 4;
        let withdrawal = |(digest, entry): (&Digest, &Unconfirmed)| Withdrawal {
            digest: *digest,
            revision: entry.revision,
        };
        self.unconfirmed.iter().filter(is_fresh).take(MAX_WITHDRAWALS).map(withdrawal).collect()
    }
}

/// Returns the digest that a value of the table of keys is named by.
pub(super) fn digest_of(name: &str) -> Option<Digest> {
    name.strip_prefix(KEY_PREFIX)?.parse().ok()
}
