//! Recognition of a crash.

use super::{Quarantine, lock};
use crate::server::RequestGuard;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Looks at a server after an interruption; a dying process may close its listener last.
const LOOKS: u32 = 3;
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for a connection that only shows whether the server accepts it.
const LOOK_TIMEOUT: Duration = Duration::from_millis(250);
impl Quarantine {
    /// Finds out whether a server crashed when the connection of `flight` was interrupted, and
    /// suspects the requests that were in flight on it. `again` says that the same request was
    /// interrupted on another server before.
    ///
    /// Returns until when the reply must be held. The work goes on if the caller is dropped.
    pub async fn record_interruption(
        self: &Arc<Self>,
        running: &RequestGuard,
        again: bool,
    ) -> Option<Instant> {
        let server = running.server().clone();
        // Others that were in flight end at the same time, so they are noted before the looks.
        let now = Instant::now();
        let mut in_flight = server.digests();
        in_flight.retain(|digest| !lock(&self.served).contains(digest, now));
        let this = self.clone();
        let work = async move {
            if !again && !crashed(server.listed.address).await {
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
            this.any.store(true, Ordering::Release);
            let hold = lock(&this.register).record_crash(&in_flight, Instant::now());
            this.changed();
            Some(hold)
        };
        tokio::spawn(work).await.ok().flatten()
    }
}

/// Returns whether the server refuses connections.
async fn crashed(address: SocketAddr) -> bool {
    for look in 0..LOOKS {
        if look > 0 {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        let connected = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = connected
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
    }
    false
}

/// Returns whether the server accepts a connection.
pub(super) async fn accepts(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}
