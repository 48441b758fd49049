//! Distribution of a service's traffic over the data centres.

mod input;
mod link;
mod planner;

pub use input::{DataCentreLoad, Spread};
pub use link::{Charge, LinkBudget, LinkSettings};
pub use planner::Planner;

use std::time::Duration;

base::label! {
    /// Whether requests of a service may be delayed.
    pub enum ServiceClass {
        /// Requests are answered now or refused.
        Prompt,
        /// Requests may be delayed but must complete; yields links to prompt services.
        Deferrable,
    }
}

/// Settings of the planner of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Maximum share of a data centre's capacity that steering uses.
    pub max_utilisation: f64,
    /// Delay of the measurements of other data centres, several reports included.
    pub lag: Duration,
    /// Share of the headroom of another data centre that may be newly used within one lag.
    ///
    /// The effect of a shift shows one lag later. At one half, a second shift that is made before
    /// the first one shows still fits into the headroom.
    pub gain: f64,
    /// Maximum share of a data centre's demand that is shifted beyond the configured spread.
    pub max_shift: f64,
    /// Decreases of a weight smaller than this are not applied.
    pub dead_band: f64,
    /// Age of its measurements from which another data centre counts as having no headroom.
    pub max_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_utilisation: 0.95,
            lag: Duration::from_secs(3),
            gain: 0.5,
            max_shift: 0.5,
            dead_band: 0.02,
            max_age: Duration::from_secs(15),
        }
    }
}
