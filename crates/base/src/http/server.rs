//! HTTP/1.1 server with limits on connections, request heads and their time.

mod rest;

use super::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use rest::{Answering, Connections, OpenConnection};
use std::convert::Infallible;
use std::error::Error;
use std::future::{Future, Ready, ready};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Limits of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Most connections served at once; further ones wait in the listen queue.
    pub connections: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Most header fields of a request.
    pub headers: usize,
    /// Longest time for a client to send a request head.
    pub head_timeout: Duration,
    /// Longest wait of a stopping server for its requests in flight.
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_bytes: 16 * 1024,
            headers: 64,
            head_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// Pause after a failed `accept`, to prevent a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time between two checks for connections that have rested too long.
const REST_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Serves connections until `stop` is cancelled, then waits for the requests in flight.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let rest = Rest {
        limit: || limits.head_timeout,
        is_full: Arc::default(),
    };
    serve_resting(listener, limits, rest, stop, handler).await;
}

/// How long connections may rest, and what a server tells of its room.
#[derive(Debug)]
pub struct Rest<L> {
    /// Returns how long a connection may rest between two requests now.
    pub limit: L,
    /// Set while a new connection waits because all others have requests.
    pub is_full: Arc<AtomicBool>,
}

/// An accepted connection: its stream, what answers its requests, and when it may end.
#[derive(Debug)]
pub struct Session<I, H, R> {
    /// Stream that is read and written.
    pub stream: I,
    /// Answers a request; an error ends the connection.
    pub handler: H,
    /// Called once when the server wants the connection to end. The connection ends after the
    /// request that is under way when the returned future is ready; the future is polled whenever the
    /// connection is.
    pub release: R,
}

/// Serves connections as [`serve`] does. If all are taken, the one that has waited longest for a
/// request gives way to a new one.
pub async fn serve_resting<H, F>(
    listener: TcpListener,
    limits: Limits,
    rest: Rest<impl Fn() -> Duration>,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let open = |stream, peer| {
        let handler = handler.clone();
        Session {
            stream,
            handler: move |request| {
                let answer = handler(request, peer);
                async move { Ok::<_, Infallible>(answer.await) }
            },
            release: || -> Ready<()> { ready(()) },
        }
    };
    serve_sessions(listener, limits, rest, stop, open).await;
}

/// Serves connections as [`serve_resting`] does, each by the session that `open` returns for it.
pub async fn serve_sessions<I, H, F, E, R, W>(
    listener: TcpListener,
    limits: Limits,
    rest: Rest<impl Fn() -> Duration>,
    stop: CancellationToken,
    open: impl Fn(TcpStream, SocketAddr) -> Session<I, H, R>,
) where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>, E>> + Send + 'static,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
    R: FnOnce() -> W + Send + 'static,
    W: Future<Output = ()> + Send,
{
    let Rest { limit, is_full } = rest;
    let tasks = TaskTracker::new();
    let slots = Arc::new(Semaphore::new(limits.connections));
    let connections = Connections::default();
    // It runs beside accepting: a connection that waits for a slot must outlive a check.
    let checks = async {
        let mut checks = tokio::time::interval(REST_CHECK_INTERVAL);
        loop {
            checks.tick().await;
            connections.close_rested(limit(), Instant::now());
        }
    };
    let mut checks = std::pin::pin!(checks);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            () = &mut checks => continue,
            accepted = accept(&listener, &slots, &connections, &is_full) => accepted,
        };
        let Some((stream, peer, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let entry = connections.open(Instant::now());
        let session = open(stream, peer);
        let release = session.release;
        let connection = connection(session.stream, limits, entry.answering(), session.handler);
        let stop = stop.clone();
        tasks.spawn(async move {
            if let Err(error) = run(connection, release, &entry, &stop).await {
                log::debug!("connection of {peer} ended: {error}");
            }
            drop(slot);
        });
    }
    drop(listener);
    tasks.close();
    if tokio::time::timeout(limits.drain_timeout, tasks.wait())
        .await
        .is_err()
    {
        log::warn!("requests were still in flight when the drain timeout passed");
    }
}

/// Runs a connection to its end; when the server stops or when it gives way to another, it ends
/// after the request that is under way once it is released.
async fn run<I, S, W>(
    connection: http1::Connection<TokioIo<I>, S>,
    release: impl FnOnce() -> W,
    entry: &OpenConnection,
    stop: &CancellationToken,
) -> hyper::Result<()>
where
    I: AsyncRead + AsyncWrite + Unpin,
    S: HttpService<Incoming, ResBody = Body, Error: Into<Box<dyn Error + Send + Sync>>>,
    W: Future<Output = ()>,
{
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return result,
        () = stop.cancelled() => {}
        // Nothing was read of a connection without a request, and hyper would wait for one.
        () = entry.close.notified() => if entry.is_fresh() {
            return Ok(());
        }
    }
    tokio::select! {
        biased;
        () = release() => {}
        result = connection.as_mut() => return result,
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Accepts a connection; waits for a slot if all are taken, and sets `is_full` meanwhile.
async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    connections: &Connections,
    is_full: &AtomicBool,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let (stream, peer) = match listener.accept().await {
        Ok(accepted) => accepted,
        Err(error) => {
            log::warn!("could not accept a connection: {error}");
            return None;
        }
    };
    let _ = stream.set_nodelay(true);
    if let Ok(slot) = slots.clone().try_acquire_owned() {
        return Some((stream, peer, slot));
    }
    connections.close_longest_waiting();
    is_full.store(true, Ordering::Relaxed);
    let slot = slots.clone().acquire_owned().await.ok();
    is_full.store(false, Ordering::Relaxed);
    Some((stream, peer, slot?))
}

fn connection<I, H, F, E>(
    stream: I,
    limits: Limits,
    begin: impl Fn() -> Answering + Send + 'static,
    handler: H,
) -> http1::Connection<
    TokioIo<I>,
    impl HttpService<
        Incoming,
        ResBody = Body,
        Error = E,
        Future = impl Future<Output = Result<Response<Body>, E>> + Send,
    >,
>
where
    I: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>, E>> + Send + 'static,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let service = service_fn(move |request| {
        let answering = begin();
        let answer = handler(request);
        async move {
            let answer = answer.await;
            drop(answering);
            answer
        }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service)
}
