//! Crashing requests as rows of the store, for a restart of all VMs.
//!
//! The counts of a [`CrashCounter`] end with the process. Each VM writes those that it observed to a
//! row of its own under the version of the row, and each VM reads all rows at its start. Counts of
//! refused requests are also written by one more VM, as the first may have lost the store. Ages are
//! differences of the store's monotonic clock, which outlives the VMs.

use super::{Count, CrashCounter, SUSPECT_CRASHES, Suspect, Tally};
use crate::affinity::Digest;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Maximum number of entries of a row; requests with the most crashes have precedence.
pub const MAX_ENTRIES: usize = 128;

base::message! {
    /// Crashes of one request.
    #[derive(Copy)]
    pub struct Entry {
        /// The crashes that were known when it was recorded.
        pub count: Count,
        /// When the last of them came, in milliseconds of the store's clock.
        pub recorded_ms: u64,
    }
}

base::value! {
    /// A row at a read or a write.
    #[derive(Default)]
    pub struct Row {
        /// Entries.
        pub entries: Vec<Entry>,
        /// Version of the row; 0 if there is none.
        pub version: u64,
    }
}

/// What a VM knows of its row.
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

    /// Returns whether the row has so many crashes of a request on a run of a server.
    pub fn holds(&self, origin: Digest, request: Digest, crashes: u32) -> bool {
        self.row.entries.iter().any(|entry| {
            let count = entry.count;
            count.origin == origin && count.request == request && count.crashes >= crashes
        })
    }

    /// Returns the counts of a row that was read, with the own times of their last crashes.
    pub fn counts(
        &self,
        entries: &[Entry],
        now: Instant,
    ) -> impl Iterator<Item = (Count, Instant)> {
        entries.iter().map(move |entry| {
            let age = self.store_ms(now).saturating_sub(entry.recorded_ms);
            let at = now.checked_sub(Duration::from_millis(age));
            (entry.count, at.unwrap_or(now))
        })
    }

    /// Returns the entries to write; none if the row lacks no crash and no answer that matters.
    /// `is_second` tells whether this VM also writes the refused requests of others.
    pub fn change(
        &self,
        counter: &CrashCounter,
        is_second: bool,
        now: Instant,
    ) -> Option<Vec<Entry>> {
        type Key = (Digest, Digest);
        let key = |count: &Count| (count.origin, count.request);
        let stored = self.row.entries.iter();
        let stored: IndexMap<Key, Count> = stored
            .map(|entry| (key(&entry.count), entry.count))
            .collect();
        let is_refused = |suspect: &Suspect| suspect.left() >= super::MAX_CRASHES;
        let is_written = |suspect: &Suspect, tally: &Tally| {
            let is_stored = stored.contains_key(&key(&tally.count));
            tally.count.left() > 0
                && (tally.is_own || is_stored || (is_second && is_refused(suspect)))
        };
        let written = counter
            .remembered(now)
            .filter(|(suspect, tally)| is_written(suspect, tally))
            .take(MAX_ENTRIES);
        let entries: Vec<Entry> = written
            .map(|(_, tally)| Entry {
                count: tally.count,
                recorded_ms: self.store_ms_at(tally.crashed_at, now),
            })
            .collect();
        let left = |count: &Count| stored.get(&key(count)).map_or(0, Count::left);
        let has_added = entries.iter().any(|e| e.count.left() > left(&e.count));
        let is_cleared = |count: &Count| {
            let suspect = counter.requests.get(&count.request);
            suspect.is_some_and(|suspect| {
                let tally = suspect.0.get(&count.origin);
                let left = tally.map_or(0, |tally| tally.count.left());
                left < count.left() && suspect.all() >= SUSPECT_CRASHES
            })
        };
        let has_cleared = stored.values().any(is_cleared);
        (has_added || has_cleared).then_some(entries)
    }

    /// Returns the time of the store in milliseconds.
    pub fn store_ms(&self, now: Instant) -> u64 {
        let elapsed = |(ms, at): (u64, Instant)| {
            let passed = now.saturating_duration_since(at).as_millis();
            ms.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
        };
        self.clock.map_or(0, elapsed)
    }

    /// Returns the time of the store in milliseconds at an earlier own time.
    fn store_ms_at(&self, at: Instant, now: Instant) -> u64 {
        let age = now.saturating_duration_since(at).as_millis();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        self.store_ms(now).saturating_sub(age)
    }
}
