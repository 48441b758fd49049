//! HTTP/1.1 server with limits on connections, request heads and their time.

use super::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

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

/// Serves connections until `stop` is cancelled, then waits for the requests in flight.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        let Some((stream, peer, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = connection(stream, peer, limits, handler.clone());
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                log::debug!("connection of {peer} ended: {error}");
            }
            drop(slot);
        });
    }
    drop(listener);
    if tokio::time::timeout(limits.drain_timeout, graceful.shutdown())
        .await
        .is_err()
    {
        log::warn!("requests were still in flight when the drain timeout passed");
    }
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let slot = slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, peer, slot))
        }
        Err(error) => {
            log::warn!("could not accept a connection: {error}");
            None
        }
    }
}

fn connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: H,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::HttpService<
        Incoming,
        ResBody = Body,
        Error = Infallible,
        Future = impl Future<Output = Result<Response<Body>, Infallible>> + Send,
    >,
>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answer = handler(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service)
}
