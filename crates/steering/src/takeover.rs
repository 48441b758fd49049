//! Takeover of a service by a new version before a deadline set by the operator.
//!
//! The new version gets a small share of the requests until shortly before the deadline. A good one
//! then takes over all new requests, so that the old one has nothing in flight when it stops.
//! Completion can't be undone, so it needs evidence that the version is good, also under load and
//! in the last seconds: a version may fail, slow down or leave requests unanswered only late, on
//! one route or under load, beside faults that hit both versions. Any VM may roll back at any time.

mod evidence;
mod exposure;
mod verdict;
mod withdrawn;

pub use evidence::{Evidence, LatencyBaseline, Outcome, SlidingWindow, Tally};
pub use exposure::{Exposure, ExposureLimits, VersionChoice};
pub use verdict::{SequentialTest, Verdict};
pub use withdrawn::Withdrawn;

use crate::release::Cap;
use std::time::{Duration, Instant};

/// Row version at which the store holds an operator's order.
pub type OrderVersion = u64;

base::label! {
    /// Stage of a takeover; if VMs disagree, the later one applies.
    #[serde(rename_all = "kebab-case")]
    pub enum Stage {
        /// The new version gets a small share.
        Sampling,
        /// The new version gets all new requests; the old one finishes those in flight.
        Moving,
        /// The new version has taken over; the old one stops.
        Completed,
        /// The new version gets no more requests.
        RolledBack,
    }
}

base::value! {
    /// Settings of takeovers.
    #[derive(Copy)]
    pub struct Settings {
        /// Share of starts that the new version gets. Less than half of the operator's cap, because
        /// the last seconds before the deadline count against the cap, too.
        pub share: Cap,
        /// The same in the last seconds before the takeover.
        pub final_share: Cap,
        /// Time before the deadline from which the final share applies.
        pub final_window: Duration,
        /// Test of the new version against the old one.
        pub test: SequentialTest,
        /// Time before the deadline at which the new version takes all new requests.
        pub cutover_lead: Duration,
        /// Time before the deadline at which the takeover is reported as complete. It leaves time
        /// for a write to a slow store that another leader has to repeat.
        pub completion_lead: Duration,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: Cap::from_percent(3),
            final_share: Cap::from_percent(7),
            final_window: Duration::from_secs(6),
            test: SequentialTest::default(),
            cutover_lead: Duration::from_millis(1_400),
            completion_lead: Duration::from_millis(900),
        }
    }
}

/// Returns the stage after `stage`, given all evidence, the recent evidence and the operator's
/// deadline.
pub fn advance(
    settings: &Settings,
    stage: Stage,
    evidence: &Evidence,
    recent: &Evidence,
    deadline: Instant,
    now: Instant,
) -> Stage {
    let is_due = |lead: Duration| now + lead >= deadline;
    let next = match stage {
        Stage::Completed | Stage::RolledBack => return stage,
        Stage::Sampling => is_due(settings.cutover_lead).then_some(Stage::Moving),
        Stage::Moving => is_due(settings.completion_lead).then_some(Stage::Completed),
    };
    match (settings.test.evaluate(evidence, recent), next) {
        (Verdict::Bad, _) | (Verdict::Undecided, Some(_)) => Stage::RolledBack,
        (Verdict::Good, Some(next)) => next,
        (_, None) => stage,
    }
}
