//! Outlier detection: ejects backend servers that are slower than their peers without errors.

mod verdict;

pub use verdict::{Ejection, Verdict};

use super::{Settings, ramp};
use base::id::{Route, Server};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of samples per server and route.
const MAX_SAMPLES: usize = 64;
/// Number of samples from which the median is compared; fewer are too often slow by chance.
const MEDIAN_SAMPLES: usize = 12;
/// Minimum spread as a share of the median; without it, peers of equal speed make noise an outlier.
const MIN_SPREAD: f64 = 0.1;
/// Scales the median absolute deviation to the standard deviation of a normal distribution.
const MAD_SCALE: f64 = 1.4826;
/// Time for which a computed latency limit is cached.
const LIMIT_TTL: Duration = Duration::from_millis(100);
/// Multiple of the latency limit to which single answers of an ejected server are compared.
///
/// The limit is for medians. With an exponential part in the service time, 4% of the single answers
/// of a normal server exceed it, and each one delays the return by a whole probe interval.
const SINGLE_ANSWER_FACTOR: f64 = 1.5;
/// Share of its normal load with which a recovered server starts.
const RECOVERY_FLOOR: f64 = 0.2;

base::message! {
    /// Median latency of one server on one route, as sent to other VMs of the same service.
    pub struct Summary {
        /// Backend server.
        pub server: Server,
        /// Route within the service.
        pub route: Route,
        /// Median latency over the window, in seconds.
        pub median: f64,
    }
}

#[derive(Debug, Clone)]
enum State {
    Regular,
    Ejected {
        next_probe: Instant,
        /// Fast answers in a row.
        good: u32,
        /// Latency in seconds above which an answer is slow.
        limit: f64,
        probe_interval: Duration,
        since: Instant,
        last_probe: Instant,
    },
    Recovering {
        since: Instant,
    },
}

/// Compares each server with its peers of the same version and route.
///
/// A data centre may have only two servers of a service, too few to find out which one is slow, so
/// the medians that other VMs measured on their own servers count as peers as well.
#[derive(Debug)]
pub struct OutlierDetector {
    settings: Settings,
    samples: IndexMap<(Route, Server), VecDeque<(Instant, Duration)>>,
    /// Medians measured by other VMs, in seconds.
    remote_medians: IndexMap<(Route, Server), (f64, Instant)>,
    states: IndexMap<Server, State>,
    /// Cached latency limits, in seconds.
    limits: IndexMap<(Route, Server), (f64, Instant)>,
}

impl OutlierDetector {
    /// Creates a detector without servers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            samples: IndexMap::new(),
            remote_medians: IndexMap::new(),
            states: IndexMap::new(),
            limits: IndexMap::new(),
        }
    }

    /// Adds a server that this VM sends requests to.
    pub fn insert(&mut self, server: impl Into<Server>) {
        self.states.entry(server.into()).or_insert(State::Regular);
    }

    /// Removes a server and its samples.
    pub fn remove(&mut self, server: &str) {
        self.states.shift_remove(server);
        self.samples.retain(|(_, name), _| &**name != server);
        self.limits.retain(|(_, name), _| &**name != server);
    }

    /// Records the latency of an answer, and ejects or readmits the server.
    ///
    /// Shed and failed requests must not be recorded: their short times would hide a slow server.
    pub fn record(&mut self, route: &str, server: &str, latency: Duration, now: Instant) {
        let key = (Route::from(route), Server::from(server));
        let window = self.settings.window.max(self.settings.sparse_window);
        let samples = self.samples.entry(key).or_default();
        samples.push_back((now, latency));
        while samples.len() > MAX_SAMPLES || samples.front().is_some_and(|s| s.0 + window < now) {
            samples.pop_front();
        }
        match self.states.get(server).cloned() {
            Some(State::Ejected {
                good,
                limit,
                probe_interval,
                since,
                last_probe,
                ..
            }) => {
                // Without traffic there are no peers to compare with, so the old limit applies.
                let limit = self.limit(route, server, now).unwrap_or(limit);
                let slow = latency.as_secs_f64() > limit * SINGLE_ANSWER_FACTOR;
                if !slow && good + 1 >= self.settings.readmit_samples {
                    self.readmit(server, now);
                    return;
                }
                // A slow answer after a fast one may be chance, so the next probe follows soon.
                let soon = !slow || good > 0;
                let state = State::Ejected {
                    next_probe: now
                        + if soon {
                            self.settings.confirm_interval
                        } else {
                            probe_interval
                        },
                    good: if slow { 0 } else { good + 1 },
                    limit,
                    probe_interval,
                    since,
                    last_probe,
                };
                self.states.insert(server.into(), state);
            }
            Some(_) => self.eject_if_slow(route, server, now),
            None => {}
        }
    }

    /// Merges the medians that another VM measured.
    pub fn merge_summaries(&mut self, summaries: impl IntoIterator<Item = Summary>, now: Instant) {
        let window = self.settings.window * 2;
        self.remote_medians.retain(|_, (_, at)| *at + window >= now);
        for summary in summaries {
            let key = (summary.route, summary.server);
            self.remote_medians.insert(key, (summary.median, now));
        }
    }

    /// Returns the medians of the servers with enough samples, for other VMs.
    pub fn summaries(&self, now: Instant) -> Vec<Summary> {
        self.samples
            .keys()
            .filter_map(|(route, server)| {
                Some(Summary {
                    server: server.clone(),
                    route: route.clone(),
                    median: self.own_median(route, server, now)?,
                })
            })
            .collect()
    }

    fn eject(&mut self, server: &str, limit: f64, now: Instant) {
        if self.ejections() >= self.max_ejections() {
            return;
        }
        let probe_interval = self.probe_interval(now);
        let state = State::Ejected {
            next_probe: now + probe_interval,
            good: 0,
            limit,
            probe_interval,
            since: now,
            last_probe: now,
        };
        self.states.insert(server.into(), state);
    }

    fn readmit(&mut self, server: &str, since: Instant) {
        // Samples from before the recovery would eject the server again.
        self.samples.retain(|(_, name), _| &**name != server);
        self.states
            .insert(server.into(), State::Recovering { since });
    }

    /// Returns whether a server is ejected.
    pub fn ejected(&self, server: &str) -> bool {
        matches!(self.states.get(server), Some(State::Ejected { .. }))
    }

    /// Returns the number of ejected servers.
    pub fn ejections(&self) -> usize {
        let ejected = |s: &&State| matches!(s, State::Ejected { .. });
        self.states.values().filter(ejected).count()
    }

    /// Returns the maximum number of servers that may be ejected at once.
    pub fn max_ejections(&self) -> usize {
        let servers = self.states.len();
        let share = (servers as f64 * self.settings.max_ejected) as usize;
        share.max(usize::from(servers > 1))
    }

    /// Returns whether an ejected server is to get a probe request now.
    pub fn is_probe_due(&self, server: &str, now: Instant) -> bool {
        matches!(
            self.states.get(server),
            Some(State::Ejected { next_probe, .. }) if *next_probe <= now
        )
    }

    /// Records a probe request to an ejected server.
    pub fn probe_sent(&mut self, server: &str, now: Instant) {
        if let Some(State::Ejected {
            next_probe,
            probe_interval,
            last_probe,
            ..
        }) = self.states.get_mut(server)
        {
            *next_probe = now + *probe_interval;
            *last_probe = now;
        }
    }

    /// Returns the share of its normal load that a server may get, from 0 to 1.
    pub fn share(&self, server: &str, now: Instant) -> f64 {
        match self.states.get(server) {
            Some(State::Ejected { .. }) => 0.0,
            Some(State::Recovering { since }) => {
                let elapsed = now.saturating_duration_since(*since);
                ramp(RECOVERY_FLOOR, elapsed, self.settings.recovery_ramp)
            }
            _ => 1.0,
        }
    }

    fn eject_if_slow(&mut self, route: &str, server: &str, now: Instant) {
        if self.ejections() >= self.max_ejections() {
            return;
        }
        let Some(latency) = self.tested_latency(route, server, now) else {
            return;
        };
        if let Some(limit) = self.cached_limit(route, server, now)
            && latency > limit
        {
            self.eject(server, limit, now);
        }
    }

    /// Returns the probe interval: an ejected server gets a hundredth of the busiest server's load.
    fn probe_interval(&self, now: Instant) -> Duration {
        const PROBE_SHARE: f64 = 0.01;
        let window = self.settings.window;
        let counts = self
            .samples
            .values()
            .map(|s| latest(s, now, window).count());
        let most = counts.max().unwrap_or(0).max(1);
        let interval = window.div_f64(most as f64 * PROBE_SHARE);
        interval.clamp(
            self.settings.min_probe_interval,
            self.settings.max_probe_interval,
        )
    }

    /// Returns a limit computed at most `LIMIT_TTL` ago: it costs much more than the other steps.
    fn cached_limit(&mut self, route: &str, server: &str, now: Instant) -> Option<f64> {
        let key = (Route::from(route), Server::from(server));
        if let Some((limit, at)) = self.limits.get(&key)
            && now.saturating_duration_since(*at) < LIMIT_TTL
        {
            return Some(*limit);
        }
        let limit = self.limit(route, server, now)?;
        self.limits.insert(key, (limit, now));
        Some(limit)
    }

    /// Returns the latency in seconds above which `server` is slow, from the medians of its peers.
    fn limit(&self, route: &str, server: &str, now: Instant) -> Option<f64> {
        let own = self
            .samples
            .keys()
            .filter(|(r, name)| &**r == route && &**name != server)
            .filter_map(|(r, name)| Some((name, self.own_median(r, name, now)?)));
        let fresh = |at: Instant| now.saturating_duration_since(at) <= self.settings.window * 2;
        let remote = self
            .remote_medians
            .iter()
            .filter(|((r, name), (_, at))| &**r == route && &**name != server && fresh(*at))
            .map(|((_, name), (median, _))| (name, *median));
        let peers: IndexMap<_, _> = remote.chain(own).collect();
        if peers.len() < self.settings.min_peers {
            return None;
        }
        let medians: Vec<f64> = peers.into_values().collect();
        let centre = median(&medians)?;
        let distances: Vec<f64> = medians.iter().map(|m| (m - centre).abs()).collect();
        let spread = (MAD_SCALE * median(&distances)?).max(MIN_SPREAD * centre);
        Some((centre * self.settings.factor).max(centre + self.settings.deviations * spread))
    }

    fn own_median(&self, route: &str, server: &str, now: Instant) -> Option<f64> {
        let samples = self
            .samples
            .get(&(Route::from(route), Server::from(server)))?;
        let window = self.settings.window;
        let fresh: Vec<f64> = latest(samples, now, window).collect();
        (fresh.len() >= self.settings.min_samples)
            .then(|| median(&fresh))
            .flatten()
    }

    /// Returns the latency in seconds that is compared with the limit; peers count by their median.
    ///
    /// It uses the sparse window if the window holds too few answers, and the lower quartile of few
    /// answers: three of five are slow by chance often enough to eject a normal server.
    fn tested_latency(&self, route: &str, server: &str, now: Instant) -> Option<f64> {
        let samples = self
            .samples
            .get(&(Route::from(route), Server::from(server)))?;
        let least = self.settings.min_samples;
        let mut values: Vec<f64> = latest(samples, now, self.settings.window).collect();
        if values.len() < least {
            let sparse = latest(samples, now, self.settings.sparse_window);
            values = sparse.take(least).collect();
        }
        values.sort_by(f64::total_cmp);
        match values.len() {
            n if n < least => None,
            n if n < MEDIAN_SAMPLES => values.get(n / 4).copied(),
            _ => median(&values),
        }
    }
}

/// Returns the latencies in seconds of the answers within a window, latest first.
fn latest(
    samples: &VecDeque<(Instant, Duration)>,
    now: Instant,
    window: Duration,
) -> impl Iterator<Item = f64> {
    let samples = samples.iter().rev();
    samples
        .take_while(move |(at, _)| now.saturating_duration_since(*at) <= window)
        .map(|(_, latency)| latency.as_secs_f64())
}

fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    Some(match sorted.len() {
        0 => return None,
        n if n % 2 == 1 => sorted[middle],
        _ => f64::midpoint(sorted[middle - 1], sorted[middle]),
    })
}
