//! Answers the caller.

use crate::forward::{Answer, Forwarded};
use crate::release::Trial;
use crate::server::Flight;
use base::http::{Body, BodyError};
use bytes::Bytes;
use callers::{header, outcome};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue};
use std::pin::Pin;
use std::task::{Context, Poll};
use steering::attempt::Outcome;

/// Builds the answer to the caller from what became of its request.
pub fn reply(id: &str, forwarded: Forwarded) -> Response<Body> {
    let mut response = match forwarded {
        Ok(answer) => served(answer),
        Err(outcome) => outcome::response(&outcome),
    };
    if let Ok(value) = HeaderValue::from_str(id) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(header::REQUEST_ID), value);
    }
    response
}

fn served(answer: Answer) -> Response<Body> {
    let Answer {
        response,
        flight,
        trial,
    } = answer;
    let mut response = response.map(|body| {
        Streamed {
            body,
            _flight: flight,
            trial,
        }
        .boxed_unsync()
    });
    outcome::mark(response.headers_mut(), &Outcome::Served);
    response
}

/// Body that keeps its request counted as in flight until it ends.
struct Streamed {
    body: Body,
    _flight: Flight,
    trial: Option<Trial>,
}

impl hyper::body::Body for Streamed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let (Poll::Ready(Some(Err(_))), Some(trial)) = (&polled, &mut self.trial) {
            trial.interrupted();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
