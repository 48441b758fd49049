//! One connection, and its use by one request.

use super::stream::{Socket, Stream};
use super::{Pool, Settings, count};
use base::http::Body;
use hyper::HeaderMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use socket2::TcpKeepalive;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body>,
    pub(super) socket: Arc<Socket>,
    driver: JoinHandle<()>,
    idle_since: Instant,
    /// Longest idle time that the server announced.
    idle_limit: Option<Duration>,
}

/// Time before the announced end of an idle connection from which it is no longer used, so that
/// a request still arrives in time.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

impl Connection {
    pub(super) async fn open(address: SocketAddr, settings: &Settings) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        if let Some(limit) = settings.unacknowledged_timeout {
            let socket = socket2::SockRef::from(&stream);
            // NOTE: without these options, requests still end by their deadlines.
            let probes = TcpKeepalive::new().with_time(limit).with_interval(limit);
            let set = socket.set_tcp_user_timeout(Some(limit));
            if let Err(error) = set.and_then(|()| socket.set_tcp_keepalive(&probes)) {
                log::debug!(
                    "could not set the socket timeouts of the connection to {address}: {error}"
                );
            }
        }
        let socket = Socket::new(stream);
        let io = TokioIo::new(Stream(socket.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let closing = socket.clone();
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
            // The pool may hold the socket for longer, but the server must see the close now.
            closing.close();
        });
        Ok(Self {
            sender,
            socket,
            driver,
            idle_since: Instant::now(),
            idle_limit: None,
        })
    }

    /// Returns the time until which the connection may be used; it may stay idle for `max_idle`.
    pub(super) fn idle_until(&self, max_idle: Duration) -> Instant {
        let announced = self.idle_limit.map(|l| l.saturating_sub(IDLE_MARGIN));
        self.idle_since + announced.map_or(max_idle, |limit| limit.min(max_idle))
    }

    /// Returns whether the next request can be sent on this idle connection.
    pub(super) async fn is_usable(&mut self, ready_timeout: Duration) -> bool {
        // The second check finds bytes that arrived while the connection became ready.
        self.socket.has_no_input()
            && matches!(
                timeout(ready_timeout, self.sender.ready()).await,
                Ok(Ok(()))
            )
            && self.socket.has_no_input()
    }

    /// Stops the connection's task; no more bytes are written afterwards.
    pub(super) async fn end(mut self) -> Arc<Socket> {
        self.driver.abort();
        let _ = (&mut self.driver).await;
        self.socket.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.socket.close();
    }
}

/// Use of a connection by one request; closes the connection if dropped before its release.
#[derive(Debug)]
pub(super) struct Lease {
    connection: Option<Connection>,
    permit: Option<OwnedSemaphorePermit>,
    pool: Pool,
}

impl Lease {
    pub(super) fn new(connection: Connection, permit: OwnedSemaphorePermit, pool: Pool) -> Self {
        Self {
            connection: Some(connection),
            permit: Some(permit),
            pool,
        }
    }

    pub(super) fn pool(&self) -> &Pool {
        &self.pool
    }

    pub(super) fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Applies the idle timeout that the server announced in its `keep-alive` header.
    pub(super) fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let text = headers.get("keep-alive").map(HeaderValue::to_str);
        let Some(Ok(text)) = text else {
            return;
        };
        let seconds = text
            .split(',')
            .filter_map(|part| part.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.parse().ok());
        if let (Some(connection), Some(seconds)) = (&mut self.connection, seconds) {
            connection.idle_limit = Some(Duration::from_secs(seconds));
        }
    }

    /// Returns whether an answer without a length may end with its connection.
    pub(super) fn accepts_unmarked(&self) -> bool {
        self.pool.0.settings.accept_unmarked
    }

    /// Returns the connection to the pool after a complete answer.
    pub(super) fn release(mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.idle_since = Instant::now();
            if self.pool.0.is_open.load(Ordering::Relaxed) {
                self.pool.0.idle().push(connection);
            }
        }
    }

    /// Closes the connection and returns the number of bytes written to it since it was opened.
    pub(super) async fn end(mut self) -> u64 {
        let Some(connection) = self.connection.take() else {
            return u64::MAX;
        };
        count(&self.pool.counts().interrupted);
        connection.end().await.written()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            count(&self.pool.counts().interrupted);
            drop(connection);
        }
        // The permit counts the open connection, so it is released after the close.
        drop(self.permit.take());
    }
}
