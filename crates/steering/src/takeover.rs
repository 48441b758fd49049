//! Takeover of a service by a new version until a deadline set by the operator.
//!
//! Load: new versions that fail or slow down at once, late or on one route, beside faults that hit
//! both versions. The new version gets a small share until shortly before the deadline; a good one
//! then takes over all requests, so that the old one has nothing in flight when it stops. Every VM
//! keeps the cap by counting its own starts. Stopping the new version needs no permission.

use crate::release::{Cap, Quota, Side};
use std::fmt;
use std::time::{Duration, Instant};

/// Rank of an order of the operator among the store's row versions.
pub type Order = u64;

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

base::message! {
    /// Requests of one version since the order, by how they ended.
    #[derive(Copy, Default)]
    pub struct Tally {
        /// Answers in ordinary time.
        pub good: u64,
        /// Answers that tell a failure, and answers that broke off.
        pub failed: u64,
        /// Answers far later than ordinary.
        pub late: u64,
        /// Requests given up without an answer.
        pub unanswered: u64,
    }

    /// How one request ended.
    #[derive(Copy)]
    pub enum Outcome {
        /// Answered in ordinary time.
        Good,
        /// Answered with a failure, or not to the end.
        Failed,
        /// Answered far later than ordinary.
        Late,
        /// Given up without an answer.
        Unanswered,
    }

    /// What one VM run saw of a takeover.
    #[derive(Copy, Default)]
    pub struct Evidence {
        /// Old version.
        pub old: Tally,
        /// New version.
        pub new: Tally,
    }
}

base::value! {
    /// Settings of takeovers.
    #[derive(Copy)]
    pub struct Settings {
        /// Share of starts that the new version gets until the takeover. Half of the cap that the
        /// sites state, because the last moments before the deadline count against it, too.
        pub share: Cap,
        /// Least answers of the new version before it may take over.
        pub least: u64,
        /// Bad answers of the new version from which it is judged.
        pub bad_least: u64,
        /// Bad share from which the new version is rolled back.
        pub bad_share: f64,
        /// Times the old version's bad share that the new one may have.
        pub bad_ratio: f64,
        /// Time before the deadline at which the new version takes all new requests.
        pub moving: Duration,
        /// Time before the deadline at which the takeover is reported as complete: for a write to a
        /// slow store, and one that has to be repeated by another leader.
        pub complete: Duration,
        /// Answers that take longer than this many latency objectives are bad. A cold object on a
        /// server that has just started takes about 3.2.
        pub late: f64,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: Cap::percent(5),
            least: 8,
            bad_least: 4,
            bad_share: 0.15,
            bad_ratio: 3.0,
            moving: Duration::from_millis(1_500),
            complete: Duration::from_millis(1_000),
            late: 5.0,
        }
    }
}

impl Outcome {
    /// Returns the name in logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Unanswered => "unanswered",
        }
    }
}

impl Tally {
    /// Counts a request.
    pub fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Good => &mut self.good,
            Outcome::Failed => &mut self.failed,
            Outcome::Late => &mut self.late,
            Outcome::Unanswered => &mut self.unanswered,
        } += 1;
    }

    /// Adds the counts of another VM.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        self.late += other.late;
        self.unanswered += other.unanswered;
    }

    /// Returns the requests that count as evidence.
    pub fn ended(&self) -> u64 {
        self.good + self.bad()
    }

    /// Returns the requests that speak against the version.
    pub fn bad(&self) -> u64 {
        self.failed + self.late
    }

    fn share(&self) -> f64 {
        self.bad() as f64 / self.ended().max(1) as f64
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (version, tally) in [("old", &self.old), ("new", &self.new)] {
            let gap = if version == "old" { "" } else { " " };
            write!(
                f,
                "{gap}{version}_good={} {version}_failed={} {version}_late={} {version}_unanswered={}",
                tally.good, tally.failed, tally.late, tally.unanswered
            )?;
        }
        Ok(())
    }
}

impl Evidence {
    /// Adds the evidence of another VM.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns whether the new version is worse than the old one that serves at the same time.
    pub fn is_bad(&self, settings: &Settings) -> bool {
        let limit = settings
            .bad_share
            .max(self.old.share() * settings.bad_ratio);
        self.new.bad() >= settings.bad_least && self.new.share() >= limit.min(0.9)
    }
}

/// Returns the stage that follows `stage` on all evidence; `deadline` is the operator's.
pub fn advance(
    settings: &Settings,
    stage: Stage,
    evidence: &Evidence,
    deadline: Instant,
    now: Instant,
) -> Stage {
    let is_due = |before: Duration| now + before >= deadline;
    match stage {
        Stage::Completed | Stage::RolledBack => stage,
        _ if evidence.is_bad(settings) => Stage::RolledBack,
        Stage::Sampling if is_due(settings.moving) => {
            match evidence.new.ended() >= settings.least {
                true => Stage::Moving,
                false => Stage::RolledBack,
            }
        }
        Stage::Moving if is_due(settings.complete) => Stage::Completed,
        _ => stage,
    }
}

base::value! {
    /// Starts of one service on this VM during a takeover.
    pub struct Exposure {
        quota: Quota,
        moved: u64,
        sampled: Cap,
        /// Starts beyond the share that this VM may make before the deadline.
        slack: u64,
    }
}

impl Exposure {
    /// Starts a count; `cap` is the operator's bound on the share, of which this VM may exceed by
    /// `slack` requests.
    pub fn new(share: Cap, cap: Cap, slack: u64) -> Self {
        let mut quota = Quota::default();
        quota.set(share);
        Self {
            quota,
            moved: 0,
            sampled: cap,
            slack,
        }
    }

    /// Counts a start and returns whether it may use the new version.
    pub fn start(&mut self, stage: Stage) -> bool {
        match stage {
            Stage::Completed => true,
            Stage::RolledBack => false,
            Stage::Sampling => self.quota.start() == Side::New,
            Stage::Moving => {
                let (all, new) = self.quota.starts();
                let sampled = self.quota.start() == Side::New;
                let within = new + self.moved < self.sampled.of(all) + self.slack;
                if !sampled && within {
                    self.moved += 1;
                }
                sampled || within
            }
        }
    }
}
