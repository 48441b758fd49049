//! Retry budget.

mod admission;

pub use admission::{Admission, Refusal};

/// Settings of a retry budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Retries allowed per success.
    pub ratio: f64,
    /// Maximum number of saved retries; bounds the burst after a period without failures.
    pub max_saved: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            max_saved: 20.0,
        }
    }
}

base::label! {
    /// Why a request is to be sent again.
    pub enum RetryCause {
        /// All its sends failed.
        Failed,
        /// Its server has not answered yet.
        Overdue,
    }
}

/// Retries that overdue requests leave to failed ones, which no server can answer any more.
const HEDGE_RESERVE: f64 = 1.0;

/// Budget of retries, earned by successes.
///
/// It starts empty, so that retries never exceed `ratio` of the successes since the start: a
/// service that answers nothing gets no retries at all.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    settings: Settings,
    saved: f64,
}

impl Budget {
    /// Creates an empty budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            saved: 0.0,
        }
    }

    /// Records a request that succeeded at its first try.
    ///
    /// Successful retries must not be recorded, or retries would earn further retries.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + self.settings.ratio).min(self.settings.max_saved);
    }

    /// Changes the maximum number of saved retries.
    pub fn set_max_saved(&mut self, most: f64) {
        self.settings.max_saved = most;
        self.saved = self.saved.min(most);
    }

    /// Returns whether a retry is available for this cause.
    pub fn allows(&self, cause: RetryCause) -> bool {
        let reserve = match cause {
            RetryCause::Failed => 0.0,
            // With many VMs, the maximum of one may be little more than one retry.
            RetryCause::Overdue => HEDGE_RESERVE.min((self.settings.max_saved - 1.0).max(0.0)),
        };
        self.saved >= 1.0 + reserve
    }

    /// Takes one retry from the budget; returns `false` if there is none.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.allows(RetryCause::Failed);
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
