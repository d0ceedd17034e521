//! The bytes between two nodes: numbered messages in postcard, each with an optional body.
//!
//! A frame is the length of the head and of the body in four bytes each, little endian, the head and
//! the body. Bodies stay out of the codec, so that they are not copied.

use {
    crate::http::message::Field,
    bytes::{Bytes, BytesMut},
    monsoon_lib::{
        call::{Reason, Refusal},
        crash, id,
        mesh::{
            fact::Fact,
            node::ForwardedRequest,
            quota::{Demand, Shares},
        },
        pressure,
        unit::Revision,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::io,
    tokio::io::{AsyncRead, AsyncReadExt as _},
};

/// The largest head, in bytes. A table of some hundred routes takes less than a tenth.
const MAX_HEAD_BYTES: usize = 8 << 20;
/// The largest body, in bytes: the largest that the platform's bounds allow, and some room.
const MAX_BODY_BYTES: usize = 80 << 20;
const PREFIX_BYTES: usize = 8;

/// What a node sends on a link that it opened.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Ask {
    /// Tells who opened the link.
    Hello {
        /// The data centre of the node.
        data_centre: id::DataCentre,
        /// Whether the node is leaving, and so takes no new requests.
        is_leaving: bool,
    },
    /// The node is leaving.
    Leaving,
    /// A request for the peer's own target. The body follows.
    Run {
        /// What the peer has to know.
        served: ForwardedRequest,
        /// The method.
        method: String,
        /// Path and query.
        target: String,
        /// The fields that are passed on.
        fields: Vec<Field>,
    },
    /// Nobody waits for the request with this number any more.
    Cancel,
    /// Asks for facts after a revision, at once or when there are any.
    Facts {
        /// The revision.
        after: Revision,
        /// How long to wait for one, in milliseconds.
        wait_ms: u64,
    },
    /// Tells the coordinator what the node was asked for.
    Demand(Demand),
    /// Asks whether the peer's own target lives though its entry went away.
    Vouch {
        /// The target's life.
        target: id::Vm,
    },
    /// Tells of requests that may have crashed targets.
    Crashes(crash::Message),
    /// Asks for a sign of life.
    Ping,
}

/// What a node sends back.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// The end of a request.
    Ended {
        /// How it ended.
        end: End,
        /// The load of the target, where it is known.
        load: Option<pressure::Report>,
        /// Whether the node traced calls to the runs that make them.
        is_traced: bool,
    },
    /// Facts.
    Facts {
        /// The facts.
        facts: Vec<Fact>,
        /// The revision up to which none is missing.
        position: Revision,
        /// The time from the last confirmation of the document to the arrival of the question, in
        /// milliseconds. It is negative where the document was confirmed later.
        confirmed_age_ms: Option<i64>,
        /// Whether the node reads the platform itself, and did so a short time ago.
        is_reader: bool,
    },
    /// The shares of the sold rates, once they are known.
    Shares(Option<Shares>),
    /// Whether the node vouches for its target.
    Vouched(bool),
    /// A sign of life.
    Pong,
}

/// How a request at a peer ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum End {
    /// The target ran it. The body of its answer follows.
    Answered {
        /// Whether the target says that it failed.
        has_failed: bool,
        /// The status.
        status: u16,
        /// The fields that are passed on.
        fields: Vec<Field>,
    },
    /// It was refused before it reached the target.
    Refused(Refusal),
    /// The target says that it did not run it.
    Declined(Refusal),
    /// It may have run.
    Lost(Reason),
}

/// A message and its number.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Numbered<M> {
    /// Joins an answer with its question.
    pub number: u64,
    /// The message.
    pub message: M,
}

/// A frame that is ready to be written.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The lengths and the head.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

/// Encodes a message.
///
/// # Errors
///
/// Fails where the message is larger than a frame may be.
pub fn encode<M: Serialize>(number: u64, message: M, body: Bytes) -> io::Result<Frame> {
    let head = vec![0; PREFIX_BYTES];
    let numbered = Numbered { number, message };
    let mut head = postcard::to_extend(&numbered, head).map_err(io::Error::other)?;
    let length = head.len() - PREFIX_BYTES;
    if length > MAX_HEAD_BYTES || body.len() > MAX_BODY_BYTES {
        return Err(io::Error::other("a message is too large"));
    }
    head[..4].copy_from_slice(&(length as u32).to_le_bytes());
    head[4..PREFIX_BYTES].copy_from_slice(&(body.len() as u32).to_le_bytes());
    Ok(Frame { head: head.into(), body })
}

/// Reads one message.
///
/// # Errors
///
/// Fails where the connection ends or holds no message.
pub async fn read<M: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> io::Result<(Numbered<M>, Bytes)> {
    fill(from, buffer, PREFIX_BYTES).await?;
    let length = |at: usize| {
        let mut bytes = [0; 4];
        bytes.copy_from_slice(&buffer[at..at + 4]);
        u32::from_le_bytes(bytes) as usize
    };
    let (head, body) = (length(0), length(4));
    if head > MAX_HEAD_BYTES || body > MAX_BODY_BYTES {
        return Err(io::Error::other("a peer announced a message that is too large"));
    }
    fill(from, buffer, PREFIX_BYTES + head + body).await?;
    let mut frame = buffer.split_to(PREFIX_BYTES + head + body);
    let _prefix = frame.split_to(PREFIX_BYTES);
    let head = frame.split_to(head);
    let message = postcard::from_bytes(&head).map_err(io::Error::other)?;
    Ok((message, Bytes::copy_from_slice(&frame)))
}

async fn fill(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    bytes: usize,
) -> io::Result<()> {
    while buffer.len() < bytes {
        buffer.reserve(bytes - buffer.len());
        if from.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}
