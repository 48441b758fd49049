//! Objects that each backend server handled lately, as far as VMs told each other.
//!
//! Load: a few dozen objects a service, each asked for about once a second. A server keeps a
//! limited number of objects; the one used least recently gives way. Knowing what is kept tells a
//! second copy that exists from one that would have to be made.

use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Short digest of an object or a server, for reports.
pub type Short = u32;

/// Objects that a server is taken to keep. The sites state 21 and 25; fewer is the safe side.
const KEPT: usize = 20;
/// Use of a pair is told again after this time, so that orders of use stay alike on all VMs.
const REPEAT: Duration = Duration::from_secs(2);

/// Returns the short form of a digest.
pub fn short(digest: u64) -> Short {
    (digest >> 32) as Short
}

base::message! {
    /// A server handled an object.
    #[derive(Copy)]
    pub struct Handled {
        /// Short digest of the server.
        pub server: Short,
        /// Short digest of the object.
        pub object: Short,
    }
}

/// Objects by server, the one used last at the end.
#[derive(Debug, Clone, Default)]
pub struct Warmth {
    servers: IndexMap<Short, IndexMap<Short, Instant>>,
}

impl Warmth {
    /// Takes in that a server handled an object; returns whether others should be told.
    pub fn handled(&mut self, pair: Handled, now: Instant) -> bool {
        let objects = self.servers.entry(pair.server).or_default();
        let before = objects.shift_remove(&pair.object);
        objects.insert(pair.object, now);
        if objects.len() > KEPT {
            objects.shift_remove_index(0);
        }
        before.is_none_or(|at| now.saturating_duration_since(at) >= REPEAT)
    }

    /// Returns whether a server keeps an object.
    pub fn is_warm(&self, server: Short, object: Short) -> bool {
        let objects = self.servers.get(&server);
        objects.is_some_and(|objects| objects.contains_key(&object))
    }

    /// Returns whether a server keeps a further object without losing another one.
    pub fn has_room(&self, server: Short) -> bool {
        let objects = self.servers.get(&server);
        objects.is_none_or(|objects| objects.len() < KEPT)
    }

    /// Forgets a server that ended or started anew.
    pub fn forget(&mut self, server: Short) {
        self.servers.shift_remove(&server);
    }
}
