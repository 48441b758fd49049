//! Safe changes as a grow-only set.

use crate::keys::{self, Withdrawn};
use base::id::Release;
use indexmap::IndexSet;

/// Buckets of marks that are compared when two sets differ.
pub const BUCKETS: usize = 16;
/// Largest number of latest marks that are sent before the buckets are compared. Usually the sets
/// differ by a single new mark.
const MAX_LATEST: usize = 8;

base::message! {
    /// A safe change, which is never undone.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub enum Mark {
        /// Key that is no longer valid.
        Withdrawn(keys::Digest),
        /// Release that is halted permanently.
        Halted(Release),
        /// Name of a drained VM, backend server or data centre.
        Drained(Box<str>),
    }

    /// Summary that identifies the content of a set.
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
        /// Sum of the hashes of the marks in each bucket.
        bucket_sums: [u64; BUCKETS],
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
        let is_new = self.marks.insert(mark);
        if is_new {
            let sum = &mut self.bucket_sums[bucket(hash)];
            *sum = sum.wrapping_add(hash);
        }
        is_new
    }

    /// Adds all marks of `other`. Merging is idempotent, commutative and associative.
    pub fn merge(&mut self, other: &Self) {
        for mark in &other.marks {
            self.add(mark.clone());
        }
    }

    /// Returns whether a mark is in the set.
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

    /// Returns the summary of the set; equal sets have equal summaries.
    pub fn summary(&self) -> Summary {
        Summary {
            count: u32::try_from(self.marks.len()).unwrap_or(u32::MAX),
            sum: self
                .bucket_sums
                .iter()
                .fold(0, |sum, bucket_sum| sum.wrapping_add(*bucket_sum)),
        }
    }

    /// Returns the sum of the hashes in each bucket.
    pub fn bucket_sums(&self) -> &[u64] {
        &self.bucket_sums
    }

    /// Returns the marks that a peer may lack, given its summary and its bucket sums (empty if it
    /// hasn't sent them).
    pub fn missing_at_peer(&self, summary: Summary, bucket_sums: &[u64]) -> Vec<Mark> {
        if summary == self.summary() {
            return Vec::new();
        }
        if bucket_sums.len() != BUCKETS {
            // A peer with at least as many marks usually lacks none. If it does, its summary
            // differs, and its next digest has the bucket sums.
            let surplus = self
                .marks
                .len()
                .saturating_sub(summary.count as usize)
                .min(MAX_LATEST);
            return self.marks.iter().rev().take(surplus).cloned().collect();
        }
        let differs = |mark: &&Mark| {
            let bucket = bucket(mark.hash());
            bucket_sums[bucket] != self.bucket_sums[bucket]
        };
        self.marks.iter().filter(differs).cloned().collect()
    }
}
