//! Passes suspected requests to the trial coordinator, the entry that runs the trials.

use crate::claims::parse_outcome;
use crate::receive::Call;
use base::http::fields::EndToEnd;
use base::http::{self, Body};
use callers::header;
use http_body_util::BodyExt;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use peers::link::Links;
use peers::share::{Header, MAX_REPLY_BYTES, Passed, Reply, Secret, ShareClient};
use peers::wire::{Error, Frame};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use steering::keys::Key;

/// Passes a request to the trial coordinator and returns its whole answer.
///
/// # Errors
///
/// Returns the outcome if no backend server answered.
pub async fn send(
    links: &Links<ShareClient>,
    coordinator: SocketAddr,
    call: &Call,
) -> Result<Response<Body>, Outcome> {
    let time_left = call.deadline.saturating_duration_since(Instant::now());
    let passed = Frame::new(Passed {
        request: call.id.clone(),
        key: call.key.as_ref().map(|key| Secret(key.expose().into())),
        service: call.service.clone(),
        method: call.method.as_str().into(),
        target: call.target.to_string().into(),
        headers: to_wire_headers(call.received.fields()),
        body: call.body.to_vec(),
        left_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
    });
    let pass = |client: ShareClient, context| async move { client.pass(context, passed).await };
    match links.call(coordinator, time_left, pass).await {
        Ok(frame) => match frame.open() {
            Ok(Some(reply)) => parse_reply(reply),
            Ok(None) => Err(Attempt::new(false).refuse(Refusal::Invalid)),
            Err(_) => Err(Outcome::Unknown(Uncertainty::WrongAnswer)),
        },
        Err(Error::Connect(_)) => Err(Attempt::new(false).refuse(Refusal::Suspected)),
        Err(error) => {
            log::debug!(
                "request {}: passing to the trial coordinator failed: {error}",
                call.id
            );
            Err(Outcome::Unknown(Uncertainty::VmUnreachable))
        }
    }
}

fn parse_reply(reply: Reply) -> Result<Response<Body>, Outcome> {
    let headers = from_wire_headers(&reply.headers);
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let outcome = text(header::OUTCOME).unwrap_or_default();
    let parsed = parse_outcome(outcome, text(header::REASON).unwrap_or_default());
    match parsed {
        // The coordinator holds no claims, so this is never an earlier run but the answer itself.
        Some(Outcome::ServedBefore) => {}
        Some(outcome) => return Err(outcome),
        None => return Err(Outcome::Unknown(Uncertainty::WrongAnswer)),
    }
    let body = reply.body;
    let body = body.ok_or(Outcome::Unknown(Uncertainty::Interrupted))?;
    let mut response = Response::new(http::full(body));
    *response.status_mut() = StatusCode::from_u16(reply.status)
        .map_err(|_| Outcome::Unknown(Uncertainty::WrongAnswer))?;
    *response.headers_mut() = headers;
    // The whole body is sent on with its own length.
    response
        .headers_mut()
        .remove(hyper::header::TRANSFER_ENCODING);
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    Ok(response)
}

/// Reads a request that another entry passed on.
pub fn parse_call(passed: Passed) -> Option<Call> {
    let arrived = Instant::now();
    let time_left = Duration::from_millis(passed.left_ms).min(header::MAX_DEADLINE);
    let headers = from_wire_headers(&passed.headers);
    Some(Call {
        is_resend: headers.contains_key(header::RESEND),
        id: passed.request,
        has_caller_id: true,
        key: passed.key.and_then(|key| Key::parse(&key.0)),
        service: passed.service,
        target: passed.target.parse().ok()?,
        method: passed.method.parse().ok()?,
        received: EndToEnd::reduce(headers),
        body: passed.body.into(),
        arrived,
        deadline: arrived + time_left,
    })
}

/// Reads an answer to its end, so that its trial completes; the body is dropped if it was
/// interrupted or is too large.
pub async fn collect_reply(response: Response<Body>) -> Option<Reply> {
    let (head, mut body) = response.into_parts();
    let mut kept = Some(Vec::new());
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            kept = None;
            break;
        };
        let data = frame.data_ref().map_or(&[][..], |data| data);
        kept = kept
            .filter(|kept| kept.len() + data.len() <= MAX_REPLY_BYTES)
            .map(|mut kept| {
                kept.extend_from_slice(data);
                kept
            });
    }
    Some(Reply {
        status: head.status.as_u16(),
        headers: to_wire_headers(&head.headers),
        body: kept,
    })
}

fn to_wire_headers(headers: &HeaderMap) -> Vec<Header> {
    let fields = headers.iter();
    fields
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

fn from_wire_headers(headers: &[Header]) -> HeaderMap {
    let field = |(name, value): &Header| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    };
    let mut map = HeaderMap::new();
    for (name, value) in headers.iter().filter_map(field) {
        map.append(name, value);
    }
    map
}
