//! Counter of crashes per request, for fleets whose callers use a new request id for each send.
//!
//! A caller may repeat a request that crashes one server after the other. Each VM counts the
//! crashes at which a request was in flight and reports them to the others, so that the request is
//! refused after a bounded number of crashes; an answer clears it. A [`record`] in the store outlives
//! a restart of all VMs.

pub mod record;

use crate::affinity::Digest;
use indexmap::{IndexMap, IndexSet};
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

/// Counts of the own VM, of other VMs and of the record in the store, by request.
#[derive(Debug, Clone, Default)]
pub struct CrashCounter {
    own: IndexMap<Digest, (u32, Instant)>,
    others: IndexMap<(Box<str>, Digest), (u32, Instant)>,
    /// Counts that the store had at the start of this VM.
    restored: IndexMap<Digest, (u32, Instant)>,
    has_restored: bool,
    /// Requests that were answered while they were refused, until the record is without them.
    answered: IndexSet<Digest>,
}

impl CrashCounter {
    /// Returns whether the request was in flight at so many crashes that it is refused.
    pub fn is_refused(&self, request: Digest, now: Instant) -> bool {
        let counts = self.fresh(now).filter(|count| count.request == request);
        counts.map(|count| count.crashes).sum::<u32>() >= MAX_CRASHES
    }

    /// Returns the requests that are refused, with all their crashes.
    pub fn refused(&self, now: Instant) -> Vec<Count> {
        let mut totals: IndexMap<Digest, u32> = IndexMap::new();
        for count in self.fresh(now) {
            *totals.entry(count.request).or_default() += count.crashes;
        }
        let refused = totals.into_iter().filter(|(_, n)| *n >= MAX_CRASHES);
        refused
            .map(|(request, crashes)| Count { request, crashes })
            .collect()
    }

    /// Returns all counts within the retention.
    fn fresh(&self, now: Instant) -> impl Iterator<Item = Count> {
        let own = self.own.iter().chain(&self.restored);
        let others = self.others.iter().map(|((_, digest), seen)| (digest, seen));
        let fresh = own
            .chain(others)
            .filter(move |(_, (_, at))| is_fresh(*at, now));
        fresh.map(|(request, (crashes, _))| Count {
            request: *request,
            crashes: *crashes,
        })
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

    /// Clears a request after the answer of a server; returns whether it was refused until now.
    pub fn record_answer(&mut self, request: Digest, now: Instant) -> bool {
        if self.own.is_empty() && self.others.is_empty() && self.restored.is_empty() {
            return false;
        }
        let was_refused = self.is_refused(request, now);
        if was_refused {
            self.answered.insert(request);
        }
        self.own.shift_remove(&request);
        self.restored.shift_remove(&request);
        self.others.retain(|(_, digest), _| *digest != request);
        was_refused
    }

    /// Returns the requests that were answered while they were refused.
    pub fn answered(&self) -> &IndexSet<Digest> {
        &self.answered
    }

    /// Forgets answered requests that the record no longer has.
    pub fn settle_answered(&mut self, settled: &IndexSet<Digest>) {
        self.answered.retain(|request| !settled.contains(request));
    }

    /// Takes the counts of the record in the store, given with the times of their entries.
    ///
    /// Only the first record is taken. Later ones clear requests that they no longer have: in the
    /// meantime the VMs report newer counts, which answers may have cleared. Returns whether requests
    /// were taken.
    pub fn restore(&mut self, record: impl IntoIterator<Item = (Count, Instant)>) -> bool {
        let record = record.into_iter();
        let record: IndexMap<Digest, (u32, Instant)> = record
            .map(|(count, at)| (count.request, (count.crashes, at)))
            .collect();
        if self.has_restored {
            self.restored
                .retain(|digest, _| record.contains_key(digest));
            return false;
        }
        self.has_restored = true;
        self.restored = record;
        !self.restored.is_empty()
    }

    /// Returns the newest counts for a report, `most` at the maximum. They include those of the
    /// record, for VMs that can't read the store.
    pub fn counts(&self, most: usize, now: Instant) -> Vec<Count> {
        let restored = self.restored.iter();
        let restored = restored.filter(|(_, (_, at))| is_fresh(*at, now));
        let mut counts: IndexMap<Digest, u32> = IndexMap::new();
        for (request, (crashes, _)) in self.own.iter().rev().chain(restored) {
            *counts.entry(*request).or_default() += crashes;
        }
        let counts = counts.into_iter().take(most);
        counts
            .map(|(request, crashes)| Count { request, crashes })
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

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < RETENTION
}
