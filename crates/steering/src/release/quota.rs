//! Deterministic quota of the requests that one VM starts on the new version.

use super::Side;
use base::unit::Share;

/// 100% in parts per million.
const MILLION: u32 = 1_000_000;

base::label! {
    /// Largest share of starts on the new version, in parts per million, so that the bound is
    /// computed exactly.
    pub struct Cap(u32);
}

impl Cap {
    /// No request.
    pub const NONE: Self = Self(0);
    /// Every request.
    pub const ALL: Self = Self(MILLION);

    /// Returns the cap of a number of percent, at most 100.
    pub fn from_percent(percent: u32) -> Self {
        Self(percent.min(100) * (MILLION / 100))
    }

    /// Returns the cap in parts per million, at most a million.
    pub fn from_ppm(parts: u32) -> Self {
        Self(parts.min(MILLION))
    }

    /// Returns the cap in parts per million.
    pub fn ppm(self) -> u32 {
        self.0
    }

    /// Returns the cap as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(MILLION)
    }

    /// Returns the largest number of starts on the new version among `all` starts.
    pub fn max_starts(self, all: u64) -> u64 {
        let max = u128::from(all) * u128::from(self.0) / u128::from(MILLION);
        u64::try_from(max).unwrap_or(u64::MAX)
    }
}

impl From<Share> for Cap {
    /// Rounds down, so that the cap never exceeds the share.
    fn from(share: Share) -> Self {
        Self((share.0.clamp(0.0, 1.0) * f64::from(MILLION)).floor() as u32)
    }
}

base::value! {
    /// Counter of one service's starts on this VM.
    ///
    /// A request starts on the new version only if the bound `floor(cap * all)` holds afterwards,
    /// both over all starts and over the starts since the cap last changed. The first bound keeps
    /// the sum over VMs within the cap. The second prevents a burst after a raise, since starts
    /// made under the lower cap would otherwise count as unused share.
    #[derive(Default)]
    pub struct Quota {
        cap: u32,
        all: u64,
        new: u64,
        all_before: u64,
        new_before: u64,
    }
}

impl Quota {
    /// Sets the cap; an unchanged cap has no effect.
    pub fn set_cap(&mut self, cap: Cap) {
        if cap.0 != self.cap {
            self.cap = cap.0;
            self.all_before = self.all;
            self.new_before = self.new;
        }
    }

    /// Returns the current cap.
    pub fn cap(&self) -> Cap {
        Cap(self.cap)
    }

    /// Counts a start and returns the version that it may use.
    ///
    /// Each attempt of a retried request is a start. A caller that can't use the new version may
    /// use the old one instead, which leaves the share unused.
    pub fn start(&mut self) -> Side {
        self.all += 1;
        let cap = Cap(self.cap);
        let is_within_cap = self.new < cap.max_starts(self.all)
            && self.new - self.new_before < cap.max_starts(self.all - self.all_before);
        if is_within_cap {
            self.new += 1;
            Side::New
        } else {
            Side::Old
        }
    }

    /// Returns the number of all starts and that of starts on the new version.
    pub fn starts(&self) -> (u64, u64) {
        (self.all, self.new)
    }
}
