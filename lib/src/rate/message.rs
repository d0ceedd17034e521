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
pub struct LoanRequest {
    /// The account.
    pub account: id::Account,
    /// Numbers the request, which the answer repeats. Zero asks for no answer and only tells what
    /// was seen.
    pub nonce: Sequence,
    /// Requests a second that the borrower would like to grant from this minter's share.
    pub demand: Tokens,
    /// The lender's life that `seen` belongs to.
    pub lender: id::Incarnation,
    /// The last version of the loan that the borrower holds, or zero.
    pub held_version: Sequence,
    /// What the borrower keeps of that version, where that is less than was lent.
    pub kept_share: Option<Share>,
    /// Tokens that go back to the lender.
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
pub struct TokenRequest {
    /// The account.
    pub account: id::Account,
    /// Numbers the request. The answer repeats it.
    pub nonce: Sequence,
    /// Whether the answer may wait until borrowers have handed tokens back.
    pub may_wait: bool,
}

/// The answer to [`TokenRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenReply {
    /// The account.
    pub account: id::Account,
    /// The life of the asker that the answer is for.
    pub requester: id::Incarnation,
    /// The request that this answers.
    pub nonce: Sequence,
    /// Whether the token was given.
    pub is_granted: bool,
    /// Where none was given, when the next one will have been minted, in milliseconds.
    pub wait_ms: u32,
}

/// The asker has used or dropped the token that it was given, so that it is under way no more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenReceipt {
    /// The account.
    pub account: id::Account,
    /// The life of the giver that gave the token.
    pub grantor: id::Incarnation,
    /// The request that was answered.
    pub nonce: Sequence,
}

/// A lender's request that a borrower hands back what it does not need.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recall {
    /// The account.
    pub account: id::Account,
}

/// A minter's question whether another VM keeps to a split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SplitQuery {
    /// The account.
    pub account: id::Account,
    /// Numbers the question. The answer repeats it.
    pub nonce: Sequence,
}

/// The answer to [`SplitQuery`]: the split that the sender keeps to from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SplitStatus {
    /// The account.
    pub account: id::Account,
    /// The life of the asker that the answer is for.
    pub requester: id::Incarnation,
    /// The question that this answers.
    pub nonce: Sequence,
    /// The revision of the sender's tables.
    pub revision: Revision,
    /// The split that the sender keeps within.
    pub digest: Digest,
    /// How long the sender has kept within it, in milliseconds.
    pub age_ms: u64,
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
    LoanRequest(LoanRequest),
    /// Grants or changes a loan.
    Loan(Loan),
    /// Asks a minter for one token.
    TokenRequest(TokenRequest),
    /// Answers an ask.
    TokenReply(TokenReply),
    /// Ends what an ask began.
    TokenReceipt(TokenReceipt),
    /// Asks a borrower for what it does not need.
    Recall(Recall),
    /// Asks which split a VM keeps to.
    SplitQuery(SplitQuery),
    /// Answers a query.
    SplitStatus(SplitStatus),
}
