//! A backend server as this entry sees it.

use backends::client::{Pool, Settings};
use indexmap::IndexMap;
use platform::list::Backend;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use steering::quarantine::Digest;

/// A backend server with its connections and the requests that this entry has in flight there.
#[derive(Debug)]
pub struct Server {
    /// What the list says about the server.
    pub listed: Backend,
    /// Connections to it.
    pub pool: Pool,
    in_flight: AtomicU32,
    /// Whether the server is left free for trial runs of suspected requests.
    reserved: AtomicBool,
    /// Digests of the requests in flight, by the number of their start.
    digests: Mutex<IndexMap<u64, Digest>>,
    starts: AtomicU64,
}

/// One request in flight on a server; counts until it is dropped.
#[derive(Debug)]
pub struct Flight {
    server: Arc<Server>,
    start: u64,
}

impl Server {
    /// Makes a server without connections.
    pub fn new(listed: Backend, settings: Settings) -> Self {
        let pool = Pool::new(listed.address, settings);
        Self {
            listed,
            pool,
            in_flight: AtomicU32::new(0),
            reserved: AtomicBool::new(false),
            digests: Mutex::default(),
            starts: AtomicU64::new(0),
        }
    }

    /// Returns whether the server takes only trial runs of suspected requests.
    pub fn reserved(&self) -> bool {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reserves the server for trial runs, or frees it.
    pub fn reserve(&self, reserved: bool) {
        self.reserved.store(reserved, Ordering::Relaxed);
    }

    /// Returns the digests of the requests that this entry has in flight on the server.
    pub fn digests(&self) -> Vec<Digest> {
        self.flights().values().copied().collect()
    }

    fn flights(&self) -> MutexGuard<'_, IndexMap<u64, Digest>> {
        self.digests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that this entry has in flight on the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts one more request in flight.
    pub fn start(self: &Arc<Self>, digest: Digest) -> Flight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        self.flights().insert(start, digest);
        Flight {
            server: self.clone(),
            start,
        }
    }
}

impl Flight {
    /// Returns the server that has the request.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.server.flights().swap_remove(&self.start);
        self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
