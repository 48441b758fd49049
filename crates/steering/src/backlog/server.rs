//! What one VM knows of the requests at one server.

use super::Queue;
use crate::cost::Model;
use base::id::Route;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Age at which a figure that a server stated has lost its weight; machines are slow for about so
/// long at a time.
const FIGURE_LIFETIME: Duration = Duration::from_millis(600);

/// Returns the weight of a figure that a server stated at `at`, from 1 when new to 0.
fn weight(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (1.0 - age.as_secs_f64() / FIGURE_LIFETIME.as_secs_f64()).max(0.0)
}

base::value! {
    /// A request of this VM that is not answered yet.
    pub struct Sent {
        /// Time of the send.
        pub at: Instant,
        /// Expected time of its start, after the wait for a slot.
        pub starts_at: Instant,
        /// Route of the request.
        pub route: Route,
        /// Latency objective of the route.
        pub objective: Duration,
        /// Whether the server was expected to have its object cached.
        pub warm: bool,
    }
}

base::message! {
    /// Pace of a server's machine as it stated.
    #[derive(Copy)]
    pub struct StatedPace {
        /// Time for work in percent of the usual time.
        pub percent: u16,
        /// Milliseconds since the statement.
        pub age_ms: u16,
    }
}

/// Pace of a machine, and who was told.
#[derive(Debug, Clone, Copy)]
struct Pace {
    percent: u16,
    at: Instant,
    is_own: bool,
}

/// Requests at one server, as far as a VM knows.
#[derive(Debug, Clone, Default)]
pub struct Server {
    /// Unanswered requests of this VM by ticket, in the order of their sends.
    sent: IndexMap<u64, Sent>,
    /// Requests of other VMs at the server when it answered this VM last.
    others: Option<(u32, Instant)>,
    /// Requests of other VMs by their reports, which are 0.25 to 0.5 s old.
    reported: u32,
    pace: Option<Pace>,
}

impl Server {
    /// Adds a request that was sent.
    pub fn add(&mut self, ticket: u64, sent: Sent) {
        self.sent.insert(ticket, sent);
    }

    /// Removes a request that ended or was given up.
    pub fn remove(&mut self, ticket: u64) {
        self.sent.shift_remove(&ticket);
    }

    /// Returns the number of unanswered requests of this VM.
    pub fn own(&self) -> usize {
        self.sent.len()
    }

    /// Returns the number of requests of other VMs by their reports.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// Replaces the number of requests of other VMs by their reports.
    pub fn set_reported(&mut self, reported: u32) {
        self.reported = reported;
    }

    /// Records that the server stated `load` requests in its answer to a request, which is still
    /// among the unanswered ones and no longer in the load.
    pub fn record_load(&mut self, load: u32, now: Instant) {
        let own = u32::try_from(self.own().saturating_sub(1)).unwrap_or(u32::MAX);
        self.others = Some((load.saturating_sub(own), now));
    }

    /// Records the pace that the server stated in an answer, in percent.
    pub fn record_pace(&mut self, percent: u32, now: Instant) {
        self.pace = Some(Pace {
            percent: u16::try_from(percent).unwrap_or(u16::MAX),
            at: now,
            is_own: true,
        });
    }

    /// Applies the pace that another VM reports; the newest statement counts.
    pub fn apply_pace(&mut self, pace: StatedPace, now: Instant) {
        let age = Duration::from_millis(u64::from(pace.age_ms));
        let at = now.checked_sub(age).unwrap_or(now);
        if self.pace.is_none_or(|known| known.at < at) {
            self.pace = Some(Pace {
                percent: pace.percent,
                at,
                is_own: false,
            });
        }
    }

    /// Returns the pace for reports to other VMs while it has weight, and whether it was stated to
    /// this VM.
    pub fn stated_pace(&self, now: Instant) -> Option<(StatedPace, bool)> {
        let pace = self.pace.filter(|pace| weight(pace.at, now) > 0.0)?;
        let age = now.saturating_duration_since(pace.at).as_millis();
        let stated = StatedPace {
            percent: pace.percent,
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
        };
        Some((stated, pace.is_own))
    }

    /// Returns the time for work divided by the usual time: the stated pace while it is new, then
    /// `slowdown`, the ratio by the latest answers.
    pub fn pace(&self, slowdown: f64, now: Instant) -> f64 {
        self.pace.map_or(slowdown, |pace| {
            let weight = weight(pace.at, now);
            weight * f64::from(pace.percent) / 100.0 + (1.0 - weight) * slowdown
        })
    }

    /// Returns the expected number of requests at the server, running or waiting. Its own statement
    /// is exact but ages.
    pub fn load(&self, now: Instant) -> u32 {
        let others = match self.others {
            None => self.reported,
            Some((others, at)) => {
                let weight = weight(at, now);
                let mixed = weight * f64::from(others) + (1.0 - weight) * f64::from(self.reported);
                mixed.round() as u32
            }
        };
        let own = u32::try_from(self.own()).unwrap_or(u32::MAX);
        own.saturating_add(others)
    }

    /// Returns the expected time until one of the `slots` is free, at this pace. `average` is the
    /// mean cost of a request of which nothing else is known.
    pub fn wait(
        &self,
        slots: u32,
        pace: f64,
        costs: &Model,
        average: Duration,
        now: Instant,
    ) -> Duration {
        let queue = Queue {
            slots,
            load: self.load(now),
            average,
            pace,
        };
        let running = self.sent.values().filter(|sent| sent.starts_at <= now);
        queue.wait(running.map(|sent| {
            let age = now.saturating_duration_since(sent.starts_at);
            let cost = costs.cost(&sent.route, sent.objective, sent.warm);
            cost.residual(age.div_f64(pace.max(0.1)))
        }))
    }

    /// Returns the send times of the two oldest unanswered requests.
    pub fn oldest(&self) -> [Option<Instant>; 2] {
        let mut oldest = [None, None];
        for at in self.sent.values().map(|sent| sent.at) {
            if oldest[0].is_none_or(|first| at < first) {
                oldest = [Some(at), oldest[0]];
            } else if oldest[1].is_none_or(|second| at < second) {
                oldest[1] = Some(at);
            }
        }
        oldest
    }
}
