//! Load balancing over the backend servers of one service and version in one data centre.

use super::{OutlierDetector, Settings, ramp};
use base::id::Server;
use indexmap::IndexMap;
use rand::{Rng, RngExt};
use std::time::Instant;

/// How a request on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The server answered.
    Answered,
    /// The server refused the request because of its load and did not run it.
    Shed,
    /// The connection failed or the server answered with an error.
    Failed,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct State {
    in_flight: u32,
    started: Option<Instant>,
    /// Sheds and failures since the last answer.
    sheds: u32,
    avoided_until: Option<Instant>,
    load: Option<(f64, Instant)>,
    healthy: Option<(bool, Instant)>,
}

/// Selects the server with the fewest requests of this VM in flight, then the lowest reported load.
///
/// All servers are compared instead of a random few: a data centre has few servers of one version,
/// and with 3 slots per server a badly loaded one is soon full. Reports only break ties, because
/// they lag and may be wrong.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    servers: IndexMap<Server, State>,
}

impl Balancer {
    /// Creates a balancer without servers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: IndexMap::new(),
        }
    }

    /// Adds a server; `started` is the time at which it started, if its cache may be cold.
    pub fn insert(&mut self, server: impl Into<Server>, started: Option<Instant>) {
        self.servers.entry(server.into()).or_default().started = started;
    }

    /// Removes a server that left; its requests in flight need no [`Balancer::end`].
    pub fn remove(&mut self, server: &str) {
        self.servers.shift_remove(server);
    }

    /// Records the load that a server reports, from 0 (idle) to 1, as measured at `at`.
    pub fn report_load(&mut self, server: &str, load: f64, at: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.load = Some((load, at));
        }
    }

    /// Records the result of a health probe.
    pub fn report_health(&mut self, server: &str, healthy: bool, at: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.healthy = Some((healthy, at));
        }
    }

    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            state.in_flight += 1;
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, server: &str, reply: Completion, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match reply {
            Completion::Answered => state.sheds = 0,
            Completion::Shed | Completion::Failed => {
                let backoff = self.settings.shed_backoff * (1 << state.sheds.min(8));
                state.sheds += 1;
                state.avoided_until = Some(now + backoff.min(self.settings.max_shed_backoff));
            }
        }
    }

    /// Returns the number of requests of this VM on a server.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |state| state.in_flight)
    }

    /// Returns the server for the next request, or `None` if the request has to wait.
    ///
    /// `free` returns whether this VM has a slot and a connection for the server. An ejected server
    /// gets only probe requests, even when all others are full: waiting for a fast server takes
    /// less time. Shedding servers are avoided during their backoff. Health probes are ignored if
    /// they would exclude every server.
    pub fn choose(
        &self,
        free: impl Fn(&str) -> bool,
        outlier: &mut OutlierDetector,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Server> {
        let any_healthy = self.servers.values().any(|state| self.healthy(state, now));
        let eligible: Vec<_> = self
            .servers
            .iter()
            .filter(|(server, state)| {
                free(server)
                    && state.avoided_until.is_none_or(|until| until <= now)
                    && (!any_healthy || self.healthy(state, now))
            })
            .collect();
        if let Some((server, _)) = eligible
            .iter()
            .find(|(name, _)| outlier.is_probe_due(name, now))
        {
            outlier.probe_sent(server, now);
            return Some((*server).clone());
        }
        let regular = || eligible.iter().filter(|(name, _)| !outlier.ejected(name));
        let ramped: Vec<_> = regular()
            .filter(|(name, state)| {
                let share = self.slow_start(state, now) * outlier.share(name, now);
                share >= 1.0 || rng.random::<f64>() < share
            })
            .collect();
        // If all others are full, a server on its ramp is better than a wait.
        let candidates: Vec<_> = match ramped.is_empty() {
            true => regular().collect(),
            false => ramped,
        };
        candidates
            .into_iter()
            .map(|(name, state)| {
                let load = self.load(state, now);
                ((state.in_flight, load, rng.random::<f64>()), name)
            })
            .min_by(|(a, _), (b, _)| {
                (a.0.cmp(&b.0))
                    .then(a.1.total_cmp(&b.1))
                    .then(a.2.total_cmp(&b.2))
            })
            .map(|(_, name)| (*name).clone())
    }

    fn healthy(&self, state: &State, now: Instant) -> bool {
        match state.healthy {
            Some((healthy, at)) => healthy || self.is_outdated(at, now),
            None => true,
        }
    }

    /// Returns the reported load in steps of a quarter, so that noise in the reports has no effect.
    fn load(&self, state: &State, now: Instant) -> f64 {
        const STEPS: f64 = 4.0;
        match state.load {
            Some((load, at)) if !self.is_outdated(at, now) => (load * STEPS).round() / STEPS,
            _ => 0.0,
        }
    }

    /// Returns the share of its normal load that a started server may get.
    fn slow_start(&self, state: &State, now: Instant) -> f64 {
        state.started.map_or(1.0, |at| {
            let elapsed = now.saturating_duration_since(at);
            ramp(self.settings.cold_floor, elapsed, self.settings.slow_start)
        })
    }

    fn is_outdated(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) > self.settings.max_report_age
    }
}
