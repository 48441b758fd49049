//! Token bucket of one part of a limit.

use super::{Allocation, Amount, REFILL_REDUCTION_PPM};
use std::time::Instant;

/// Units of the stored level per [`Amount`]; with times in nanoseconds, the only rounding of a
/// refill is that of the drift reduction, which rounds down.
const UNITS_PER_AMOUNT: u128 = 1_000_000_000;
const PARTS_PER_MILLION: u128 = 1_000_000;

base::value! {
    /// Token bucket that refills over time and maintains `level + reserved <= burst`.
    pub struct Bucket {
        part: Allocation,
        level: u128,
        reserved: Amount,
        refilled_at: Instant,
    }
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn new(part: Allocation, now: Instant) -> Self {
        Self {
            part,
            level: 0,
            reserved: 0,
            refilled_at: now,
        }
    }

    /// Returns a full bucket, for a limit that is enforced in one place.
    pub fn full(part: Allocation, now: Instant) -> Self {
        Self {
            level: u128::from(part.burst) * UNITS_PER_AMOUNT,
            ..Self::new(part, now)
        }
    }

    /// Returns the part.
    pub fn part(&self) -> Allocation {
        self.part
    }

    /// Adds the refill since the last call, reduced by [`REFILL_REDUCTION_PPM`].
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_nanos();
        if elapsed == 0 {
            return;
        }
        self.refilled_at = now;
        let kept = PARTS_PER_MILLION - u128::from(REFILL_REDUCTION_PPM);
        let added = u128::from(self.part.rate).saturating_mul(elapsed) / PARTS_PER_MILLION * kept;
        let room = self.available_burst().saturating_sub(self.level);
        self.level += added.min(room);
    }

    fn available_burst(&self) -> u128 {
        u128::from(self.part.burst.saturating_sub(self.reserved)) * UNITS_PER_AMOUNT
    }

    /// Returns the tokens that can be spent now.
    pub fn level(&mut self, now: Instant) -> Amount {
        self.refill(now);
        Amount::try_from(self.level / UNITS_PER_AMOUNT).unwrap_or(Amount::MAX)
    }

    /// Takes `tokens` and returns true, or takes nothing if there are fewer.
    #[must_use]
    pub fn spend(&mut self, tokens: Amount, now: Instant) -> bool {
        let enough = self.level(now) >= tokens;
        if enough {
            self.level -= u128::from(tokens) * UNITS_PER_AMOUNT;
        }
        enough
    }

    /// Takes at most `tokens` and returns how many.
    pub fn take(&mut self, tokens: Amount, now: Instant) -> Amount {
        let taken = tokens.min(self.level(now));
        self.level -= u128::from(taken) * UNITS_PER_AMOUNT;
        taken
    }

    /// Adds at most `tokens` within the headroom that isn't reserved.
    pub fn add(&mut self, tokens: Amount, now: Instant) {
        self.refill(now);
        let room = self.available_burst().saturating_sub(self.level);
        self.level += (u128::from(tokens) * UNITS_PER_AMOUNT).min(room);
    }

    /// Returns the headroom that is neither filled nor reserved.
    pub fn headroom(&mut self, now: Instant) -> Amount {
        self.refill(now);
        Amount::try_from(self.available_burst().saturating_sub(self.level) / UNITS_PER_AMOUNT)
            .unwrap_or(0)
    }

    /// Reserves at most `tokens` of headroom, which then doesn't refill, and returns how much.
    pub fn reserve(&mut self, tokens: Amount, now: Instant) -> Amount {
        let reserved = tokens.min(self.headroom(now));
        self.reserved += reserved;
        reserved
    }

    /// Ends a reservation of `tokens`.
    pub fn release(&mut self, tokens: Amount, now: Instant) {
        self.refill(now);
        self.reserved = self.reserved.saturating_sub(tokens);
    }

    /// Changes the part and discards tokens above the new burst.
    ///
    /// Returns by how much the reservations exceed the remaining headroom; the caller must
    /// release at least that much.
    pub fn resize(&mut self, part: Allocation, now: Instant) -> Amount {
        self.refill(now);
        self.part = part;
        let burst = u128::from(part.burst) * UNITS_PER_AMOUNT;
        self.level = self.level.min(burst);
        let headroom = Amount::try_from((burst - self.level) / UNITS_PER_AMOUNT).unwrap_or(0);
        self.reserved.saturating_sub(headroom)
    }
}
