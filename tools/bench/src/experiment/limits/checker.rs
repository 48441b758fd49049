//! Exact check of the bound in every window.

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
    at: Instant,
    /// Largest excess over the bound in any window, in millionths of a token.
    pub excess: Amount,
    /// Least room that was left below the bound, in millionths of a token.
    pub room: Amount,
}

const FINE: i128 = 1_000_000_000;

impl Checker {
    /// Starts with a full bucket.
    pub fn new(limit: Allocation, now: Instant) -> Self {
        Self {
            limit,
            level: i128::from(limit.burst) * FINE,
            at: now,
            excess: 0,
            room: limit.burst,
        }
    }

    /// Refills up to `now`.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_nanos() as i128;
        self.at = self.at.max(now);
        let full = i128::from(self.limit.burst) * FINE;
        self.level = full.min(self.level + i128::from(self.limit.rate) * elapsed);
    }

    /// Admits like one shared bucket.
    pub fn admit(&mut self, cost: Amount, now: Instant) -> bool {
        self.refill(now);
        let enough = self.level >= i128::from(cost) * FINE;
        if enough {
            self.level -= i128::from(cost) * FINE;
        }
        enough
    }

    /// Records an admission that has happened.
    pub fn record(&mut self, cost: Amount, now: Instant) {
        self.refill(now);
        self.level -= i128::from(cost) * FINE;
        let below = (-self.level).max(0);
        let excess = Amount::try_from((below + FINE - 1) / FINE).unwrap_or(Amount::MAX);
        self.excess = self.excess.max(excess);
        let room = Amount::try_from(self.level.max(0) / FINE).unwrap_or(0);
        self.room = self.room.min(room);
    }
}
