//! Rate limit of a workspace, divided among all VMs into parts whose sum is conserved.
//!
//! Every VM spends from one token bucket, made of a floor and a leased elastic part. Two facts give
//! the bound `burst + rate * w` for every window of length `w`: the refill rates in use never sum
//! to more than the rate, and the tokens in all buckets and in transit never exceed the burst.
//! All amounts are integers, so the sums are exact.

pub mod allocation;
pub mod bucket;
pub mod demand;
pub mod floors;
pub mod granter;
pub mod holder;
pub mod loan;
pub mod message;

pub use bucket::Bucket;
pub use floors::Floors;
pub use granter::Granter;
pub use holder::{Holder, Identity, LoanRequest};
pub use message::{Borrow, Grant, Lent, Renew};

use std::time::Duration;

/// Tokens in millionths; a plain request costs [`TOKEN`].
pub type Amount = u64;

/// One token.
pub const TOKEN: Amount = 1_000_000;

/// Parts per million by which every refill is reduced.
///
/// A clock that runs 200 ppm fast refills at `(1 + 200e-6) * (1 - 250e-6) < 1` times the rate, so
/// the bound holds in true time.
pub const REFILL_REDUCTION_PPM: u64 = 250;

/// Smallest margin as a fraction of the grant term.
///
/// A holder 200 ppm slow keeps a grant for up to `term / (1 - 200e-6)`, and a granter 200 ppm fast
/// waits only `(term + margin) / (1 + 200e-6)`; 1/1000 covers both with room to spare.
pub const MARGIN_DIVISOR: u32 = 1000;

base::message! {
    /// A part of a limit, or a whole limit.
    #[derive(Copy, Default, Eq)]
    #[serde(rename = "Part")]
    pub struct Allocation {
        /// Refill in millionths of a token per second.
        pub rate: Amount,
        /// Largest level in millionths of a token.
        pub burst: Amount,
    }
}

impl Allocation {
    /// Returns a part of `rate` tokens a second and `burst` tokens.
    pub fn tokens(rate: u64, burst: u64) -> Self {
        Self {
            rate: rate * TOKEN,
            burst: burst * TOKEN,
        }
    }

    /// Returns the sum, component by component.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    /// Returns the difference, component by component and at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    /// Returns the smaller value of each component.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// Returns the larger value of each component.
    pub fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// Reports whether both components are zero.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Reports whether neither component exceeds that of `other`.
    pub fn fits(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }
}

base::value! {
    /// Settings of holders and granters; all VMs of a fleet must use the same values.
    #[derive(Copy)]
    pub struct Settings {
        /// Fraction of each limit that is divided into floors, in percent.
        pub floor_percent: u64,
        /// Number of equal floors; VMs beyond this number get none.
        pub floor_units: u64,
        /// How long an elastic part is granted.
        pub term: Duration,
        /// How long the granter waits beyond the term before it grants capacity again.
        pub margin: Duration,
        /// Time between two renewals of a holder.
        pub renewal_interval: Duration,
        /// Time after which an unanswered renewal is abandoned and the next one is sent.
        pub answer_timeout: Duration,
        /// Time after which an unanswered borrow request is abandoned.
        pub loan_timeout: Duration,
        /// Maximum number of unanswered borrow requests of a holder.
        pub max_loans: usize,
        /// Whether a borrower reserves headroom for the answer. Only experiments disable it: the
        /// bound doesn't hold without it.
        pub reserve_headroom: bool,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            floor_percent: 25,
            floor_units: 12,
            term: Duration::from_secs(2),
            margin: Duration::from_millis(50),
            renewal_interval: Duration::from_millis(100),
            answer_timeout: Duration::from_millis(300),
            loan_timeout: Duration::from_millis(100),
            max_loans: 4,
            reserve_headroom: true,
        }
    }
}

/// Reason why settings are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invalid {
    /// The margin doesn't cover the drift of two clocks over one term.
    Margin,
    /// There are no floors, or together they exceed the limit.
    Floors,
    /// Borrowing without reserved headroom breaks the bound.
    Reserve,
    /// The burst is too small for floors of one token each.
    Burst,
}

impl Settings {
    /// Checks that the settings preserve the bound.
    ///
    /// # Errors
    ///
    /// Returns the first setting that would break the bound.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.margin < self.term / MARGIN_DIVISOR {
            return Err(Invalid::Margin);
        }
        if self.floor_units == 0 || self.floor_percent > 100 {
            return Err(Invalid::Floors);
        }
        self.reserve_headroom.then_some(()).ok_or(Invalid::Reserve)
    }

    /// Checks that every floor of `limit` can hold a token.
    ///
    /// With less, a VM with little demand can neither accumulate nor borrow the token that a
    /// request costs.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid::Burst`] if the burst is below two tokens for each floor.
    pub fn check_limit(&self, limit: Allocation) -> Result<(), Invalid> {
        let enough = self.floor(limit).burst >= TOKEN;
        enough.then_some(()).ok_or(Invalid::Burst)
    }

    /// Returns one floor of `limit`.
    ///
    /// A floor holds at least one token where all floors together then take at most half of the
    /// burst; with less than a token, a VM without contact to others could never admit a request.
    pub fn floor(&self, limit: Allocation) -> Allocation {
        let units = self.floor_units.max(1);
        let share = |whole: Amount| whole / 100 * self.floor_percent / units;
        let least = if units.saturating_mul(TOKEN) <= limit.burst / 2 {
            TOKEN
        } else {
            0
        };
        Allocation {
            rate: share(limit.rate),
            burst: share(limit.burst).max(least),
        }
    }

    /// Returns the remainder of `limit` that is granted as elastic parts.
    pub fn elastic(&self, limit: Allocation) -> Allocation {
        let floor = self.floor(limit);
        limit.minus(Allocation {
            rate: floor.rate * self.floor_units.max(1),
            burst: floor.burst * self.floor_units.max(1),
        })
    }
}
