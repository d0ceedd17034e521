//! The wire format between two nodes: numbered messages in postcard, each with an optional body.
//!
//! A frame consists of the lengths of the head and of the body, each a little-endian `u32`, then
//! the head and the body. Bodies are not encoded with postcard, which saves a copy.
//!
//! The head holds the message, then optionally an [`Extension`], then optionally a [`Supplement`].
//! Postcard encodes by position and ignores what follows, so earlier versions ignore what they do
//! not know. Data that was added later is therefore never put into the message itself.

mod supplement;
#[cfg(test)]
mod tests;

pub use supplement::{ColdTarget, EvacuationFact, Supplement};

use {
    crate::http::message::Field,
    bytes::{Buf as _, Bytes, BytesMut},
    monsoon_lib::{
        call::{Reason, Refusal},
        crash, id,
        mesh::{
            fact::{Heartbeat, Key, Value},
            node::ForwardedRequest,
            position::Era,
            quota::{Demand, Shares},
        },
        pressure,
        unit::Revision,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::io,
    tokio::io::{AsyncRead, AsyncReadExt as _},
};

/// The largest head, in bytes. A table of several hundred routes takes less than a tenth of it.
const MAX_HEAD_BYTES: usize = 8 << 20;
/// The largest body, in bytes: the platform's limit plus some headroom.
const MAX_BODY_BYTES: usize = 80 << 20;
const PREFIX_BYTES: usize = 8;
/// The memory that the read buffer of a link keeps between two frames, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 64 << 10;
/// Precedes the supplement of a message without an extension. Receivers of such messages ignore it.
const EMPTY_EXTENSION: Extension = Extension::Query { era: Era(0), document: Revision(0) };

/// A message from the node that opened the link.
///
/// Postcard encodes variants and fields by position, so their order is part of the format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Identifies the node that opened the link. It is the first message.
    Hello {
        /// The data centre of the sender.
        data_centre: id::DataCentre,
        /// Whether the sender is leaving and accepts no new requests.
        is_leaving: bool,
    },
    /// The sender is leaving.
    Leaving,
    /// Runs a request on the peer's own target. The request body is the body of the frame.
    Run {
        /// The context in which the peer admits and runs the request.
        forwarded: ForwardedRequest,
        /// The HTTP method.
        method: String,
        /// Path and query.
        target: String,
        /// The forwarded header fields.
        fields: Vec<Field>,
    },
    /// Cancels the request with this number.
    Cancel,
    /// Requests the facts after a revision, waiting for the first one if there are none.
    Facts {
        /// The revision up to which the sender has all facts.
        after: Revision,
        /// The longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// Reports the sender's demand to the coordinator of rate shares.
    Demand(Demand),
    /// Asks whether the peer's own target is alive although its entry is missing.
    Vouch {
        /// The instance ID of the target.
        target: id::Vm,
    },
    /// Reports requests that may have crashed targets.
    Crashes(crash::Message),
    /// Checks that the peer is responsive.
    Ping,
    /// Requests the body of a response that the peer keeps, as it said in [`Supplement::BodyKept`].
    SendBody {
        /// The number of the request that the response belongs to.
        run: u64,
    },
}

/// A message from the node that accepted the link, in response to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerResponse {
    /// The result of a [`PeerRequest::Run`].
    RunFinished {
        /// The result. The response body is the body of the frame.
        result: RunResult,
        /// The load of the target, if known.
        load: Option<pressure::Report>,
        /// Whether the sender recently traced calls to runs of its own target.
        is_traced: bool,
    },
    /// The response to [`PeerRequest::Facts`].
    Facts {
        /// The facts after the requested revision.
        facts: Vec<WireFact>,
        /// The revision up to which no fact is missing.
        position: Revision,
        /// The time from the last confirmation of the document to the arrival of the request, in
        /// milliseconds. It is negative if the document was confirmed after that arrival.
        confirmed_age_ms: Option<i64>,
        /// Whether the sender itself read the platform a short time ago.
        is_reader: bool,
    },
    /// The requester's shares of the accounts' sold rates, once they are known.
    Shares(Option<Shares>),
    /// Whether the sender vouches for its target.
    Vouched(bool),
    /// The response to [`PeerRequest::Ping`].
    Pong,
    /// The response to [`PeerRequest::SendBody`]. The body is that of the frame.
    Body {
        /// Whether the sender still had the body.
        is_kept: bool,
    },
}

/// The result of running a request on a target, as reported to the node that routed it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RunResult {
    /// The target executed the request and responded.
    Answered {
        /// Whether the target reports a failure.
        has_failed: bool,
        /// The HTTP status code.
        status: u16,
        /// The forwarded header fields.
        fields: Vec<Field>,
    },
    /// The request was refused before it reached the target.
    Refused(Refusal),
    /// The target reports that it did not execute the request.
    Declined(Refusal),
    /// The request may have been executed.
    MayHaveRun(Reason),
}

impl RunResult {
    /// Replaces the reason of a refusal that earlier versions do not know by one with the same
    /// consequences for them.
    pub fn for_peer(self) -> Self {
        let replace = |refusal: Refusal| match refusal.reason {
            Reason::Evacuated => Refusal { reason: Reason::NoTarget, ..refusal },
            _ => refusal,
        };
        match self {
            Self::Refused(refusal) => Self::Refused(replace(refusal)),
            result => result,
        }
    }
}

/// A fact without its era and heartbeat, which are in the [`Extension`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireFact {
    /// The key that the fact is about.
    pub key: Key,
    /// The revision of the platform at which the value was written.
    pub revision: Revision,
    /// The value at this revision.
    pub value: Value,
}

/// What [`WireFact`] lacks.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct FactOrigin {
    /// The era of the platform's store in which the value was written.
    pub era: Era,
    /// The last known heartbeat of the target.
    pub heartbeat: Heartbeat,
}

/// Data that follows a message. Versions without extensions ignore it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Extension {
    /// Completes [`PeerRequest::Facts`].
    Query {
        /// The era of the revision up to which the sender has all facts.
        era: Era,
        /// The revision of the sender's document, or 0 if it has none.
        document: Revision,
    },
    /// Completes [`PeerResponse::Facts`].
    Update {
        /// The era of the revision up to which no fact is missing.
        era: Era,
        /// The origins of the facts, in their order.
        origins: Vec<FactOrigin>,
        /// Whether these are all facts, so that targets without a fact are gone.
        is_complete: bool,
        /// The time since the sender knew of an outage of the platform, in milliseconds.
        outage_age_ms: Option<u64>,
    },
}

/// A message with the number that correlates requests and responses.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope<M> {
    /// The number of the request, which its response repeats, or 0 for messages without a response.
    pub number: u64,
    /// The request or response.
    pub message: M,
}

/// An encoded frame.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The length prefix and the encoded message.
    pub head: Bytes,
    /// The body, which follows the head.
    pub body: Bytes,
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// Fails if the head or the body exceeds the size limit of a frame.
pub fn encode<M: Serialize>(number: u64, message: M, body: Bytes) -> io::Result<Frame> {
    encode_with(number, message, Attachments::default(), body)
}

/// What follows a message in the head of a frame.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attachments<'a> {
    /// The extension, if the message has one.
    pub extension: Option<&'a Extension>,
    /// The supplement, if the message has one.
    pub supplement: Option<&'a Supplement>,
}

/// Encodes a message and its attachments as a frame.
///
/// # Errors
///
/// Fails if the head or the body exceeds the size limit of a frame.
pub fn encode_with<M: Serialize>(
    number: u64,
    message: M,
    attachments: Attachments<'_>,
    body: Bytes,
) -> io::Result<Frame> {
    let Attachments { extension, supplement } = attachments;
    let head = vec![0; PREFIX_BYTES];
    let numbered = Envelope { number, message };
    let mut head = postcard::to_extend(&numbered, head).map_err(io::Error::other)?;
    // A supplement always follows an extension, because earlier versions expect one there.
    let extension = extension.or(supplement.map(|_| &EMPTY_EXTENSION));
    if let Some(extension) = extension {
        head = postcard::to_extend(extension, head).map_err(io::Error::other)?;
    }
    if let Some(supplement) = supplement {
        head = postcard::to_extend(supplement, head).map_err(io::Error::other)?;
    }
    let length = head.len() - PREFIX_BYTES;
    if length > MAX_HEAD_BYTES || body.len() > MAX_BODY_BYTES {
        return Err(io::Error::other("message exceeds the size limit of a frame"));
    }
    head[..4].copy_from_slice(&(length as u32).to_le_bytes());
    head[4..PREFIX_BYTES].copy_from_slice(&(body.len() as u32).to_le_bytes());
    Ok(Frame { head: head.into(), body })
}

/// A decoded frame.
#[derive(Clone, Debug)]
pub struct Received<M> {
    /// The numbered message.
    pub envelope: Envelope<M>,
    /// The extension of the message, if it has one.
    pub extension: Option<Extension>,
    /// The supplement of the message, if it has one that this version knows.
    pub supplement: Option<Supplement>,
    /// The body that belongs to the message.
    pub body: Bytes,
}

/// Reads one message with its attachments and its body.
///
/// # Errors
///
/// Fails if the connection ends, or if the frame is too large or malformed.
pub async fn read<M: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> io::Result<Received<M>> {
    let (received, length) = read_head(from, buffer).await?;
    let body = read_body(from, buffer, length).await?;
    Ok(Received { body, ..received })
}

/// Reads one message with its attachments and without its body. Returns it with the length of the
/// body, which is to be read or skipped next.
///
/// # Errors
///
/// Fails if the connection ends, or if the frame is too large or malformed.
pub async fn read_head<M: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> io::Result<(Received<M>, usize)> {
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
    fill_buffer(from, buffer, PREFIX_BYTES).await?;
    let length = |at: usize| {
        let mut bytes = [0; 4];
        bytes.copy_from_slice(&buffer[at..at + 4]);
        u32::from_le_bytes(bytes) as usize
    };
    let (head, body) = (length(0), length(4));
    if head > MAX_HEAD_BYTES || body > MAX_BODY_BYTES {
        return Err(io::Error::other(
            "peer announced a message that exceeds the size limit of a frame",
        ));
    }
    fill_buffer(from, buffer, PREFIX_BYTES + head).await?;
    let mut head = buffer.split_to(PREFIX_BYTES + head);
    let _prefix = head.split_to(PREFIX_BYTES);
    let (envelope, rest) = postcard::take_from_bytes(&head).map_err(io::Error::other)?;
    let (extension, rest) = match rest.is_empty() {
        true => (None, rest),
        false => {
            let (extension, rest) = postcard::take_from_bytes(rest).map_err(io::Error::other)?;
            (Some(extension), rest)
        }
    };
    let supplement = Supplement::decode(rest);
    Ok((Received { envelope, extension, supplement, body: Bytes::new() }, body))
}

/// Reads the body of a message into memory of its own, so that the buffer of the link stays small.
///
/// # Errors
///
/// Fails if the connection ends.
pub async fn read_body(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    length: usize,
) -> io::Result<Bytes> {
    let mut body = Vec::with_capacity(length);
    body.extend_from_slice(&buffer.split_to(length.min(buffer.len())));
    let missing = (length - body.len()) as u64;
    from.take(missing).read_to_end(&mut body).await?;
    match body.len() == length {
        true => Ok(body.into()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Reads the body of a message without keeping it.
///
/// # Errors
///
/// Fails if the connection ends.
pub async fn skip_body(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    length: usize,
) -> io::Result<()> {
    let buffered = length.min(buffer.len());
    buffer.advance(buffered);
    let missing = (length - buffered) as u64;
    let skipped = tokio::io::copy(&mut from.take(missing), &mut tokio::io::sink()).await?;
    match skipped == missing {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

async fn fill_buffer(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    length: usize,
) -> io::Result<()> {
    while buffer.len() < length {
        buffer.reserve(length - buffer.len());
        if from.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}
