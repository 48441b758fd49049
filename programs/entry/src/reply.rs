//! Answers the caller.

use crate::forward::Answer;
use crate::quarantine::tracker::RequestTracker;
use crate::release::Observation;
use crate::route::Flight;
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

/// Answer of a backend server.
#[derive(Debug)]
pub enum Ended {
    /// It streams; what must be recorded of the request ends with it.
    Streamed(Box<Answer>, RequestTracker),
    /// It came whole through another entry.
    Whole(Response<Body>),
}

/// Builds the answer to the caller from what became of its request.
pub fn reply(id: &str, forwarded: Result<Ended, Outcome>) -> Response<Body> {
    let mut response = match forwarded {
        Ok(Ended::Streamed(answer, track)) => served(*answer, track),
        Ok(Ended::Whole(response)) => response,
        Err(outcome) => outcome::response(&outcome),
    };
    if let Ok(value) = HeaderValue::from_str(id) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(header::REQUEST_ID), value);
    }
    response
}

fn served(answer: Answer, track: RequestTracker) -> Response<Body> {
    let Answer {
        response,
        flight,
        running,
        trial,
    } = answer;
    let mut response = response.map(|body| {
        let mut streamed = Streamed {
            body,
            open: Some(Open {
                flight,
                running,
                track,
            }),
            trial,
            cut: None,
        };
        streamed.close_at_end();
        streamed.boxed_unsync()
    });
    outcome::mark(response.headers_mut(), &Outcome::Served);
    response
}

/// What ends with the answer.
struct Open {
    flight: Flight,
    running: RequestGuard,
    track: RequestTracker,
}

/// Body that keeps its request counted as in flight until it ends.
struct Streamed {
    body: Body,
    open: Option<Open>,
    /// Evidence of a release; recorded when the answer ends.
    trial: Option<Box<Observation>>,
    /// Set once the answer was interrupted; ends with the error for the caller.
    cut: Option<Pin<Box<dyn Future<Output = BodyError> + Send>>>,
}

impl Streamed {
    fn close_at_end(&mut self) {
        if hyper::body::Body::is_end_stream(&self.body) {
            self.close();
        }
    }

    /// Records that the answer was whole.
    fn close(&mut self) {
        if let Some(mut open) = self.open.take() {
            open.flight.finish();
            open.track.record_served();
        }
        self.trial = None;
    }
}

/// Records that the answer was interrupted; the end is held if the server crashed.
async fn cut(open: Option<Open>, error: BodyError) -> BodyError {
    if let Some(mut open) = open {
        open.track
            .record_outcome(&Outcome::Unknown(Uncertainty::Interrupted));
        open.track.record_interruption(&open.running).await;
    }
    error
}

impl hyper::body::Body for Streamed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.cut.is_none() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Err(error)) => {
                    if let Some(mut trial) = self.trial.take() {
                        trial.record_interruption();
                    }
                    let open = self.open.take();
                    self.cut = Some(Box::pin(cut(open, error)));
                }
                Some(Ok(frame)) => {
                    if let Some(open) = &mut self.open {
                        open.flight.received(frame.data_ref().map_or(0, Bytes::len));
                    }
                    self.close_at_end();
                    return Poll::Ready(Some(Ok(frame)));
                }
                None => {
                    self.close();
                    return Poll::Ready(None);
                }
            }
        }
        match &mut self.cut {
            Some(cut) => {
                let error = ready!(cut.as_mut().poll(cx));
                Poll::Ready(Some(Err(error)))
            }
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.cut.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
