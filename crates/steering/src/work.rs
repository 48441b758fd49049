//! Estimates of service times and of the performance of single backend servers.
//!
//! Servers may become slow without errors, fail part of their requests while their health check
//! passes, stop answering, or restart. Only answers to real requests are used: probes would take a
//! slot of the server and can mislead.

use crate::placement::ServiceTime;
use std::time::{Duration, Instant};

/// Service time on a warm server, in latency objectives. The sites state a cold service time of 1.4
/// to 1.65 objectives, of which a warm server needs 0.3.
const WARM: Prior = Prior::new(0.47, 0.3, 0.8);
/// Service time on a cold server, in latency objectives.
const COLD: Prior = Prior::new(1.55, 1.0, 2.2);
/// Weight of a sample in the service time: averages about 50 samples.
const SERVICE_TIME_WEIGHT: f64 = 0.02;
/// Weight of a sample in a server's slowdown: averages about 4 samples.
const SLOWDOWN_WEIGHT: f64 = 0.25;
/// Range of a server's slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.8, 16.0);
/// Weight of a sample in a server's failure rate: averages about 6 samples.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of a server's slowdown and failure rate without samples, so that a server that
/// recovered is used again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Multiple of the expected time without an answer after which a server counts as silent.
const SILENCE_FACTOR: f64 = 4.0;
/// Minimum time without an answer after which a server counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// Initial value and range of an estimate.
#[derive(Debug, Clone, Copy)]
struct Prior {
    initial: f64,
    min: f64,
    max: f64,
}

impl Prior {
    const fn new(initial: f64, min: f64, max: f64) -> Self {
        Self { initial, min, max }
    }
}

/// Returns the assumed service times on a warm and on a cold server, in latency objectives.
pub fn prior_service_times() -> (f64, f64) {
    (WARM.initial, COLD.initial)
}

/// Returns the time of which several are waited for without an answer before a server counts as
/// silent, where few requests take longer than `slowest`.
pub fn silence_unit(usual: Duration, slowest: Duration) -> Duration {
    usual.max(slowest.div_f64(SILENCE_FACTOR))
}

base::value! {
    /// Average service time of the requests with one latency objective.
    pub struct ServiceTimeEstimate {
        objective: Duration,
        warm: f64,
        cold: f64,
    }
}

impl ServiceTimeEstimate {
    /// Creates an estimate with the initial values for a latency objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            objective,
            warm: WARM.initial,
            cold: COLD.initial,
        }
    }

    /// Returns the estimated service time.
    pub fn service_time(&self) -> ServiceTime {
        ServiceTime {
            warm: self.objective.mul_f64(self.warm),
            cold: self.objective.mul_f64(self.cold),
        }
    }

    /// Records the time of a request that found a free slot on a server of ordinary speed.
    pub fn sample(&mut self, warm: bool, took: Duration) {
        let ratio = took.as_secs_f64() / self.objective.as_secs_f64().max(0.001);
        let (value, prior) = match warm {
            true => (&mut self.warm, WARM),
            false => (&mut self.cold, COLD),
        };
        let sample = ratio.clamp(prior.min, prior.max);
        *value += SERVICE_TIME_WEIGHT * (sample - *value);
    }
}

base::value! {
    /// Slowdown and failure rate of one server, from its answers.
    pub struct ServerPerformance {
        slowdown: f64,
        failure_rate: f64,
        updated_at: Instant,
        last_answer: Instant,
    }
}

impl ServerPerformance {
    /// Creates the state of a server of ordinary speed without failures.
    pub fn new(now: Instant) -> Self {
        Self {
            slowdown: 1.0,
            failure_rate: 0.0,
            updated_at: now,
            last_answer: now,
        }
    }

    /// Returns the server's time divided by that of an ordinary one.
    pub fn slowdown(&self, now: Instant) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.decay(now)
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate * self.decay(now)
    }

    fn decay(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.updated_at).as_secs_f64();
        0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }

    fn apply_decay(&mut self, now: Instant) {
        self.slowdown = self.slowdown(now);
        self.failure_rate = self.failure_rate(now);
        self.updated_at = now;
    }

    /// Records an answer that took `took`, while `expected` is the time at ordinary speed.
    pub fn record_answer(&mut self, now: Instant, took: Duration, expected: Duration) {
        self.apply_decay(now);
        self.last_answer = now;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown += SLOWDOWN_WEIGHT * (sample - self.slowdown);
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
    }

    /// Records a failure or a refusal.
    pub fn record_failure(&mut self, now: Instant) {
        self.apply_decay(now);
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Returns whether the server has not answered for so long that it may be dead.
    ///
    /// `oldest` is the time at which the oldest unanswered request was sent, `expected` its
    /// expected time.
    pub fn is_silent(&self, now: Instant, oldest: Option<Instant>, expected: Duration) -> bool {
        let limit = expected.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
        oldest.is_some_and(|sent| now.saturating_duration_since(sent.max(self.last_answer)) > limit)
    }
}
