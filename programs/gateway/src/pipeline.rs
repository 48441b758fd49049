//! Path of a request through the gateway, and its answer.

use crate::admit::{self, Refused};
use crate::forward::{self, Answer, Unserved};
use crate::receive::{self, BODY_BYTES, Call, Head};
use crate::shared::Shared;
use base::http::{Body, full, text};
use callers::outcome;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use peers::report::Phase;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::attempt::{Outcome, Refusal, Uncertainty};

/// Wait told to callers of a VM without a configuration; another VM can serve them now.
const STARTING_WAIT: Duration = Duration::from_millis(200);
/// Shortest wait told to callers: less brings them back before anything has changed.
const LEAST_WAIT: Duration = Duration::from_millis(50);
/// Callers wait for at most a third of the time that they have left.
const WAIT_DIVISOR: u32 = 3;

/// Answers one request of a caller.
pub async fn handle(request: Request<Incoming>, shared: Arc<Shared>) -> Response<Body> {
    let _running = shared.track_request();
    let head = receive::head(request);
    let (call, result) = run(head, &shared).await;
    let took = call.arrival.elapsed();
    let mut response = match result {
        Ok(answer) => answer.map(full),
        Err(unserved) => refusal(&call, &unserved, &shared),
    };
    shared.metrics.record_answer(response.status(), took);
    if shared.phase() == Phase::Leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn run(head: Head, shared: &Shared) -> (Call, Result<Answer, Unserved>) {
    let Some(table) = shared.table() else {
        let unserved = Refused {
            reason: Refusal::NoServer,
            retry: Some(STARTING_WAIT),
        };
        let (Ok(call) | Err((call, _))) = head.whole(BODY_BYTES, &shared.grace_token).await;
        return (call, Err(unserved.into()));
    };
    let bounds = table.configuration().bounds;
    let call = match head.whole(bounds.body_bytes, &shared.grace_token).await {
        Ok(call) => call,
        Err((call, reason)) => return (call, Err(Refused::from(reason).into())),
    };
    let admitted = admit::find(&call, &table).and_then(|found| admit::admit(&call, found, shared));
    let grant = match admitted {
        Ok(grant) => grant,
        Err(refused) => return (call, Err(refused.into())),
    };
    let unknown = |cause| Unserved {
        outcome: Outcome::Unknown(cause),
        retry: None,
    };
    let result: Result<Answer, Unserved> = tokio::select! {
        biased;
        result = forward::forward(&call, &grant, shared) => result,
        () = tokio::time::sleep_until(grant.deadline.into()) => {
            Err(unknown(Uncertainty::DeadlinePassed))
        }
        () = shared.grace_token.cancelled() => Err(unknown(Uncertainty::Stopping)),
    };
    let is_not_run = |unserved: &Unserved| matches!(unserved.outcome, Outcome::NotRun(_));
    if result.as_ref().is_err_and(is_not_run) {
        admit::give_back(&grant, shared);
    }
    (call, result)
}

/// Builds the answer to a request that no server answered.
fn refusal(call: &Call, unserved: &Unserved, shared: &Shared) -> Response<Body> {
    let now = Instant::now();
    let reason = outcome::reason(&unserved.outcome).unwrap_or(outcome::SERVED);
    let status = match &unserved.outcome {
        Outcome::Unknown(Uncertainty::DeadlinePassed | Uncertainty::Stopping) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        // To a caller of the platform any 4xx of this system says that the request is wrong.
        Outcome::NotRun(proof) if proof.reason() == Refusal::Quarantined => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        other => outcome::status(other),
    };
    shared.metrics.record_refusal(reason);
    let configuration = shared.table().map_or(0, |t| t.configuration().version);
    let left = call.deadline.saturating_duration_since(now);
    let retry = unserved
        .retry
        .map(|wait| wait.max(LEAST_WAIT).min(left / WAIT_DIVISOR));
    log::info!(
        "event=refused id={} host={} path={} status={} reason={reason} retry_ms={} configuration={configuration} took_ms={} left_ms={}",
        call.id,
        call.host,
        call.uri.path(),
        status.as_u16(),
        retry.map_or(0, |wait| wait.as_millis()),
        call.arrival.elapsed().as_millis(),
        left.as_millis()
    );
    let mut response = text(status, format!("{reason}\n"));
    let headers = response.headers_mut();
    if let Some(retry) = retry {
        let seconds = format!("{:.3}", retry.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        headers.insert(HeaderName::from_static(adapter::header::REQUEST_ID), id);
    }
    response
}
