//! Assembles pages from peers into one complete change.

use {
    super::{
        history::{Change, MAX_VALUES},
        value::{Entry, MAX_VALUE_BYTES, Name},
        wire::{Cursor, Page, StateKind, Text, ValueChunk},
    },
    crate::unit::Revision,
    std::collections::BTreeMap,
};

/// The most bytes of names and values held in a stage.
const MAX_STAGED_BYTES: usize = 64 << 20;

/// How far a peer's revision may be ahead of the known one. This bounds the harm done by a peer
/// that invents revisions.
pub(super) const MAX_AHEAD: u64 = 1_000_000;

/// The reason why a page is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PageError {
    /// The values are out of order, or their revisions are outside the page.
    #[error("the values of the page are out of order or outside its revisions")]
    OutOfOrder,
    /// The chunks of a value do not match.
    #[error("the chunks of a value do not match")]
    Mismatch,
    /// A value is too large, or there are too many values.
    #[error("a value is too large, or there are too many values")]
    TooLarge,
    /// The revision is too far ahead to be genuine.
    #[error("the revision is more than {MAX_AHEAD} ahead of the known one")]
    Ahead,
    /// The sender has an older state than the sender of the previous page.
    #[error("the sender has an older state than the sender of the previous page")]
    Behind,
    /// The last page ends inside a value.
    #[error("the last page ends inside a value")]
    Truncated,
}

#[derive(Debug)]
struct Partial {
    name: Name,
    revision: Revision,
    total: u32,
    text: String,
}

/// A change of which some pages are still missing.
#[derive(Debug)]
pub(super) struct Stage {
    pub state_kind: StateKind,
    pub base: Revision,
    pub from: Cursor,
    known: Revision,
    /// The highest revision of a page so far. A sender with an older state can't continue the
    /// transfer, because a value that changed in between would be in neither part.
    pub revision: Revision,
    is_full: bool,
    entries: BTreeMap<Name, Entry>,
    partial: Option<Partial>,
    bytes: usize,
}

impl Stage {
    /// Starts a transfer of the difference from `known` to a peer's latest values.
    pub fn difference(known: Revision) -> Self {
        let from = Cursor { revision: Revision(known.0.saturating_add(1)), ..Cursor::default() };
        Self::new(StateKind::Latest, known, known, from, false)
    }

    /// Starts a transfer of all values that a peer has in force.
    pub fn accepted(known: Revision) -> Self {
        Self::new(StateKind::Accepted, known, Revision(0), Cursor::default(), true)
    }

    fn new(
        state_kind: StateKind,
        known: Revision,
        base: Revision,
        from: Cursor,
        is_full: bool,
    ) -> Self {
        let entries = BTreeMap::new();
        Self {
            state_kind,
            base,
            from,
            known,
            revision: Revision(0),
            is_full,
            entries,
            partial: None,
            bytes: 0,
        }
    }

    /// Adds a page and returns the change once it is complete.
    pub fn add_page(&mut self, page: Page) -> Result<Option<Change>, PageError> {
        let ahead = page.revision.0.saturating_sub(self.known.0);
        if self.known > Revision(0) && ahead > MAX_AHEAD {
            return Err(PageError::Ahead);
        }
        if page.reset {
            *self = Self::new(self.state_kind, self.known, page.base, Cursor::default(), true);
        }
        if page.revision < self.revision {
            return Err(PageError::Behind);
        }
        self.revision = page.revision;
        for chunk in page.chunks {
            if chunk.revision > page.revision {
                return Err(PageError::OutOfOrder);
            }
            self.add_chunk(chunk)?;
        }
        if !page.last {
            return Ok(None);
        }
        if self.partial.is_some() {
            return Err(PageError::Truncated);
        }
        let entries = std::mem::take(&mut self.entries);
        Ok(Some(Change { revision: page.revision, is_full: self.is_full, entries }))
    }

    fn add_chunk(&mut self, chunk: ValueChunk) -> Result<(), PageError> {
        let is_out_of_order =
            (chunk.revision, chunk.name.as_str()) < (self.from.revision, self.from.name.as_str());
        if is_out_of_order {
            return Err(PageError::OutOfOrder);
        }
        let (revision, next) = (chunk.revision, format!("{}!", chunk.name));
        self.from = Cursor { revision, name: next, offset: 0 };
        // No table entry can have an invalid name, so skipping the value loses nothing.
        let Ok(name) = chunk.name.parse::<Name>() else { return Ok(()) };
        let text = match chunk.text {
            None => None,
            Some(text) => match self.append_text(&name, revision, &text)? {
                None => return Ok(()),
                text => text,
            },
        };
        self.partial = None;
        self.bytes += name.as_str().len() + text.as_ref().map_or(0, String::len);
        let entry = Entry { revision, text: text.map(Into::into) };
        self.entries.insert(name, entry);
        if self.bytes > MAX_STAGED_BYTES || self.entries.len() > MAX_VALUES {
            return Err(PageError::TooLarge);
        }
        Ok(())
    }

    /// Appends a chunk of a text and returns the text once it is complete.
    fn append_text(
        &mut self,
        name: &Name,
        revision: Revision,
        text: &Text,
    ) -> Result<Option<String>, PageError> {
        if text.total as usize > MAX_VALUE_BYTES {
            return Err(PageError::TooLarge);
        }
        let is_next = |p: &Partial| {
            p.name == *name
                && p.revision == revision
                && p.total == text.total
                && p.text.len() == text.offset as usize
        };
        let mut assembled = match self.partial.take() {
            Some(partial) if text.offset > 0 && is_next(&partial) => partial.text,
            _ if text.offset == 0 => String::new(),
            _ => return Err(PageError::Mismatch),
        };
        assembled.push_str(&text.part);
        let total = text.total as usize;
        if assembled.len() > total || (text.part.is_empty() && total > 0) {
            return Err(PageError::Mismatch);
        }
        if assembled.len() == total {
            return Ok(Some(assembled));
        }
        let offset = u32::try_from(assembled.len()).unwrap_or(u32::MAX);
        self.from = Cursor { revision, name: name.to_string(), offset };
        let name = name.clone();
        self.partial = Some(Partial { name, revision, total: text.total, text: assembled });
        Ok(None)
    }
}
