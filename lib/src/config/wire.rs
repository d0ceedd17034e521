//! Messages of the configuration protocol.

use {
    crate::{key, unit::Revision},
    serde::{Deserialize, Serialize},
};

/// The most withdrawals that a node takes from one message.
pub const MAX_WITHDRAWALS: usize = 64;

/// One message between two nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks for an [`Message::Answer`] with the same number.
    Ask {
        /// The number of the question.
        nonce: u32,
        /// The revision up to which the sender knows all values.
        complete: Revision,
    },
    /// Tells what the sender knows.
    Answer {
        /// The number of the question.
        nonce: u32,
        /// The revision up to which the sender knows all values.
        complete: Revision,
        /// The revision that the sender has in force.
        accepted: Revision,
        /// How long ago the platform confirmed that there was nothing newer, in milliseconds.
        age_ms: Option<u64>,
        /// Withdrawn keys whose values the sender does not know yet.
        withdrawals: Vec<Withdrawal>,
    },
    /// Tells of a new revision before the next question.
    Announce {
        /// The revision up to which the sender knows all values.
        complete: Revision,
    },
    /// Tells of withdrawn keys ahead of the values.
    Withdraw {
        /// The keys.
        withdrawals: Vec<Withdrawal>,
    },
    /// Asks for a page of values.
    Fetch {
        /// The number of the request.
        nonce: u32,
        /// Which state to read.
        of: StateKind,
        /// The revision from which on the reader needs to learn of deletions.
        base: Revision,
        /// Where the page starts.
        from: Cursor,
    },
    /// Answers a fetch.
    Page {
        /// The number of the request.
        nonce: u32,
        /// The page.
        page: Page,
    },
    /// Tells that the sender has served all that it may for now.
    Busy {
        /// The number of the request.
        nonce: u32,
    },
}

/// Which of a node's two states is meant. They differ while the latest values do not validate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateKind {
    /// All values that the node knows.
    Latest,
    /// The values of the set in force.
    Accepted,
}

/// A key that the operators withdrew.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// The digest of the key.
    pub digest: key::Digest,
    /// The revision that withdrew it.
    pub revision: Revision,
}

/// A place in the order of values by revision and name.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cursor {
    /// The revision.
    pub revision: Revision,
    /// The name in that revision.
    pub name: String,
    /// The byte in that value's text.
    pub offset: u32,
}

/// Some values in the order of revision and name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The revision up to which the sender knows all values.
    pub revision: Revision,
    /// The revision from which on deletions are told.
    pub base: Revision,
    /// Whether the reader must start again from nothing, because the difference is not kept.
    pub reset: bool,
    /// The values and parts of values.
    pub chunks: Vec<ValueChunk>,
    /// Whether nothing follows.
    pub last: bool,
}

/// A value, or a part of a large one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ValueChunk {
    /// The name.
    pub name: String,
    /// The revision that last changed the value.
    pub revision: Revision,
    /// The text, or none where the value was deleted.
    pub text: Option<Text>,
}

/// A part of a value's text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Text {
    /// The length of the whole text in bytes.
    pub total: u32,
    /// Where the part starts, in bytes.
    pub offset: u32,
    /// The part.
    pub part: String,
}
