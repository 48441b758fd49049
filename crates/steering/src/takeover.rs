//! Takeover of a service by a new version until a deadline set by the operator.
//!
//! Load: new versions that fail, slow down or leave requests unanswered: at once, late, on one route
//! or only under load, beside faults that hit both versions. The new version gets a small share until
//! shortly before the deadline; a good one then takes over all requests, so that the old one has
//! nothing in flight when it stops. Completion can't be undone, so it needs evidence that the version
//! is good, also under load and lately; stopping the new version needs no permission.

mod evidence;
mod exposure;
mod verdict;

pub use evidence::{Evidence, LatencyBaseline, Outcome, SlidingWindow, Tally};
pub use exposure::{Exposure, ExposureLimits, VersionChoice};
pub use verdict::{SequentialTest, Verdict};

use crate::release::Cap;
use std::time::{Duration, Instant};

/// Rank of an order of the operator among the store's row versions.
pub type OrderVersion = u64;

base::label! {
    /// Stage of a takeover; a later one wins when VMs disagree.
    #[serde(rename_all = "kebab-case")]
    pub enum Stage {
        /// The new version gets its small share.
        Sampling,
        /// The new version gets all new requests; the old one finishes what it has.
        Moving,
        /// The new version has taken over; the old one stops.
        Completed,
        /// The new version gets nothing more.
        RolledBack,
    }
}

base::value! {
    /// Settings of takeovers.
    #[derive(Copy)]
    pub struct Settings {
        /// Share of starts that the new version gets. Less than half of the cap that the sites state,
        /// because the last seconds before the deadline count against it, too.
        pub share: Cap,
        /// The same in the last seconds before the takeover.
        pub final_share: Cap,
        /// Time before the deadline from which the late share holds.
        pub final_window: Duration,
        /// Test of the new version against the old one.
        pub test: SequentialTest,
        /// Time before the deadline at which the new version takes all new requests.
        pub cutover_lead: Duration,
        /// Time before the deadline at which the takeover is reported as complete: for a write to a
        /// slow store, and one that has to be repeated by another leader.
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

/// Returns the stage that follows `stage` on all evidence and on that of the last seconds;
/// `deadline` is the operator's.
pub fn advance(
    settings: &Settings,
    stage: Stage,
    evidence: &Evidence,
    recent: &Evidence,
    deadline: Instant,
    now: Instant,
) -> Stage {
    let is_due = |before: Duration| now + before >= deadline;
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
