//! How much traffic goes to which data centre.

mod link;
mod planner;
mod site;

pub use link::{Charge, LinkBudget, LinkSettings};
pub use planner::Planner;
pub use site::{DataCentreLoad, Spread};

use std::time::Duration;

base::label! {
    /// Whether requests of a service may wait.
    pub enum ServiceClass {
        /// Answered now or refused.
        Prompt,
        /// May be delayed, but must complete; yields links to prompt services.
        Deferrable,
    }
}

/// Settings of the planner of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Share of a data centre's capacity that steering fills at most.
    pub bound: f64,
    /// Age of the measurements of other data centres, several reports included.
    pub lag: Duration,
    /// Part of the headroom of another data centre that is newly used within one lag.
    ///
    /// The effect of a move shows one lag later. At one half, a second move that is made before
    /// the first one shows still fits into the headroom.
    pub gain: f64,
    /// Largest share of a data centre's demand that is moved beyond the configured spread.
    pub cap: f64,
    /// Changes of a weight below this are not made.
    pub dead_band: f64,
    /// Age from which the measurements of another data centre count as no headroom.
    pub stale: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bound: 0.95,
            lag: Duration::from_secs(3),
            gain: 0.5,
            cap: 0.5,
            dead_band: 0.02,
            stale: Duration::from_secs(15),
        }
    }
}
