//! Ejection of backend servers that are slow against their peers without returning errors.

mod verdict;

pub use verdict::{Finding, Verdict};

use super::{Settings, ramp};
use base::id::{Route, Server};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Most recent samples kept per server and route.
const KEPT_SAMPLES: usize = 64;
/// Samples from which their median decides; fewer are slow together by chance too often.
const MANY_SAMPLES: usize = 12;
/// Smallest spread as a part of the median, so that equal peers don't make noise look extreme.
const SPREAD_FLOOR: f64 = 0.1;
/// Scales the median absolute deviation to the standard deviation of a normal distribution.
const MAD_SCALE: f64 = 1.4826;
/// Age up to which a limit is used again for the decision to eject.
const LIMIT_AGE: Duration = Duration::from_millis(100);
/// Multiple of the limit for the single answers of an ejected server.
///
/// The limit is for medians. With an exponential part in the service time, 4% of the single answers of
/// a normal server exceed it, and each one delays its return by a whole trickle.
const SINGLE_FACTOR: f64 = 1.5;
/// Share at which the ramp of a recovered server starts.
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
enum Standing {
    Regular,
    Ejected {
        due: Instant,
        good: u32,
        limit: f64,
        trickle: Duration,
        since: Instant,
        tried: Instant,
    },
    Recovering {
        since: Instant,
    },
}

/// Compares each server with its peers of the same version and route.
///
/// Data centres may have two servers of a service, which are too few to tell which one is slow, so
/// medians that other VMs measured on their own servers count as peers as well.
#[derive(Debug)]
pub struct Outlier {
    settings: Settings,
    samples: IndexMap<(Route, Server), VecDeque<(Instant, Duration)>>,
    learned: IndexMap<(Route, Server), (f64, Instant)>,
    standing: IndexMap<Server, Standing>,
    limits: IndexMap<(Route, Server), (f64, Instant)>,
}

impl Outlier {
    /// Starts without servers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            samples: IndexMap::new(),
            learned: IndexMap::new(),
            standing: IndexMap::new(),
            limits: IndexMap::new(),
        }
    }

    /// Adds a server that this VM sends requests to.
    pub fn insert(&mut self, server: impl Into<Server>) {
        self.standing
            .entry(server.into())
            .or_insert(Standing::Regular);
    }

    /// Removes a server and its samples.
    pub fn remove(&mut self, server: &str) {
        self.standing.shift_remove(server);
        self.samples.retain(|(_, name), _| &**name != server);
        self.limits.retain(|(_, name), _| &**name != server);
    }

    /// Notes the latency of an answer, and ejects or readmits the server.
    ///
    /// Samples of shed or failed requests don't belong here: they are short.
    pub fn record(&mut self, route: &str, server: &str, latency: Duration, now: Instant) {
        let key = (Route::from(route), Server::from(server));
        let window = self.settings.window.max(self.settings.sparse_window);
        let samples = self.samples.entry(key).or_default();
        samples.push_back((now, latency));
        while samples.len() > KEPT_SAMPLES || samples.front().is_some_and(|s| s.0 + window < now) {
            samples.pop_front();
        }
        match self.standing.get(server).cloned() {
            Some(Standing::Ejected {
                good,
                limit,
                trickle,
                since,
                tried,
                ..
            }) => {
                // Without traffic there are no peers to compare with; the old limit still holds.
                let limit = self.limit(route, server, now).unwrap_or(limit);
                let slow = latency.as_secs_f64() > limit * SINGLE_FACTOR;
                if !slow && good + 1 >= self.settings.good_samples {
                    self.readmit(server, now);
                    return;
                }
                // A slow answer after a good one may be chance, so it is checked soon.
                let soon = !slow || good > 0;
                let standing = Standing::Ejected {
                    due: now + if soon { self.settings.confirm } else { trickle },
                    good: if slow { 0 } else { good + 1 },
                    limit,
                    trickle,
                    since,
                    tried,
                };
                self.standing.insert(server.into(), standing);
            }
            Some(_) => self.judge_regular(route, server, now),
            None => {}
        }
    }

    /// Takes in the medians that another VM measured.
    pub fn learn(&mut self, summaries: impl IntoIterator<Item = Summary>, now: Instant) {
        let window = self.settings.window * 2;
        self.learned.retain(|_, (_, at)| *at + window >= now);
        for summary in summaries {
            let key = (summary.route, summary.server);
            self.learned.insert(key, (summary.median, now));
        }
    }

    /// Returns the medians of the servers that this VM has enough samples of, for other VMs.
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
        if self.ejections() >= self.most_ejections() {
            return;
        }
        let trickle = self.trickle(now);
        let standing = Standing::Ejected {
            due: now + trickle,
            good: 0,
            limit,
            trickle,
            since: now,
            tried: now,
        };
        self.standing.insert(server.into(), standing);
    }

    fn readmit(&mut self, server: &str, since: Instant) {
        // Samples from before the recovery would eject the server again.
        self.samples.retain(|(_, name), _| &**name != server);
        self.standing
            .insert(server.into(), Standing::Recovering { since });
    }

    /// Returns whether a server is ejected.
    pub fn ejected(&self, server: &str) -> bool {
        matches!(self.standing.get(server), Some(Standing::Ejected { .. }))
    }

    /// Returns the number of ejected servers.
    pub fn ejections(&self) -> usize {
        let ejected = |s: &&Standing| matches!(s, Standing::Ejected { .. });
        self.standing.values().filter(ejected).count()
    }

    /// Returns the most servers that may be ejected at once.
    pub fn most_ejections(&self) -> usize {
        let servers = self.standing.len();
        let share = (servers as f64 * self.settings.max_ejected) as usize;
        share.max(usize::from(servers > 1))
    }

    /// Returns whether an ejected server is to get one request now.
    pub fn due(&self, server: &str, now: Instant) -> bool {
        matches!(self.standing.get(server), Some(Standing::Ejected { due, .. }) if *due <= now)
    }

    /// Counts a request to an ejected server.
    pub fn trickled(&mut self, server: &str, now: Instant) {
        if let Some(Standing::Ejected {
            due,
            trickle,
            tried,
            ..
        }) = self.standing.get_mut(server)
        {
            *due = now + *trickle;
            *tried = now;
        }
    }

    /// Returns the part of its normal share that a server may get, from 0 to 1.
    pub fn share(&self, server: &str, now: Instant) -> f64 {
        match self.standing.get(server) {
            Some(Standing::Ejected { .. }) => 0.0,
            Some(Standing::Recovering { since }) => {
                let elapsed = now.saturating_duration_since(*since);
                ramp(RECOVERY_FLOOR, elapsed, self.settings.recovery_ramp)
            }
            _ => 1.0,
        }
    }

    fn judge_regular(&mut self, route: &str, server: &str, now: Instant) {
        if self.ejections() >= self.most_ejections() {
            return;
        }
        let Some(judged) = self.judged(route, server, now) else {
            return;
        };
        if let Some(limit) = self.recent_limit(route, server, now)
            && judged > limit
        {
            self.eject(server, limit, now);
        }
    }

    /// Time between requests to an ejected server: a hundredth of what the busiest server gets.
    fn trickle(&self, now: Instant) -> Duration {
        const PART: f64 = 0.01;
        let window = self.settings.window;
        let counts = self
            .samples
            .values()
            .map(|s| latest(s, now, window).count());
        let most = counts.max().unwrap_or(0).max(1);
        let interval = window.div_f64(most as f64 * PART);
        interval.clamp(self.settings.trickle, self.settings.trickle_max)
    }

    /// The limit as computed at most `LIMIT_AGE` ago: it costs much more than the other steps.
    fn recent_limit(&mut self, route: &str, server: &str, now: Instant) -> Option<f64> {
        let key = (Route::from(route), Server::from(server));
        if let Some((limit, at)) = self.limits.get(&key)
            && now.saturating_duration_since(*at) < LIMIT_AGE
        {
            return Some(*limit);
        }
        let limit = self.limit(route, server, now)?;
        self.limits.insert(key, (limit, now));
        Some(limit)
    }

    /// Latency in seconds above which `server` is slow, from the medians of its peers.
    fn limit(&self, route: &str, server: &str, now: Instant) -> Option<f64> {
        let own = self
            .samples
            .keys()
            .filter(|(r, name)| &**r == route && &**name != server)
            .filter_map(|(r, name)| Some((name, self.own_median(r, name, now)?)));
        let fresh = |at: Instant| now.saturating_duration_since(at) <= self.settings.window * 2;
        let learned = self
            .learned
            .iter()
            .filter(|((r, name), (_, at))| &**r == route && &**name != server && fresh(*at))
            .map(|((_, name), (median, _))| (name, *median));
        let peers: IndexMap<_, _> = learned.chain(own).collect();
        if peers.len() < self.settings.min_peers {
            return None;
        }
        let medians: Vec<f64> = peers.into_values().collect();
        let centre = median(&medians)?;
        let distances: Vec<f64> = medians.iter().map(|m| (m - centre).abs()).collect();
        let spread = (MAD_SCALE * median(&distances)?).max(SPREAD_FLOOR * centre);
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

    /// Latency in seconds by which a server is judged, in contrast to what its peers are compared by.
    ///
    /// It looks further back if the window holds too few answers, and takes the lower quartile of a
    /// few answers: three of five are slow by chance often enough to eject a normal server.
    fn judged(&self, route: &str, server: &str, now: Instant) -> Option<f64> {
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
            n if n < MANY_SAMPLES => values.get(n / 4).copied(),
            _ => median(&values),
        }
    }
}

/// Latencies in seconds of the answers within a window, latest first.
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
