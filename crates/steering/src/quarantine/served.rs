//! Record of recently served requests.

use super::Digest;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time for which a served request counts as harmless.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of digests, 48 bytes each; further ones replace older ones.
const MAX_DIGESTS: usize = 4096;

/// Digests of requests that backend servers have served recently.
///
/// They are not suspected at a crash, since a request that crashes its servers never completes.
/// Without this record, the crash of one server would make suspects of requests that many callers
/// send in the same form, and they would be refused until their trial.
#[derive(Debug, Clone, Default)]
pub struct Served {
    digests: IndexMap<Digest, Instant>,
}

impl Served {
    /// Records that a request was served.
    pub fn record(&mut self, digest: Digest, now: Instant) {
        if self.digests.len() >= MAX_DIGESTS && !self.digests.contains_key(&digest) {
            self.digests.swap_remove_index(0);
        }
        self.digests.insert(digest, now);
    }

    /// Returns whether a request was served recently.
    pub fn contains(&self, digest: &Digest, now: Instant) -> bool {
        let at = self.digests.get(digest);
        at.is_some_and(|at| now.saturating_duration_since(*at) < RETENTION)
    }
}
