//! Messages between the rate limiters of the nodes.
//!
//! Every message may arrive late, twice, out of order or from an earlier incarnation of the sender.
//! A receiver drops a message that does not match its own state.

use {
    super::split::{Digest, Share},
    crate::{
        id,
        unit::{Revision, Tokens},
    },
    serde::{Deserialize, Serialize},
};

/// Sequence number of the loans made by one incarnation of a lender, or of the requests sent by one
/// incarnation of a borrower.
pub type Sequence = u64;

/// A borrower's request for a part of a minter's share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoanRequest {
    /// The account that the message concerns.
    pub account: id::Account,
    /// Identifies the request; the answer repeats it. Zero expects no answer and only confirms the
    /// held version.
    pub nonce: Sequence,
    /// Requests per second that the borrower would like to grant from this minter's share.
    pub demand: Tokens,
    /// The incarnation of the lender that made `held_version`.
    pub lender: id::Incarnation,
    /// The latest version of the loan that the borrower holds, or zero.
    pub held_version: Sequence,
    /// The share that the borrower keeps of that version, if less than was lent.
    pub kept_share: Option<Share>,
    /// Tokens that are returned to the lender.
    pub returned: Tokens,
}

/// One version of a loan. It replaces all earlier versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loan {
    /// The account that the message concerns.
    pub account: id::Account,
    /// The incarnation of the borrower that the loan is for.
    pub borrower: id::Incarnation,
    /// The version, which only increases within one incarnation of the lender.
    pub sequence: Sequence,
    /// The nonce of the request that this answers, or zero. Only an answer extends the term.
    pub nonce: Sequence,
    /// The lent share.
    pub share: Share,
    /// Tokens that are transferred with this version.
    pub tokens: Tokens,
    /// The term in milliseconds, counted from when the borrower sent its request.
    pub term_ms: u64,
}

/// A request for a single token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRequest {
    /// The account that the message concerns.
    pub account: id::Account,
    /// Identifies the request; the reply repeats it.
    pub nonce: Sequence,
    /// Whether the reply may be delayed until borrowers have returned tokens.
    pub may_wait: bool,
}

/// The reply to [`TokenRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenReply {
    /// The account that the message concerns.
    pub account: id::Account,
    /// The incarnation of the requester that the message is for.
    pub requester: id::Incarnation,
    /// The nonce of the request that this answers.
    pub nonce: Sequence,
    /// Whether a token was granted.
    pub is_granted: bool,
    /// If no token was granted, the time until the next one will have been minted, in milliseconds.
    pub wait_ms: u32,
}

/// Confirms that the requester has used or discarded a granted token, which is therefore no longer
/// in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenAck {
    /// The account that the message concerns.
    pub account: id::Account,
    /// The incarnation of the node that granted the token.
    pub grantor: id::Incarnation,
    /// The nonce of the request that was answered.
    pub nonce: Sequence,
}

/// A lender's request that a borrower return the tokens that it does not need.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recall {
    /// The account that the message concerns.
    pub account: id::Account,
}

/// A minter's query whether another VM applies a split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SplitQuery {
    /// The account that the message concerns.
    pub account: id::Account,
    /// Identifies the query; the answer repeats it.
    pub nonce: Sequence,
}

/// The answer to [`SplitQuery`]: the split that the sender applies from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SplitStatus {
    /// The account that the message concerns.
    pub account: id::Account,
    /// The incarnation of the requester that the message is for.
    pub requester: id::Incarnation,
    /// The nonce of the query that this answers.
    pub nonce: Sequence,
    /// The revision of the sender's tables.
    pub revision: Revision,
    /// The split whose share the sender does not exceed.
    pub digest: Digest,
    /// How long the sender has applied it, in milliseconds.
    pub age_ms: u64,
    /// What the sender knows of other nodes that may still apply an earlier split.
    pub knowledge: Knowledge,
}

/// What a node knows of the splits that other nodes may still apply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Knowledge {
    /// Nothing: the node has started recently or has discarded part of its history of splits.
    Fresh,
    /// Some nodes may apply an earlier split.
    Changing,
    /// All nodes apply the current split or a later one.
    Settled,
}

/// A message between two rate limiters. The encoding depends on the order of the variants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Requests a loan from a minter, or reports on a held one.
    LoanRequest(LoanRequest),
    /// Grants or changes a loan.
    Loan(Loan),
    /// Requests one token from a minter.
    TokenRequest(TokenRequest),
    /// Answers a token request.
    TokenReply(TokenReply),
    /// Confirms that a granted token is no longer in flight.
    TokenAck(TokenAck),
    /// Recalls unneeded tokens from a borrower.
    Recall(Recall),
    /// Queries the split that a VM applies.
    SplitQuery(SplitQuery),
    /// Answers a split query.
    SplitStatus(SplitStatus),
}
