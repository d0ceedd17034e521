//! The values at one revision, indexed so that peers can be sent the difference from an earlier
//! one.

use {
    super::{
        value::{Entry, MAX_VALUE_BYTES, Name},
        wire::{Cursor, Page, Text, ValueChunk},
    },
    crate::unit::Revision,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The most tombstones kept. A peer that is further behind fetches the full state.
const MAX_TOMBSTONES: usize = 4_096;
/// The most values that a node stores.
pub(super) const MAX_VALUES: usize = 65_536;

/// The values that changed between two revisions, or all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Change {
    pub revision: Revision,
    pub is_full: bool,
    pub entries: BTreeMap<Name, Entry>,
}

/// The state of all values at one revision.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    revision: Revision,
    /// The history is compacted up to here: tombstones of all later deletions are kept.
    compacted_to: Revision,
    entries: BTreeMap<Name, Entry>,
    by_revision: BTreeSet<(Revision, Name)>,
    tombstones: BTreeSet<(Revision, Name)>,
}

impl History {
    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn len(&self) -> usize {
        self.entries.len() - self.tombstones.len()
    }

    pub fn text(&self, name: &str) -> Option<&Arc<str>> {
        self.entries.get(name)?.text.as_ref()
    }

    pub fn revision_of(&self, name: &str) -> Option<Revision> {
        self.entries.get(name).map(|entry| entry.revision)
    }

    /// Returns the values that are not deleted, ordered by name.
    pub fn texts(&self) -> impl Iterator<Item = (&Name, &Arc<str>)> {
        self.entries.iter().filter_map(|(name, entry)| Some((name, entry.text.as_ref()?)))
    }

    /// Applies a change whose base is this revision or an earlier one. Returns whether it was new.
    pub fn apply(&mut self, change: Change) -> bool {
        let size = self.entries.len() + change.entries.len();
        if change.revision <= self.revision || (size > MAX_VALUES && !change.is_full) {
            return false;
        }
        if change.is_full {
            let is_kept = |name: &Name| change.entries.contains_key(name);
            let removed: Vec<Name> = self.entries.keys().filter(|n| !is_kept(n)).cloned().collect();
            for name in removed {
                self.remove(&name);
            }
            self.compacted_to = change.revision;
        }
        for (name, entry) in change.entries {
            self.insert(name, entry);
        }
        self.revision = change.revision;
        self.prune();
        true
    }

    fn insert(&mut self, name: Name, entry: Entry) {
        let known = self.entries.get(&name).map(|entry| entry.revision);
        if known.is_some_and(|revision| revision >= entry.revision) {
            return;
        }
        self.remove(&name);
        let position = (entry.revision, name.clone());
        if entry.text.is_none() {
            self.tombstones.insert(position.clone());
        }
        self.by_revision.insert(position);
        self.entries.insert(name, entry);
    }

    fn remove(&mut self, name: &Name) {
        if let Some(entry) = self.entries.remove(name) {
            let position = (entry.revision, name.clone());
            self.tombstones.remove(&position);
            self.by_revision.remove(&position);
        }
    }

    fn prune(&mut self) {
        while let Some((revision, name)) = self.tombstones.first().cloned() {
            if revision > self.compacted_to && self.tombstones.len() <= MAX_TOMBSTONES {
                break;
            }
            self.compacted_to = self.compacted_to.max(revision);
            self.remove(&name);
        }
    }

    /// Makes a page of about `max_bytes` bytes for a reader that knows all deletions up to `base`.
    pub fn page(&self, base: Revision, from: &Cursor, max_bytes: usize) -> Page {
        let reset = base < self.compacted_to;
        let base = if reset { self.revision } else { base };
        let from = if reset { Cursor::default() } else { from.clone() };
        let mut page = Page { revision: self.revision, base, reset, chunks: vec![], last: true };
        let start = (from.revision, Name::bound(&from.name));
        let mut remaining_bytes = max_bytes;
        for (revision, name) in self.by_revision.range(start..) {
            let Some(entry) = self.entries.get(name) else { continue };
            if entry.text.is_none() && *revision <= base {
                continue;
            }
            if remaining_bytes == 0 {
                page.last = false;
                break;
            }
            let is_first = *revision == from.revision && name.as_str() == from.name;
            let offset = if is_first { from.offset } else { 0 };
            let chunk = chunk_at(name, entry, offset, remaining_bytes);
            let is_full = chunk
                .text
                .as_ref()
                .is_none_or(|text| text.offset as usize + text.part.len() == text.total as usize);
            remaining_bytes = remaining_bytes.saturating_sub(encoded_size(&chunk));
            page.chunks.push(chunk);
            if !is_full {
                page.last = false;
                break;
            }
        }
        page
    }
}

fn chunk_at(name: &Name, entry: &Entry, offset: u32, remaining_bytes: usize) -> ValueChunk {
    let text = entry.text.as_ref().map(|text| {
        let start = text.floor_char_boundary(offset as usize);
        let end = text.ceil_char_boundary(start.saturating_add(remaining_bytes)).min(text.len());
        Text {
            total: u32::try_from(text.len().min(MAX_VALUE_BYTES)).unwrap_or(u32::MAX),
            offset: u32::try_from(start).unwrap_or(u32::MAX),
            part: text[start..end].to_owned(),
        }
    });
    ValueChunk { name: name.to_string(), revision: entry.revision, text }
}

pub(super) fn encoded_size(chunk: &ValueChunk) -> usize {
    const OVERHEAD: usize = 16;
    let text = chunk.text.as_ref().map_or(0, |text| text.part.len());
    OVERHEAD + chunk.name.len() + text
}
