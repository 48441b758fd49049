//! Decayed counts of the ends of requests.

use super::Ending;
use std::time::{Duration, Instant};

/// Time constant of the counts on a VM with enough requests: 98 in 100 of the weight lie within
/// 2 s, the time allowed for the recovery.
const TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time constant for a VM with few requests.
const LONG_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Decayed requests above which the short average is used.
const ENOUGH: f64 = 2.0;
/// Decayed requests below which nothing is known.
const TOO_FEW: f64 = 1.0;

/// Decayed counts.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    in_time: f64,
    late: f64,
    refused: f64,
}

impl Counts {
    fn sum(&self) -> f64 {
        self.in_time + self.late + self.refused
    }

    fn add(&mut self, ending: Ending) {
        match ending {
            Ending::InTime => self.in_time += 1.0,
            Ending::Late => self.late += 1.0,
            Ending::Refused => self.refused += 1.0,
        }
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            in_time: self.in_time * factor,
            late: self.late * factor,
            refused: self.refused * factor,
        }
    }
}

/// Decayed averages of how requests end.
#[derive(Debug, Clone)]
pub(super) struct Average {
    short: Counts,
    long: Counts,
    at: Instant,
}

impl Average {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            short: Counts::default(),
            long: Counts::default(),
            at: now,
        }
    }

    pub(super) fn record(&mut self, ending: Ending, now: Instant) {
        (self.short, self.long) = self.counts(now);
        self.at = now;
        self.short.add(ending);
        self.long.add(ending);
    }

    /// Returns the share of requests answered in time; none if too few ended.
    pub(super) fn in_time(&self, now: Instant) -> Option<f64> {
        self.share(now, |counts| counts.in_time)
    }

    /// Returns the share of requests that were not refused; none if too few ended.
    pub(super) fn served(&self, now: Instant) -> Option<f64> {
        self.share(now, |counts| counts.in_time + counts.late)
    }

    fn share(&self, now: Instant, part: impl Fn(&Counts) -> f64) -> Option<f64> {
        share_of(self.counts(now), part)
    }

    /// Returns the short and the long counts, decayed until `now`.
    fn counts(&self, now: Instant) -> (Counts, Counts) {
        let elapsed = now.saturating_duration_since(self.at);
        let decay = |constant: Duration| (-elapsed.div_duration_f64(constant)).exp();
        (
            self.short.scaled(decay(TIME_CONSTANT)),
            self.long.scaled(decay(LONG_TIME_CONSTANT)),
        )
    }
}

fn share_of((short, long): (Counts, Counts), part: impl Fn(&Counts) -> f64) -> Option<f64> {
    let counts = if short.sum() >= ENOUGH { short } else { long };
    (counts.sum() >= TOO_FEW).then(|| part(&counts) / counts.sum())
}
