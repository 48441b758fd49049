//! Exchange of one request and its streamed answer.

use super::connection::Lease;
use super::{After, Before, Failure, NotRun, remove_hop_headers};
use base::http::{Body, BodyError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until, timeout, timeout_at};

/// Largest body read to keep a connection whose answer is not passed on, in bytes.
const DRAIN_BYTES: usize = 16 * 1024;
/// Longest time spent on reading such a body.
const DRAIN_TIME: Duration = Duration::from_millis(100);

/// Why the body of an answer ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cut {
    Deadline,
    /// The end of the connection is the only end mark, so a cut can't be told from the end.
    Unmarked,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deadline => "deadline passed before the answer was whole",
            Self::Unmarked => "answer has no end mark",
        })
    }
}

impl std::error::Error for Cut {}

/// Sends a request on a leased connection and returns the answer once its head has arrived.
pub(super) async fn exchange(
    mut lease: Lease,
    request: Request<Body>,
    deadline: Instant,
) -> Result<Response<Body>, Failure> {
    let name = &lease.pool().0.settings.names.request_id;
    let id = request.headers().get(name).cloned();
    let Some(connection) = lease.connection() else {
        return Err(Failure::Before(Before::Stale));
    };
    let socket = connection.socket.clone();
    let (read, written) = (socket.read(), socket.written());
    let mut head = Box::pin(connection.sender.try_send_request(request));
    let read_timeout = lease.pool().0.settings.read_timeout;
    let first_byte = deadline.min(Instant::now() + read_timeout);
    let mut outcome = timeout_at(first_byte, &mut head).await;
    // Silence is a suspicion only: closing the connection would end what the server is at work on.
    if outcome.is_err() && first_byte < deadline {
        if socket.read() == read {
            lease.pool().suspect();
        }
        outcome = timeout_at(deadline, &mut head).await;
    }
    drop(head);
    let failed = match outcome {
        Ok(Ok(response)) => {
            return accept(lease, response, id.as_ref(), written > 0, deadline).await;
        }
        // The connection holds, but what came is no answer, or its head is too large.
        Ok(Err(error)) if error.error().is_parse() => After::WrongAnswer,
        Ok(Err(_)) => After::Interrupted,
        Err(_) if socket.read() == read && first_byte < deadline => After::Silent,
        Err(_) => After::Deadline,
    };
    let unsent = lease.end().await == written;
    Err(match failed {
        After::Deadline if unsent => Failure::Before(Before::Deadline),
        _ if unsent => Failure::Before(Before::Stale),
        _ => Failure::After(failed),
    })
}

/// Checks the head of an answer and wraps its body.
async fn accept(
    mut lease: Lease,
    mut response: Response<Incoming>,
    id: Option<&HeaderValue>,
    is_reused: bool,
    deadline: Instant,
) -> Result<Response<Body>, Failure> {
    let settings = &lease.pool().0.settings;
    let names = settings.names.clone();
    let header = names.not_run.as_ref();
    let reason = header.and_then(|name| response.headers().get(name));
    let not_run = reason.map(|value| NotRun::parse(value.to_str().unwrap_or_default()));
    // A faulty server may repeat an earlier answer. Taken for the answer to this request, a repeated
    // refusal would have it run twice.
    let needs_echo = is_reused && (settings.echoes || not_run.is_some());
    let is_own = match response.headers().get(&names.request_id) {
        Some(echo) => Some(echo) == id,
        None => !needs_echo || id.is_none(),
    };
    if !is_own {
        lease.end().await;
        return Err(Failure::After(After::WrongAnswer));
    }
    let chunked = is_chunked(response.headers());
    let marked = chunked || response.body().size_hint().exact().is_some();
    lease.announced(response.headers());
    remove_hop_headers(response.headers_mut());
    let response = response.map(|body| Answer::new(body, lease, deadline, marked).boxed_unsync());
    match not_run {
        None => Ok(response),
        Some(reason) => {
            drain(response.into_body()).await;
            Err(Failure::NotRun(reason))
        }
    }
}

/// Whether the last transfer coding is `chunked`, the only one that marks the end of a body (RFC 9112,
/// section 6.3).
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.map_or("", |value| value.to_str().unwrap_or_default());
    let coding = codings.rsplit(',').next().unwrap_or_default();
    coding.trim().eq_ignore_ascii_case("chunked")
}

/// Reads a small body to its end so that its connection can be kept; returns whether it ended.
pub async fn drain(body: Body) -> Option<()> {
    timeout(DRAIN_TIME, read_to_end(body)).await.ok().flatten()
}

async fn read_to_end(mut body: Body) -> Option<()> {
    let mut left = DRAIN_BYTES;
    while let Some(frame) = body.frame().await {
        let bytes = frame.ok()?.data_ref().map_or(0, Bytes::len);
        left = left.checked_sub(bytes)?;
    }
    Some(())
}

/// Body of an answer; returns its connection to the pool when it was whole.
struct Answer {
    incoming: Incoming,
    lease: Option<Lease>,
    deadline: Pin<Box<Sleep>>,
    silence: Pin<Box<Sleep>>,
    read_timeout: Duration,
    waiting: bool,
    /// Whether the present pause was taken for a sign of a silent path.
    suspected: bool,
    marked: bool,
}

impl Answer {
    fn new(incoming: Incoming, lease: Lease, deadline: Instant, marked: bool) -> Self {
        let read_timeout = lease.pool().0.settings.read_timeout;
        let mut answer = Self {
            incoming,
            lease: Some(lease),
            deadline: Box::pin(sleep_until(deadline)),
            silence: Box::pin(sleep_until(deadline)),
            read_timeout,
            waiting: false,
            suspected: false,
            marked,
        };
        answer.release_at_end();
        answer
    }

    fn release_at_end(&mut self) {
        if self.marked
            && self.incoming.is_end_stream()
            && let Some(lease) = self.lease.take()
        {
            lease.release();
        }
    }

    /// Closes the connection and returns the error of an interrupted answer.
    fn cut(
        &mut self,
        error: impl Into<BodyError>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.lease = None;
        Poll::Ready(Some(Err(error.into())))
    }

    /// Returns why the body may wait no longer. A pause is a suspicion only: the server may be at
    /// work, no other can finish the answer, and the caller sees the pause itself. Its time counts
    /// only while the reader waits for the server, so a slow reader makes no server look silent.
    fn overdue(&mut self, cx: &mut Context<'_>) -> Option<Cut> {
        if !self.waiting {
            self.waiting = true;
            self.suspected = false;
            let limit = Instant::now() + self.read_timeout;
            self.silence.as_mut().reset(limit);
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Some(Cut::Deadline);
        }
        if !self.suspected && self.silence.as_mut().poll(cx).is_ready() {
            self.suspected = true;
            if let Some(lease) = &self.lease {
                lease.pool().suspect();
            }
        }
        None
    }
}

impl hyper::body::Body for Answer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let ended = self.lease.is_none();
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            _ if ended => Poll::Ready(None),
            Poll::Ready(Some(Ok(frame))) => {
                self.waiting = false;
                self.release_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => self.cut(error),
            Poll::Ready(None) if !self.marked => {
                let accepted = self.lease.as_ref().map(Lease::accepts_unmarked);
                match accepted {
                    Some(true) => {
                        self.lease = None;
                        Poll::Ready(None)
                    }
                    _ => self.cut(Cut::Unmarked),
                }
            }
            Poll::Ready(None) => {
                if let Some(lease) = self.lease.take() {
                    lease.release();
                }
                Poll::Ready(None)
            }
            Poll::Pending => match self.overdue(cx) {
                None => Poll::Pending,
                Some(cut) => self.cut(cut),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.lease.is_none() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
