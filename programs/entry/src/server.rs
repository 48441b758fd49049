//! A backend server as this entry sees it.

use backends::client::{Pool, Settings};
use platform::list::Backend;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A backend server with its connections and the requests that this entry has in flight there.
#[derive(Debug)]
pub struct Server {
    /// What the list says about the server.
    pub listed: Backend,
    /// Connections to it.
    pub pool: Pool,
    in_flight: AtomicU32,
}

/// One request in flight on a server; counts until it is dropped.
#[derive(Debug)]
pub struct Flight {
    server: Arc<Server>,
}

impl Server {
    /// Makes a server without connections.
    pub fn new(listed: Backend, settings: Settings) -> Self {
        let pool = Pool::new(listed.address, settings);
        Self {
            listed,
            pool,
            in_flight: AtomicU32::new(0),
        }
    }

    /// Returns the number of requests that this entry has in flight on the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts one more request in flight.
    pub fn start(self: &Arc<Self>) -> Flight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Flight {
            server: self.clone(),
        }
    }
}

impl Flight {
    /// Returns the server that has the request.
    pub fn server(&self) -> &Server {
        &self.server
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
