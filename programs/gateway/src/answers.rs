//! Memory that answers of servers hold until they are whole.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest answer that is passed on, in bytes; an answer is whole before its first byte is sent.
pub const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Most bytes of answers longer than [`SHORT_BYTES`] that are held at once. The smallest VMs have
/// 160 MB for everything; answers without end would fill it.
pub const ALL_BYTES: usize = 48 * 1024 * 1024;
/// Answers up to this length, in bytes, are held whatever others need.
pub const SHORT_BYTES: usize = 256 * 1024;

/// Bytes of all answers that are held.
#[derive(Debug, Default)]
pub struct Budget(AtomicUsize);

impl Budget {
    /// Starts with an answer that holds nothing.
    pub fn share(&self) -> Share<'_> {
        Share {
            budget: self,
            held: 0,
        }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Bytes of one answer; given back when it is dropped.
#[derive(Debug)]
pub struct Share<'a> {
    budget: &'a Budget,
    held: usize,
}

impl Share<'_> {
    /// Adds bytes; returns whether the answer may hold them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.held += bytes;
        let all = self.budget.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.held <= SHORT_BYTES || (self.held <= ANSWER_BYTES && all <= ALL_BYTES)
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.held, Ordering::Relaxed);
    }
}
