//! Detection of server crashes.

use super::{Quarantine, lock};
use crate::server::RequestGuard;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Attempts to connect to a server after an interruption; a dying process may close its listener
/// last.
const MAX_CONNECTS: u32 = 3;
/// Pause between two attempts to connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for one attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Quarantine {
    /// Detects whether a server crashed when the connection of `running` was interrupted, and
    /// suspects the requests that were in flight on it. `interrupted_before` says that the same
    /// request was interrupted on another server before.
    ///
    /// Returns the time until which the reply must be held. The detection continues if the returned
    /// future is dropped.
    pub async fn record_interruption(
        self: &Arc<Self>,
        running: &RequestGuard,
        interrupted_before: bool,
    ) -> Option<Instant> {
        let server = running.server().clone();
        // The other requests on the server end at the same time, so their digests are read before
        // the attempts to connect.
        let now = Instant::now();
        let mut in_flight = server.digests();
        in_flight.retain(|digest| !lock(&self.served).contains(digest, now));
        let this = self.clone();
        let detection = async move {
            if !interrupted_before && !refuses_connections(server.listed.address).await {
                return None;
            }
            log::warn!(
                "server {} crashed with {} suspected requests in flight",
                server.listed.name,
                in_flight.len()
            );
            this.metrics.record_crash();
            if in_flight.is_empty() {
                return None;
            }
            this.has_digests.store(true, Ordering::Release);
            let hold = lock(&this.register).record_crash(&in_flight, Instant::now());
            this.notify_change();
            Some(hold)
        };
        tokio::spawn(detection).await.ok().flatten()
    }
}

/// Returns whether the server refuses connections, as after a crash.
async fn refuses_connections(address: SocketAddr) -> bool {
    for attempt in 0..MAX_CONNECTS {
        if attempt > 0 {
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = connected
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
    }
    false
}

/// Returns whether the server accepts a connection.
pub(super) async fn accepts_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}
