//! Safe changes as grow-only sets.

use crate::keys::{self, Withdrawn};
use base::id::Release;
use indexmap::IndexSet;

/// Parts that are compared when two sets differ.
pub const BUCKETS: usize = 16;
/// Latest additions that are sent before the parts are compared: in the usual case of a single
/// new mark they are all that differs.
const LATEST: usize = 8;

base::message! {
    /// A safe change. It is never taken back.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub enum Mark {
        /// Key that no longer authorises.
        Withdrawn(keys::Digest),
        /// Release that is rolled back for good.
        Halted(Release),
        /// Name of a drained VM, backend server or data centre.
        Drained(Box<str>),
    }

    /// What identifies the content of the sets.
    #[derive(Copy, Default, Eq)]
    pub struct Summary {
        /// Number of marks.
        pub count: u32,
        /// Sum of the hashes of all marks.
        pub sum: u64,
    }
}

base::value! {
    /// All safe changes that a VM knows of.
    #[derive(Default)]
    pub struct MarkSet {
        marks: IndexSet<Mark>,
        sums: [u64; BUCKETS],
    }
}

impl Mark {
    /// Returns a hash that is the same on every VM.
    fn hash(&self) -> u64 {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}

fn bucket(hash: u64) -> usize {
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

impl MarkSet {
    /// Adds a mark; returns whether it is new.
    pub fn add(&mut self, mark: Mark) -> bool {
        let hash = mark.hash();
        let new = self.marks.insert(mark);
        if new {
            let sum = &mut self.sums[bucket(hash)];
            *sum = sum.wrapping_add(hash);
        }
        new
    }

    /// Adds all marks of `other`. Merging is idempotent, commutative and associative.
    pub fn merge(&mut self, other: &Self) {
        for mark in &other.marks {
            self.add(mark.clone());
        }
    }

    /// Returns whether a mark is in the sets.
    pub fn contains(&self, mark: &Mark) -> bool {
        self.marks.contains(mark)
    }

    /// Returns all marks, in the order in which they were added.
    pub fn marks(&self) -> impl Iterator<Item = &Mark> {
        self.marks.iter()
    }

    /// Returns the withdrawn keys.
    pub fn withdrawn_keys(&self) -> Withdrawn {
        let keys = self.marks.iter().filter_map(|mark| match mark {
            Mark::Withdrawn(digest) => Some(*digest),
            _ => None,
        });
        keys.collect()
    }

    /// Returns what identifies the content; equal sets have equal summaries.
    pub fn summary(&self) -> Summary {
        Summary {
            count: u32::try_from(self.marks.len()).unwrap_or(u32::MAX),
            sum: self
                .sums
                .iter()
                .fold(0, |sum, part| sum.wrapping_add(*part)),
        }
    }

    /// Returns the sums of the parts.
    pub fn sums(&self) -> &[u64] {
        &self.sums
    }

    /// Returns the marks that a peer may lack, given its summary and the sums of its parts (none
    /// if it hasn't sent them).
    pub fn missing_at_peer(&self, summary: Summary, sums: &[u64]) -> Vec<Mark> {
        if summary == self.summary() {
            return Vec::new();
        }
        if sums.len() != BUCKETS {
            // A peer that has as many marks or more lacks none in the usual case; if it does, it
            // notices by the summary and sends the sums of its parts.
            let more = self
                .marks
                .len()
                .saturating_sub(summary.count as usize)
                .min(LATEST);
            return self.marks.iter().rev().take(more).cloned().collect();
        }
        let differs = |mark: &&Mark| {
            let bucket = bucket(mark.hash());
            sums[bucket] != self.sums[bucket]
        };
        self.marks.iter().filter(differs).cloned().collect()
    }
}
