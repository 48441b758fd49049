//! Requests that crash the backend servers that run them, in a fleet whose callers name each send
//! anew.
//!
//! Load: a caller repeats a request that takes down one server after the other. A request is
//! counted at each crash that it was in flight at; an answer clears it. With every crash counted
//! on some VM and spread to all, the request is refused after a bounded number of servers.

use crate::affinity::Digest;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// CrashCounter after which a request is refused. One crash may be another request's doing, and two
/// may be chance while many servers crash.
pub const MAX_CRASHES: u32 = 3;
/// Time for which crashes are remembered; longer than callers repeat a request.
const MEMORY: Duration = Duration::from_secs(60);
/// Most requests remembered; the oldest go first.
const KNOWN: usize = 1024;

base::message! {
    /// CrashCounter that one VM saw of one request.
    #[derive(Copy)]
    pub struct Count {
        /// Digest of the request.
        pub request: Digest,
        /// CrashCounter seen.
        pub crashes: u32,
    }
}

/// Requests in flight at crashes.
#[derive(Debug, Clone, Default)]
pub struct CrashCounter {
    own: IndexMap<Digest, (u32, Instant)>,
    others: IndexMap<(Box<str>, Digest), (u32, Instant)>,
}

impl CrashCounter {
    /// Returns whether the request crashed so many servers that it is refused.
    pub fn is_refused(&self, request: Digest, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < MEMORY;
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
        if self.own.len() > KNOWN {
            self.own.shift_remove_index(0);
        }
    }

    /// Clears a request that a server answered.
    pub fn record_answer(&mut self, request: Digest) {
        if self.own.is_empty() && self.others.is_empty() {
            return;
        }
        self.own.shift_remove(&request);
        self.others.retain(|(_, digest), _| *digest != request);
    }

    /// Returns the newest counts for a report, at most `most`.
    pub fn counts(&self, most: usize) -> Vec<Count> {
        let newest = self.own.iter().rev().take(most);
        newest
            .map(|(request, (crashes, _))| Count {
                request: *request,
                crashes: *crashes,
            })
            .collect()
    }

    /// Takes in the counts of another VM, which replace its earlier ones.
    pub fn merge(&mut self, vm: &str, counts: &[Count], now: Instant) {
        self.others.retain(|(from, _), _| &**from != vm);
        for count in counts.iter().take(KNOWN) {
            let key = (vm.into(), count.request);
            self.others.insert(key, (count.crashes, now));
        }
    }
}
