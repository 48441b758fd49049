//! Objects that each backend server handled lately, as far as VMs told each other.
//!
//! Load: a few dozen objects a service, each asked for about once a second. A server keeps a
//! limited number of objects; the one used least recently gives way. Knowing what is kept tells a
//! second copy that exists from one that would have to be made.

use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// ShortDigest digest of an object or a server, for reports.
pub type ShortDigest = u32;

/// Objects that a server is taken to keep. The sites state 21 and 25; fewer is the safe side.
const KEPT: usize = 20;
/// Use of a pair is told again after this time, so that orders of use stay alike on all VMs.
const REPEAT: Duration = Duration::from_secs(2);

/// Returns the short form of a digest.
pub fn short_digest(digest: u64) -> ShortDigest {
    (digest >> 32) as ShortDigest
}

base::message! {
    /// A server handled an object.
    #[derive(Copy)]
    pub struct ObjectUse {
        /// ShortDigest digest of the server.
        pub server: ShortDigest,
        /// ShortDigest digest of the object.
        pub object: ShortDigest,
    }
}

/// Objects by server, the one used last at the end.
#[derive(Debug, Clone, Default)]
pub struct WarmObjects {
    servers: IndexMap<ShortDigest, IndexMap<ShortDigest, Instant>>,
}

impl WarmObjects {
    /// Takes in that a server handled an object; returns whether others should be told.
    pub fn record(&mut self, pair: ObjectUse, now: Instant) -> bool {
        let objects = self.servers.entry(pair.server).or_default();
        let before = objects.shift_remove(&pair.object);
        objects.insert(pair.object, now);
        if objects.len() > KEPT {
            objects.shift_remove_index(0);
        }
        before.is_none_or(|at| now.saturating_duration_since(at) >= REPEAT)
    }

    /// Returns whether a server keeps an object.
    pub fn is_warm(&self, server: ShortDigest, object: ShortDigest) -> bool {
        let objects = self.servers.get(&server);
        objects.is_some_and(|objects| objects.contains_key(&object))
    }

    /// Returns whether a server keeps a further object without losing another one.
    pub fn has_room(&self, server: ShortDigest) -> bool {
        let objects = self.servers.get(&server);
        objects.is_none_or(|objects| objects.len() < KEPT)
    }

    /// Forgets a server that ended or started anew.
    pub fn remove(&mut self, server: ShortDigest) {
        self.servers.shift_remove(&server);
    }
}
