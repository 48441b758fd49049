//! One connection, and its use by one request.

use super::stream::{Socket, Stream};
use super::{Pool, count};
use base::http::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
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
}

impl Connection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
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
        })
    }

    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since
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
