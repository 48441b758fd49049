//! Budget for retries.

mod admission;

pub use admission::{Admission, Refusal};

/// Settings of a retry budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Retries allowed per success.
    pub ratio: f64,
    /// Retries that may be saved up; bounds the burst after a good period.
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
    /// What a retry is wanted for.
    pub enum RetryCause {
        /// A request that no server has any more.
        Failed,
        /// A request whose server has not answered yet.
        Overdue,
    }
}

/// Retries that overdue requests leave to failed ones: these have no other way to an answer.
const HEDGE_RESERVE: f64 = 1.0;

/// Retries paid for by successes.
///
/// The budget starts empty, so in any period from its start retries are at most `ratio` of
/// successes: a service that answers nothing gets no retries at all.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    settings: Settings,
    saved: f64,
}

impl Budget {
    /// Starts an empty budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            saved: 0.0,
        }
    }

    /// Counts a request that succeeded at its first try.
    ///
    /// Successes of retries don't count, or retries would pay for further retries.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + self.settings.ratio).min(self.settings.max_saved);
    }

    /// Changes the number of retries that may be saved up.
    pub fn set_max_saved(&mut self, most: f64) {
        self.settings.max_saved = most;
        self.saved = self.saved.min(most);
    }

    /// Returns whether there is a retry for this use.
    pub fn allows(&self, need: RetryCause) -> bool {
        let reserve = match need {
            RetryCause::Failed => 0.0,
            // With many VMs one may save up little more than one retry.
            RetryCause::Overdue => HEDGE_RESERVE.min((self.settings.max_saved - 1.0).max(0.0)),
        };
        self.saved >= 1.0 + reserve
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.allows(RetryCause::Failed);
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
