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
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

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

/// Time before the announced end of an idle connection from which it is no longer used: the time
/// for a request to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

impl Connection {
    pub(super) async fn open(address: SocketAddr, settings: &Settings) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        if let Some(limit) = settings.unacknowledged_timeout {
            let socket = socket2::SockRef::from(&stream);
            // NOTE: a platform without these options still ends requests by their deadlines.
            let probes = TcpKeepalive::new().with_time(limit).with_interval(limit);
            let set = socket.set_tcp_user_timeout(Some(limit));
            if let Err(error) = set.and_then(|()| socket.set_tcp_keepalive(&probes)) {
                log::debug!("connection to {address} has no time-out of its own: {error}");
            }
        }
        let socket = Socket::new(stream);
        let io = TokioIo::new(Stream(socket.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let driven = socket.clone();
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
            // The pool may hold the socket for longer; the server sees the end now.
            driven.close();
        });
        Ok(Self {
            sender,
            socket,
            driver,
            idle_since: Instant::now(),
            idle_limit: None,
        })
    }

    /// Returns until when the connection may be used, if it may stay idle for `most`.
    pub(super) fn idle_until(&self, most: Duration) -> Instant {
        let announced = self.idle_limit.map(|l| l.saturating_sub(IDLE_MARGIN));
        self.idle_since + announced.map_or(most, |limit| limit.min(most))
    }

    /// Returns whether the next request can be sent on this idle connection.
    pub(super) async fn usable(&mut self, settle: Duration) -> bool {
        // The second look catches bytes that arrived while the connection settled.
        self.socket.quiet()
            && matches!(timeout(settle, self.sender.ready()).await, Ok(Ok(())))
            && self.socket.quiet()
    }

    /// Ends the connection; afterwards no more bytes are written.
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

/// Use of a connection by one request; dropped before its release, it closes the connection.
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

    /// Takes in what the server announced about the connection.
    pub(super) fn announced(&mut self, headers: &HeaderMap) {
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

    /// Gives the connection back after a whole answer.
    pub(super) fn release(mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.idle_since = Instant::now();
            self.pool.0.idle().push(connection);
        }
    }

    /// Ends the connection and returns the bytes that were ever written to it.
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
        // The permit goes last: it stands for the open connection.
        drop(self.permit.take());
    }
}
