//! A backend server as this entry sees it.

use backends::client::{Pool, Settings};
use platform::list::Backend;

/// A backend server with its connections.
#[derive(Debug)]
pub struct Server {
    /// What the list says about the server.
    pub listed: Backend,
    /// Connections to it.
    pub pool: Pool,
    connections: usize,
}

impl Server {
    /// Makes a server without connections; its limit is divided over the `entries` of the fleet.
    pub fn new(listed: Backend, entries: usize, settings: Settings) -> Self {
        let connections = share(&listed, entries);
        let settings = Settings {
            connections,
            ..settings
        };
        let pool = Pool::new(listed.address, settings);
        Self {
            listed,
            pool,
            connections,
        }
    }

    /// Returns whether the server is listed unchanged and its connections are divided as before.
    pub fn fits(&self, listed: &Backend, entries: usize) -> bool {
        self.listed == *listed && self.connections == share(listed, entries)
    }

    /// Returns whether a request finds a connection without waiting.
    pub fn has_connection(&self) -> bool {
        self.pool.in_use() < self.connections
    }
}

/// Connections of one entry, less the one that its probes use.
///
/// Any entry of the fleet may send to any server. The number of entries is rounded up to a power of
/// two, so that pools are rarely made anew when entries come and go.
fn share(listed: &Backend, entries: usize) -> usize {
    let parts = entries.max(1).next_power_of_two();
    (listed.connections as usize / parts)
        .saturating_sub(1)
        .max(1)
}
