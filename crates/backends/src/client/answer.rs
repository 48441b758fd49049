//! Exchange of one request and its streamed answer.

use super::connection::Lease;
use super::{After, Before, Failure, NotRun};
use base::http::fields::EndToEnd;
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

/// Largest body, in bytes, that is read and discarded so that its connection can be kept.
const MAX_DRAIN_BYTES: usize = 16 * 1024;
/// Longest time for reading a body that is discarded.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Why the body of an answer ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Incomplete {
    Deadline,
    /// Only the close of the connection marks the end, so a truncated answer looks complete.
    Unmarked,
}

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deadline => "deadline passed before the answer was whole",
            Self::Unmarked => "answer has no end mark",
        })
    }
}

impl std::error::Error for Incomplete {}

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
    // The request is not given up: closing the connection would abort the server's work on it.
    if outcome.is_err() && first_byte < deadline {
        if socket.read() == read {
            lease.pool().record_silence();
        }
        outcome = timeout_at(deadline, &mut head).await;
    }
    drop(head);
    let failed = match outcome {
        Ok(Ok(response)) => {
            return accept(lease, response, id.as_ref(), written > 0, deadline).await;
        }
        // The connection works, but the bytes are not an HTTP answer or its head is too large.
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
    // A faulty server may repeat an earlier answer. If a repeated refusal were accepted as the
    // answer to this request, the request would run twice.
    let needs_echo = is_reused && (settings.echoes || not_run.is_some());
    let is_own = match response.headers().get(&names.request_id) {
        Some(echo) => Some(echo) == id,
        None => !needs_echo || id.is_none(),
    };
    // RFC 9110, section 15: other values are no status of a final answer.
    let is_final = (200..600).contains(&response.status().as_u16());
    if !is_own || !is_final {
        lease.end().await;
        return Err(Failure::After(After::WrongAnswer));
    }
    let chunked = is_chunked(response.headers());
    let marked = chunked || response.body().size_hint().exact().is_some();
    lease.apply_keep_alive(response.headers());
    let received = std::mem::take(response.headers_mut());
    *response.headers_mut() = EndToEnd::reduce_keeping(received, &names.kept).with([]);
    let response = response.map(|body| Answer::new(body, lease, deadline, marked).boxed_unsync());
    match not_run {
        None => Ok(response),
        Some(reason) => {
            drain(response.into_body()).await;
            Err(Failure::NotRun(reason))
        }
    }
}

/// Returns whether the last transfer coding is `chunked`, the only one that marks the end of a
/// body (RFC 9112, section 6.3).
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.map_or("", |value| value.to_str().unwrap_or_default());
    let coding = codings.rsplit(',').next().unwrap_or_default();
    coding.trim().eq_ignore_ascii_case("chunked")
}

/// Reads and discards a small body so that its connection can be kept; none if it did not end.
pub async fn drain(body: Body) -> Option<()> {
    timeout(DRAIN_TIMEOUT, read_to_end(body))
        .await
        .ok()
        .flatten()
}

async fn read_to_end(mut body: Body) -> Option<()> {
    let mut left = MAX_DRAIN_BYTES;
    while let Some(frame) = body.frame().await {
        let bytes = frame.ok()?.data_ref().map_or(0, Bytes::len);
        left = left.checked_sub(bytes)?;
    }
    Some(())
}

/// Body of an answer; returns its connection to the pool once the body is complete.
struct Answer {
    incoming: Incoming,
    lease: Option<Lease>,
    deadline: Pin<Box<Sleep>>,
    silence: Pin<Box<Sleep>>,
    read_timeout: Duration,
    waiting: bool,
    /// Whether the current pause was recorded as silence.
    silence_recorded: bool,
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
            silence_recorded: false,
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

    /// Closes the connection and returns the error of an incomplete answer.
    fn fail(
        &mut self,
        error: impl Into<BodyError>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.lease = None;
        Poll::Ready(Some(Err(error.into())))
    }

    /// Returns why the body must end now, if it must.
    ///
    /// A pause is recorded but does not end the body: the server may still be working, no other
    /// server can finish the answer, and the caller sees the pause itself. The pause counts only
    /// while the reader waits for the server, so a slow reader does not make the server look
    /// silent.
    fn overdue(&mut self, cx: &mut Context<'_>) -> Option<Incomplete> {
        if !self.waiting {
            self.waiting = true;
            self.silence_recorded = false;
            let limit = Instant::now() + self.read_timeout;
            self.silence.as_mut().reset(limit);
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Some(Incomplete::Deadline);
        }
        if !self.silence_recorded && self.silence.as_mut().poll(cx).is_ready() {
            self.silence_recorded = true;
            if let Some(lease) = &self.lease {
                lease.pool().record_silence();
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
            Poll::Ready(Some(Err(error))) => self.fail(error),
            Poll::Ready(None) if !self.marked => {
                let accepted = self.lease.as_ref().map(Lease::accepts_unmarked);
                match accepted {
                    Some(true) => {
                        self.lease = None;
                        Poll::Ready(None)
                    }
                    _ => self.fail(Incomplete::Unmarked),
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
                Some(reason) => self.fail(reason),
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
