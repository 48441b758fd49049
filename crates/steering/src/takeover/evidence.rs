//! What VMs saw of the two versions.

use crate::warmth::ShortDigest;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, Instant};

/// Time over which evidence counts as recent: a fault that begins late shows in it, although
/// earlier answers were good.
const RECENT: Duration = Duration::from_secs(4);
/// Answers later than this many times what the same work takes on the old version are bad. Of the
/// answers of sound servers 2% are later, most of them behind others in a queue.
const LATE: f64 = 3.0;
/// Part of a sample above the pace of the old version in it.
const PACE_UP: f64 = 0.25;
/// Least part of a sample below it. Servers that are not known to have handled an object often have,
/// so many answers come sooner than the work takes that was expected.
const PACE_DOWN: f64 = 0.02;
/// Largest sample of the pace, so that slow servers of the old version don't hide a slow new one.
const MOST_PACE: f64 = 1.5;
/// Answers that come sooner, against the expected time, did not need the work that was expected.
const LEAST_PACE: f64 = 0.15;

base::message! {
    /// How one request ended.
    #[derive(Copy)]
    pub enum Outcome {
        /// Answered in ordinary time.
        Good,
        /// Answered with a failure, or not to the end.
        Failed,
        /// Answered, or still awaited, far later than ordinary.
        Late,
        /// Given up without an answer.
        Unanswered,
    }

    /// Requests of one version since the order, by how they ended.
    #[derive(Copy, Default)]
    pub struct Tally {
        /// Answers in ordinary time.
        pub good: u64,
        /// Answers that tell a failure, and answers that broke off.
        pub failed: u64,
        /// Requests without an answer in several times the ordinary time.
        pub late: u64,
        /// Requests given up without an answer.
        pub unanswered: u64,
    }

    /// What one VM run saw of a takeover.
    #[derive(Default)]
    pub struct Evidence {
        /// Old version.
        pub old: Tally,
        /// Servers of the new version that ended requests.
        pub new: IndexMap<ShortDigest, Tally>,
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

    fn combine(&self, other: &Self, with: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            good: with(self.good, other.good),
            failed: with(self.failed, other.failed),
            late: with(self.late, other.late),
            unanswered: with(self.unanswered, other.unanswered),
        }
    }

    /// Returns the requests of which the end is known.
    pub fn ended(&self) -> u64 {
        self.good + self.bad()
    }

    /// Returns the requests that speak against the version.
    ///
    /// A version is worst where it gives no answer in time, so these count like failures.
    pub fn bad(&self) -> u64 {
        self.failed + self.late + self.unanswered
    }

    /// Returns the share of bad requests.
    pub fn share(&self) -> f64 {
        self.bad() as f64 / self.ended().max(1) as f64
    }
}

impl Evidence {
    /// Returns the sum over the servers of the new version.
    pub fn all_new(&self) -> Tally {
        let sum = |sum: Tally, tally: &Tally| sum.combine(tally, u64::saturating_add);
        self.new.values().fold(Tally::default(), sum)
    }

    /// Adds the evidence of another VM.
    pub fn add(&mut self, other: &Self) {
        self.old = self.old.combine(&other.old, u64::saturating_add);
        for (server, tally) in &other.new {
            let known = self.new.entry(*server).or_default();
            *known = known.combine(tally, u64::saturating_add);
        }
    }

    /// Returns the evidence beyond `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let new = self.new.iter().map(|(server, tally)| {
            let before = earlier.new.get(server).copied().unwrap_or_default();
            (*server, tally.combine(&before, u64::saturating_sub))
        });
        Self {
            old: self.old.combine(&earlier.old, u64::saturating_sub),
            new: new.filter(|(_, tally)| tally.ended() > 0).collect(),
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (version, tally) in [("old", &self.old), ("new", &self.all_new())] {
            write!(
                f,
                "{version}_good={} {version}_failed={} {version}_late={} {version}_unanswered={} ",
                tally.good, tally.failed, tally.late, tally.unanswered
            )?;
        }
        write!(f, "new_servers={}", self.new.len())
    }
}

/// Sums of the evidence over the last seconds.
#[derive(Debug, Clone, Default)]
pub struct History(VecDeque<(Instant, Evidence)>);

impl History {
    /// Takes in the sum of all evidence; returns that of the last seconds.
    pub fn recent(&mut self, total: &Evidence, now: Instant) -> Evidence {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= RECENT;
        // The newest of the old sums stays: the evidence since then is the recent one.
        while self.0.get(1).is_some_and(|(at, _)| is_over(*at)) {
            self.0.pop_front();
        }
        self.0.push_back((now, total.clone()));
        let before = self.0.front().filter(|(at, _)| is_over(*at));
        before.map_or_else(|| total.clone(), |(_, before)| total.since(before))
    }
}

/// Upper range of the ratio of the time of answers to the expected one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Ratio {
    value: f64,
    samples: u32,
}

impl Default for Ratio {
    fn default() -> Self {
        Self {
            value: 1.0,
            samples: 0,
        }
    }
}

impl Ratio {
    fn sample(&mut self, ratio: f64) {
        if ratio < LEAST_PACE {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let gain = match ratio > self.value {
            true => PACE_UP,
            false => (0.5 / f64::from(self.samples)).max(PACE_DOWN),
        };
        self.value += gain * (ratio.min(MOST_PACE) - self.value);
    }
}

/// Times of the old version's answers against the expected ones, for work on servers that know the
/// object and on others.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Pace {
    warm: Ratio,
    cold: Ratio,
}

impl Pace {
    /// Takes in an answer of the old version that was expected in `expected`.
    pub fn answered(&mut self, is_warm: bool, took: Duration, expected: Duration) {
        let pace = match is_warm {
            true => &mut self.warm,
            false => &mut self.cold,
        };
        pace.sample(took.as_secs_f64() / expected.as_secs_f64().max(0.001));
    }

    /// Returns the time from which a request that was expected in `expected` is late.
    pub fn late_after(&self, is_warm: bool, expected: Duration) -> Duration {
        let pace = if is_warm { &self.warm } else { &self.cold };
        expected.mul_f64(pace.value * LATE)
    }
}
