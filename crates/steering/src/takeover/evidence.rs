//! Evidence that VMs collect about the two versions of a takeover.

use crate::warmth::ShortDigest;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, Instant};

/// Window of the recent evidence: a fault that begins late shows in it although earlier answers
/// were good.
const RECENT_WINDOW: Duration = Duration::from_secs(4);
/// An answer is late if it takes this many times as long as the same work on the old version. On
/// healthy servers 2% of the answers are later, most of them because they queued behind others.
const LATE_FACTOR: f64 = 3.0;
/// Smoothing factor for samples above the estimated latency ratio.
const GAIN_UP: f64 = 0.25;
/// Smallest smoothing factor for samples below it. Servers that are not known to have handled an
/// object often have, so many answers take less time than expected.
const MIN_GAIN_DOWN: f64 = 0.02;
/// Samples are clipped to this ratio, so that slow servers of the old version don't hide a slow new
/// version.
const MAX_RATIO: f64 = 1.5;
/// Samples below this ratio are ignored: the request did not need the expected work.
const MIN_RATIO: f64 = 0.15;

base::message! {
    /// How one request ended.
    #[derive(Copy)]
    pub enum Outcome {
        /// Answered in the expected time.
        Good,
        /// Answered with a failure, or the answer broke off.
        Failed,
        /// Answered, or still awaited, after several times the expected time.
        Late,
        /// Given up without an answer.
        Unanswered,
    }

    /// Requests of one version since the order, by outcome.
    #[derive(Copy, Default)]
    pub struct Tally {
        /// Answers in the expected time.
        pub good: u64,
        /// Answers with a failure, and answers that broke off.
        pub failed: u64,
        /// Requests without an answer after several times the expected time.
        pub late: u64,
        /// Requests given up without an answer.
        pub unanswered: u64,
    }

    /// Evidence of one run of a VM's gateway.
    #[derive(Default)]
    pub struct Evidence {
        /// Old version.
        pub old: Tally,
        /// Servers of the new version with finished requests.
        pub new: IndexMap<ShortDigest, Tally>,
    }
}

impl Outcome {
    /// Returns the name used in logs and metrics.
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
    /// Counts a request by its outcome.
    pub fn record(&mut self, outcome: Outcome) {
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

    /// Returns the requests whose outcome is known.
    pub fn finished(&self) -> u64 {
        self.good + self.bad()
    }

    /// Returns the requests that count against the version. A missing or late answer counts like a
    /// failure.
    pub fn bad(&self) -> u64 {
        self.failed + self.late + self.unanswered
    }

    /// Returns the share of bad requests.
    pub fn bad_share(&self) -> f64 {
        self.bad() as f64 / self.finished().max(1) as f64
    }
}

impl Evidence {
    /// Returns the sum over the servers of the new version.
    pub fn new_total(&self) -> Tally {
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

    /// Returns the evidence added since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let new = self.new.iter().map(|(server, tally)| {
            let before = earlier.new.get(server).copied().unwrap_or_default();
            (*server, tally.combine(&before, u64::saturating_sub))
        });
        Self {
            old: self.old.combine(&earlier.old, u64::saturating_sub),
            new: new.filter(|(_, tally)| tally.finished() > 0).collect(),
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (version, tally) in [("old", &self.old), ("new", &self.new_total())] {
            write!(
                f,
                "{version}_good={} {version}_failed={} {version}_late={} {version}_unanswered={} ",
                tally.good, tally.failed, tally.late, tally.unanswered
            )?;
        }
        write!(f, "new_servers={}", self.new.len())
    }
}

/// Sliding window over the total evidence.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindow(VecDeque<(Instant, Evidence)>);

impl SlidingWindow {
    /// Adds the current total; returns the evidence of the window.
    pub fn update(&mut self, total: &Evidence, now: Instant) -> Evidence {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= RECENT_WINDOW;
        // The latest expired total stays as the baseline of the window.
        while self.0.get(1).is_some_and(|(at, _)| is_expired(*at)) {
            self.0.pop_front();
        }
        self.0.push_back((now, total.clone()));
        let baseline = self.0.front().filter(|(at, _)| is_expired(*at));
        baseline.map_or_else(|| total.clone(), |(_, baseline)| total.since(baseline))
    }
}

/// Moving estimate of the ratio of latency to expected latency. It rises faster than it falls, so
/// it stays in the upper range of the samples.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RatioEstimate {
    value: f64,
    samples: u32,
}

impl Default for RatioEstimate {
    fn default() -> Self {
        Self {
            value: 1.0,
            samples: 0,
        }
    }
}

impl RatioEstimate {
    fn add(&mut self, ratio: f64) {
        if ratio < MIN_RATIO {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let gain = match ratio > self.value {
            true => GAIN_UP,
            false => (0.5 / f64::from(self.samples)).max(MIN_GAIN_DOWN),
        };
        self.value += gain * (ratio.min(MAX_RATIO) - self.value);
    }
}

/// Latencies of the old version relative to the expected ones, on servers that have handled the
/// object before (warm) and on others (cold).
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LatencyBaseline {
    warm: RatioEstimate,
    cold: RatioEstimate,
}

impl LatencyBaseline {
    /// Records an answer of the old version that was expected to take `expected`.
    pub fn record(&mut self, is_warm: bool, took: Duration, expected: Duration) {
        let estimate = match is_warm {
            true => &mut self.warm,
            false => &mut self.cold,
        };
        estimate.add(took.as_secs_f64() / expected.as_secs_f64().max(0.001));
    }

    /// Returns the time after which a request that was expected to take `expected` is late.
    pub fn late_threshold(&self, is_warm: bool, expected: Duration) -> Duration {
        let estimate = if is_warm { &self.warm } else { &self.cold };
        expected.mul_f64(estimate.value * LATE_FACTOR)
    }
}
