//! The interface that a platform adapter implements: translation of HTTP headers, and a directory
//! of targets and configuration.

use {
    crate::http::message::Field,
    hyper::{HeaderMap, http::request::Parts},
    monsoon_lib::{
        call::Refusal,
        id,
        mesh::{
            announcement::Announcement,
            fact::{Fact, Target},
            node::{ForwardedRequest, Head},
            position::{Era, Position},
        },
    },
    std::{future::Future, time::Duration},
};

/// How a target's response is to be interpreted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseVerdict {
    /// The target executed the request.
    Executed {
        /// Whether the target reports a failure.
        has_failed: bool,
    },
    /// The target reports that it did not execute the request.
    NotExecuted(Refusal),
    /// The response belongs to another request, or is not a valid response of a target.
    Mismatched,
}

/// The response with which the node itself refuses a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields.
    pub fields: Vec<Field>,
}

/// What a healthy target says in its response to a health check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Health {
    /// The instance ID of the target.
    pub instance: id::Vm,
    /// How much longer the target is cold, zero if it is not. `None` if that can't be understood.
    pub cold_remaining: Option<Duration>,
}

/// Translates between the platform's HTTP headers and the daemon's types.
pub trait HeaderAdapter: 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the head is malformed.
    fn decode_head(&self, parts: &Parts) -> Result<Head, Refusal>;

    /// Returns the header fields of a request that are forwarded to a target.
    fn forwarded_fields(&self, headers: &HeaderMap) -> Vec<Field>;

    /// Returns the header fields that the node adds to a request for a target.
    fn added_fields(&self, forwarded: &ForwardedRequest) -> Vec<Field>;

    /// Interprets a target's response to a request from its status and `headers`.
    fn classify_response(
        &self,
        forwarded: &ForwardedRequest,
        status: u16,
        headers: &HeaderMap,
    ) -> ResponseVerdict;

    /// Returns what a target says about itself in the end-to-end `fields` of a response.
    fn announcement(&self, fields: &[Field]) -> Announcement;

    /// Returns the response that reports a refusal to the caller.
    fn refusal_response(&self, refusal: &Refusal, request: Option<&str>) -> RefusalResponse;

    /// Returns what the response to a health check says, or `None` if the target is unhealthy or
    /// leaving.
    fn healthy_instance(&self, status: u16, headers: &HeaderMap) -> Option<Health>;

    /// Returns whether a request on the readiness address is a readiness probe.
    fn is_readiness_probe(&self, parts: &Parts) -> bool;
}

/// The facts that were read from the directory, and the position up to which they are complete.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The decoded facts.
    pub facts: Vec<Fact>,
    /// The position up to which no fact is missing.
    pub position: Position,
}

/// The result of a read of the document.
#[derive(Clone, Debug)]
pub struct DocumentRead {
    /// A position that the directory had reached at the time of the read, in its era then. The
    /// revision is 0 if the directory does not state it.
    pub position: Position,
    /// The document, or `None` if there is none or it can't be decoded.
    pub fact: Option<Fact>,
}

/// Why the directory could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The requested changes were compacted; a full listing is needed.
    #[error("the directory has compacted the changes after {0}")]
    Compacted(Position),
    /// The directory was restored from a copy; a full listing of the new era is needed.
    #[error("the directory was restored from a copy, {0}")]
    Restored(Era),
    /// The directory rejected the read with this HTTP status.
    #[error("the directory responded with status {0}")]
    Refused(u16),
    /// The directory did not respond.
    #[error("no response from the directory: {0}")]
    NoResponse(String),
    /// The response can't be decoded.
    #[error("malformed response from the directory: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns whether the directory responded and did not turn this node away, so that it is in
    /// service although the read has no result.
    pub fn is_response(&self) -> bool {
        match self {
            Self::Compacted(_) | Self::Restored(_) | Self::Malformed(_) => true,
            Self::Refused(_) | Self::NoResponse(_) => false,
        }
    }
}

/// Read-only access to the facts that the platform publishes.
pub trait Directory: 'static {
    /// Reads a full listing of all facts.
    fn list(&self) -> impl Future<Output = Result<Listing, Error>>;

    /// Reads the entries of all targets. They may be some seconds old, so they tell only where peers
    /// probably are.
    fn list_targets_stale(&self) -> impl Future<Output = Result<Vec<Target>, Error>>;

    /// Reads the changes after a position, waiting up to `wait` for the first one.
    fn changes(
        &self,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, Error>>;

    /// Reads the current document. The result is linearizable: it was current at some time between
    /// the call and its return.
    fn document(&self) -> impl Future<Output = Result<DocumentRead, Error>>;

    /// Checks with the cheapest possible read whether the directory can be reached.
    fn probe(&self) -> impl Future<Output = Result<(), Error>>;
}
