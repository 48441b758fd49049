//! Counter of crashes per request, for fleets whose callers use a new request id for each send.
//!
//! A caller may repeat a request that crashes one server after the other. Each VM counts the
//! crashes at which a request was in flight and reports them to the others, so that the request is
//! refused after a bounded number of crashes; an answer clears it.

use crate::affinity::Digest;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Crashes from which a request is refused. One crash may be caused by another request, and two may
/// be chance while many servers crash.
pub const MAX_CRASHES: u32 = 3;
/// Time for which crashes count; longer than callers repeat a request.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of requests of one VM; the oldest are evicted first.
const MAX_REQUESTS: usize = 1024;

base::message! {
    /// Crashes counted by one VM for one request.
    #[derive(Copy)]
    pub struct Count {
        /// Digest of the request.
        pub request: Digest,
        /// Number of crashes.
        pub crashes: u32,
    }
}

/// Counts of the own VM and of other VMs, by request.
#[derive(Debug, Clone, Default)]
pub struct CrashCounter {
    own: IndexMap<Digest, (u32, Instant)>,
    others: IndexMap<(Box<str>, Digest), (u32, Instant)>,
}

impl CrashCounter {
    /// Returns whether the request was in flight at so many crashes that it is refused.
    pub fn is_refused(&self, request: Digest, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        let own = self.own.get(&request).filter(|(_, at)| fresh(*at));
        let others = self
            .others
            .iter()
            .filter(|((_, digest), (_, at))| *digest == request && fresh(*at));
        let seen: u32 = own.map_or(0, |(n, _)| *n) + others.map(|(_, (n, _))| *n).sum::<u32>();
        seen >= MAX_CRASHES
    }

    /// Counts a crash with the request in flight.
    pub fn record_crash(&mut self, request: Digest, now: Instant) {
        let (count, at) = self.own.entry(request).or_insert((0, now));
        *count += 1;
        *at = now;
        if self.own.len() > MAX_REQUESTS {
            self.own.shift_remove_index(0);
        }
    }

    /// Clears a request after the answer of a server.
    pub fn record_answer(&mut self, request: Digest) {
        if self.own.is_empty() && self.others.is_empty() {
            return;
        }
        self.own.shift_remove(&request);
        self.others.retain(|(_, digest), _| *digest != request);
    }

    /// Returns the newest counts for a report, `most` at the maximum.
    pub fn counts(&self, most: usize) -> Vec<Count> {
        let newest = self.own.iter().rev().take(most);
        newest
            .map(|(request, (crashes, _))| Count {
                request: *request,
                crashes: *crashes,
            })
            .collect()
    }

    /// Merges the counts of another VM, which replace its earlier ones.
    pub fn merge(&mut self, vm: &str, counts: &[Count], now: Instant) {
        self.others.retain(|(from, _), _| &**from != vm);
        for count in counts.iter().take(MAX_REQUESTS) {
            let key = (vm.into(), count.request);
            self.others.insert(key, (count.crashes, now));
        }
    }
}
