//! Estimates of the work of a service's requests and of the condition of one backend server.
//!
//! Load: servers that turn slow without errors, fail part of their requests while their health
//! check is good, fall silent, or restart. Only answers to real requests are used; probes cost
//! servers a slot and can mislead.

use crate::placement::ServiceTime;
use std::time::{Duration, Instant};

/// ServiceTime on a warm server in latency objectives, before anything was measured, and its range.
/// Both sites state cold work of 1.4 to 1.65 objectives, of which a warm server needs 0.3.
const WARM: Prior = Prior::new(0.47, 0.3, 0.8);
/// ServiceTime on a cold server in latency objectives.
const COLD: Prior = Prior::new(1.55, 1.0, 2.2);
/// Part of each new sample in a service's estimate: about 50 samples of memory.
const WORK_GAIN: f64 = 0.02;
/// Part of each new sample in a server's slowdown: about 4 samples of memory.
const SLOWDOWN_GAIN: f64 = 0.25;
/// Range of a server's slowdown.
const SLOWDOWN: (f64, f64) = (0.8, 16.0);
/// Part of each new sample in a server's failed share: about 6 samples of memory.
const FAILED_GAIN: f64 = 0.15;
/// Time in which what was learned of a server without new samples loses half of its weight, so
/// that a server that recovered is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Answers overdue by this many times the expected time make a server count as silent.
const SILENT: f64 = 4.0;
/// Least time without an answer after which a server counts as silent.
const SILENT_LEAST: Duration = Duration::from_millis(800);

#[derive(Debug, Clone, Copy)]
struct Prior {
    first: f64,
    least: f64,
    most: f64,
}

impl Prior {
    const fn new(first: f64, least: f64, most: f64) -> Self {
        Self { first, least, most }
    }
}

base::value! {
    /// Learned work of the requests with one latency objective.
    pub struct ServiceTimeEstimate {
        objective: Duration,
        warm: f64,
        cold: f64,
    }
}

impl ServiceTimeEstimate {
    /// Starts from what is usual for a latency objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            objective,
            warm: WARM.first,
            cold: COLD.first,
        }
    }

    /// Returns the estimated work.
    pub fn service_time(&self) -> ServiceTime {
        ServiceTime {
            warm: self.objective.mul_f64(self.warm),
            cold: self.objective.mul_f64(self.cold),
        }
    }

    /// Takes in the time of a request that found a free slot on a server of ordinary speed.
    pub fn sample(&mut self, warm: bool, took: Duration) {
        let ratio = took.as_secs_f64() / self.objective.as_secs_f64().max(0.001);
        let (value, prior) = match warm {
            true => (&mut self.warm, WARM),
            false => (&mut self.cold, COLD),
        };
        let sample = ratio.clamp(prior.least, prior.most);
        *value += WORK_GAIN * (sample - *value);
    }
}

base::value! {
    /// ServerPerformance of one server, learned from its answers.
    pub struct ServerPerformance {
        slowdown: f64,
        failed: f64,
        learned: Instant,
        last_answer: Instant,
    }
}

impl ServerPerformance {
    /// Starts with a server of ordinary speed.
    pub fn new(now: Instant) -> Self {
        Self {
            slowdown: 1.0,
            failed: 0.0,
            learned: now,
            last_answer: now,
        }
    }

    /// Returns the server's time divided by that of an ordinary one.
    pub fn slowdown(&self, now: Instant) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.memory(now)
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failed * self.memory(now)
    }

    fn memory(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.learned).as_secs_f64();
        0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }

    fn learn(&mut self, now: Instant) {
        self.slowdown = self.slowdown(now);
        self.failed = self.failure_rate(now);
        self.learned = now;
    }

    /// Takes in an answer that took `took` where `expected` was ordinary.
    pub fn record_answer(&mut self, now: Instant, took: Duration, expected: Duration) {
        self.learn(now);
        self.last_answer = now;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = ratio.clamp(SLOWDOWN.0, SLOWDOWN.1);
        self.slowdown += SLOWDOWN_GAIN * (sample - self.slowdown);
        self.failed -= FAILED_GAIN * self.failed;
    }

    /// Takes in a failure or a refusal.
    pub fn record_failure(&mut self, now: Instant) {
        self.learn(now);
        self.failed += FAILED_GAIN * (1.0 - self.failed);
    }

    /// Returns whether the server left a request unanswered for so long that it may be dead.
    ///
    /// `oldest` is when the oldest unanswered request was sent, `expected` its expected time.
    pub fn is_silent(&self, now: Instant, oldest: Option<Instant>, expected: Duration) -> bool {
        let limit = expected.mul_f64(SILENT).max(SILENT_LEAST);
        oldest.is_some_and(|sent| now.saturating_duration_since(sent.max(self.last_answer)) > limit)
    }
}
