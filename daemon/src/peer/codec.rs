//! Conversion between the Cap'n Proto messages and the types of `monsoon_lib`.

use {
    crate::{
        http::message::{Answer, Field, Request},
        machine::{Completion, Reply},
        peer_capnp,
    },
    actix_web::web::Bytes,
    capnp::{struct_list, text},
    monsoon_lib::{
        call::{Offer, Outcome, Reason, Refusal},
        id,
        node::Trailer,
        table::Class,
    },
    std::{str::Utf8Error, time::Duration},
};

/// A message that violates the schema or the constraints on its fields.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The Cap'n Proto message is malformed.
    #[error("malformed message: {0}")]
    Capnp(#[from] capnp::Error),
    /// A union has a variant that is not in the schema.
    #[error("unknown field: {0}")]
    Schema(#[from] capnp::NotInSchema),
    /// A text field is not valid UTF-8.
    #[error("text is not UTF-8: {0}")]
    Text(#[from] Utf8Error),
    /// A name violates the syntax of its kind.
    #[error("malformed name: {0}")]
    Name(#[from] id::Error),
    /// The number of the priority class is unknown.
    #[error("unknown class {0}")]
    Class(u8),
    /// The reason of a refusal is unknown.
    #[error("unknown reason {0:?}")]
    Reason(String),
    /// A postcard-encoded part can't be decoded or encoded.
    #[error("malformed trailer: {0}")]
    Trailer(#[from] postcard::Error),
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        Self::failed(error.to_string())
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn read_text<'a>(text: text::Reader<'a>) -> Result<&'a str, Error> {
    Ok(text.to_str()?)
}

/// Encodes an offer.
pub fn write_offer(mut to: peer_capnp::offer::Builder<'_>, offer: &Offer) {
    if let Some(claim) = &offer.claim
        && let Ok(claim) = postcard::to_stdvec(claim)
    {
        to.set_claim(&claim);
    }
    to.set_request_high((offer.request.0 >> 64) as u64);
    to.set_request_low(offer.request.0 as u64);
    to.set_account(offer.account.as_ref().map_or("", id::Account::as_str));
    to.set_route(offer.route.as_str());
    to.set_pool(offer.pool.as_str());
    to.set_class(offer.class.index() as u8);
    to.set_idempotent(offer.idempotent);
    to.set_remaining_nanos(nanos(offer.remaining));
    to.set_retries(offer.retries);
    to.set_depth(offer.depth);
    to.set_fingerprint(offer.fingerprint);
}

/// Decodes an offer.
///
/// # Errors
///
/// Returns an error if a name, the class or the claim is malformed.
pub fn read_offer(from: peer_capnp::offer::Reader<'_>) -> Result<Offer, Error> {
    let request = u128::from(from.get_request_high()) << 64 | u128::from(from.get_request_low());
    let account = match read_text(from.get_account()?)? {
        "" => None,
        name => Some(name.parse()?),
    };
    let class = from.get_class();
    let class = Class::ALL.get(usize::from(class)).copied().ok_or(Error::Class(class))?;
    let claim = match from.get_claim()? {
        [] => None,
        claim => Some(postcard::from_bytes(claim)?),
    };
    Ok(Offer {
        request: id::Request(request),
        account,
        route: read_text(from.get_route()?)?.parse()?,
        pool: read_text(from.get_pool()?)?.parse()?,
        class,
        idempotent: from.get_idempotent(),
        remaining: Duration::from_nanos(from.get_remaining_nanos()),
        retries: from.get_retries(),
        depth: from.get_depth(),
        fingerprint: from.get_fingerprint(),
        claim,
    })
}

fn write_fields(mut to: struct_list::Builder<'_, peer_capnp::field::Owned>, fields: &[Field]) {
    for (i, field) in fields.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_name(&field.name);
        to.set_value(&field.value);
    }
}

fn read_fields(
    from: struct_list::Reader<'_, peer_capnp::field::Owned>,
) -> Result<Vec<Field>, Error> {
    let mut fields = Vec::with_capacity(from.len() as usize);
    for field in from {
        fields.push(Field { name: field.get_name()?.to_vec(), value: field.get_value()?.to_vec() });
    }
    Ok(fields)
}

/// Encodes a request with its offer.
pub fn write_request(mut to: peer_capnp::request::Builder<'_>, offer: &Offer, request: &Request) {
    write_offer(to.reborrow().init_offer(), offer);
    to.set_method(&request.method);
    to.set_target(&request.target);
    write_fields(to.reborrow().init_fields(request.fields.len() as u32), &request.fields);
    to.set_body(&request.body);
}

/// Decodes a request with its offer.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_request(from: peer_capnp::request::Reader<'_>) -> Result<(Offer, Request), Error> {
    let offer = read_offer(from.get_offer()?)?;
    let request = Request {
        method: read_text(from.get_method()?)?.to_owned(),
        target: read_text(from.get_target()?)?.to_owned(),
        fields: read_fields(from.get_fields()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
    };
    Ok((offer, request))
}

fn write_refusal(mut to: peer_capnp::refusal::Builder<'_>, refusal: &Refusal) {
    to.set_reason(refusal.reason.as_str());
    to.set_may_have_run(refusal.outcome == Outcome::Unknown);
    to.set_retry_after_nanos(refusal.retry_after.map_or(0, nanos));
}

fn read_refusal(from: peer_capnp::refusal::Reader<'_>) -> Result<Refusal, Error> {
    let reason = read_text(from.get_reason()?)?;
    let reason: Reason = reason.parse().map_err(|_| Error::Reason(reason.to_owned()))?;
    let outcome = if from.get_may_have_run() { Outcome::Unknown } else { Outcome::NotRun };
    let retry_after = match from.get_retry_after_nanos() {
        0 => None,
        nanos => Some(Duration::from_nanos(nanos)),
    };
    Ok(Refusal { reason, outcome, retry_after })
}

/// Encodes the result of a call.
///
/// # Errors
///
/// Returns an error if the trailer can't be encoded.
pub fn write_reply(
    mut to: peer_capnp::reply::Builder<'_>,
    completion: &Completion,
) -> Result<(), Error> {
    to.set_trailer(&postcard::to_stdvec(&completion.trailer)?);
    match &completion.reply {
        Reply::Answer(answer) => {
            let mut to = to.init_answer();
            to.set_status(answer.status);
            write_fields(to.reborrow().init_fields(answer.fields.len() as u32), &answer.fields);
            to.set_body(&answer.body);
        }
        Reply::Refuse { refusal, .. } => write_refusal(to.init_refusal(), refusal),
    }
    Ok(())
}

/// Decodes the result of a call.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_reply(from: peer_capnp::reply::Reader<'_>) -> Result<Completion, Error> {
    let trailer: Trailer = postcard::from_bytes(from.get_trailer()?)?;
    let reply = match from.which()? {
        peer_capnp::reply::Answer(answer) => {
            let answer = answer?;
            Reply::Answer(Answer {
                status: answer.get_status(),
                fields: read_fields(answer.get_fields()?)?,
                body: Bytes::copy_from_slice(answer.get_body()?),
            })
        }
        peer_capnp::reply::Refusal(refusal) => {
            Reply::Refuse { refusal: read_refusal(refusal?)?, limit: None }
        }
    };
    Ok(Completion { reply, trailer })
}
