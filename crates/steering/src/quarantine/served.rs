//! Requests that were served lately.

use super::Digest;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time for which a served request counts as harmless.
const LATELY: Duration = Duration::from_secs(60);

/// Most digests kept, 48 bytes each; further ones replace those that were added first.
const DIGESTS: usize = 4096;

/// Digests of requests that backend servers have served lately.
///
/// A crash with such a request in flight says little about it: a request that crashes each server
/// never completes. Without this record, the death of one server would suspect every request that
/// many callers send alike, and refuse them until their trial.
#[derive(Debug, Clone, Default)]
pub struct Served {
    digests: IndexMap<Digest, Instant>,
}

impl Served {
    /// Notes that a request was served.
    pub fn record(&mut self, digest: Digest, now: Instant) {
        if self.digests.len() >= DIGESTS && !self.digests.contains_key(&digest) {
            self.digests.swap_remove_index(0);
        }
        self.digests.insert(digest, now);
    }

    /// Says whether a request was served lately.
    pub fn contains(&self, digest: &Digest, now: Instant) -> bool {
        let at = self.digests.get(digest);
        at.is_some_and(|at| now.saturating_duration_since(*at) < LATELY)
    }
}
