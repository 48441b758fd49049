//! Handling of a request from its head to its answer.

use crate::admit::{self, Rejection};
use crate::forward::{self, Answer, ForwardError};
use crate::receive::{CallerRequest, DEFAULT_MAX_BODY_BYTES, RequestHead};
use crate::shared::Shared;
use base::http::{Body, full, text};
use bytes::Bytes;
use callers::outcome;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::attempt::{Outcome, Refusal, Uncertainty};

/// Retry-After for callers of a VM without a configuration; another VM can serve them now.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry-After for callers whose body finds no room; those that are held leave in about a second.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest Retry-After: callers that come back earlier find the same state.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry-After is at most the time until the deadline, divided by this, so that a retry still has
/// time.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Answers one request of a caller.
pub async fn handle<B>(head: RequestHead<B>, shared: Arc<Shared>) -> Response<Body>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let _running = shared.track_request();
    let (request, result) = process(head, &shared).await;
    let took = request.arrived_at.elapsed();
    let response = match result {
        Ok(answer) => answer.map(full),
        Err(error) => error_answer(&request, &error, &shared),
    };
    shared.metrics.record_answer(response.status(), took);
    response
}

/// Reads, admits and forwards a request.
async fn process<B>(
    head: RequestHead<B>,
    shared: &Arc<Shared>,
) -> (CallerRequest, Result<Answer, ForwardError>)
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let Some(table) = shared.table() else {
        let rejection = Rejection {
            reason: Refusal::NoServer,
            retry_after: Some(STARTING_RETRY_AFTER),
        };
        let read = head
            .read_body(DEFAULT_MAX_BODY_BYTES, &shared.bodies, &shared.grace_token)
            .await;
        let (Ok((request, _)) | Err((request, _))) = read;
        return (request, Err(rejection.into()));
    };
    let bounds = table.configuration().bounds;
    let read = head.read_body(bounds.body_bytes, &shared.bodies, &shared.grace_token);
    let (request, _held) = match read.await {
        Ok(read) => read,
        Err((request, reason)) => {
            let rejection = Rejection {
                reason,
                retry_after: (reason == Refusal::MemoryFull).then_some(MEMORY_RETRY_AFTER),
            };
            return (request, Err(rejection.into()));
        }
    };
    let admission = admit::resolve_route(&request, &table)
        .and_then(|resolved| admit::admit(&request, resolved, shared));
    let admitted = match admission {
        Ok(admitted) => admitted,
        Err(rejection) => return (request, Err(rejection.into())),
    };
    let unknown = |cause| ForwardError {
        outcome: Outcome::Unknown(cause),
        retry_after: None,
    };
    let result: Result<Answer, ForwardError> = tokio::select! {
        biased;
        result = forward::forward(&request, &admitted, shared) => result,
        () = tokio::time::sleep_until(admitted.deadline.into()) => {
            Err(unknown(Uncertainty::DeadlinePassed))
        }
        () = shared.grace_token.cancelled() => Err(unknown(Uncertainty::Stopping)),
    };
    let is_not_run = |error: &ForwardError| matches!(error.outcome, Outcome::NotRun(_));
    if result.as_ref().is_err_and(is_not_run) {
        admit::refund(&admitted, shared);
    }
    (request, result)
}

/// Answer to a request that no server answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Denial {
    /// Status.
    pub status: StatusCode,
    /// Reason, in the body.
    pub reason: &'static str,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl Denial {
    /// Creates the answer to a request with this time until its deadline.
    pub fn new(error: &ForwardError, time_left: Duration) -> Self {
        let reason = outcome::reason(&error.outcome).unwrap_or(outcome::SERVED);
        let status = match &error.outcome {
            Outcome::Unknown(Uncertainty::DeadlinePassed | Uncertainty::Stopping) => {
                StatusCode::GATEWAY_TIMEOUT
            }
            // Callers of the platform take any 4xx of the gateway for an error in their request.
            Outcome::NotRun(proof) if proof.reason() == Refusal::Quarantined => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            other => outcome::status(other),
        };
        let retry_after = error.retry_after.map(|wait| {
            wait.max(MIN_RETRY_AFTER)
                .min(time_left / RETRY_AFTER_DIVISOR)
        });
        Self {
            status,
            reason,
            retry_after,
        }
    }
}

/// Builds the answer to a request that no server answered.
fn error_answer(request: &CallerRequest, error: &ForwardError, shared: &Shared) -> Response<Body> {
    let now = Instant::now();
    let time_left = request.deadline.saturating_duration_since(now);
    let Denial {
        status,
        reason,
        retry_after,
    } = Denial::new(error, time_left);
    shared.metrics.record_refusal(reason);
    let configuration = shared
        .table()
        .map_or(0, |table| table.configuration().version);
    log::info!(
        "event=refused id={} host={} path={} status={} reason={reason} retry_ms={} configuration={configuration} took_ms={} left_ms={}",
        request.id,
        request.host,
        request.uri.path(),
        status.as_u16(),
        retry_after.map_or(0, |wait| wait.as_millis()),
        request.arrived_at.elapsed().as_millis(),
        time_left.as_millis()
    );
    let mut response = text(status, format!("{reason}\n"));
    let headers = response.headers_mut();
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    if let Ok(id) = HeaderValue::from_str(&request.id) {
        headers.insert(HeaderName::from_static(adapter::header::REQUEST_ID), id);
    }
    response
}
