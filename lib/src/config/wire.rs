//! Messages of the configuration protocol.

use {
    crate::{key, unit::Revision},
    serde::{Deserialize, Serialize},
};

/// The most withdrawals that a node accepts from one message.
pub const MAX_WITHDRAWALS: usize = 64;

/// A message between two nodes. It is encoded by position, so the order of variants and fields is
/// part of the format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Requests a [`Message::Answer`] with the same nonce.
    Query {
        /// The nonce of the query.
        nonce: u32,
        /// The revision up to which the sender knows all values.
        complete: Revision,
    },
    /// Answers [`Message::Query`] with the sender's revisions.
    Answer {
        /// The nonce of the query.
        nonce: u32,
        /// The revision up to which the sender knows all values.
        complete: Revision,
        /// The revision that the sender has in force.
        accepted: Revision,
        /// How long ago the platform confirmed that there was nothing newer, in milliseconds.
        age_ms: Option<u64>,
        /// Withdrawn keys that the sender's values do not reflect yet.
        withdrawals: Vec<Withdrawal>,
    },
    /// Announces a new revision ahead of the next periodic query.
    Announce {
        /// The revision up to which the sender knows all values.
        complete: Revision,
    },
    /// Announces withdrawn keys ahead of the values.
    Withdraw {
        /// The withdrawn keys.
        withdrawals: Vec<Withdrawal>,
    },
    /// Requests a page of values.
    Fetch {
        /// The nonce of the request.
        nonce: u32,
        /// Which state to read.
        state_kind: StateKind,
        /// The revision after which the reader needs deletions.
        base: Revision,
        /// Where the page starts.
        from: Cursor,
    },
    /// Answers [`Message::Fetch`].
    Page {
        /// The nonce of the request.
        nonce: u32,
        /// The page.
        page: Page,
    },
    /// Refuses a fetch because the sender has used up its serving budget.
    Busy {
        /// The nonce of the request.
        nonce: u32,
    },
}

/// Selects one of a node's two states. They differ while the latest values do not validate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateKind {
    /// All values that the node knows.
    Latest,
    /// The values of the set in force.
    Accepted,
}

/// A key withdrawn by the operators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// The digest of the key.
    pub digest: key::Digest,
    /// The revision that withdrew it.
    pub revision: Revision,
}

/// A position in the order of values by revision and name.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cursor {
    /// The revision.
    pub revision: Revision,
    /// The name of the value at that revision.
    pub name: String,
    /// The byte offset in that value's text.
    pub offset: u32,
}

/// A page of values ordered by revision and name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The revision up to which the sender knows all values.
    pub revision: Revision,
    /// The revision after which deletions are included.
    pub base: Revision,
    /// Whether the reader must restart from an empty state, because the sender no longer has the
    /// difference.
    pub reset: bool,
    /// The values and chunks of values.
    pub chunks: Vec<ValueChunk>,
    /// Whether this is the last page.
    pub last: bool,
}

/// A value, or a chunk of a large one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ValueChunk {
    /// The name.
    pub name: String,
    /// The revision that last changed the value.
    pub revision: Revision,
    /// The text, or none where the value was deleted.
    pub text: Option<Text>,
}

/// A chunk of a value's text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Text {
    /// The length of the complete text, in bytes.
    pub total: u32,
    /// The offset of this chunk, in bytes.
    pub offset: u32,
    /// The text of this chunk.
    pub part: String,
}
