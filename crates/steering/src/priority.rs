//! Admission of requests of different priority that compete for one service.
//!
//! While a service is short of room, less urgent requests are thinned so that the share of them
//! that is served follows the share of the more urgent ones that is answered in time. They also
//! never build a queue at a server that would make a more urgent request late. Requests for objects
//! that no server has cached give way to those that are cheap to serve.

mod average;
mod competition;
mod workspaces;

pub use competition::{Competition, Priority, of_request};

use crate::placement::{ColdPolicy, ServiceTime, Terms};
use average::Average;
use indexmap::IndexMap;
use rand::{Rng, RngExt};
use std::fmt;
use std::time::{Duration, Instant};
use workspaces::Workspaces;

base::value! {
    /// Settings of the admission.
    #[derive(Copy)]
    pub struct Settings {
        /// Share of its offered requests that each kind is served at least, so that none starves.
        pub floor: f64,
        /// Share of a less urgent kind that is refused, divided by the share of the more urgent
        /// kind that is not answered in time. Above 1, so that noise in the averages of one VM
        /// does not serve the less urgent kind more often.
        pub pressure: f64,
        /// Share of a kind that the placement accepts, down to which the admitted share makes up for
        /// its refusals. Below it the placement would choose, which knows no workspaces: at 0.1, a
        /// workspace that sent ten times its share was served more than half as often as others.
        pub min_placed: f64,
        /// Interval of the control loop.
        pub interval: Duration,
        /// Maximum change of the admitted share in one interval. From the floor to all requests
        /// takes 0.9 s, half of the time allowed for the recovery.
        pub step: f64,
        /// Shares of the service's slots in use at which the shortage begins and is complete. Requests
        /// are late for other reasons too, such as cold caches, slow servers and costly requests;
        /// thinning for these would only take requests from servers with free slots.
        pub shortage: (f64, f64),
        /// Requests without a warm server that may be queued while the service is short, per
        /// request offered. Without them, objects that no server has cached would never be.
        pub cold_share: f64,
        /// Admitted shares below and above which thinning is logged as begun and as ended.
        pub log_shares: (f64, f64),
    }

    /// How a request ended.
    #[derive(Copy, Eq)]
    pub enum Ending {
        /// Answered within the latency objective.
        InTime,
        /// Sent, and not answered within the objective.
        Late,
        /// Refused because no server could answer in time, or for lack of a server.
        Refused,
    }

    /// Change of the thinning of a service, for the log.
    pub struct Change {
        /// Whether thinning began; otherwise it ended.
        pub is_begin: bool,
        /// Admitted share and share answered in time by priority.
        pub shares: Shares,
    }

    /// Admitted share and share answered in time by priority, the most urgent first.
    pub struct Shares(pub Vec<(Priority, f64, f64)>);
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            floor: 0.1,
            pressure: 1.25,
            min_placed: 0.5,
            interval: Duration::from_millis(100),
            step: 0.1,
            shortage: (0.75, 0.95),
            cold_share: 0.05,
            log_shares: (0.9, 0.97),
        }
    }
}

impl fmt::Display for Shares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (priority, admitted, in_time)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{priority}:{admitted:.2}/{in_time:.2}")?;
        }
        Ok(())
    }
}

/// State of the requests of one priority.
#[derive(Debug, Clone)]
struct Kind {
    objective: Duration,
    /// Ends of requests, those refused by thinning included.
    ended: Average,
    /// Ends of requests that were not thinned.
    placed: Average,
    /// Share of requests that is not thinned.
    admitted: f64,
    /// Requests offered since the last one was sent to a server.
    unsent: u32,
    workspaces: Workspaces,
}

impl Kind {
    fn new(objective: Duration, now: Instant) -> Self {
        Self {
            objective,
            ended: Average::new(now),
            placed: Average::new(now),
            admitted: 1.0,
            unsent: 0,
            workspaces: Workspaces::new(now),
        }
    }
}

/// Admission to one service on one VM.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: Settings,
    /// Kinds by priority, the most urgent first.
    kinds: IndexMap<Priority, Kind>,
    /// Requests without a warm server that may still be queued.
    cold_credit: f64,
    /// Share of the service's slots in use, from 0 to 1.
    occupancy: f64,
    controlled_at: Instant,
    is_thinning: bool,
}

/// Maximum number of saved requests without a warm server.
const MAX_COLD_CREDIT: f64 = 2.0;
/// Range of the random factor of `Retry-After`.
const SPREAD: (f64, f64) = (0.5, 1.0);
/// `Retry-After` under lasting overload, as part of the time until the deadline: callers use at
/// most a third.
const LASTING_PART: f64 = 1.0 / 3.0;

impl Admission {
    /// Starts without thinning.
    pub fn new(settings: Settings, competition: &Competition, now: Instant) -> Self {
        let mut admission = Self {
            settings,
            kinds: IndexMap::new(),
            cold_credit: MAX_COLD_CREDIT,
            occupancy: 0.0,
            controlled_at: now,
            is_thinning: false,
        };
        admission.configure(competition, now);
        admission
    }

    /// Applies another configuration; kinds that remain keep their state.
    pub fn configure(&mut self, competition: &Competition, now: Instant) {
        let mut known = std::mem::take(&mut self.kinds);
        for (&priority, &objective) in competition.kinds() {
            let kind = known.swap_remove(&priority);
            let kind = kind.unwrap_or_else(|| Kind::new(objective, now));
            self.kinds.insert(priority, Kind { objective, ..kind });
        }
    }

    /// Returns whether a request is admitted; one that is not counts as refused.
    pub fn admit(&mut self, priority: Priority, workspace: &str, now: Instant) -> bool {
        self.control(now);
        let gain = self.settings.cold_share;
        self.cold_credit = (self.cold_credit + gain).min(MAX_COLD_CREDIT);
        let Some(kind) = self.kinds.get_mut(&priority) else {
            return true;
        };
        kind.unsent = kind.unsent.saturating_add(1);
        let is_admitted = kind.workspaces.admit(workspace, kind.admitted, now);
        if !is_admitted {
            kind.ended.record(Ending::Refused, now);
        }
        is_admitted
    }

    /// Records the end of an admitted request.
    pub fn record(&mut self, priority: Priority, ending: Ending, now: Instant) {
        if let Some(kind) = self.kinds.get_mut(&priority) {
            kind.ended.record(ending, now);
            kind.placed.record(ending, now);
        }
    }

    /// Records the share of the service's slots that are in use, by the loads of all VMs.
    pub fn record_occupancy(&mut self, occupancy: f64) {
        self.occupancy = occupancy;
    }

    /// Returns the terms of the placement of an admitted request; `service_time` returns the
    /// service time of requests by their objective.
    pub fn terms(
        &self,
        priority: Priority,
        service_time: impl Fn(Duration) -> ServiceTime,
    ) -> Terms {
        let is_short = self.shortage() > 0.0;
        let more_urgent = self.kinds.iter().filter(|(other, _)| **other < priority);
        let tolerated = more_urgent.map(|(_, kind)| {
            let own = service_time(kind.objective).warm;
            kind.objective.saturating_sub(own)
        });
        // A kind below its floor may queue for as long as its own objective allows.
        let kind = self.kinds.get(&priority);
        let is_due = kind.is_some_and(|kind| f64::from(kind.unsent) * self.settings.floor >= 1.0);
        let cold = match is_short {
            false => ColdPolicy::Any,
            true if self.cold_credit >= 1.0 => ColdPolicy::Any,
            true => ColdPolicy::IfNoneIsWarm,
        };
        Terms {
            max_wait: tolerated.min().filter(|_| is_short && !is_due),
            cold,
        }
    }

    /// Records that a request was sent to a server; `is_warm` if that has cached its object.
    pub fn record_send(&mut self, priority: Priority, is_warm: bool) {
        if let Some(kind) = self.kinds.get_mut(&priority) {
            kind.unsent = 0;
        }
        if !is_warm && self.shortage() > 0.0 {
            self.cold_credit = (self.cold_credit - 1.0).max(0.0);
        }
    }

    /// Returns the shortage from 0 to 1, from the share of the slots in use.
    pub fn shortage(&self) -> f64 {
        let (from, to) = self.settings.shortage;
        ((self.occupancy - from) / (to - from)).clamp(0.0, 1.0)
    }

    /// Returns when the caller of a refused request should return: when its wait is over, later
    /// under lasting overload, and spread so that callers don't return together.
    pub fn retry_after(
        &self,
        excess: Duration,
        time_left: Duration,
        random: &mut impl Rng,
    ) -> Duration {
        let latest = time_left.mul_f64(LASTING_PART);
        let excess = excess.min(latest);
        let lasting = latest.saturating_sub(excess).mul_f64(self.shortage());
        (excess + lasting).mul_f64(random.random_range(SPREAD.0..SPREAD.1))
    }

    /// Returns the beginning or the end of thinning since the last call.
    pub fn take_change(&mut self, now: Instant) -> Option<Change> {
        self.control(now);
        let least = self.kinds.values().map(|kind| kind.admitted);
        let least = least.fold(1.0, f64::min);
        let (begin, end) = self.settings.log_shares;
        let is_thinning = match self.is_thinning {
            true => least < end,
            false => least < begin,
        };
        let is_changed = is_thinning != self.is_thinning;
        self.is_thinning = is_thinning;
        is_changed.then(|| Change {
            is_begin: is_thinning,
            shares: self.shares(now),
        })
    }

    /// Returns the admitted share and the share answered in time of each kind.
    pub fn shares(&self, now: Instant) -> Shares {
        let kinds = self.kinds.iter();
        Shares(
            kinds
                .map(|(&priority, kind)| {
                    let in_time = kind.ended.in_time(now).unwrap_or(1.0);
                    (priority, kind.admitted, in_time)
                })
                .collect(),
        )
    }

    /// Moves the admitted shares towards their targets, by a bounded step for each interval.
    fn control(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.controlled_at);
        if elapsed < self.settings.interval {
            return;
        }
        self.controlled_at = now;
        let intervals = elapsed.div_duration_f64(self.settings.interval);
        let step = (self.settings.step * intervals).min(1.0);
        let Settings {
            floor,
            pressure,
            min_placed,
            ..
        } = self.settings;
        let pressure = pressure * self.shortage();
        let mut least_in_time = 1.0_f64;
        for kind in self.kinds.values_mut() {
            let target = (1.0 - pressure * (1.0 - least_in_time)).max(floor);
            // What the placement refuses of this kind counts towards the share that it loses.
            let placed = kind.placed.served(now).unwrap_or(1.0).max(min_placed);
            let admitted = (target / placed).min(1.0);
            kind.admitted += (admitted - kind.admitted).clamp(-step, step);
            least_in_time = least_in_time.min(kind.ended.in_time(now).unwrap_or(1.0));
        }
    }
}
