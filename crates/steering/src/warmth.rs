//! Objects that each backend server is assumed to have cached, from the reports of all VMs.
//!
//! A service has a few dozen objects, each requested about once a second. A server caches a limited
//! number of them and evicts the least recently used one. The model tells a second copy that exists
//! from one that would have to be made.

use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Upper half of the digest of an object or a server, for reports.
pub type ShortDigest = u32;

/// Assumed number of objects in a server's cache. The sites state 21 and 25; fewer is the safe
/// side.
const CACHE_OBJECTS: usize = 20;
/// Interval after which a use is reported again, so that the order of use agrees on all VMs.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the upper half of a digest.
pub fn short_digest(digest: u64) -> ShortDigest {
    (digest >> 32) as ShortDigest
}

base::message! {
    /// A server handled an object.
    #[derive(Copy)]
    pub struct ObjectUse {
        /// Short digest of the server.
        pub server: ShortDigest,
        /// Short digest of the object.
        pub object: ShortDigest,
    }
}

/// Cached objects by server, the most recently used one last.
#[derive(Debug, Clone, Default)]
pub struct WarmObjects {
    servers: IndexMap<ShortDigest, IndexMap<ShortDigest, Instant>>,
}

impl WarmObjects {
    /// Records the use of an object on a server; returns whether it is to be reported to other VMs.
    pub fn record(&mut self, pair: ObjectUse, now: Instant) -> bool {
        let objects = self.servers.entry(pair.server).or_default();
        let before = objects.shift_remove(&pair.object);
        objects.insert(pair.object, now);
        if objects.len() > CACHE_OBJECTS {
            objects.shift_remove_index(0);
        }
        before.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL)
    }

    /// Returns whether a server has cached an object.
    pub fn is_warm(&self, server: ShortDigest, object: ShortDigest) -> bool {
        let objects = self.servers.get(&server);
        objects.is_some_and(|objects| objects.contains_key(&object))
    }

    /// Returns whether a server can cache a further object without evicting one.
    pub fn has_room(&self, server: ShortDigest) -> bool {
        let objects = self.servers.get(&server);
        objects.is_none_or(|objects| objects.len() < CACHE_OBJECTS)
    }

    /// Removes a server that ended or restarted.
    pub fn remove(&mut self, server: ShortDigest) {
        self.servers.shift_remove(&server);
    }
}
