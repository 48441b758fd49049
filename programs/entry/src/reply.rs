//! Builds the response to the caller.

use crate::forward::Answer;
use crate::quarantine::tracker::RequestTracker;
use crate::release::Observation;
use crate::route::InFlightRequest;
use crate::server::RequestGuard;
use base::http::{Body, BodyError};
use bytes::Bytes;
use callers::{header, outcome};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use steering::attempt::{Outcome, Uncertainty};

/// Answer of a backend server to a request.
#[derive(Debug)]
pub enum ServerAnswer {
    /// Streamed from the server; the outcome is recorded when the body ends.
    Streamed(Box<Answer>, RequestTracker),
    /// Received whole from another entry.
    Whole(Response<Body>),
}

/// Builds the response to the caller from the result of its request.
pub fn reply(id: &str, forwarded: Result<ServerAnswer, Outcome>) -> Response<Body> {
    let mut response = match forwarded {
        Ok(ServerAnswer::Streamed(answer, track)) => streamed_response(*answer, track),
        Ok(ServerAnswer::Whole(response)) => response,
        Err(outcome) => outcome::response(&outcome),
    };
    if let Ok(value) = HeaderValue::from_str(id) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(header::REQUEST_ID), value);
    }
    response
}

fn streamed_response(answer: Answer, track: RequestTracker) -> Response<Body> {
    let Answer {
        response,
        flight,
        running,
        trial,
    } = answer;
    let mut response = response.map(|body| {
        let mut streamed = StreamedBody {
            body,
            guards: Some(RequestGuards {
                flight,
                running,
                track,
            }),
            trial,
            interruption: None,
        };
        streamed.finish_at_end();
        streamed.boxed_unsync()
    });
    outcome::mark(response.headers_mut(), &Outcome::Served);
    response
}

/// Guards and records that end with the answer.
struct RequestGuards {
    flight: InFlightRequest,
    running: RequestGuard,
    track: RequestTracker,
}

/// Body whose request counts as in flight until the body ends.
struct StreamedBody {
    body: Body,
    guards: Option<RequestGuards>,
    /// Evidence for a release; recorded when the answer ends.
    trial: Option<Box<Observation>>,
    /// Set once the answer was interrupted; resolves to the error for the caller.
    interruption: Option<Pin<Box<dyn Future<Output = BodyError> + Send>>>,
}

impl StreamedBody {
    fn finish_at_end(&mut self) {
        if hyper::body::Body::is_end_stream(&self.body) {
            self.finish();
        }
    }

    /// Records that the answer arrived whole.
    fn finish(&mut self) {
        if let Some(mut guards) = self.guards.take() {
            guards.flight.finish();
            guards.track.record_served();
        }
        self.trial = None;
    }
}

/// Records that the answer was interrupted; the end of the body is delayed if the server crashed.
async fn record_interruption(guards: Option<RequestGuards>, error: BodyError) -> BodyError {
    if let Some(mut guards) = guards {
        guards
            .track
            .record_outcome(&Outcome::Unknown(Uncertainty::Interrupted));
        guards.track.record_interruption(&guards.running).await;
    }
    error
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.interruption.is_none() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Err(error)) => {
                    if let Some(mut trial) = self.trial.take() {
                        trial.record_interruption();
                    }
                    let guards = self.guards.take();
                    self.interruption = Some(Box::pin(record_interruption(guards, error)));
                }
                Some(Ok(frame)) => {
                    if let Some(guards) = &mut self.guards {
                        guards
                            .flight
                            .record_received(frame.data_ref().map_or(0, Bytes::len));
                    }
                    self.finish_at_end();
                    return Poll::Ready(Some(Ok(frame)));
                }
                None => {
                    self.finish();
                    return Poll::Ready(None);
                }
            }
        }
        match &mut self.interruption {
            Some(interruption) => {
                let error = ready!(interruption.as_mut().poll(cx));
                Poll::Ready(Some(Err(error)))
            }
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.interruption.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
