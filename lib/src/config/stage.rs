//! Pages from peers, put together until they make a whole change.

use {
    super::{
        history::{Change, MAX_VALUES},
        value::{Entry, MAX_VALUE_BYTES, Name},
        wire::{Cursor, Page, StateKind, Text, ValueChunk},
    },
    crate::unit::Revision,
    std::collections::BTreeMap,
};

/// The most bytes of values that a node puts together.
const MAX_STAGED_BYTES: usize = 64 << 20;

/// How far a peer's revision may be ahead of what the node knows, which bounds the harm of a peer
/// that makes revisions up.
pub(super) const MAX_AHEAD: u64 = 1_000_000;

/// A page that no correct peer sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PageError {
    /// The values are not in order, or are of revisions outside the page.
    #[error("the values of the page are not in order")]
    OutOfOrder,
    /// The parts of a value do not fit together.
    #[error("the parts of a value do not fit together")]
    Mismatch,
    /// The values are too large or too many.
    #[error("the values are too large or too many")]
    TooLarge,
    /// The revision is so far ahead that the platform can't have got there.
    #[error("the revision is more than {MAX_AHEAD} ahead")]
    Ahead,
    /// The sender knows less than the sender of the page before.
    #[error("the sender knows less than the sender of the page before")]
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

/// A change that is not whole yet.
#[derive(Debug)]
pub(super) struct Stage {
    pub of: StateKind,
    pub base: Revision,
    pub from: Cursor,
    known: Revision,
    /// The highest revision of a page. A sender that knows less can't go on from there, because a
    /// value that changed in between is in neither part.
    pub revision: Revision,
    is_full: bool,
    entries: BTreeMap<Name, Entry>,
    partial: Option<Partial>,
    bytes: usize,
}

impl Stage {
    /// Starts the difference from `known` to a peer's latest values.
    pub fn difference(known: Revision) -> Self {
        let from = Cursor { revision: Revision(known.0.saturating_add(1)), ..Cursor::default() };
        Self::new(StateKind::Latest, known, known, from, false)
    }

    /// Starts a peer's values in force, as a whole.
    pub fn accepted(known: Revision) -> Self {
        Self::new(StateKind::Accepted, known, Revision(0), Cursor::default(), true)
    }

    fn new(of: StateKind, known: Revision, base: Revision, from: Cursor, is_full: bool) -> Self {
        let entries = BTreeMap::new();
        Self {
            of,
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

    /// Takes a page in and returns the change when it is whole.
    pub fn add_page(&mut self, page: Page) -> Result<Option<Change>, PageError> {
        let ahead = page.revision.0.saturating_sub(self.known.0);
        if self.known > Revision(0) && ahead > MAX_AHEAD {
            return Err(PageError::Ahead);
        }
        if page.reset {
            *self = Self::new(self.of, self.known, page.base, Cursor::default(), true);
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
        // No line of a table can have such a name, so leaving it out loses nothing.
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

    /// Adds a part of a text and returns the text when it is whole.
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
