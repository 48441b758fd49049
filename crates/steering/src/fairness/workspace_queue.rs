//! Queue and run statistics of one workspace.

use super::Request;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time constant of the average slot use.
const USE_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Weight of one run in the average run time.
const RUN_WEIGHT: f64 = 0.1;
/// Average slot use below which a workspace doesn't count among those that share the slots.
const MIN_USE: f64 = 0.05;

/// A queued request with its number in order of arrival.
#[derive(Debug)]
pub struct Entry<T> {
    /// Number of the request.
    pub number: u64,
    /// The request.
    pub request: Request<T>,
}

/// Queue and run statistics of one workspace.
#[derive(Debug)]
pub struct WorkspaceQueue<T> {
    /// Requests in order of arrival.
    pub requests: VecDeque<Entry<T>>,
    /// Number of running requests.
    pub running: usize,
    /// Slot time used, in seconds of virtual time.
    pub served: f64,
    /// Average run time in seconds, without known transfers.
    pub run: f64,
    /// Decayed sum of running requests, and its weight.
    used: f64,
    weight: f64,
    observed: Instant,
    /// Sum of the ages of running requests at `observed`, in seconds.
    ages: f64,
}

impl<T> WorkspaceQueue<T> {
    /// Returns an empty queue.
    pub fn new(expected: Duration, now: Instant) -> Self {
        Self {
            requests: VecDeque::new(),
            running: 0,
            served: 0.0,
            run: expected.as_secs_f64(),
            used: 0.0,
            weight: 0.0,
            observed: now,
            ages: 0.0,
        }
    }

    /// Updates the average number of running requests; call before `running` changes.
    pub fn observe(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.observed).as_secs_f64();
        self.observed = self.observed.max(now);
        let kept = (-elapsed / USE_TIME_CONSTANT.as_secs_f64()).exp();
        self.used = self.used * kept + self.running as f64 * (1.0 - kept);
        self.weight = self.weight * kept + (1.0 - kept);
        self.ages += self.running as f64 * elapsed;
    }

    /// Returns the average number of running requests, without a bias to zero after the start.
    pub fn usual(&self) -> f64 {
        self.used / self.weight.max(f64::EPSILON)
    }

    /// Records the end of a run that took `ran`, of which `transfer` was known before.
    pub fn end(&mut self, ran: Duration, transfer: Duration) {
        self.running = self.running.saturating_sub(1);
        self.ages = (self.ages - ran.as_secs_f64()).max(0.0);
        let own = ran.saturating_sub(transfer).as_secs_f64();
        self.run += (own - self.run) * RUN_WEIGHT;
    }

    /// Returns the mean run time in seconds, or the mean age of the running requests if it is
    /// higher: the age shows that requests have become slow before the first of them ends.
    pub fn typical(&self) -> f64 {
        self.run.max(self.ages / self.running.max(1) as f64)
    }

    /// Returns the expected slot time of the first queued request, in seconds.
    pub fn cost(&self) -> f64 {
        let transfer = self.requests.front().map(|entry| entry.request.transfer);
        self.typical() + transfer.unwrap_or_default().as_secs_f64()
    }

    /// Returns whether the first queued request can no longer finish in time.
    pub fn is_late(&self, now: Instant) -> bool {
        let late = |entry: &Entry<T>| now + entry.request.min_run_time > entry.request.deadline;
        self.requests.front().is_some_and(late)
    }

    /// Returns whether the workspace has used slots lately, or has requests.
    pub fn is_recent(&self) -> bool {
        self.usual() > MIN_USE || self.running > 0 || !self.requests.is_empty()
    }
}
