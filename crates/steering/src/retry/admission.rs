//! Admission control: sheds requests that can't finish within their deadline.

use std::time::{Duration, Instant};

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.02;

base::label! {
    /// Why a request is not admitted; in both cases it has not run.
    pub enum Refusal {
        /// The request would wait in the queue for too long.
        Queue,
        /// The request itself would take too long.
        Late,
    }
}

/// Average service time, and the admission decisions based on it.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    mean: f64,
    deviation: f64,
    margin: f64,
}

impl Admission {
    /// Creates the estimate from an assumed mean; `margin` is in mean deviations above the mean.
    pub fn new(assumed: Duration, margin: f64) -> Self {
        Self {
            mean: assumed.as_secs_f64(),
            deviation: 0.0,
            margin,
        }
    }

    /// Records the service time of one request, without its time in the queue.
    pub fn record(&mut self, took: Duration) {
        let error = took.as_secs_f64() - self.mean;
        self.mean += SAMPLE_WEIGHT * error;
        self.deviation += SAMPLE_WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns the expected service time plus the margin.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean + self.margin * self.deviation)
    }

    /// Checks the deadline on arrival, with `ahead` requests that start first on `slots` slots.
    pub fn admit(
        &self,
        deadline: Instant,
        ahead: usize,
        slots: usize,
        now: Instant,
    ) -> Result<(), Refusal> {
        let wait = Duration::from_secs_f64(self.mean * ahead as f64 / slots.max(1) as f64);
        self.check_start(deadline, now)?;
        match now + wait + self.service_time() <= deadline {
            true => Ok(()),
            false => Err(Refusal::Queue),
        }
    }

    /// Checks the deadline again when a slot is free for a queued request.
    pub fn check_start(&self, deadline: Instant, now: Instant) -> Result<(), Refusal> {
        match now + self.service_time() <= deadline {
            true => Ok(()),
            false => Err(Refusal::Late),
        }
    }
}
