//! What nodes say to each other about rates.
//!
//! Every message may arrive late, twice, out of order or from an earlier life of the sender. A
//! receiver that cannot match one to its own state drops it.

use {
    super::split::{Digest, Share},
    crate::{
        id,
        unit::{Revision, Tokens},
    },
    serde::{Deserialize, Serialize},
};

/// Numbers the loans that one life of a lender makes, and the requests of one life of a borrower.
pub type Sequence = u64;

/// A borrower's request for a part of a minter's share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// The account.
    pub account: id::Account,
    /// Numbers the request. The answer repeats it.
    pub nonce: Sequence,
    /// Requests a second that the borrower would like to grant from this minter's share.
    pub demand: Tokens,
    /// The lender's life that `seen` belongs to.
    pub lender: id::Incarnation,
    /// The last version of the loan that the borrower holds, or zero.
    pub seen: Sequence,
    /// Tokens handed back by a borrower that gives up the loan. Only with a demand of zero.
    pub returned: Tokens,
}

/// One version of a loan. It replaces the earlier ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loan {
    /// The account.
    pub account: id::Account,
    /// The life of the borrower that the loan is for.
    pub borrower: id::Incarnation,
    /// The version, which only grows in one life of the lender.
    pub sequence: Sequence,
    /// The request that this answers, or zero. Only an answer lengthens the loan.
    pub nonce: Sequence,
    /// The part that is lent.
    pub share: Share,
    /// Tokens that go with this version.
    pub tokens: Tokens,
    /// The time that the loan lasts, in milliseconds, from when the borrower sent its request.
    pub term_ms: u64,
}

/// A request for one token at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// The account.
    pub account: id::Account,
    /// Numbers the request. The answer repeats it.
    pub nonce: Sequence,
}

/// The answer to [`Ask`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// The account.
    pub account: id::Account,
    /// The life of the asker that the answer is for.
    pub asker: id::Incarnation,
    /// The request that this answers.
    pub nonce: Sequence,
    /// Whether the token was given.
    pub is_given: bool,
}

/// A minter's question whether another VM keeps to a split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// The account.
    pub account: id::Account,
    /// Numbers the question. The answer repeats it.
    pub nonce: Sequence,
}

/// The answer to [`Query`]: the split that the sender keeps to from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// The account.
    pub account: id::Account,
    /// The life of the asker that the answer is for.
    pub asker: id::Incarnation,
    /// The question that this answers.
    pub nonce: Sequence,
    /// The revision of the sender's tables.
    pub revision: Revision,
    /// The split that the sender keeps within.
    pub digest: Digest,
    /// What the sender knows of others that may keep to an earlier split.
    pub knowledge: Knowledge,
}

/// What a node knows of the splits that others may still keep to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Knowledge {
    /// Nothing, since the node started lately.
    Fresh,
    /// Some may keep to an earlier split.
    Changing,
    /// All keep within the current split, or within a later one.
    Settled,
}

/// Any message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks a minter for a loan.
    Want(Want),
    /// Grants or changes a loan.
    Loan(Loan),
    /// Asks a minter for one token.
    Ask(Ask),
    /// Answers an ask.
    Reply(Reply),
    /// Asks which split a VM keeps to.
    Query(Query),
    /// Answers a query.
    Standing(Standing),
}
