//! Backend servers and the requests that this entry has in flight on them.

use backends::client::{Pool, Settings};
use indexmap::IndexMap;
use platform::list::Backend;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use steering::quarantine::Digest;

/// A backend server, its connections and its requests in flight.
#[derive(Debug)]
pub struct Server {
    /// Entry of the server in the list.
    pub listed: Backend,
    /// Connections to it.
    pub pool: Pool,
    connections: usize,
    in_flight: AtomicU32,
    /// Whether the server is reserved for trial runs of suspected requests.
    reserved: AtomicBool,
    /// Digests of the requests in flight, by request number.
    digests: Mutex<IndexMap<u64, Digest>>,
    next_request: AtomicU64,
}

/// One request in flight on a server; counted until the guard is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    server: Arc<Server>,
    number: u64,
}

impl Server {
    /// Creates a server without connections; its connection limit is divided over the `entries` of
    /// the fleet.
    pub fn new(listed: Backend, entries: usize, settings: Settings) -> Self {
        let connections = connection_share(&listed, entries);
        let settings = Settings {
            connections,
            ..settings
        };
        let pool = Pool::new(listed.address, settings);
        Self {
            listed,
            pool,
            connections,
            in_flight: AtomicU32::new(0),
            reserved: AtomicBool::new(false),
            digests: Mutex::default(),
            next_request: AtomicU64::new(0),
        }
    }

    /// Returns whether the listed server and its share of connections are unchanged.
    pub fn is_unchanged(&self, listed: &Backend, entries: usize) -> bool {
        self.listed == *listed && self.connections == connection_share(listed, entries)
    }

    /// Returns whether a request can get a connection without waiting.
    pub fn has_connection(&self) -> bool {
        self.pool.in_use() < self.connections
    }

    /// Returns whether the server takes only trial runs of suspected requests.
    pub fn is_reserved(&self) -> bool {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reserves the server for trial runs, or frees it.
    pub fn set_reserved(&self, reserved: bool) {
        self.reserved.store(reserved, Ordering::Relaxed);
    }

    /// Returns the digests of the requests that this entry has in flight on the server.
    pub fn digests(&self) -> Vec<Digest> {
        self.lock_digests().values().copied().collect()
    }

    fn lock_digests(&self) -> MutexGuard<'_, IndexMap<u64, Digest>> {
        self.digests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that this entry has in flight on the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts one more request in flight.
    pub fn begin_request(self: &Arc<Self>, digest: Digest) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.lock_digests().insert(number, digest);
        RequestGuard {
            server: self.clone(),
            number,
        }
    }
}

impl RequestGuard {
    /// Returns the server that the request was sent to.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.server.lock_digests().swap_remove(&self.number);
        self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the connections that one entry may open to a server, less the one for its probes.
///
/// Any entry of the fleet may send to any server. The number of entries is rounded up to a power of
/// two, so that pools are rarely recreated when entries come and go.
fn connection_share(listed: &Backend, entries: usize) -> usize {
    let parts = entries.max(1).next_power_of_two();
    (listed.connections as usize / parts)
        .saturating_sub(1)
        .max(1)
}
