//! Crashing requests as a row of the store, for a restart of all VMs.
//!
//! The counts of a [`CrashCounter`](super::CrashCounter) end with the VMs. One VM writes the requests
//! that are refused to the row, in few transactions under the version of the row, and each VM reads
//! it at its start. Ages are differences of the store's monotonic clock, which outlives the VMs.

use super::{Count, RETENTION};
use crate::affinity::Digest;
use indexmap::IndexSet;
use std::time::{Duration, Instant};

/// Maximum number of entries; while the row is full, further requests wait for entries to expire.
pub const MAX_ENTRIES: usize = 64;

base::message! {
    /// A request that is refused for its crashes.
    #[derive(Copy)]
    pub struct Entry {
        /// The request and the crashes known when it was recorded.
        pub count: Count,
        /// When it was recorded, in milliseconds of the store's clock.
        pub recorded_ms: u64,
    }
}

base::value! {
    /// The row at a read or a write.
    #[derive(Default)]
    pub struct Row {
        /// Entries, oldest first.
        pub entries: Vec<Entry>,
        /// Version of the row; 0 if there is none.
        pub version: u64,
    }
}

/// What a VM knows of the row.
#[derive(Debug, Clone, Default)]
pub struct Record {
    row: Row,
    /// Time of the store in milliseconds at the last read, and the own time then.
    clock: Option<(u64, Instant)>,
}

impl Record {
    /// Returns whether the row was read.
    pub fn is_read(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns the row as last read or written.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Sets the row to what was read at version `snapshot` of the store, when its clock showed
    /// `now_ms`. A read that began before the last own write is ignored.
    pub fn read(&mut self, row: Row, snapshot: u64, now_ms: u64, now: Instant) {
        self.clock = Some((now_ms, now));
        if snapshot >= self.row.version {
            self.row = row;
        }
    }

    /// Sets the row to what this VM wrote.
    pub fn written(&mut self, row: Row) {
        self.row = row;
    }

    /// Forgets the row after a transaction found another version of it.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Returns the requests that are to be refused, with the own time of their records.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = (Count, Instant)> {
        let ages = self.row.entries.iter().map(move |entry| {
            let age = self.store_ms(now).saturating_sub(entry.recorded_ms);
            (entry.count, Duration::from_millis(age))
        });
        let fresh = ages.filter(|(_, age)| *age < RETENTION);
        fresh.map(move |(count, age)| (count, now.checked_sub(age).unwrap_or(now)))
    }

    /// Returns the entries to write; none if the row needs no change. `refused` are the requests that
    /// VMs refuse, `answered` those that a server answered after that.
    ///
    /// Expired entries are dropped only together with another change, and an expired entry is not
    /// renewed, since VMs that still count the crashes refuse the request anyway.
    pub fn change(
        &self,
        refused: &[Count],
        answered: &IndexSet<Digest>,
        now: Instant,
    ) -> Option<Vec<Entry>> {
        let recorded_ms = self.store_ms(now);
        let is_fresh = |entry: &Entry| {
            let age = recorded_ms.saturating_sub(entry.recorded_ms);
            Duration::from_millis(age) < RETENTION
        };
        let known = &self.row.entries;
        let is_known = |request| known.iter().any(|entry| entry.count.request == request);
        let kept = known.iter().filter(|entry| is_fresh(entry));
        let kept = kept.filter(|entry| !answered.contains(&entry.count.request));
        let mut entries: Vec<Entry> = kept.copied().collect();
        let room = MAX_ENTRIES.saturating_sub(entries.len());
        let added = refused.iter().filter(|count| !is_known(count.request));
        let added = added.filter(|count| !answered.contains(&count.request));
        let before = entries.len();
        entries.extend(added.take(room).map(|count| Entry {
            count: *count,
            recorded_ms,
        }));
        let has_added = entries.len() > before;
        let has_removed = answered.iter().any(|request| is_known(*request));
        (has_added || has_removed).then_some(entries)
    }

    /// Returns the time of the store in milliseconds.
    fn store_ms(&self, now: Instant) -> u64 {
        let elapsed = |(ms, at): (u64, Instant)| {
            let passed = now.saturating_duration_since(at).as_millis();
            ms.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
        };
        self.clock.map_or(0, elapsed)
    }
}
