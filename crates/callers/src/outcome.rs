//! HTTP status and headers of each outcome.

use crate::header;
use base::http::{Body, text};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use steering::attempt::{Outcome, Refusal};

/// Value of the outcome header when the request was served.
pub const SERVED: &str = "served";
/// Value of the outcome header when no backend server ran the request.
pub const NOT_RUN: &str = "not-run";
/// Value of the outcome header when a backend server may have run the request.
pub const UNKNOWN: &str = "unknown";

/// Reason in the answer to a request id that was served before.
const SERVED_BEFORE: &str = "served-before";

/// Returns the value of the outcome header.
pub fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served | Outcome::ServedBefore => SERVED,
        Outcome::NotRun(_) => NOT_RUN,
        Outcome::Unknown(_) => UNKNOWN,
    }
}

/// Returns the value of the reason header.
pub fn reason(outcome: &Outcome) -> Option<&'static str> {
    match outcome {
        Outcome::Served => None,
        Outcome::ServedBefore => Some(SERVED_BEFORE),
        Outcome::NotRun(proof) => Some(proof.reason().as_str()),
        Outcome::Unknown(cause) => Some(cause.as_str()),
    }
}

/// Returns the status of an answer that the system itself generates.
pub fn status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Served => StatusCode::OK,
        Outcome::ServedBefore => StatusCode::CONFLICT,
        Outcome::NotRun(proof) => refusal_status(proof.reason()),
        // Common clients blindly retry 502 and 504; only the outcome header says that the
        // request may have run.
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}

fn refusal_status(reason: Refusal) -> StatusCode {
    match reason {
        Refusal::Invalid => StatusCode::BAD_REQUEST,
        Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::Unauthorised => StatusCode::UNAUTHORIZED,
        Refusal::Forbidden => StatusCode::FORBIDDEN,
        Refusal::NoRoute => StatusCode::NOT_FOUND,
        Refusal::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::ClaimExpired => StatusCode::CONFLICT,
        Refusal::Overloaded
        | Refusal::DeadlinePassed
        | Refusal::Cancelled
        | Refusal::NoServer
        | Refusal::ServersRefused
        | Refusal::BudgetSpent
        | Refusal::Suspected
        | Refusal::ClaimsUnavailable
        | Refusal::ClaimsFull
        | Refusal::KeysNotConfirmed
        | Refusal::Stopping
        | Refusal::MemoryFull => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the time in seconds after which the same request may succeed; none if it never will.
pub fn retry_after(outcome: &Outcome) -> Option<u64> {
    let Outcome::NotRun(proof) = outcome else {
        return None;
    };
    match proof.reason() {
        Refusal::Invalid
        | Refusal::TooLarge
        | Refusal::Unauthorised
        | Refusal::Forbidden
        | Refusal::NoRoute
        | Refusal::Quarantined
        | Refusal::ClaimExpired
        | Refusal::Cancelled => None,
        // Another entry VM can accept the request at once.
        Refusal::Stopping | Refusal::KeysNotConfirmed => Some(0),
        // The trial run of a suspected request takes seconds.
        Refusal::Suspected | Refusal::ClaimsUnavailable => Some(5),
        _ => Some(1),
    }
}

/// Adds the outcome headers to an answer.
pub fn mark(headers: &mut HeaderMap, outcome: &Outcome) {
    let outcome_header = HeaderName::from_static(header::OUTCOME);
    headers.insert(outcome_header, HeaderValue::from_static(name(outcome)));
    if let Some(reason) = reason(outcome) {
        let reason_header = HeaderName::from_static(header::REASON);
        headers.insert(reason_header, HeaderValue::from_static(reason));
    }
    if let Some(seconds) = retry_after(outcome) {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
}

/// Builds the answer to a request that the system does not forward.
pub fn response(outcome: &Outcome) -> Response<Body> {
    let message = match reason(outcome) {
        Some(reason) => format!("{}: {reason}\n", name(outcome)),
        None => String::new(),
    };
    let mut response = text(status(outcome), message);
    mark(response.headers_mut(), outcome);
    response
}
