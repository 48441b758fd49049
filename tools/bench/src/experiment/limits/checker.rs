//! Exact check of the rate and burst bound in every time window.

use std::time::Instant;
use steering::limits::{Allocation, Amount};

/// One shared bucket on true time, without drift reduction.
///
/// It starts full and is debited for every admission. Its level goes below zero exactly if some
/// window of length `w` admits more than `burst + rate * w`.
#[derive(Debug)]
pub struct Checker {
    limit: Allocation,
    level: i128,
    refilled_at: Instant,
    /// Largest excess over the bound in any window, in millionths of a token.
    pub excess: Amount,
    /// Smallest headroom below the bound, in millionths of a token.
    pub min_headroom: Amount,
}

/// Factor of the bucket level, so that a refill over nanoseconds is exact.
const NANOS_PER_SECOND: i128 = 1_000_000_000;

impl Checker {
    /// Starts with a full bucket.
    pub fn new(limit: Allocation, now: Instant) -> Self {
        Self {
            limit,
            level: i128::from(limit.burst) * NANOS_PER_SECOND,
            refilled_at: now,
            excess: 0,
            min_headroom: limit.burst,
        }
    }

    /// Refills up to `now`.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_nanos() as i128;
        self.refilled_at = self.refilled_at.max(now);
        let full = i128::from(self.limit.burst) * NANOS_PER_SECOND;
        self.level = full.min(self.level + i128::from(self.limit.rate) * elapsed);
    }

    /// Admits like one shared bucket.
    pub fn admit(&mut self, cost: Amount, now: Instant) -> bool {
        self.refill(now);
        let enough = self.level >= i128::from(cost) * NANOS_PER_SECOND;
        if enough {
            self.level -= i128::from(cost) * NANOS_PER_SECOND;
        }
        enough
    }

    /// Records an admission that has happened.
    pub fn record(&mut self, cost: Amount, now: Instant) {
        self.refill(now);
        self.level -= i128::from(cost) * NANOS_PER_SECOND;
        let below = (-self.level).max(0);
        let excess = Amount::try_from((below + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND)
            .unwrap_or(Amount::MAX);
        self.excess = self.excess.max(excess);
        let headroom = Amount::try_from(self.level.max(0) / NANOS_PER_SECOND).unwrap_or(0);
        self.min_headroom = self.min_headroom.min(headroom);
    }
}
