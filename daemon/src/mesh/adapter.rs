//! What the adapter of a platform provides: names on requests and answers, and a directory.

use {
    crate::http::message::Field,
    hyper::{HeaderMap, http::request::Parts},
    monsoon_lib::{
        call::Refusal,
        id,
        mesh::{
            fact::Fact,
            node::{ForwardedRequest, Head},
        },
        unit::Revision,
    },
    std::{future::Future, time::Duration},
};

/// What a target's answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The target ran the request.
    Ran {
        /// Whether the target says that it failed.
        has_failed: bool,
    },
    /// The target says that it did not run the request.
    NotRun(Refusal),
    /// The answer belongs to another request, or is none that the target may give.
    Foreign,
}

/// An answer of the node itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Told {
    /// The HTTP status.
    pub status: u16,
    /// The fields.
    pub fields: Vec<Field>,
}

/// Decodes and sets the platform's names on requests and answers.
pub trait Names: 'static {
    /// Decodes a request's head.
    ///
    /// # Errors
    ///
    /// Returns a refusal where the head is not well formed.
    fn head(&self, parts: &Parts) -> Result<Head, Refusal>;

    /// Returns the fields of a request that a target may see.
    fn passed(&self, headers: &HeaderMap) -> Vec<Field>;

    /// Returns the fields that the system itself sets towards a target.
    fn set(&self, served: &ForwardedRequest) -> Vec<Field>;

    /// Tells what a target's answer means. `headers` are the answer's.
    fn verdict(&self, request: &str, status: u16, headers: &HeaderMap) -> Verdict;

    /// Returns how a caller is told a refusal.
    fn told(&self, refusal: &Refusal, request: Option<&str>) -> Told;

    /// Returns the name of the life that answered a health check, unless it fails or is leaving.
    fn healthy(&self, status: u16, headers: &HeaderMap) -> Option<id::Vm>;

    /// Tells whether a request on the readiness address asks for the node's readiness.
    fn is_readiness(&self, parts: &Parts) -> bool;
}

/// Facts that were read, and the revision up to which none is missing with them.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The facts.
    pub facts: Vec<Fact>,
    /// The revision.
    pub position: Revision,
}

/// Why the directory could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The changes asked for are no longer kept. A whole listing is needed.
    #[error("the changes after {0} are no longer kept")]
    Compacted(Revision),
    /// The directory refused the read.
    #[error("the directory answered {0}")]
    Refused(u16),
    /// The directory did not answer.
    #[error("no answer: {0}")]
    Silent(String),
    /// The answer can't be understood.
    #[error("an answer that can't be understood: {0}")]
    Malformed(String),
}

/// Reads what the platform publishes. Nothing is ever written.
pub trait Directory: 'static {
    /// Reads everything.
    fn list(&self) -> impl Future<Output = Result<Listing, Error>>;

    /// Reads what changed after a revision, and waits up to `wait` for a change.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, Error>>;

    /// Reads the newest document, as it is at a moment between call and return.
    fn document(&self) -> impl Future<Output = Result<Option<Fact>, Error>>;

    /// Finds out at the least cost whether the directory can be read.
    fn probe(&self) -> impl Future<Output = Result<(), Error>>;
}
