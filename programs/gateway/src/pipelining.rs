//! Further requests of a caller's connection, started while an earlier one is under way.
//!
//! The server reads, frames and answers the requests of a connection one after the other. While it
//! waits for an answer, the bytes behind that request are read as well; requests without a body of
//! idempotent routes are started, and their answers returned when the server gets to them. A request
//! is not started before all requests in front of it are such requests, so that a read never
//! overtakes a write that the caller sent before it.

mod position;
mod stream;

pub use position::{Head, Position, body_bytes};
pub use stream::Stream;

use crate::answer_memory::HeldAhead;
use crate::pipeline;
use crate::receive::{self, RequestHead};
use crate::shared::Shared;
use base::http::Body;
use base::sync::lock;
use bytes::{Bytes, BytesMut};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use peers::report::Phase;
use std::collections::VecDeque;
use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// Most requests of a connection that are read ahead.
pub const MAX_WAITING: usize = 8;
/// Most bytes of a connection that are read ahead.
pub const MAX_AHEAD_BYTES: usize = 64 * 1024;
/// Bytes that are read at once.
const READ_BYTES: usize = 4 * 1024;

/// A connection ends without an answer to its current request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ended {
    /// The caller left.
    Left,
    /// A request that was started ahead ended without an answer.
    Failed,
}

impl Display for Ended {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Left => "the caller left",
            Self::Failed => "a request that was started ahead failed",
        })
    }
}

impl Error for Ended {}

/// What tells a request from others of its connection.
#[derive(Debug, Clone, PartialEq)]
struct Identity {
    method: Method,
    uri: Uri,
    id: Option<HeaderValue>,
    body_bytes: Option<u64>,
}

impl Identity {
    fn of<B>(request: &Request<B>) -> Self {
        Self {
            method: request.method().clone(),
            uri: request.uri().clone(),
            id: request.headers().get(adapter::header::REQUEST_ID).cloned(),
            body_bytes: body_bytes(request),
        }
    }
}

/// Returns whether a request is a read without a body.
fn is_read(method: &Method, body_bytes: Option<u64>) -> bool {
    body_bytes == Some(0) && matches!(*method, Method::GET | Method::HEAD)
}

/// Request that the server has passed to the handler.
#[derive(Debug)]
enum Current {
    /// There is none.
    None,
    /// Nothing is started until it is answered.
    Exclusive,
    /// A read; its route is looked up when a further request arrives.
    Read { host: Box<str>, uri: Uri },
}

/// Request that was started ahead.
#[derive(Debug)]
struct Started {
    answer: AbortOnDropHandle<Response<Body>>,
    /// Cancelled when its turn has come.
    turn: CancellationToken,
    _held: HeldAhead,
}

/// Request whose head was read ahead.
#[derive(Debug)]
struct Waiting {
    identity: Identity,
    arrived_at: Instant,
    /// Request that may be started; none if it is started or has to wait for its turn.
    request: Option<Request<Empty<Bytes>>>,
    started: Option<Started>,
}

/// State of a connection. The stream, the handler and the release of the connection share it; all
/// of them run in the connection's task.
#[derive(Debug)]
struct State {
    stream: TcpStream,
    position: Position,
    /// Bytes that were read ahead of the server.
    read_ahead: BytesMut,
    current: Current,
    /// Requests behind the current one, in their order. Those that are started come first.
    waiting: VecDeque<Waiting>,
    is_released: bool,
}

/// Connection of a caller.
#[derive(Debug, Clone)]
pub struct Connection {
    state: Arc<Mutex<State>>,
    shared: Arc<Shared>,
}

impl Connection {
    /// Creates the state of an accepted connection.
    pub fn new(stream: TcpStream, shared: Arc<Shared>) -> Self {
        let state = State {
            stream,
            position: Position::default(),
            read_ahead: BytesMut::new(),
            current: Current::None,
            waiting: VecDeque::new(),
            is_released: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            shared,
        }
    }

    /// Returns the stream that the server reads and writes.
    pub fn stream(&self) -> Stream {
        Stream(self.state.clone())
    }

    /// Answers the next request of the connection. While it waits for the answer, further requests
    /// are read and started.
    ///
    /// # Errors
    ///
    /// Fails if the caller leaves meanwhile, or if a request that was started ahead failed.
    pub fn answer(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Ended>> + Send + use<> {
        let (arrived_at, started) = lock(&self.state).begin(&request);
        let Self { state, shared } = self.clone();
        async move {
            let answer = async {
                match started {
                    Some(started) => started.finish(&shared).await,
                    None => {
                        let head = receive::read_head(request, arrived_at);
                        Ok(pipeline::handle(head, shared.clone()).await)
                    }
                }
            };
            let mut answer = std::pin::pin!(answer);
            let mut response = poll_fn(|cx| {
                if let Err(ended) = lock(&state).poll_further(&shared, cx) {
                    return Poll::Ready(Err(ended));
                }
                answer.as_mut().poll(cx)
            })
            .await?;
            lock(&state).finish(&mut response, &shared);
            Ok(response)
        }
    }

    /// Ends the start of further requests; returns when all that were started have come to their
    /// turn. The returned future has to be polled whenever the connection is.
    pub fn release(&self) -> impl Future<Output = ()> + Send + use<> {
        lock(&self.state).is_released = true;
        let state = self.state.clone();
        poll_fn(move |_| match lock(&state).has_started() {
            true => Poll::Pending,
            false => Poll::Ready(()),
        })
    }
}

impl Started {
    fn new(mut head: RequestHead<Empty<Bytes>>, held: HeldAhead, shared: &Arc<Shared>) -> Self {
        let turn = CancellationToken::new();
        head.request.turn = Some(turn.clone());
        let answer = tokio::spawn(pipeline::handle(head, shared.clone()));
        shared.metrics.record_started_ahead();
        Self {
            answer: AbortOnDropHandle::new(answer),
            turn,
            _held: held,
        }
    }

    /// Waits for the answer, now that its turn has come.
    async fn finish(self, shared: &Shared) -> Result<Response<Body>, Ended> {
        if self.answer.is_finished() {
            shared.metrics.record_held_answer();
        }
        self.turn.cancel();
        self.answer.await.map_err(|_| Ended::Failed)
    }
}

impl State {
    /// Takes bytes that were read ahead; returns whether there were any.
    fn take_read_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        if self.read_ahead.is_empty() {
            return false;
        }
        let count = self.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&self.read_ahead.split_to(count));
        if self.read_ahead.is_empty() {
            self.read_ahead = BytesMut::new();
        }
        true
    }

    /// Takes note of bytes that were read.
    fn observe(&mut self, bytes: &[u8]) {
        let is_busy = !matches!(self.current, Current::None) || !self.waiting.is_empty();
        self.position.observe(bytes, is_busy);
    }

    /// Begins the next request; returns when its head had arrived, and what was started for it.
    fn begin(&mut self, request: &Request<Incoming>) -> (Instant, Option<Started>) {
        let now = Instant::now();
        let body_bytes = body_bytes(request);
        self.current = match is_read(request.method(), body_bytes) {
            true => Current::Read {
                host: receive::host(request),
                uri: request.uri().clone(),
            },
            false => Current::Exclusive,
        };
        if self.position.passes_head(body_bytes) {
            return (now, None);
        }
        if self.waiting.is_empty() {
            self.read_heads(None);
        }
        match self.waiting.pop_front() {
            Some(waiting) if waiting.identity == Identity::of(request) => {
                (waiting.arrived_at, waiting.started)
            }
            _ => {
                self.waiting.clear();
                self.position.lose();
                (now, None)
            }
        }
    }

    /// Ends the current request. Its answer closes the connection only if nothing behind it was
    /// started, and always does so at a stop.
    fn finish(&mut self, response: &mut Response<Body>, shared: &Shared) {
        self.current = Current::None;
        let headers = response.headers_mut();
        if self.has_started() {
            headers.remove(CONNECTION);
        } else if self.is_released || shared.phase() == Phase::Leaving {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    fn has_started(&self) -> bool {
        let first = self.waiting.front();
        first.is_some_and(|waiting| waiting.started.is_some())
    }

    /// Reads and starts further requests. Does nothing as long as the caller has sent none: the
    /// server reads then, and finds out whether the caller leaves.
    fn poll_further(&mut self, shared: &Arc<Shared>, cx: &mut Context<'_>) -> Result<(), Ended> {
        if self.position.kept_bytes() == 0 && self.waiting.is_empty() {
            return Ok(());
        }
        loop {
            self.read_heads(Some(shared));
            self.start(shared);
            if self.position.kept_bytes().max(self.read_ahead.len()) >= MAX_AHEAD_BYTES {
                return Ok(());
            }
            let mut bytes = [0; READ_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Pending => return Ok(()),
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.observe(buffer.filled());
                    self.read_ahead.extend_from_slice(buffer.filled());
                }
                Poll::Ready(_) => return Err(Ended::Left),
            }
        }
    }

    /// Adds the requests whose heads are complete to those that wait.
    fn read_heads(&mut self, shared: Option<&Shared>) {
        while self.waiting.len() < MAX_WAITING
            && let Some(Head { request, .. }) = self.position.next_head()
        {
            let identity = Identity::of(&request);
            let is_read = is_read(&identity.method, identity.body_bytes);
            self.waiting.push_back(Waiting {
                identity,
                request: is_read.then(|| request.map(|()| Empty::new())),
                arrived_at: Instant::now(),
                started: None,
            });
            if let Some(shared) = shared {
                shared.metrics.record_depth(self.waiting.len());
            }
        }
    }

    /// Starts waiting requests up to the first that has to wait for its turn.
    fn start(&mut self, shared: &Arc<Shared>) {
        let is_started = |waiting: &Waiting| waiting.started.is_some();
        let is_stopping = self.is_released || shared.phase() == Phase::Leaving;
        if is_stopping || self.waiting.iter().all(is_started) {
            return;
        }
        let Some(table) = shared.table() else {
            return;
        };
        let is_idempotent = |host: &str, uri: &Uri| {
            let route = table.route(host, uri.path());
            route.is_ok_and(|route| route.idempotent)
        };
        if let Current::Read { host, uri } = &self.current
            && !is_idempotent(host, uri)
        {
            self.current = Current::Exclusive;
        }
        if !matches!(self.current, Current::Read { .. }) {
            return;
        }
        for waiting in self.waiting.iter_mut().filter(|w| !is_started(w)) {
            let read = waiting.request.take();
            let read = read.filter(|r| is_idempotent(&receive::host(r), r.uri()));
            let Some(request) = read else {
                return;
            };
            let Some(held) = shared.answers.hold_ahead() else {
                waiting.request = Some(request);
                return;
            };
            let head = receive::read_head(request, waiting.arrived_at);
            waiting.started = Some(Started::new(head, held, shared));
        }
    }
}
