//! Generated versions, arrivals and results of the release experiment.

use super::TICK_MILLIS;
use rand::rngs::StdRng;
use rand::{Rng, RngExt};
use std::collections::VecDeque;
use std::time::Duration;
use steering::release::{Cap, Evidence, HaltSet, Load, Quota, Record, Side};

/// Share of the requests of each route; the last is a rare one.
pub const ROUTES: [(&str, f64); 3] = [("read", 0.6), ("search", 0.3), ("submit", 0.1)];
/// Share of failures of a healthy version.
const BASE_FAILURE_RATE: f64 = 0.001;
/// Median latency in milliseconds, and the spread of its logarithm.
const LATENCY: (f64, f64) = (20.0, 0.5);
/// Share of failures in the last minute at which the threshold baseline rolls back.
const ROLLBACK_FAILURE_RATE: f64 = 0.05;

/// Sizes of a user's service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scale {
    /// Entry VMs.
    pub vms: usize,
    /// Requests per second of the service.
    pub rate: f64,
    /// Backend servers of the new version.
    pub servers: u32,
    /// Time from the first step to the finish time, in seconds.
    pub time: u64,
    /// Time in milliseconds from which the last VM neither sends nor receives messages.
    pub cut_off: Option<u64>,
}

impl Scale {
    /// Returns whether a VM is reachable.
    pub fn reaches(&self, vm: usize, at: u64) -> bool {
        vm + 1 < self.vms || self.cut_off.is_none_or(|from| at < from)
    }
}

/// Atlas' `lookup`: 36 slots, about 60% busy at 36 ms per request.
pub const ATLAS: Scale = Scale {
    vms: 9,
    rate: 600.0,
    servers: 12,
    time: 240,
    cut_off: None,
};

/// El-Sherbiny's `map`: 96 slots, about 45% busy at 36 ms per request.
pub const EL_SHERBINY: Scale = Scale {
    vms: 11,
    rate: 1200.0,
    servers: 12,
    time: 180,
    cut_off: None,
};

/// How a new version is decided on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Method {
    /// The steering decisions.
    Evidence,
    /// The same, without using fewer servers to reach the next step's load.
    FullWidth,
    /// Steps at fixed times.
    Timer,
    /// Steps at fixed times; roll-back at 5% failures in the last minute.
    Threshold,
}

/// What is wrong with a generated version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Share of the release time after which the fault begins.
    pub from: f64,
    /// Load per server from which the fault appears, as a share of the load after the release.
    pub load: f64,
    /// Affected route, or all.
    pub route: Option<usize>,
    /// Share of failures that the fault adds.
    pub failures: f64,
    /// Factor on latency.
    pub slower: f64,
}

/// Generates a bad version of one of five kinds.
pub fn fault(kind: usize, rng: &mut impl Rng) -> Fault {
    let failures = 0.02 * 40f64.powf(rng.random());
    let plain = Fault {
        from: 0.0,
        load: 0.0,
        route: None,
        failures,
        slower: 1.0,
    };
    match kind % 5 {
        0 => plain,
        1 => Fault {
            from: 0.1 + 0.6 * rng.random::<f64>(),
            ..plain
        },
        2 => Fault {
            load: 0.5 + 0.45 * rng.random::<f64>(),
            ..plain
        },
        3 => Fault {
            route: Some(rng.random_range(0..ROUTES.len())),
            ..plain
        },
        _ => Fault {
            failures: 0.0,
            slower: 1.6 + 2.4 * rng.random::<f64>(),
            from: (0.6 * rng.random::<f64>() - 0.2).max(0.0),
            ..plain
        },
    }
}

/// Draws quantiles of a healthy version's latency, between which requests interpolate.
pub fn quantiles(rng: &mut impl Rng) -> Vec<f64> {
    let mut quantiles: Vec<f64> = (0..512)
        .map(|_| {
            let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
            LATENCY.0 * (LATENCY.1 * normal).exp()
        })
        .collect();
    quantiles.sort_by(f64::total_cmp);
    quantiles
}

/// Simulated service of one release.
pub struct World {
    /// Sizes of the service.
    pub scale: Scale,
    /// How the new version is decided on.
    pub method: Method,
    /// Fault of the new version.
    pub fault: Option<Fault>,
    /// Start and end of a fault of a shared dependency in milliseconds, and the share of failures
    /// that it adds to both versions.
    pub incident: (u64, u64, f64),
    /// Factor on latency by which a good version differs.
    pub noise: f64,
    /// Quantiles of the latency.
    pub latencies: Vec<f64>,
    /// Quota of each VM.
    pub quotas: Vec<Quota>,
    /// Evidence of each VM.
    pub own: Vec<Evidence>,
    /// Evidence of all reachable VMs.
    pub all: Evidence,
    /// Requests and failures on the new version per round, for the baseline.
    pub recent: VecDeque<(u64, u64)>,
    /// Random number generator.
    pub rng: StdRng,
}

impl World {
    /// Runs the arrivals of a round; returns the number of starts on the new version.
    pub fn arrivals(&mut self, at: u64, records: &[Record]) -> u64 {
        let mean = self.scale.rate * TICK_MILLIS as f64 / 1e3;
        let count = (mean * (0.8 + 0.4 * self.rng.random::<f64>())).round() as u64;
        let (mut starts, mut failures) = (0, 0);
        for _ in 0..count {
            let place: f64 = self.rng.random();
            let vm = ((place.powf(1.3) * self.scale.vms as f64) as usize).min(self.scale.vms - 1);
            let draw: f64 = self.rng.random();
            let route = usize::from(draw > ROUTES[0].1) + usize::from(draw > 1.0 - ROUTES[2].1);
            let side = self.quotas[vm].start();
            let (failed, latency) = self.request(at, side, route, &records[vm]);
            if side == Side::New {
                starts += 1;
                failures += u64::from(failed);
            }
            if let Some((step, _)) = records[vm].step() {
                let key = (vm as u64, step);
                self.own[vm].record(key, ROUTES[route].0, side, failed, latency);
                if self.scale.reaches(vm, at) {
                    self.all.record(key, ROUTES[route].0, side, failed, latency);
                }
            }
        }
        self.recent.push_back((starts, failures));
        if self.recent.len() > (60_000 / TICK_MILLIS) as usize {
            self.recent.pop_front();
        }
        starts
    }

    fn request(&mut self, at: u64, side: Side, route: usize, record: &Record) -> (bool, Duration) {
        let mut failures = BASE_FAILURE_RATE;
        if (self.incident.0..self.incident.1).contains(&at) {
            failures += self.incident.2;
        }
        let place = self.rng.random::<f64>() * (self.latencies.len() - 1) as f64;
        let (low, part) = (place as usize, place.fract());
        let mut millis = self.latencies[low] * (1.0 - part) + self.latencies[low + 1] * part;
        if side == Side::New {
            millis *= self.noise;
            let load = self.load(record).measured * f64::from(self.scale.servers) / self.scale.rate;
            if let Some(fault) = self.fault
                && at as f64 >= fault.from * self.scale.time as f64 * 1e3
                && load >= fault.load
                && fault.route.is_none_or(|only| only == route)
            {
                failures += fault.failures;
                millis *= fault.slower;
            }
        }
        let failed = self.rng.random::<f64>() < failures;
        (failed, Duration::from_secs_f64(millis / 1e3))
    }

    /// Returns the new version's load per server, by the cap and the servers in use.
    pub fn load(&self, record: &Record) -> Load {
        let servers = self.scale.servers;
        let width = match self.method {
            Method::Evidence => record.active_servers(servers),
            _ => servers,
        };
        let cap = record.cap(&HaltSet::default());
        let next = record.step().map_or(Cap::ALL, |(_, next)| next);
        Load {
            measured: cap.fraction() * self.scale.rate / f64::from(width),
            expected: next.fraction() * self.scale.rate / f64::from(servers),
        }
    }

    /// Drops evidence that no VM reads any more.
    pub fn forget_before(&mut self, step: usize) {
        self.all.prune_before(step);
        self.own.iter_mut().for_each(|own| own.prune_before(step));
    }

    /// Returns whether the failures of the last minute exceed the threshold of the baseline.
    pub fn over_threshold(&self) -> bool {
        let sums = self
            .recent
            .iter()
            .fold((0, 0), |sum, round| (sum.0 + round.0, sum.1 + round.1));
        sums.0 >= 20 && sums.1 as f64 >= ROLLBACK_FAILURE_RATE * sums.0 as f64
    }
}
