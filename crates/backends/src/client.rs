//! Pool of HTTP/1.1 connections to one backend server.

mod answer;
mod connection;
mod failure;
mod outgoing;
mod stream;

pub use answer::drain;
pub use failure::{After, Before, Failure, NotRun};
pub use outgoing::Outgoing;

use base::http::Body;
use connection::{Connection, Lease};
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use hyper::{Request, Response, Uri};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, timeout, timeout_at};

/// Header in which a server says that it did not run the request; its value is the reason.
pub const NOT_RUN: &str = "x-not-run";
/// Header with the time left for the request in milliseconds, counted from when it is sent.
pub const DEADLINE: &str = "x-deadline-ms";
/// Header with the request id; an answer that echoes another id is refused.
pub const REQUEST_ID: &str = "x-request-id";

/// Longest wait until an idle connection is ready for the next request.
///
/// A connection that is still sending the previous request body is not usable.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Names of the headers that a pool reads and writes.
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// Id of the request; an answer that echoes another id is refused.
    pub request_id: HeaderName,
    /// Time left for the request in milliseconds.
    pub deadline: HeaderName,
    /// Present on answers of servers that did not run the request. None if such answers are
    /// returned unchanged, for a caller that needs more of them than the reason.
    pub not_run: Option<HeaderName>,
    /// Key of callers, which is not sent to the server.
    pub key: HeaderName,
    /// Fields of answers that their `Connection` does not remove.
    pub kept: Vec<HeaderName>,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static(REQUEST_ID),
            deadline: HeaderName::from_static(DEADLINE),
            not_run: Some(HeaderName::from_static(NOT_RUN)),
            key: AUTHORIZATION,
            kept: vec![
                HeaderName::from_static(REQUEST_ID),
                HeaderName::from_static(NOT_RUN),
            ],
        }
    }
}

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Names of headers.
    pub names: Names,
    /// Whether the server echoes the id of the request in all answers. If not, the id is required
    /// only in refusals on a connection that served another request.
    pub echoes: bool,
    /// Whether an answer without a length is complete when its connection is closed in order.
    pub accept_unmarked: bool,
    /// Longest time for which sent bytes may stay unacknowledged, to detect a silent path.
    pub unacknowledged_timeout: Option<Duration>,
    /// Most connections open at once: this VM's part of the server's limit.
    pub connections: usize,
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Time without a byte of an awaited answer after which idle connections to the server are
    /// probed. The request itself stays with the server, which may still be running it.
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Path of probes on idle connections after another connection to the server stayed silent.
    pub probe_path: Box<str>,
    /// Longest time for the answer to a probe.
    pub probe_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            names: Names::default(),
            echoes: false,
            accept_unmarked: false,
            unacknowledged_timeout: None,
            connections: 32,
            connect_timeout: Duration::from_secs(1),
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
            probe_path: "/health".into(),
            probe_timeout: Duration::from_millis(500),
        }
    }
}

/// Events of a pool since its start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections made.
    pub opened: AtomicU64,
    /// Requests sent on a connection that served another one before.
    pub reused: AtomicU64,
    /// Number of times that no byte of an answer arrived within the read timeout.
    pub silent: AtomicU64,
    /// Idle connections that were closed, had unexpected bytes or failed a probe.
    pub dropped: AtomicU64,
    /// Connections closed with an unfinished request: cancelled, interrupted or past its deadline.
    pub interrupted: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    settings: Settings,
    // NOTE: a connection is opened only while no idle one exists, and each connection in use
    // holds a permit, so open connections never exceed the permits.
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
    counts: Counts,
    /// Whether requests may be handed to the server.
    is_open: AtomicBool,
    /// Wakes requests that wait for a connection when the pool closes.
    closing: Notify,
}

/// Connections to one backend server; clones share them.
#[derive(Debug, Clone)]
pub struct Pool(Arc<Shared>);

impl Shared {
    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    /// Makes an empty pool for the server at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self(Arc::new(Shared {
            address,
            permits: Arc::new(Semaphore::new(settings.connections)),
            settings,
            idle: Mutex::default(),
            counts: Counts::default(),
            is_open: AtomicBool::new(true),
            closing: Notify::new(),
        }))
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns the events counted so far.
    pub fn counts(&self) -> &Counts {
        &self.0.counts
    }

    /// Returns the number of connections that a request or probe uses now.
    pub fn in_use(&self) -> usize {
        self.0.settings.connections - self.0.permits.available_permits()
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.0.idle().len()
    }

    /// Closes all idle connections, as when the server leaves.
    pub fn close_idle(&self) {
        self.0.idle().clear();
    }

    /// Lets requests through to the server, or not; what the server already has goes on. While
    /// closed, no connection stays idle, and requests that wait for one fail as not sent.
    pub fn set_open(&self, is_open: bool) {
        let was_open = self.0.is_open.swap(is_open, Ordering::Relaxed);
        if was_open && !is_open {
            self.close_idle();
            self.0.closing.notify_waiters();
        }
    }

    /// Waits until requests may no longer be handed to the server.
    async fn closed(&self) {
        loop {
            let closing = self.0.closing.notified();
            if !self.0.is_open.load(Ordering::Relaxed) {
                return;
            }
            closing.await;
        }
    }

    /// Sends a request and returns the answer as soon as its head has arrived.
    ///
    /// The body of the answer fails when the answer is interrupted or unfinished at the deadline. A
    /// server that stays silent, before the head or in the middle of the body, keeps the request
    /// until the deadline; only idle connections to it are probed. The caller's key is removed
    /// from the headers.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], which says whether the server may have run the request.
    pub async fn send(
        &self,
        request: impl Into<Outgoing>,
        deadline: std::time::Instant,
    ) -> Result<Response<Body>, Failure> {
        let deadline = Instant::from_std(deadline);
        if deadline <= Instant::now() {
            return Err(Failure::Before(Before::Deadline));
        }
        let lease = tokio::select! {
            biased;
            () = self.closed() => Err(Before::Closed),
            lease = self.acquire(deadline) => lease,
        };
        let lease = lease.map_err(Failure::Before)?;
        let request = self.downstream(request.into(), deadline);
        answer::exchange(lease, request, deadline).await
    }

    /// Takes a usable idle connection or makes one.
    async fn acquire(&self, deadline: Instant) -> Result<Lease, Before> {
        let shared = &self.0;
        let permit = match timeout_at(deadline, shared.permits.clone().acquire_owned()).await {
            Ok(Ok(permit)) => permit,
            _ => return Err(Before::Busy),
        };
        let now = Instant::now();
        loop {
            let Some(mut connection) = shared.idle().pop() else {
                break;
            };
            let is_fresh = connection.idle_until(shared.settings.idle_timeout) >= now;
            if is_fresh && connection.is_usable(READY_TIMEOUT).await {
                count(&shared.counts.reused);
                return Ok(Lease::new(connection, permit, self.clone()));
            }
            count(&shared.counts.dropped);
        }
        let limit = deadline.min(Instant::now() + shared.settings.connect_timeout);
        let connection = timeout_at(limit, Connection::open(shared.address, &shared.settings))
            .await
            .map_err(|_| Before::ConnectTimeout)?
            .map_err(|_| Before::ConnectRefused)?;
        count(&shared.counts.opened);
        Ok(Lease::new(connection, permit, self.clone()))
    }

    /// Returns the request that the server would get now, without a connection.
    pub fn preview(&self, outgoing: Outgoing) -> Request<Body> {
        self.downstream(outgoing, Instant::now())
    }

    /// Builds the request that the server gets.
    fn downstream(&self, outgoing: Outgoing, deadline: Instant) -> Request<Body> {
        let Outgoing {
            method,
            uri,
            received,
            mut added,
            body,
        } = outgoing;
        let left = deadline.saturating_duration_since(Instant::now());
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        added.push((
            self.0.settings.names.deadline.clone(),
            HeaderValue::from(millis),
        ));
        let mut headers = received.with(added);
        headers.remove(&self.0.settings.names.key);
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&self.0.address.to_string())
        {
            headers.insert(HOST, host);
        }
        let mut request = Request::new(body);
        *request.method_mut() = method;
        let path = uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
        *request.headers_mut() = headers;
        request
    }

    /// Records a silent answer: probes the idle connections in the background and keeps those that
    /// answer.
    ///
    /// A path that lost its state (a firewall, a failed switch) silences many connections at
    /// once; the probes find them before a request is sent on them.
    fn record_silence(&self) {
        count(&self.0.counts.silent);
        let connections = std::mem::take(&mut *self.0.idle());
        for connection in connections {
            let Ok(permit) = self.0.permits.clone().try_acquire_owned() else {
                count(&self.0.counts.dropped);
                continue;
            };
            let lease = Lease::new(connection, permit, self.clone());
            tokio::spawn(async move {
                let pool = lease.pool().clone();
                if !probe(lease, &pool.0.settings).await {
                    count(&pool.0.counts.dropped);
                }
            });
        }
    }
}

/// Sends a probe on an idle connection; returns whether it was answered and the connection kept.
async fn probe(lease: Lease, settings: &Settings) -> bool {
    let mut request = Request::new(base::http::full(""));
    let Ok(path) = settings.probe_path.parse::<Uri>() else {
        return false;
    };
    *request.uri_mut() = path;
    let deadline = Instant::now() + settings.probe_timeout;
    let request = lease.pool().downstream(request.into(), deadline);
    let answered = async {
        let answer = answer::exchange(lease, request, deadline).await.ok()?;
        drain(answer.into_body()).await
    };
    matches!(
        timeout(settings.probe_timeout, answered).await,
        Ok(Some(()))
    )
}
