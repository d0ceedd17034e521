//! Applies changes of the values, validates them and puts the resulting set in force.

use {
    super::{
        Accepted, Change, Store,
        gossip::Confirmation,
        history::{self, History},
        key,
        validator::{Fault, Validator},
        value::{Difference, Entry, MAX_VALUE_BYTES, Name, ReadError},
        wire::Withdrawal,
    },
    crate::{id, time::Instant, unit::Revision},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

impl<V: Validator> Store<V> {
    /// Handles the platform's answer to the read in progress.
    pub(super) fn handle_read(&mut self, now: Instant, result: Result<Difference, ReadError>) {
        let Some(read) = self.watch.read else { return };
        let difference = match result {
            Ok(difference) => difference,
            Err(error) => return self.record_read_failure(now, error),
        };
        let Some(change) = parse_difference(difference, read.after) else {
            return self.record_read_failure(now, ReadError::Failed);
        };
        self.record_read(now);
        if change.revision < self.latest.revision() {
            // A stale answer neither changes the values nor confirms that they are current.
            self.watch.stale_reads += 1;
            return;
        }
        self.apply_latest(now, change, None);
        self.update_confirmation(now, Confirmation { at: read.started, age: Duration::ZERO });
    }

    /// Applies a change to the latest values, and puts them in force if they validate. Returns
    /// whether the change was new.
    pub(super) fn apply_latest(
        &mut self,
        now: Instant,
        change: history::Change,
        from: Option<&id::Vm>,
    ) -> bool {
        let before = self.latest.revision();
        let withdrawals = withdrawals(&change, before);
        if !self.latest.apply(change) {
            return false;
        }
        self.stage = None;
        self.fetch = None;
        let added = self.overlay.add_unconfirmed(now, before, &withdrawals);
        self.send_withdrawals(&added, from);
        self.validate();
        self.announce_revision(from);
        true
    }

    fn validate(&mut self) {
        let revision = self.latest.revision();
        let values = self.latest.texts().map(|(name, text)| (name.as_str(), text.as_ref()));
        match self.validator.validate(revision, values) {
            Ok(set) => {
                self.faults = Vec::new();
                let history = self.latest.clone();
                self.put_in_force(Accepted { history, set: Arc::new(set) });
            }
            Err(errors) => {
                self.faults = errors.iter().map(Fault::from).collect();
                self.record_change(Change::Refused { revision, faults: self.faults.len() });
            }
        }
        self.update_overlay();
    }

    /// Puts a peer's accepted values in force if they are newer than this node's. Returns whether
    /// they came into force.
    pub(super) fn apply_accepted(&mut self, change: history::Change) -> bool {
        let revision = change.revision;
        if revision <= self.accepted_revision() || revision > self.latest.revision() {
            return false;
        }
        let mut history = History::default();
        if !history.apply(change) {
            return false;
        }
        let values = history.texts().map(|(name, text)| (name.as_str(), text.as_ref()));
        let Ok(set) = self.validator.validate(revision, values) else { return false };
        self.put_in_force(Accepted { history, set: Arc::new(set) });
        self.update_overlay();
        true
    }

    fn put_in_force(&mut self, accepted: Accepted) {
        let revision = accepted.set.revision();
        if revision <= self.accepted_revision() {
            return;
        }
        self.accepted = Some(accepted);
        self.record_change(Change::Accepted { revision });
    }

    fn update_overlay(&mut self) {
        let none = History::default();
        let accepted = self.accepted.as_ref().map_or(&none, |accepted| &accepted.history);
        self.overlay.compare(accepted, &self.latest);
    }
}

/// Checks the platform's answer and converts it to a change, or returns none if it is malformed.
fn parse_difference(difference: Difference, after: Revision) -> Option<history::Change> {
    // A read after revision 0 returns every existing value and no deletions, so it is a full state.
    let is_full = difference.reset || after == Revision(0);
    let mut entries = BTreeMap::new();
    for value in difference.values {
        let is_large = value.text.as_ref().is_some_and(|text| text.len() > MAX_VALUE_BYTES);
        if is_large || value.revision > difference.revision {
            return None;
        }
        // Unprintable names are skipped, since they can't be shown to an operator either.
        let Ok(name) = value.name.parse::<Name>() else { continue };
        entries.insert(name, Entry { revision: value.revision, text: value.text.map(Into::into) });
    }
    Some(history::Change { revision: difference.revision, is_full, entries })
}

/// Returns the keys that a change deletes after the known revision.
fn withdrawals(change: &history::Change, known: Revision) -> Vec<Withdrawal> {
    let is_deletion = |(_, entry): &(&Name, &Entry)| entry.text.is_none() && entry.revision > known;
    let withdrawal = |(name, entry): (&Name, &Entry)| {
        let digest = key::digest_of(name.as_str())?;
        Some(Withdrawal { digest, revision: entry.revision })
    };
    change.entries.iter().filter(is_deletion).filter_map(withdrawal).collect()
}
