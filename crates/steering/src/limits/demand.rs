//! Moving average of the demand that a holder reports.

use super::Amount;
use std::time::{Duration, Instant};

/// Time constant of the average; a shorter one would follow the noise of single requests.
const TIME_CONSTANT: Duration = Duration::from_millis(400);

base::value! {
    /// Exponentially weighted rate of requested tokens. It affects the allocation, never the bound.
    pub struct Demand {
        rate: f64,
        updated_at: Instant,
    }
}

impl Demand {
    /// Returns an average of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated_at: now,
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.rate *= (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
    }

    /// Counts requested tokens.
    pub fn count(&mut self, tokens: Amount, now: Instant) {
        self.decay(now);
        self.rate += tokens as f64 / TIME_CONSTANT.as_secs_f64();
    }

    /// Returns the rate in millionths of a token per second.
    pub fn rate(&mut self, now: Instant) -> Amount {
        self.decay(now);
        self.rate as Amount
    }
}
