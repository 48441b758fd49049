//! Names and limits of the headers that callers send and receive.

use base::id::Request;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use std::time::{Duration, Instant};

/// Id of the request; at most [`MAX_ID_BYTES`] visible ASCII characters.
pub const REQUEST_ID: &str = "x-request-id";
/// Time left for the request in milliseconds, counted from its arrival.
///
/// Unlike a point in time, it does not depend on the clocks of the caller and the VM agreeing.
pub const DEADLINE: &str = "x-deadline-ms";
/// Present if the caller has sent the same request id before, to any VM.
pub const RESEND: &str = "x-resend";
/// Outcome in answers: `served`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Reason for an outcome other than `served`.
pub const REASON: &str = "x-reason";
/// Address of the entry VM that holds the claim of a request id.
pub const CLAIM_HOLDER: &str = "x-ask";

/// Largest request id in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// Largest key in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Deadline of a request without a deadline header.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Latest deadline accepted; later ones are shortened to it.
pub const MAX_DEADLINE: Duration = Duration::from_secs(300);

const BEARER: &str = "Bearer ";

base::label! {
    /// Why a request head was refused.
    pub enum Error {
        /// The request id is empty, too long, sent twice or not visible ASCII.
        RequestId,
        /// The deadline is not a whole number of milliseconds, or was sent twice.
        Deadline,
        /// The key header is not a bearer key within the limit, or was sent twice.
        Key,
    }
}

/// Returns the value of header `name`, if it was sent; fails if it was sent twice.
fn single_value(headers: &HeaderMap, name: &str, error: Error) -> Result<Option<Box<str>>, Error> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(|v| Some(v.into())).map_err(|_| error),
        _ => Err(error),
    }
}

/// Removes the caller's key from the headers, so that it can't be forwarded, and returns it.
///
/// # Errors
///
/// Fails if the header is not one bearer key within [`MAX_KEY_BYTES`]; it is removed in this case,
/// too.
pub fn key(headers: &mut HeaderMap) -> Result<Option<Box<str>>, Error> {
    let value = single_value(headers, AUTHORIZATION.as_str(), Error::Key);
    headers.remove(AUTHORIZATION);
    let Some(value) = value? else {
        return Ok(None);
    };
    match value.strip_prefix(BEARER) {
        Some(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => Err(Error::Key),
    }
}

/// Returns the caller's request id.
///
/// # Errors
///
/// Fails if the id is empty, too long, not visible ASCII or sent twice.
pub fn request_id(headers: &HeaderMap) -> Result<Option<Request>, Error> {
    match single_value(headers, REQUEST_ID, Error::RequestId)? {
        None => Ok(None),
        Some(id) if id.len() <= MAX_ID_BYTES && is_valid_id(&id) => Ok(Some(id)),
        Some(_) => Err(Error::RequestId),
    }
}

fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && id.bytes().all(|b| b.is_ascii_graphic())
}

/// Returns the deadline of a request that arrived at `now`.
///
/// # Errors
///
/// Fails if the header is not one whole number.
pub fn deadline(headers: &HeaderMap, now: Instant) -> Result<Instant, Error> {
    let left = match single_value(headers, DEADLINE, Error::Deadline)? {
        None => DEFAULT_DEADLINE,
        Some(text) => text
            .parse()
            .map(Duration::from_millis)
            .map_err(|_| Error::Deadline)?,
    };
    Ok(now + left.min(MAX_DEADLINE))
}
